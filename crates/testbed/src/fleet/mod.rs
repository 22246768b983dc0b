//! Runs a fleet of real processes under load on one machine.

mod layout;
mod process;
pub mod settings;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use drumshore_control::{MachineRecord, MachineState, StatusReport};
use drumshore_core::{EngineName, ModelName};
use drumshore_node::operator::{self, Command, ExitStatus, Options};
use serde::Serialize;

use crate::load::{self, CallerParams, LoadParams, LoadReport};
use crate::platform::{self, PlatformOptions};
use settings::{ControlAddresses, MODEL, OPERATOR_KEY, POOL};

pub use layout::Layout;
pub use process::Process;

const PLATFORM_LAG: Duration = Duration::from_secs(1);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALLER_THREADS: usize = 256;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// How long a draining engine may still start requests. The requirement is "a few seconds".
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Why a fleet could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An operation on a file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A condition did not hold in time.
    #[error("{0} did not happen within {1:?}")]
    Timeout(&'static str, Duration),
    /// Applying the resources failed.
    #[error("applying the resources failed: {0:?}")]
    Apply(ExitStatus),
}

/// Options of a fleet run.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The layout of the fleet.
    pub layout: Layout,
    /// How long requests are generated.
    pub duration: Duration,
    /// Seed of the workload.
    pub seed: u64,
    /// Whether one engine is killed and another drained half-way through the run.
    pub faults: bool,
}

/// Results of a fleet run.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Name of the layout.
    pub layout: String,
    /// Results as seen by the callers.
    #[serde(flatten)]
    pub load: LoadReport,
    /// Requests that the drained engine started more than three seconds after the order to drain.
    pub late_work: u64,
    /// Routers that exited successfully after SIGTERM.
    pub routers_stopped: usize,
    /// Number of routers.
    pub routers: usize,
}

impl FleetReport {
    /// Returns true when the load was clean, the drained engine stopped in time and all routers
    /// exited successfully.
    pub fn is_clean(&self) -> bool {
        self.load.is_clean() && self.late_work == 0 && self.routers_stopped == self.routers
    }
}

struct EngineProcess {
    process: Process,
    name: String,
    address: SocketAddr,
}

struct ControlProcess {
    process: Process,
    addresses: ControlAddresses,
    config: PathBuf,
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    layout: Layout,
    folder: PathBuf,
    program: PathBuf,
    platform: String,
    engines: Vec<EngineProcess>,
    controls: Vec<ControlProcess>,
    routers: Vec<(Process, SocketAddr)>,
}

/// Runs a fleet under load and returns the report. Logs and data are kept when it is not clean.
pub fn run(options: &FleetOptions) -> Result<FleetReport, FleetError> {
    let folder = std::env::temp_dir().join(format!("drumshore-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let program = std::env::current_exe()?;
    let mut fleet = Fleet::start(options.layout.clone(), folder.clone(), program)?;
    let report = fleet.measure(options)?;
    drop(fleet);
    if report.is_clean() {
        std::fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("fleet: logs and data are kept in {}", folder.display());
    }
    Ok(report)
}

impl Fleet {
    /// Starts a fleet with its files in `folder` and waits until it is ready. `program` is the path of
    /// the `drumshore-lab` binary.
    pub fn start(layout: Layout, folder: PathBuf, program: PathBuf) -> Result<Self, FleetError> {
        let any_port = "127.0.0.1:0".parse().map_err(io::Error::other)?;
        let address = platform::spawn(&PlatformOptions {
            listen: any_port,
            lag: PLATFORM_LAG,
        })?;
        let mut fleet = Self {
            layout,
            folder,
            program,
            platform: format!("http://{address}"),
            engines: Vec::new(),
            controls: Vec::new(),
            routers: Vec::new(),
        };
        fleet.start_engines()?;
        fleet.start_controls()?;
        fleet.write_resources(&[])?;
        fleet.start_routers()?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn start_engines(&mut self) -> Result<(), FleetError> {
        let model = ModelName::new(MODEL);
        for number in 0..self.layout.engines {
            let params = self.layout.engine(number, &model);
            let name = params.name.to_string();
            let config = self.folder.join(format!("{name}.json"));
            std::fs::write(
                &config,
                serde_json::to_vec(&params).map_err(io::Error::other)?,
            )?;
            let listen = format!("{}:0", self.layout.zone_address(number));
            let witness = self.folder.join(format!("{name}.witness"));
            let arguments = [
                "engine",
                "--config",
                path_str(&config)?,
                "--listen",
                &listen,
                "--platform",
                &self.platform,
                "--witness",
                path_str(&witness)?,
            ];
            let mut process = self.spawn(&name, &arguments)?;
            let address = process.first_line()?.parse().map_err(io::Error::other)?;
            let engine = EngineProcess {
                process,
                name,
                address,
            };
            self.register(&engine, number)?;
            self.engines.push(engine);
        }
        Ok(())
    }

    fn register(&self, engine: &EngineProcess, number: usize) -> Result<(), FleetError> {
        let machine = MachineRecord {
            name: EngineName::new(&engine.name),
            address: engine.address.to_string(),
            zone: self.layout.zone(number).as_str().into(),
            pool: POOL.into(),
            state: MachineState::Live,
        };
        let body = serde_json::to_vec(&machine).map_err(io::Error::other)?;
        ureq::post(format!("{}/v1/machines", self.platform))
            .send(&body[..])
            .map_err(io::Error::other)?;
        Ok(())
    }

    fn start_controls(&mut self) -> Result<(), FleetError> {
        let mut all = Vec::new();
        for number in 0..self.layout.controls {
            let ip = self
                .layout
                .zone_address(number)
                .parse()
                .map_err(io::Error::other)?;
            all.push(ControlAddresses {
                id: number as u64 + 1,
                operators: settings::free_address(ip)?,
                internal: settings::free_address(ip)?,
            });
        }
        for own in &all {
            let config = settings::write_control(&self.folder, own, &all, &self.platform)?;
            let name = format!("control-{}", own.id);
            let arguments = [
                "drumshore",
                "control",
                "--config",
                path_str(&config)?,
                "--bootstrap",
            ];
            let process = self.spawn(&name, &arguments)?;
            self.controls.push(ControlProcess {
                process,
                addresses: *own,
                config,
            });
        }
        self.wait_until("election of a control leader", |fleet| {
            fleet.status().is_some_and(|status| status.leader.is_some())
        })
    }

    fn start_routers(&mut self) -> Result<(), FleetError> {
        let controls: Vec<ControlAddresses> = self
            .controls
            .iter()
            .map(|control| control.addresses)
            .collect();
        for number in 0..self.layout.routers {
            let ip = self
                .layout
                .zone_address(number)
                .parse()
                .map_err(io::Error::other)?;
            let listen = settings::free_address(ip)?;
            let name = format!("router-{}", number + 1);
            let zone = self.layout.zone(number);
            let config = settings::write_router(&self.folder, &name, &zone, listen, &controls)?;
            let arguments = ["drumshore", "router", "--config", path_str(&config)?];
            let process = self.spawn(&name, &arguments)?;
            self.routers.push((process, listen));
        }
        Ok(())
    }

    fn write_resources(&self, draining: &[String]) -> Result<(), FleetError> {
        let file = settings::write_resources(&self.folder, &self.layout, draining)?;
        let command = Command::Apply {
            file: path_str(&file)?.to_owned(),
        };
        match operator::run(&command, &self.operator_options()) {
            ExitStatus::Done => Ok(()),
            status => Err(FleetError::Apply(status)),
        }
    }

    fn spawn(&self, name: &str, arguments: &[&str]) -> io::Result<Process> {
        let log = self.folder.join(format!("{name}.log"));
        Process::spawn_program(&self.program, name, arguments, &log)
    }

    /// Returns the addresses on which the routers accept requests.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|(_, listen)| *listen).collect()
    }

    /// Returns the addresses on which the control machines accept operator requests.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = self.controls.iter();
        controls
            .map(|control| control.addresses.operators)
            .collect()
    }

    /// Kills an engine with SIGKILL.
    pub fn kill_engine(&mut self, number: usize) {
        self.engines[number].process.kill();
    }

    /// Kills a control machine with SIGKILL.
    pub fn kill_control(&mut self, id: u64) {
        for control in &mut self.controls {
            if control.addresses.id == id {
                control.process.kill();
            }
        }
    }

    /// Restarts a control machine with its existing data folder.
    pub fn restart_control(&mut self, id: u64) -> Result<(), FleetError> {
        for position in 0..self.controls.len() {
            if self.controls[position].addresses.id == id {
                let config = self.controls[position].config.clone();
                let arguments = ["drumshore", "control", "--config", path_str(&config)?];
                let process = self.spawn(&format!("control-{id}-again"), &arguments)?;
                self.controls[position].process = process;
            }
        }
        Ok(())
    }

    /// Returns the options with which operator commands reach the fleet.
    pub fn operator_options(&self) -> Options {
        let urls = self.controls.iter();
        let urls = urls.map(|control| format!("http://{}", control.addresses.operators));
        Options::new(urls.collect(), OPERATOR_KEY)
    }

    /// Returns the status reported by the first control machine that responds.
    pub fn status(&self) -> Option<StatusReport> {
        self.controls
            .iter()
            .find_map(|control| fetch_status(control.addresses.operators))
    }

    fn wait_ready(&self) -> Result<(), FleetError> {
        self.wait_until("readiness of all engines", |fleet| {
            fleet.status().is_some_and(|status| {
                let ready = status
                    .engines
                    .iter()
                    .filter(|engine| engine.state == "ready");
                ready.count() == fleet.layout.engines
            })
        })?;
        self.wait_until("readiness of all routers", |fleet| {
            fleet
                .routers
                .iter()
                .all(|(_, listen)| ureq::get(format!("http://{listen}/readyz")).call().is_ok())
        })
    }

    /// Polls until `holds` returns true. Fails after 30 s with `what` as the name of the condition.
    pub fn wait_until(
        &self,
        what: &'static str,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), FleetError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while !holds(self) {
            if Instant::now() > deadline {
                return Err(FleetError::Timeout(what, START_TIMEOUT));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn measure(&mut self, options: &FleetOptions) -> Result<FleetReport, FleetError> {
        let load = self.load_params(options);
        let total = options.duration.as_secs();
        let loading = thread::spawn(move || {
            let mut next_progress = PROGRESS_INTERVAL;
            load::run(&load, |sent, elapsed| {
                if elapsed >= next_progress {
                    next_progress += PROGRESS_INTERVAL;
                    eprintln!(
                        "fleet: sent {sent} requests in {} of {total} s",
                        elapsed.as_secs()
                    );
                }
            })
        });
        let late_work = if options.faults {
            thread::sleep(options.duration / 2);
            self.inject_faults()?
        } else {
            0
        };
        let mut report = loading
            .join()
            .map_err(|_| io::Error::other("the load thread panicked"))?;
        let routers_stopped = self.stop_routers();
        report.doubled = self.count_duplicate_executions()?;
        Ok(FleetReport {
            layout: self.layout.name.to_owned(),
            load: report,
            late_work,
            routers_stopped,
            routers: self.routers.len(),
        })
    }

    fn load_params(&self, options: &FleetOptions) -> LoadParams {
        let workload = self.layout.workload();
        LoadParams {
            seed: options.seed,
            requests_per_second: self.layout.requests_per_second,
            callers: CALLER_THREADS,
            duration: options.duration,
            caller: CallerParams {
                targets: self
                    .routers
                    .iter()
                    .map(|(_, listen)| listen.to_string())
                    .collect(),
                keys: (0..workload.tenants).map(settings::tenant_key).collect(),
                model: MODEL.to_owned(),
                block_tokens: self.layout.block_tokens(),
                idempotency: true,
                run: options.seed,
            },
            workload,
        }
    }

    /// Kills the first engine and drains the second. Returns how many requests the second started
    /// after the drain limit.
    fn inject_faults(&mut self) -> Result<u64, FleetError> {
        self.engines[0].process.kill();
        let drained = &self.engines[1];
        self.write_resources(std::slice::from_ref(&drained.name))?;
        thread::sleep(DRAIN_LIMIT);
        let after_limit = fetch_executed(drained.address);
        thread::sleep(DRAIN_LIMIT);
        let later = fetch_executed(drained.address);
        Ok(later.saturating_sub(after_limit))
    }

    /// Sends SIGTERM to all routers. Returns how many exited successfully.
    pub fn stop_routers(&mut self) -> usize {
        for (process, _) in &self.routers {
            process.terminate();
        }
        self.routers
            .iter_mut()
            .filter_map(|(process, _)| process.wait(STOP_TIMEOUT))
            .filter(std::process::ExitStatus::success)
            .count()
    }

    /// Counts executions of at-most-once requests beyond the first of each, over all engines.
    fn count_duplicate_executions(&self) -> Result<u64, FleetError> {
        let executions = self.executions()?;
        Ok(executions.values().map(|count| count - 1).sum())
    }

    /// Returns how often each at-most-once request was executed, by idempotency key.
    pub fn executions(&self) -> Result<BTreeMap<String, u64>, FleetError> {
        let mut executions: BTreeMap<String, u64> = BTreeMap::new();
        for engine in &self.engines {
            let witness = self.folder.join(format!("{}.witness", engine.name));
            for key in std::fs::read_to_string(witness)?.lines() {
                *executions.entry(key.to_owned()).or_default() += 1;
            }
        }
        Ok(executions)
    }
}

fn fetch_executed(engine: SocketAddr) -> u64 {
    let counters = ureq::get(format!("http://{engine}/v1/counters")).call();
    counters
        .ok()
        .and_then(|mut response| response.body_mut().read_to_vec().ok())
        .and_then(|body| serde_json::from_slice::<crate::engine::EngineCounters>(&body).ok())
        .map_or(0, |counters| counters.executed)
}

fn fetch_status(control: SocketAddr) -> Option<StatusReport> {
    let mut response = ureq::get(format!("http://{control}/v1/status"))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .call()
        .ok()?;
    let body = response.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn path_str(path: &Path) -> io::Result<&str> {
    path.to_str()
        .ok_or_else(|| io::Error::other("path is not valid UTF-8"))
}
