//! The command line of `drumshore-lab`.

use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use serde::Serialize;

use crate::engine::http::EngineOptions;
use crate::engine::EngineParams;
use crate::fleet::{self, FleetOptions, Layout};
use crate::load::{self, CallerParams, LoadParams};
use crate::platform::{self, PlatformOptions};
use crate::workload::Profile;

const HELP: &str = "\
drumshore-lab - mock services, load generation and experiments for drumshore

  fleet --layout quickstart|surtidor|sohar-quay [--seconds N] [--seed N] [--no-faults]
        [--json FILE]          run a fleet of processes under load and print a report
  load --target IP:PORT [--target ...] --key KEY [--key ...] --model NAME
       [--profile surtidor|sohar-quay] [--rate R] [--callers N] [--seconds N] [--seed N]
       [--block-tokens N] [--json FILE]
                               send load to routers or engines and check the answers
  sim [--scenario NAME|all] [--seed N] [--seeds COUNT] [--without GUARD] [--json FILE]
  sim --list | --list-guards   simulate a fleet with faults on a virtual clock
  bench routing --workload surtidor|sohar-quay [--seed N] [--seconds N] [--rate R]
        [--scheduler JSON] [--json FILE]
                               run the same requests under every policy and an oracle
  bench routing --workload W --record TRACE
                               record the input of the first router under the product policy
  replay TRACE [--expect FILE] [--write-expect FILE]
                               replay a trace and print the first difference from the expected
  bench decision | log | streams [--short] [--seconds N] [--json FILE]
                               measure the time of a routing decision; commits of the replicated
                               log against raw disk syncs; streams with and without a router
  engine [--config FILE] [--listen IP:PORT] [--platform URL] [--witness FILE]
                               run a mock engine and print its address
  platform [--listen IP:PORT] [--lag-ms N]
                               run a mock platform and print its address
";

/// Why a command could not run. The program exits with status 2.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LabError {
    /// An option is missing or its value does not parse.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// An I/O operation on a file or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A JSON document could not be parsed or written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A fleet could not be started or controlled.
    #[error(transparent)]
    Fleet(#[from] fleet::FleetError),
    /// An unknown command, name or argument, or a failure reported as text.
    #[error("{0}")]
    Usage(String),
}

/// Runs the program with `arguments`, which do not include its name. `drumshore` as the first
/// argument runs the drumshore binary with the rest, so that a fleet needs one executable only.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    if arguments.first().is_some_and(|word| word == "drumshore") {
        return drumshore_node::main(arguments[1..].to_vec());
    }
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("drumshore-lab: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs one command. Returns false when it ran and a check of its results failed.
fn run(mut arguments: Arguments) -> Result<bool, LabError> {
    let command = arguments.subcommand()?.unwrap_or_default();
    match command.as_str() {
        "fleet" => run_fleet(arguments),
        "load" => run_load(arguments),
        "engine" => run_engine(arguments),
        "platform" => run_platform(arguments),
        "bench" => crate::bench::cli::main(arguments),
        "replay" => crate::replay::main(arguments),
        "sim" => crate::sim::cli::main(arguments),
        other => Err(LabError::Usage(format!(
            "unknown command {other:?}; see drumshore-lab --help"
        ))),
    }
}

pub(crate) fn finish(arguments: Arguments) -> Result<(), LabError> {
    match arguments.finish().into_iter().next() {
        None => Ok(()),
        Some(argument) => Err(LabError::Usage(format!("unexpected argument {argument:?}"))),
    }
}

pub(crate) fn write_json(file: Option<&Path>, document: &impl Serialize) -> Result<(), LabError> {
    if let Some(file) = file {
        std::fs::write(file, serde_json::to_vec_pretty(document)?)?;
    }
    Ok(())
}

fn run_fleet(mut arguments: Arguments) -> Result<bool, LabError> {
    let name: String = arguments.value_from_str("--layout")?;
    let layout = Layout::from_name(&name).ok_or_else(|| {
        LabError::Usage(format!(
            "unknown layout {name:?}; expected one of {:?}",
            Layout::NAMES
        ))
    })?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let options = FleetOptions {
        duration: seconds.map_or(layout.duration, Duration::from_secs),
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        faults: layout.faults && !arguments.contains("--no-faults"),
        layout,
    };
    finish(arguments)?;
    let report = fleet::run(&options)?;
    println!("layout {}\n{}", report.layout, report.load.to_text());
    println!(
        "requests started late by a drained engine {}, routers stopped cleanly {} of {}",
        report.late_work, report.routers_stopped, report.routers
    );
    write_json(json.as_deref(), &report)?;
    Ok(report.is_clean())
}

fn run_load(mut arguments: Arguments) -> Result<bool, LabError> {
    let targets: Vec<String> = arguments.values_from_str("--target")?;
    let keys: Vec<String> = arguments.values_from_str("--key")?;
    let profile: Option<String> = arguments.opt_value_from_str("--profile")?;
    let profile = match profile.as_deref() {
        None => Profile::Surtidor,
        Some(word) => Profile::from_name(word)
            .ok_or_else(|| LabError::Usage(format!("unknown profile {word:?}")))?,
    };
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let params = LoadParams {
        workload: profile.workload(),
        seed,
        requests_per_second: arguments.opt_value_from_str("--rate")?.unwrap_or(10.0),
        callers: arguments.opt_value_from_str("--callers")?.unwrap_or(64),
        duration: Duration::from_secs(seconds.unwrap_or(10)),
        caller: CallerParams {
            targets,
            keys,
            model: arguments.value_from_str("--model")?,
            block_tokens: arguments
                .opt_value_from_str("--block-tokens")?
                .unwrap_or(128),
            idempotency: !arguments.contains("--no-idempotency"),
            run: seed,
        },
    };
    finish(arguments)?;
    let report = load::run(&params, |_, _| {});
    print!("{}", report.to_text());
    write_json(json.as_deref(), &report)?;
    Ok(report.is_clean())
}

fn run_engine(mut arguments: Arguments) -> Result<bool, LabError> {
    let config: Option<PathBuf> = arguments.opt_value_from_str("--config")?;
    let params: EngineParams = match config {
        Some(file) => serde_json::from_slice(&std::fs::read(file)?)?,
        None => EngineParams::default(),
    };
    let options = EngineOptions {
        listen: listen(&mut arguments)?,
        params,
        platform: arguments.opt_value_from_str("--platform")?,
        witness: arguments.opt_value_from_str("--witness")?,
    };
    finish(arguments)?;
    crate::engine::http::run(options)?;
    Ok(true)
}

fn run_platform(mut arguments: Arguments) -> Result<bool, LabError> {
    let lag: Option<u64> = arguments.opt_value_from_str("--lag-ms")?;
    let options = PlatformOptions {
        listen: listen(&mut arguments)?,
        lag: Duration::from_millis(lag.unwrap_or(1_000)),
    };
    finish(arguments)?;
    platform::run(&options)?;
    Ok(true)
}

fn listen(arguments: &mut Arguments) -> Result<SocketAddr, LabError> {
    let listen: Option<SocketAddr> = arguments.opt_value_from_str("--listen")?;
    Ok(listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))
}
