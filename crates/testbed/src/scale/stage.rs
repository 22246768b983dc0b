//! One size: start everything, let it settle, measure, change configuration, measure again.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use drumshore_control::{ChangeOutcome, MachineRecord, MachineState, StatusReport};
use drumshore_core::{
    EngineName, EnginePoolSpec, ModelName, ModelSpec, PriorityClassSpec, ResourceSpec, SecretKey,
    TenantSpec, WeightsVersion,
};
use serde::{Deserialize, Serialize};

use super::hollow::{start_routers, start_workers, HollowRouters, REGIONS, WORKER_PATH, ZONES};
use super::measure::{Reading, Usage};
use crate::fleet::settings::{self, ControlAddresses, CLUSTER_KEY, OPERATOR_KEY};
use crate::fleet::{FleetError, Process};
use crate::platform::{self, PlatformOptions};

/// Real routers beside the hollow ones.
const REAL_ROUTERS: usize = 2;

/// Threads that write resources.
const WRITERS: usize = 16;

/// Changes of configuration that are timed at each size.
const TIMED_CHANGES: usize = 20;

const PATIENCE: Duration = Duration::from_secs(120);
const POLL: Duration = Duration::from_millis(50);
const SETTLE: Duration = Duration::from_secs(4);

/// A size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageSize {
    /// Routers.
    pub nodes: usize,
    /// Engines.
    pub workers: usize,
    /// Tenants.
    pub tenants: usize,
    /// Models, each with its pool.
    pub models: usize,
}

/// What one size needed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageReport {
    /// The size.
    pub size: StageSize,
    /// Time until all hollow routers, started at once, had their configuration, in seconds.
    pub herd_seconds: f64,
    /// Bytes that each of them received until then.
    pub herd_bytes_per_router: f64,
    /// A real router without requests.
    pub router: Usage,
    /// Bytes a second to one hollow router.
    pub hollow_received_bytes: f64,
    /// The machine that leads.
    pub leader: Usage,
    /// The mean of those that follow.
    pub follower: Usage,
    /// From a change's acceptance until the last hollow router applies it, in milliseconds: the
    /// median and the longest.
    pub in_force_ms: (f64, f64),
    /// Bytes that one change costs each router.
    pub bytes_per_change: f64,
    /// Changes a second while resources were first written.
    pub writes_per_second: f64,
}

struct Control {
    process: Process,
    addresses: ControlAddresses,
}

struct Stage {
    size: StageSize,
    folder: PathBuf,
    platform: String,
    controls: Vec<Control>,
    routers: Vec<(Process, SocketAddr)>,
}

/// Measures one size.
pub(super) fn measure(
    size: StageSize,
    controls: usize,
    seconds: Duration,
) -> Result<StageReport, FleetError> {
    let folder = std::env::temp_dir().join(format!("drumshore-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = measure_in(size, controls, seconds, &folder);
    std::fs::remove_dir_all(&folder)?;
    result
}

fn measure_in(
    size: StageSize,
    controls: usize,
    seconds: Duration,
    folder: &Path,
) -> Result<StageReport, FleetError> {
    let mut stage = Stage::start(size, controls, folder)?;
    let writes_per_second = stage.write_resources()?;
    stage.await_that("all workers ready", |stage| {
        stage.status().is_some_and(|status| {
            let ready = status
                .engines
                .iter()
                .filter(|engine| engine.state == "ready");
            ready.count() == stage.size.workers
        })
    })?;
    let herd_started = Instant::now();
    let internal: Vec<SocketAddr> = stage
        .controls
        .iter()
        .map(|control| control.addresses.internal)
        .collect();
    let key = SecretKey::new(CLUSTER_KEY);
    let hollow = start_routers(size.nodes, size.tenants, &internal, &key)?;
    let configured = |hollow: &HollowRouters| {
        hollow
            .seen
            .configured
            .load(std::sync::atomic::Ordering::SeqCst)
    };
    stage.await_that("all routers configured", |_| {
        configured(&hollow) >= size.nodes
    })?;
    let herd_seconds = herd_started.elapsed().as_secs_f64();
    let herd_bytes = received_bytes(&hollow) / size.nodes as f64;
    stage.start_real_routers()?;
    thread::sleep(SETTLE);
    let (before, hollow_before, from) = (stage.read(), received_bytes(&hollow), Instant::now());
    thread::sleep(seconds);
    let (after, hollow_after) = (stage.read(), received_bytes(&hollow));
    let elapsed = from.elapsed().as_secs_f64();
    let hollow_rate = (hollow_after - hollow_before) / elapsed / size.nodes as f64;
    let (in_force_ms, bytes_per_change) = stage.time_changes(&hollow, hollow_rate)?;
    let usage: Vec<Usage> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| after.since(before))
        .collect();
    let leader = stage.leader_position().unwrap_or(0);
    let (controls, routers) = usage.split_at(stage.controls.len());
    let followers: Vec<Usage> = (0..controls.len())
        .filter(|position| *position != leader)
        .map(|position| controls[position])
        .collect();
    Ok(StageReport {
        size,
        herd_seconds,
        herd_bytes_per_router: herd_bytes,
        router: mean(routers),
        hollow_received_bytes: hollow_rate,
        leader: controls[leader],
        follower: mean(&followers),
        in_force_ms,
        bytes_per_change,
        writes_per_second,
    })
}

/// The zone of a worker or router.
fn zone(number: usize) -> String {
    format!("region-{}/zone-{}", number % REGIONS, number % ZONES)
}

fn late(what: &'static str) -> FleetError {
    FleetError::Late(what, PATIENCE)
}

fn received_bytes(hollow: &HollowRouters) -> f64 {
    let bytes = &hollow.seen.received_bytes;
    bytes.load(std::sync::atomic::Ordering::Relaxed) as f64
}

fn mean(usages: &[Usage]) -> Usage {
    let count = usages.len().max(1) as f64;
    let of = |value: fn(&Usage) -> f64| usages.iter().map(value).sum::<f64>() / count;
    Usage {
        cpu_percent: of(|usage| usage.cpu_percent),
        resident_mb: of(|usage| usage.resident_mb),
        sent_frames: of(|usage| usage.sent_frames),
        sent_bytes: of(|usage| usage.sent_bytes),
        received_frames: of(|usage| usage.received_frames),
        received_bytes: of(|usage| usage.received_bytes),
    }
}

impl Stage {
    fn start(size: StageSize, controls: usize, folder: &Path) -> Result<Self, FleetError> {
        let platform = platform::spawn(&PlatformOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Duration::ZERO,
        })?;
        let mut stage = Self {
            size,
            folder: folder.to_owned(),
            platform: format!("http://{platform}"),
            controls: Vec::new(),
            routers: Vec::new(),
        };
        stage.register_workers()?;
        stage.start_controls(controls)?;
        Ok(stage)
    }

    fn register_workers(&self) -> Result<(), FleetError> {
        let address = start_workers(&ModelName::new("model-0"))?;
        for worker in 0..self.size.workers {
            let machine = MachineRecord {
                name: EngineName::new(format!("worker-{worker}")),
                address: format!("{address}{WORKER_PATH}{worker}"),
                zone: zone(worker).as_str().into(),
                pool: format!("pool-{}", worker % self.size.models)
                    .as_str()
                    .into(),
                state: MachineState::Live,
            };
            let body = serde_json::to_vec(&machine).map_err(io::Error::other)?;
            ureq::post(format!("{}/v1/machines", self.platform))
                .send(&body[..])
                .map_err(io::Error::other)?;
        }
        Ok(())
    }

    fn start_controls(&mut self, count: usize) -> Result<(), FleetError> {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let mut all = Vec::new();
        for id in 1..=count as u64 {
            all.push(ControlAddresses {
                id,
                operators: settings::free_address(ip)?,
                internal: settings::free_address(ip)?,
            });
        }
        for own in &all {
            let config = settings::write_control(&self.folder, own, &all, &self.platform)?;
            let log = self.folder.join(format!("control-{}.log", own.id));
            let config = text(&config)?;
            let arguments = ["drumshore", "control", "--config", config, "--bootstrap"];
            let process = Process::spawn(&format!("control-{}", own.id), &arguments, &log)?;
            self.controls.push(Control {
                process,
                addresses: *own,
            });
        }
        self.await_that("a leader", |stage| {
            stage.status().is_some_and(|status| status.leader.is_some())
        })
    }

    fn start_real_routers(&mut self) -> Result<(), FleetError> {
        let addresses: Vec<ControlAddresses> = self
            .controls
            .iter()
            .map(|control| control.addresses)
            .collect();
        for number in 0..REAL_ROUTERS {
            let listen = settings::free_address(IpAddr::V4(Ipv4Addr::LOCALHOST))?;
            let name = format!("router-{number}");
            let zone = zone(number);
            let config = settings::write_router(&self.folder, &name, &zone, listen, &addresses)?;
            let log = self.folder.join(format!("router-{number}.log"));
            let arguments = ["drumshore", "router", "--config", text(&config)?];
            let process = Process::spawn(&name, &arguments, &log)?;
            self.routers.push((process, listen));
        }
        self.await_that("real routers ready", |stage| {
            stage
                .routers
                .iter()
                .all(|(_, listen)| ureq::get(format!("http://{listen}/readyz")).call().is_ok())
        })
    }

    /// Writes models, pools and tenants; gives accepted changes a second.
    fn write_resources(&self) -> Result<f64, FleetError> {
        let mut documents = Vec::new();
        for model in 0..self.size.models {
            let spec = ResourceSpec::Model(ModelSpec {
                weights_version: WeightsVersion(1),
                block_tokens: 2_048,
                goal: Default::default(),
            });
            documents.push((format!("model-{model}"), spec));
            let spec = ResourceSpec::EnginePool(EnginePoolSpec {
                model: ModelName::new(format!("model-{model}")),
                draining: Default::default(),
            });
            documents.push((format!("pool-{model}"), spec));
        }
        for tenant in 0..self.size.tenants {
            let spec = ResourceSpec::Tenant(TenantSpec {
                key_hashes: [SecretKey::new(settings::tenant_key(tenant)).hash()].into(),
                models: Default::default(),
                limits: Default::default(),
                default_priority: Default::default(),
            });
            documents.push((format!("tenant-{tenant}"), spec));
        }
        let started = Instant::now();
        thread::scope(|scope| {
            for writer in 0..WRITERS {
                let documents = &documents;
                scope.spawn(move || {
                    for (name, spec) in documents.iter().skip(writer).step_by(WRITERS) {
                        while self.put(name, 0, spec).is_none() {
                            thread::sleep(POLL);
                        }
                    }
                });
            }
        });
        Ok(documents.len() as f64 / started.elapsed().as_secs_f64())
    }

    /// Writes one document through the first machine that accepts it; gives its revision.
    fn put(&self, name: &str, expected: u64, spec: &ResourceSpec) -> Option<u64> {
        let control = &self.controls[0].addresses;
        let kind = spec.kind().as_str();
        let body = serde_json::to_vec(spec).ok()?;
        let mut response = ureq::put(format!(
            "http://{}/v1/resources/{kind}/{name}",
            control.operators
        ))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("x-drumshore-expected-version", expected.to_string())
        .header("x-drumshore-change-id", format!("{kind}/{name}/{expected}"))
        .send(&body[..])
        .ok()?;
        let body = response.body_mut().read_to_vec().ok()?;
        match serde_json::from_slice(&body).ok()? {
            ChangeOutcome::Accepted { revision } => Some(revision.0),
            _ => None,
        }
    }

    /// Changes something that concerns every router, and waits until all apply it. Gives the
    /// median and the longest time in milliseconds, and the bytes that a change costs a router.
    fn time_changes(
        &self,
        hollow: &HollowRouters,
        bytes_at_rest: f64,
    ) -> Result<((f64, f64), f64), FleetError> {
        let mut times = Vec::new();
        let mut version = 0;
        let (bytes_before, from) = (received_bytes(hollow), Instant::now());
        for number in 0..TIMED_CHANGES {
            let spec = ResourceSpec::PriorityClass(PriorityClassSpec {
                priority: Default::default(),
                deadline_ms: 1_000 + number as u64,
            });
            let revision = self.put("timed", version, &spec).ok_or(late("a change"))?;
            let accepted = Instant::now();
            version = revision;
            let in_force = |_: &Self| hollow.seen.in_force_at(revision, self.size.nodes).is_some();
            self.await_that("a change in force everywhere", in_force)?;
            let at = hollow.seen.in_force_at(revision, self.size.nodes);
            let took = at.map_or(Duration::ZERO, |at| at.saturating_duration_since(accepted));
            times.push(took.as_secs_f64() * 1_000.0);
        }
        let elapsed = from.elapsed().as_secs_f64();
        let nodes = self.size.nodes as f64;
        let extra = (received_bytes(hollow) - bytes_before) / nodes - bytes_at_rest * elapsed;
        times.sort_by(f64::total_cmp);
        let longest = times.last().copied().unwrap_or(0.0);
        let changes = TIMED_CHANGES as f64;
        Ok((
            (times[times.len() / 2], longest),
            (extra / changes).max(0.0),
        ))
    }

    fn read(&self) -> Vec<Reading> {
        let controls = self
            .controls
            .iter()
            .map(|control| Reading::take(control.process.id(), control.addresses.operators));
        let routers = self
            .routers
            .iter()
            .map(|(process, listen)| Reading::take(process.id(), *listen));
        controls.chain(routers).collect()
    }

    fn leader_position(&self) -> Option<usize> {
        let leader = self.status()?.leader?;
        self.controls
            .iter()
            .position(|control| control.addresses.id == leader)
    }

    fn status(&self) -> Option<StatusReport> {
        let control = self.controls.first()?;
        let mut response = ureq::get(format!("http://{}/v1/status", control.addresses.operators))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .call()
            .ok()?;
        let body = response.body_mut().read_to_vec().ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn await_that(
        &self,
        what: &'static str,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), FleetError> {
        let deadline = Instant::now() + PATIENCE;
        while !holds(self) {
            if Instant::now() > deadline {
                return Err(late(what));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }
}

fn text(path: &Path) -> io::Result<&str> {
    path.to_str()
        .ok_or_else(|| io::Error::other("the temporary folder's name is not text"))
}
