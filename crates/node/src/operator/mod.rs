//! The operators' command-line commands.

mod apply;
mod client;
mod tables;

use std::process::ExitCode;
use std::time::Duration;

use drumshore_control::{ChangeOutcome, ChangeRecord, StatusReport};
use drumshore_core::{Resource, ResourceKey, ResourceKind, Revision};
use drumshore_routing::DecisionRecord;
use pico_args::Arguments;
use serde::Deserialize;

use crate::control::{MemberChange, MemberStep};
use client::{Client, ClientError};

/// Outcome of a command, used as the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason without a code of its own.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The resource was changed since the version that the change is based on, or a control machine
    /// rejected a membership change.
    Conflict = 3,
    /// A document or settings file is not valid.
    Invalid = 4,
    /// No control machine answered, or no quorum confirmed in time.
    Unavailable = 5,
    /// There is no such resource or request.
    NotFound = 6,
    /// The operator key is missing or wrong.
    Unauthorized = 7,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// An operator's command.
#[derive(Clone, Debug)]
pub enum Command {
    /// Write the resources in a file.
    Apply {
        /// Path of the file; `-` for standard input.
        file: String,
    },
    /// Read resources.
    Get {
        /// Kind of the resources.
        kind: ResourceKind,
        /// Name of one resource; `None` for all of the kind.
        name: Option<String>,
    },
    /// Remove a resource.
    Delete(ResourceKey),
    /// Print changes as they are accepted, until the command fails.
    Watch {
        /// Only changes after this revision are printed.
        after: Revision,
    },
    /// Show the control machines, routers and engines.
    Status,
    /// Take one step of a membership change, for the control machine of this number.
    Members(u64, MembersCommand),
    /// Show how a request was placed and how it ended.
    Explain {
        /// Id of the request.
        request: String,
        /// URL of the router that served it.
        router: String,
    },
}

/// A membership command for one control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembersCommand {
    /// The machine becomes a learner, which receives the log.
    Add,
    /// The learner becomes a voter.
    Promote,
    /// The machine is removed from the cluster.
    Remove,
    /// The machine becomes the leader.
    Transfer,
}

/// Options common to all operators' commands.
#[derive(Clone, Debug)]
pub struct Options {
    controls: Vec<String>,
    key: String,
    json: bool,
}

impl Options {
    /// Parses the options. The environment provides those that are not on the command line.
    pub fn parse(arguments: &mut Arguments) -> Result<Self, pico_args::Error> {
        let from_environment = |name: &str| std::env::var(name).ok();
        let controls: Option<String> = arguments.opt_value_from_str("--control")?;
        let controls = controls.or_else(|| from_environment("DRUMSHORE_CONTROL"));
        let key: Option<String> = arguments.opt_value_from_str("--key")?;
        let key = key.or_else(|| from_environment("DRUMSHORE_OPERATOR_KEY"));
        Ok(Self {
            controls: controls
                .unwrap_or_else(|| "http://127.0.0.1:7401".to_owned())
                .split(',')
                .map(str::to_owned)
                .collect(),
            key: key.unwrap_or_default(),
            json: arguments.contains("--json"),
        })
    }

    /// Creates options for a program that runs the commands itself; output is printed as tables.
    pub fn new(controls: Vec<String>, key: impl Into<String>) -> Self {
        Self {
            controls,
            key: key.into(),
            json: false,
        }
    }
}

impl Command {
    /// Parses the arguments of the command named `word`; `None` if there is no such command.
    pub fn parse(word: &str, arguments: &mut Arguments) -> Result<Option<Self>, pico_args::Error> {
        let command = match word {
            "apply" => Command::Apply {
                file: arguments.value_from_str("-f")?,
            },
            "get" => Command::Get {
                kind: arguments.free_from_fn(parse_kind)?,
                name: arguments.opt_free_from_str()?,
            },
            "delete" => Command::Delete(ResourceKey {
                kind: arguments.free_from_fn(parse_kind)?,
                name: arguments.free_from_str()?,
            }),
            "watch" => Command::Watch {
                after: Revision(arguments.opt_value_from_str("--after")?.unwrap_or(0)),
            },
            "status" => Command::Status,
            "members" => {
                let step = arguments.free_from_fn(parse_step)?;
                Command::Members(arguments.free_from_str()?, step)
            }
            "transfer" => Command::Members(arguments.free_from_str()?, MembersCommand::Transfer),
            "explain" => Command::Explain {
                router: arguments.value_from_str("--router")?,
                request: arguments.free_from_str()?,
            },
            _ => return Ok(None),
        };
        Ok(Some(command))
    }
}

fn parse_kind(word: &str) -> Result<ResourceKind, String> {
    ResourceKind::from_word(word).ok_or_else(|| {
        let kinds: Vec<&str> = ResourceKind::ALL.iter().map(|kind| kind.as_str()).collect();
        format!(
            "unknown kind {word:?}; expected one of {}",
            kinds.join(", ")
        )
    })
}

fn parse_step(word: &str) -> Result<MembersCommand, String> {
    match word {
        "add" => Ok(MembersCommand::Add),
        "promote" => Ok(MembersCommand::Promote),
        "remove" => Ok(MembersCommand::Remove),
        _ => Err(format!(
            "unknown step {word:?}; expected one of add, promote, remove"
        )),
    }
}

/// Response that lists the resources of one kind.
#[derive(Debug, Deserialize)]
pub(crate) struct ResourceList {
    pub(crate) resources: Vec<Resource>,
}

/// Response to a watch: the changes after a revision. `compacted` means that they are no longer
/// kept.
#[derive(Debug, Deserialize)]
pub(crate) struct ChangeList {
    pub(crate) revision: Revision,
    #[serde(default)]
    pub(crate) changes: Vec<ChangeRecord>,
    #[serde(default)]
    pub(crate) compacted: bool,
}

/// Executes a command and prints its result, or the error on standard error.
pub fn run(command: &Command, options: &Options) -> ExitStatus {
    let client = Client::new(options.controls.clone(), options.key.clone());
    match execute(command, options, &client) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("drumshore: {error}");
            error.exit_status()
        }
    }
}

fn execute(
    command: &Command,
    options: &Options,
    client: &Client,
) -> Result<ExitStatus, ClientError> {
    match command {
        Command::Apply { file } => apply::apply_file(client, file),
        Command::Get { kind, name } => get(client, *kind, name.as_deref(), options.json),
        Command::Delete(key) => {
            let current: Resource = client.get(&client::resource_path(key))?;
            let outcome = client.delete(key, current.version)?;
            Ok(print_outcome(key, &outcome))
        }
        Command::Watch { after } => watch(client, *after, options.json),
        Command::Status => {
            let status: StatusReport = client.get("/v1/status")?;
            if options.json {
                print_json(&status);
            } else {
                print!("{}", tables::status(&status));
            }
            Ok(ExitStatus::Done)
        }
        Command::Members(id, step) => {
            let step = match step {
                MembersCommand::Add => MemberStep::Add,
                MembersCommand::Promote => MemberStep::Promote,
                MembersCommand::Remove => MemberStep::Remove,
                MembersCommand::Transfer => MemberStep::Transfer,
            };
            client.change_members(MemberChange { step, id: *id })?;
            println!("started");
            Ok(ExitStatus::Done)
        }
        Command::Explain { request, router } => {
            let client = Client::new(vec![router.clone()], options.key.clone());
            let record: DecisionRecord = client.get(&format!("/v1/explain/{request}"))?;
            if options.json {
                print_json(&record);
            } else {
                print!("{}", tables::decision(&record));
            }
            Ok(ExitStatus::Done)
        }
    }
}

fn get(
    client: &Client,
    kind: ResourceKind,
    name: Option<&str>,
    json: bool,
) -> Result<ExitStatus, ClientError> {
    let resources = match name {
        Some(name) => {
            let name = name.to_owned();
            vec![client.get::<Resource>(&client::resource_path(&ResourceKey { kind, name }))?]
        }
        None => {
            let list: ResourceList = client.get(&format!("/v1/resources/{}", kind.as_str()))?;
            list.resources
        }
    };
    if json {
        print_json(&resources);
    } else {
        print!("{}", tables::resources(&resources));
    }
    Ok(ExitStatus::Done)
}

fn watch(client: &Client, mut after: Revision, json: bool) -> Result<ExitStatus, ClientError> {
    loop {
        let list: ChangeList = client.get(&format!("/v1/watch?after={after}"))?;
        if list.compacted {
            eprintln!(
                "drumshore: changes up to revision {} are no longer kept",
                list.revision
            );
        }
        for change in &list.changes {
            if json {
                print_json(change);
            } else {
                print!("{}", tables::change(change));
            }
        }
        after = list.revision;
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn print_outcome(key: &ResourceKey, outcome: &ChangeOutcome) -> ExitStatus {
    let name = format!("{}/{}", key.kind.as_str(), key.name);
    match outcome {
        ChangeOutcome::Accepted { revision } => {
            println!("{name}: accepted as revision {revision}");
            ExitStatus::Done
        }
        ChangeOutcome::Conflict { expected, current } => {
            eprintln!("{name}: conflict: the change was made from version {expected}");
            match current {
                Some(current) => eprint!("{}", tables::resources(std::slice::from_ref(current))),
                None => eprintln!("the resource does not exist"),
            }
            ExitStatus::Conflict
        }
        ChangeOutcome::Invalid { message } => {
            eprintln!("{name}: invalid: {message}");
            ExitStatus::Invalid
        }
    }
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("drumshore: {error}"),
    }
}
