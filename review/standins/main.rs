//! Stand-ins and drivers of the scripts under `review/`.

mod back_end;
mod common;
mod crashing_part;
mod short_notice;

use std::path::Path;
use std::process::ExitCode;

use common::{Failure, Record};

/// Exit codes of a case.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = match arguments.first().map(String::as_str) {
        Some("back-end") => back_end::run(&arguments[1..]).map(|()| true),
        Some(case) if arguments.len() == 3 => run_case(case, &arguments[1], &arguments[2]),
        _ => Err("usage: standins CASE FOLDER RECORD".into()),
    };
    match result {
        Ok(true) => ExitCode::from(HELD),
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Runs a case; true if the rule held.
fn run_case(case: &str, folder: &str, record: &str) -> Result<bool, Failure> {
    let folder = Path::new(folder);
    let record_path = Path::new(record);
    let _ = std::fs::remove_file(record_path);
    let record = Record::append_to(record_path)?;
    let held = match case {
        "crashing-part" => crashing_part::run(folder, record_path, &record),
        "short-notice" => short_notice::run(folder, record_path, &record),
        _ => Err(format!("no case {case:?}").into()),
    };
    match &held {
        Ok(held) => record.line(if *held {
            "the rule held"
        } else {
            "the rule was broken"
        }),
        Err(error) => record.line(&format!("could not run: {error}")),
    }
    // All processes have ended with the case.
    let _ = std::fs::remove_file(folder.join("pids"));
    held
}
