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
drumshore-lab - stand-ins, load and experiments for drumshore

  fleet --layout quickstart|surtidor|sohar-quay [--seconds N] [--seed N] [--no-faults]
        [--json FILE]          run a whole fleet with real traffic and report
  load --target IP:PORT [--target ...] --key KEY [--key ...] --model NAME
       [--profile surtidor|sohar-quay] [--rate R] [--callers N] [--seconds N] [--seed N]
       [--block-tokens N] [--json FILE]
                               make load against routers or engines
  sim [--scenario NAME|all] [--seed N] [--seeds COUNT] [--without GUARD] [--json FILE]
  sim --list | --list-guards   simulate the fleet under failures on a virtual clock
  bench routing --workload surtidor|sohar-quay [--seed N] [--seconds N] [--rate R]
        [--scheduler JSON] [--json FILE]
                               the same requests under every policy and an oracle
  bench routing --workload W --record TRACE
                               record what the product's first router is told and asked
  replay TRACE [--expect FILE] [--write-expect FILE]
                               replay a trace, and show the first difference from what is stated
  bench decision | log | streams [--short] [--seconds N] [--json FILE]
                               the cost of a decision; the log against its disk; streams through
                               a router against streams without one
  engine [--config FILE] [--listen IP:PORT] [--platform URL] [--witness FILE]
                               run an engine stand-in; prints its address
  platform [--listen IP:PORT] [--lag-ms N]
                               run a platform stand-in; prints its address
";

/// Why a command did not do what it should.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LabError {
    /// The command line is wrong.
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    /// A file or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A document is not readable.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A fleet did not run.
    #[error(transparent)]
    Fleet(#[from] fleet::FleetError),
    /// A word has no meaning here.
    #[error("{0}")]
    Usage(String),
}

/// Runs the program with arguments that follow its name.
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

/// False when the command ran and found fault.
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
        LabError::Usage(format!("no layout {name:?}; there are {:?}", Layout::NAMES))
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
        "work begun late by a drained engine {}, routers stopped in order {} of {}",
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
        Some(word) => Profile::from_word(word)
            .ok_or_else(|| LabError::Usage(format!("no profile {word:?}")))?,
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
