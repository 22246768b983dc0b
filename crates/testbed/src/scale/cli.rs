//! `drumshore-lab scale`.

use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use super::stage::{measure, StageSize};
use super::{page, ScaleReport};
use crate::cli::{finish, write_json, LabError};

/// Letter 1's tenants and models.
const TENANTS: usize = 9_000;
const MODELS: usize = 36;

/// The sizes measured, in eighths of the one asked for.
const EIGHTHS: [usize; 4] = [1, 2, 4, 8];

pub(crate) fn main(mut arguments: Arguments) -> Result<bool, LabError> {
    let nodes: usize = arguments.opt_value_from_str("--nodes")?.unwrap_or(360);
    let workers: usize = arguments.opt_value_from_str("--workers")?.unwrap_or(1_900);
    let tenants: usize = arguments
        .opt_value_from_str("--tenants")?
        .unwrap_or(TENANTS);
    let controls: usize = arguments.opt_value_from_str("--controls")?.unwrap_or(3);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(15);
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let markdown: Option<PathBuf> = arguments.opt_value_from_str("--markdown")?;
    let plot: Option<PathBuf> = arguments.opt_value_from_str("--plot")?;
    finish(arguments)?;
    let mut stages = Vec::new();
    for eighths in EIGHTHS {
        let part = |whole: usize| (whole * eighths / 8).max(1);
        let size = StageSize {
            nodes: part(nodes),
            workers: part(workers),
            tenants: part(tenants),
            models: MODELS,
        };
        eprintln!(
            "scale: {} nodes, {} workers, {} tenants",
            size.nodes, size.workers, size.tenants
        );
        let report = measure(size, controls, Duration::from_secs(seconds))?;
        stages.push(report);
    }
    let report = ScaleReport {
        stages,
        controls,
        seconds: seconds as f64,
    };
    let tables = page::tables(&report);
    print!("{tables}");
    write_json(json.as_deref(), &report)?;
    if let Some(file) = markdown {
        std::fs::write(file, &tables)?;
    }
    if let Some(file) = plot {
        page::plot(&report, &file).map_err(LabError::Usage)?;
    }
    Ok(true)
}
