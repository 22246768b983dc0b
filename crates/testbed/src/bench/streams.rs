//! Measures many concurrent streams through one router, at the load of one node, against the same
//! streams sent directly to the engines in the same run.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use drumshore_control::{MachineRecord, MachineState};
use drumshore_core::{EngineName, ModelName};
use drumshore_node::operator::{self, Command, ExitStatus, Options};
use serde::Serialize;

use super::usage::{ProcessSample, Usage};
use crate::engine::{EngineParams, EngineTiming};
use crate::fleet::settings::{self, ControlAddresses, MODEL, OPERATOR_KEY, POOL};
use crate::fleet::{Layout, Process};
use crate::load::{self, CallerParams, LoadParams, LoadReport};
use crate::platform::{self, PlatformOptions};
use crate::workload::{Level, WorkloadParams};

/// Number of engines: enough that none is the bottleneck and each gets no more streams than a
/// router sends to one engine.
const ENGINES: usize = 8;

/// Parameters of the benchmark.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamsParams {
    /// Mean number of requests per second.
    pub(super) requests_per_second: f64,
    /// Number of tokens of each answer.
    pub(super) output_tokens: u32,
    /// Time between tokens, in microseconds; 0 uses the shortest step of the engine, 100.
    pub(super) token_gap_us: f64,
    /// Duration of the direct and of the routed run.
    pub(super) duration: Duration,
}

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StreamsReport {
    /// Load sent directly to the engines.
    pub(super) direct: LoadReport,
    /// Load sent through the router.
    pub(super) routed: LoadReport,
    /// Resources that the router used during the routed run.
    pub(super) router: Usage,
}

struct Bench {
    _platform: SocketAddr,
    engines: Vec<(Process, SocketAddr)>,
    _control: Process,
    router: Process,
    router_address: SocketAddr,
}

/// Why the benchmark failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamsError {
    /// An operation on a file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Applying the resources failed.
    #[error("applying the resources failed: {0:?}")]
    Apply(ExitStatus),
    /// The router or its control machine did not become ready.
    #[error("router or control machine did not become ready")]
    NotReady,
}

pub(super) fn measure(folder: &Path, params: StreamsParams) -> Result<StreamsReport, StreamsError> {
    let bench = Bench::start(folder, params)?;
    let engines: Vec<String> = bench
        .engines
        .iter()
        .map(|(_, address)| address.to_string())
        .collect();
    let direct = load::run(&load_params(params, engines, 1), |_, _| {});
    let before = ProcessSample::read(bench.router.id(), bench.router_address);
    let target = vec![bench.router_address.to_string()];
    let routed = load::run(&load_params(params, target, 2), |_, _| {});
    let router = ProcessSample::read(bench.router.id(), bench.router_address).since(&before);
    Ok(StreamsReport {
        direct,
        routed,
        router,
    })
}

fn load_params(params: StreamsParams, targets: Vec<String>, seed: u64) -> LoadParams {
    const CALLER_HEADROOM: f64 = 1.6;
    let answer_seconds = f64::from(params.output_tokens) * params.token_gap_us / 1e6;
    let open = params.requests_per_second * (answer_seconds + 0.2);
    LoadParams {
        workload: WorkloadParams {
            tenants: 8,
            large_share: 0.5,
            levels: vec![
                Level {
                    children: 2,
                    blocks: 2,
                },
                Level {
                    children: 4,
                    blocks: 2,
                },
            ],
            hot_share: 0.6,
            hot_shift_seconds: 60.0,
            tail_tokens: (16, 64),
            output_tokens: (params.output_tokens, params.output_tokens),
            interactive_share: 1.0,
            batch_share: 0.0,
            once_share: 0.0,
        },
        seed,
        requests_per_second: params.requests_per_second,
        callers: (open * CALLER_HEADROOM) as usize + 16,
        duration: params.duration,
        caller: CallerParams {
            targets,
            keys: (0..8).map(settings::tenant_key).collect(),
            model: MODEL.to_owned(),
            block_tokens: 128,
            idempotency: false,
            run: seed,
        },
    }
}

impl Bench {
    fn start(folder: &Path, params: StreamsParams) -> Result<Self, StreamsError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::spawn(&PlatformOptions {
            listen: any_port,
            lag: Duration::ZERO,
        })?;
        let url = format!("http://{platform}");
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            engines.push(start_engine(folder, number, params, &url)?);
        }
        let ip = any_port.ip();
        let addresses = ControlAddresses {
            id: 1,
            operators: settings::free_address(ip)?,
            internal: settings::free_address(ip)?,
        };
        let config = settings::write_control(folder, &addresses, &[addresses], &url)?;
        let arguments = [
            "drumshore",
            "control",
            "--config",
            path_str(&config)?,
            "--bootstrap",
        ];
        let control = Process::spawn("control", &arguments, &folder.join("control.log"))?;
        let router_address = settings::free_address(ip)?;
        let config =
            settings::write_router(folder, "router", "zone-1", router_address, &[addresses])?;
        let arguments = ["drumshore", "router", "--config", path_str(&config)?];
        let router = Process::spawn("router", &arguments, &folder.join("router.log"))?;
        write_resources(folder, &addresses)?;
        wait_ready(router_address)?;
        Ok(Self {
            _platform: platform,
            engines,
            _control: control,
            router,
            router_address,
        })
    }
}

fn start_engine(
    folder: &Path,
    number: usize,
    params: StreamsParams,
    platform: &str,
) -> Result<(Process, SocketAddr), StreamsError> {
    let engine = EngineParams {
        name: EngineName::new(format!("engine-{number}")),
        model: ModelName::new(MODEL),
        block_tokens: 128,
        max_running: 2_000,
        timing: EngineTiming {
            prefill_us_per_token: 0.0,
            step_us: params.token_gap_us.max(100.0),
            decode_us_per_sequence: 0.0,
            prefill_chunk_tokens: 1_000_000,
            ..EngineTiming::default()
        },
        ..EngineParams::default()
    };
    let config = folder.join(format!("engine-{number}.json"));
    std::fs::write(
        &config,
        serde_json::to_vec(&engine).map_err(io::Error::other)?,
    )?;
    let arguments = [
        "engine",
        "--config",
        path_str(&config)?,
        "--listen",
        "127.0.0.1:0",
    ];
    let log = folder.join(format!("engine-{number}.log"));
    let mut process = Process::spawn(engine.name.as_str(), &arguments, &log)?;
    let address: SocketAddr = process.first_line()?.parse().map_err(io::Error::other)?;
    let machine = MachineRecord {
        name: engine.name,
        address: address.to_string(),
        zone: "zone-1".into(),
        pool: POOL.into(),
        state: MachineState::Live,
    };
    let body = serde_json::to_vec(&machine).map_err(io::Error::other)?;
    ureq::post(format!("{platform}/v1/machines"))
        .send(&body[..])
        .map_err(io::Error::other)?;
    Ok((process, address))
}

fn write_resources(folder: &Path, control: &ControlAddresses) -> Result<(), StreamsError> {
    let layout = Layout::from_name("quickstart").ok_or(StreamsError::NotReady)?;
    let file = settings::write_resources(folder, &layout, &[])?;
    let command = Command::Apply {
        file: path_str(&file)?.to_owned(),
    };
    let options = Options::new(vec![format!("http://{}", control.operators)], OPERATOR_KEY);
    wait_until(|| std::net::TcpStream::connect(control.operators).is_ok())?;
    match operator::run(&command, &options) {
        ExitStatus::Done => Ok(()),
        status => Err(StreamsError::Apply(status)),
    }
}

/// Waits until the router is ready, and then 2 s for it to learn of the engines.
fn wait_ready(router: SocketAddr) -> Result<(), StreamsError> {
    const ENGINE_DISCOVERY_DELAY: Duration = Duration::from_secs(2);
    wait_until(|| ureq::get(format!("http://{router}/readyz")).call().is_ok())?;
    thread::sleep(ENGINE_DISCOVERY_DELAY);
    Ok(())
}

fn wait_until(holds: impl Fn() -> bool) -> Result<(), StreamsError> {
    const ATTEMPTS: usize = 200;
    for _ in 0..ATTEMPTS {
        if holds() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(StreamsError::NotReady)
}

fn path_str(path: &Path) -> io::Result<&str> {
    path.to_str()
        .ok_or_else(|| io::Error::other("path is not valid UTF-8"))
}
