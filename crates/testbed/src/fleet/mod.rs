//! A whole fleet of processes with real traffic on one machine.

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
const START_PATIENCE: Duration = Duration::from_secs(30);
const STOP_PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
const CALLERS: usize = 256;
const PROGRESS_EVERY: Duration = Duration::from_secs(5);

/// A leaving engine may get new work for this long, by the brief "a few seconds".
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Why a fleet did not run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Something did not come up in time.
    #[error("{0} did not happen within {1:?}")]
    Late(&'static str, Duration),
    /// The operators' commands failed.
    #[error("writing resources ended as {0:?}")]
    Apply(ExitStatus),
}

/// How to run a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The fleet.
    pub layout: Layout,
    /// How long requests are made.
    pub duration: Duration,
    /// Decides the workload.
    pub seed: u64,
    /// Whether an engine is killed and another drained half-way.
    pub faults: bool,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// The layout's name.
    pub layout: String,
    /// What callers saw.
    #[serde(flatten)]
    pub load: LoadReport,
    /// Requests that a drained engine began later than three seconds after the order.
    pub late_work: u64,
    /// Routers that ended well when told to stop.
    pub routers_stopped: usize,
    /// Routers there were.
    pub routers: usize,
}

impl FleetReport {
    /// True when nothing happened that the brief forbids.
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

/// A fleet of processes; they end with it.
pub struct Fleet {
    layout: Layout,
    folder: PathBuf,
    program: PathBuf,
    platform: String,
    engines: Vec<EngineProcess>,
    controls: Vec<ControlProcess>,
    routers: Vec<(Process, SocketAddr)>,
}

/// Runs a fleet and gives the report.
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
    /// Starts a fleet in a folder, with `program` as what `drumshore-lab` is, and waits until it
    /// is ready.
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
        fleet.await_ready()?;
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
                text(&config)?,
                "--listen",
                &listen,
                "--platform",
                &self.platform,
                "--witness",
                text(&witness)?,
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
                text(&config)?,
                "--bootstrap",
            ];
            let process = self.spawn(&name, &arguments)?;
            self.controls.push(ControlProcess {
                process,
                addresses: *own,
                config,
            });
        }
        self.await_that("a leader among the control machines", |fleet| {
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
            let arguments = ["drumshore", "router", "--config", text(&config)?];
            let process = self.spawn(&name, &arguments)?;
            self.routers.push((process, listen));
        }
        Ok(())
    }

    fn write_resources(&self, draining: &[String]) -> Result<(), FleetError> {
        let file = settings::write_resources(&self.folder, &self.layout, draining)?;
        let command = Command::Apply {
            file: text(&file)?.to_owned(),
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

    /// Where the routers listen.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|(_, listen)| *listen).collect()
    }

    /// Where operators reach the control machines.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = self.controls.iter();
        controls
            .map(|control| control.addresses.operators)
            .collect()
    }

    /// Ends an engine without warning.
    pub fn kill_engine(&mut self, number: usize) {
        self.engines[number].process.kill();
    }

    /// Ends a control machine without warning.
    pub fn kill_control(&mut self, id: u64) {
        for control in &mut self.controls {
            if control.addresses.id == id {
                control.process.kill();
            }
        }
    }

    /// Starts a control machine again, from its data folder.
    pub fn restart_control(&mut self, id: u64) -> Result<(), FleetError> {
        for position in 0..self.controls.len() {
            if self.controls[position].addresses.id == id {
                let config = self.controls[position].config.clone();
                let arguments = ["drumshore", "control", "--config", text(&config)?];
                let process = self.spawn(&format!("control-{id}-again"), &arguments)?;
                self.controls[position].process = process;
            }
        }
        Ok(())
    }

    /// What operators' commands need to reach the fleet.
    pub fn operator_options(&self) -> Options {
        let urls = self.controls.iter();
        let urls = urls.map(|control| format!("http://{}", control.addresses.operators));
        Options::new(urls.collect(), OPERATOR_KEY)
    }

    /// The status of the first control machine that answers.
    pub fn status(&self) -> Option<StatusReport> {
        self.controls
            .iter()
            .find_map(|control| fetch_status(control.addresses.operators))
    }

    fn await_ready(&self) -> Result<(), FleetError> {
        self.await_that("all engines ready", |fleet| {
            fleet.status().is_some_and(|status| {
                let ready = status
                    .engines
                    .iter()
                    .filter(|engine| engine.state == "ready");
                ready.count() == fleet.layout.engines
            })
        })?;
        self.await_that("all routers ready", |fleet| {
            fleet
                .routers
                .iter()
                .all(|(_, listen)| ureq::get(format!("http://{listen}/readyz")).call().is_ok())
        })
    }

    /// Waits until something holds.
    pub fn await_that(
        &self,
        what: &'static str,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), FleetError> {
        let deadline = Instant::now() + START_PATIENCE;
        while !holds(self) {
            if Instant::now() > deadline {
                return Err(FleetError::Late(what, START_PATIENCE));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    fn measure(&mut self, options: &FleetOptions) -> Result<FleetReport, FleetError> {
        let load = self.load_params(options);
        let total = options.duration.as_secs();
        let loading = thread::spawn(move || {
            let mut next_line = PROGRESS_EVERY;
            load::run(&load, |asked, elapsed| {
                if elapsed >= next_line {
                    next_line += PROGRESS_EVERY;
                    eprintln!(
                        "fleet: {asked} requests in {} of {total} s",
                        elapsed.as_secs()
                    );
                }
            })
        });
        let late_work = if options.faults {
            thread::sleep(options.duration / 2);
            self.fail_half_way()?
        } else {
            0
        };
        let mut report = loading
            .join()
            .map_err(|_| io::Error::other("the load ended in a panic"))?;
        let routers_stopped = self.stop_routers();
        report.doubled = self.count_doubled()?;
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
            callers: CALLERS,
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

    /// Kills the first engine and drains the second; gives the work that the second began later
    /// than it may.
    fn fail_half_way(&mut self) -> Result<u64, FleetError> {
        self.engines[0].process.kill();
        let drained = &self.engines[1];
        self.write_resources(std::slice::from_ref(&drained.name))?;
        thread::sleep(DRAIN_LIMIT);
        let after_limit = executed(drained.address);
        thread::sleep(DRAIN_LIMIT);
        let later = executed(drained.address);
        Ok(later.saturating_sub(after_limit))
    }

    /// Stops all routers in order; gives how many ended well.
    pub fn stop_routers(&mut self) -> usize {
        for (process, _) in &self.routers {
            process.terminate();
        }
        self.routers
            .iter_mut()
            .filter_map(|(process, _)| process.wait(STOP_PATIENCE))
            .filter(std::process::ExitStatus::success)
            .count()
    }

    /// Executions of work that may not be repeated beyond the first, over all engines.
    fn count_doubled(&self) -> Result<u64, FleetError> {
        let executions = self.executions()?;
        Ok(executions.values().map(|count| count - 1).sum())
    }

    /// How often work that may not be repeated ran, by its key.
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

fn executed(engine: SocketAddr) -> u64 {
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

fn text(path: &Path) -> io::Result<&str> {
    path.to_str()
        .ok_or_else(|| io::Error::other("the temporary folder's name is not text"))
}
