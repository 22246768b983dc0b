//! The command line of `drumshore`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use drumshore_core::settings::{ControlSettings, RouterSettings};
use pico_args::Arguments;

use crate::event_loop::Signals;
use crate::operator::{self, ExitStatus};
use crate::{control, load, logs, router};

const HELP: &str = "\
drumshore - a router for language-model traffic with long shared prompts

Daemons:
  drumshore router  --config FILE              run beside a caller
  drumshore control --config FILE [--bootstrap]
                                               run one control machine; --bootstrap only at the
                                               very first start of a new cluster
  drumshore check-config FILE                  check a settings file of either daemon

Operators:
  drumshore apply -f FILE                      write the resources of a TOML or JSON file
  drumshore get KIND [NAME]                    read resources
  drumshore delete KIND NAME                   remove a resource
  drumshore watch [--after REVISION]           print changes as they are accepted
  drumshore status                             show control machines, routers and engines
  drumshore members add|promote|remove ID      change the control machines by one step
  drumshore transfer ID                        hand leadership over
  drumshore explain REQUEST_ID --router URL    show why a request went where it did

Operators' options:
  --control URL[,URL...]   control machines (or DRUMSHORE_CONTROL)
  --key KEY                operator key (or DRUMSHORE_OPERATOR_KEY)
  --json                   print JSON instead of tables

Exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 invalid, 5 unavailable, 6 not found,
7 unauthorized.
";

/// Why a command line is rejected.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error(transparent)]
    Arguments(#[from] pico_args::Error),
    #[error("unknown command {0:?}; see drumshore --help")]
    UnknownCommand(String),
    #[error("unexpected argument {0:?}")]
    Unexpected(OsString),
}

/// Runs the program. `arguments` does not contain the program's name.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    logs::start();
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(arguments) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("drumshore: {error}");
            ExitStatus::Usage.into()
        }
    }
}

fn run(mut arguments: Arguments) -> Result<ExitStatus, UsageError> {
    let command = arguments.subcommand()?.unwrap_or_default();
    match command.as_str() {
        "router" => {
            let config: PathBuf = arguments.value_from_str("--config")?;
            finish(arguments)?;
            Ok(run_router(&config))
        }
        "control" => {
            let config: PathBuf = arguments.value_from_str("--config")?;
            let bootstrap = arguments.contains("--bootstrap");
            finish(arguments)?;
            Ok(run_control(&config, bootstrap))
        }
        "check-config" => {
            let file: PathBuf = arguments.free_from_str()?;
            finish(arguments)?;
            Ok(check_config(&file))
        }
        "" => Err(UsageError::UnknownCommand(String::new())),
        other => match operator::Command::parse(other, &mut arguments)? {
            Some(command) => {
                let options = operator::Options::parse(&mut arguments)?;
                finish(arguments)?;
                Ok(operator::run(&command, &options))
            }
            None => Err(UsageError::UnknownCommand(other.to_owned())),
        },
    }
}

fn finish(arguments: Arguments) -> Result<(), UsageError> {
    match arguments.finish().into_iter().next() {
        None => Ok(()),
        Some(argument) => Err(UsageError::Unexpected(argument)),
    }
}

fn run_router(config: &std::path::Path) -> ExitStatus {
    let settings: RouterSettings = match load(config) {
        Ok(settings) => settings,
        Err(error) => return failed("router", &error, ExitStatus::Invalid),
    };
    let result = Signals::install()
        .map_err(router::DaemonError::from)
        .and_then(|signals| router::run(settings, &signals));
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => failed("router", &error, ExitStatus::Failed),
    }
}

fn run_control(config: &std::path::Path, bootstrap: bool) -> ExitStatus {
    let settings: ControlSettings = match load(config) {
        Ok(settings) => settings,
        Err(error) => return failed("control", &error, ExitStatus::Invalid),
    };
    let result = Signals::install()
        .map_err(control::DaemonError::from)
        .and_then(|signals| control::run(&settings, bootstrap, &signals));
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => failed("control", &error, ExitStatus::Failed),
    }
}

/// Checks the file as settings of either daemon. If it is valid for neither, `internal_listen`,
/// which only control machines have, decides whose error is printed.
fn check_config(file: &std::path::Path) -> ExitStatus {
    let router = load::<RouterSettings>(file);
    let control = load::<ControlSettings>(file);
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let is_control = text
        .lines()
        .any(|line| line.trim_start().starts_with("internal_listen"));
    match (router, control) {
        (Ok(_), _) => valid(file, "router"),
        (_, Ok(_)) => valid(file, "control"),
        (Err(error), _) if !is_control => failed("check-config", &error, ExitStatus::Invalid),
        (_, Err(error)) => failed("check-config", &error, ExitStatus::Invalid),
    }
}

fn valid(file: &std::path::Path, kind: &str) -> ExitStatus {
    println!("{}: valid {kind} settings", file.display());
    ExitStatus::Done
}

fn failed(command: &str, error: &dyn std::error::Error, status: ExitStatus) -> ExitStatus {
    eprintln!("{command}: {error}");
    status
}
