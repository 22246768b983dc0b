//! Polls the platform's list of machines, and the state and cache reports of the engines.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use drumshore_control::{EngineProbe, MachineRecord, ProbeFailed};
use drumshore_core::settings::ControlSettings;
use drumshore_core::EngineName;
use drumshore_router::engine_api;
use drumshore_routing::{CacheReport, ReportWanted};
use serde::de::DeserializeOwned;
use stakker::call;
use ureq::Agent;

use super::ControlHandle;

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_THREADS: usize = 8;
const MAX_QUEUED_PROBES: usize = 4_096;
const BUFFER_BYTES: usize = 8 * 1024;

/// Path of the platform's list of machines.
const MACHINES_PATH: &str = "/v1/machines";

/// An engine to probe.
#[derive(Clone, Debug)]
struct ProbeTarget {
    name: EngineName,
    address: String,
    /// Which cache report to request; `None` if this machine does not index the engine's cache.
    report: Option<ReportWanted>,
}

/// Engines with a queued or running probe; each engine has at most one.
type PendingProbes = Arc<Mutex<BTreeSet<EngineName>>>;

pub(super) fn start(settings: &ControlSettings, handle: &ControlHandle) -> io::Result<()> {
    let (queue, queued) = bounded(MAX_QUEUED_PROBES);
    let pending = PendingProbes::default();
    for _ in 0..PROBE_THREADS {
        let (queued, handle) = (queued.clone(), handle.clone());
        let pending = Arc::clone(&pending);
        thread::Builder::new()
            .name("engine-probe".to_owned())
            .spawn(move || run_prober(&queued, &pending, &handle))?;
    }
    let url = format!("{}{MACHINES_PATH}", settings.platform_url);
    let interval = Duration::from_millis(settings.poll_interval_ms);
    let handle = handle.clone();
    thread::Builder::new()
        .name("platform-poll".to_owned())
        .spawn(move || {
            let agent = agent();
            loop {
                poll(&agent, &url, &queue, &pending, &handle);
                thread::sleep(interval);
            }
        })?;
    Ok(())
}

fn poll(
    agent: &Agent,
    url: &str,
    queue: &Sender<ProbeTarget>,
    pending: &PendingProbes,
    handle: &ControlHandle,
) {
    match fetch::<Vec<MachineRecord>>(agent, url) {
        Some(machines) => handle.post(move |_, context| {
            call!([context.actor], machines(machines));
        }),
        None => tracing::warn!("control: cannot fetch the list of machines from the platform"),
    }
    for target in probe_targets(handle) {
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.insert(target.name.clone()) && queue.try_send(target.clone()).is_err() {
            pending.remove(&target.name);
        }
    }
}

/// Returns all known engines, including those that are no longer in the platform's list.
fn probe_targets(handle: &ControlHandle) -> Vec<ProbeTarget> {
    let known = handle.post_and_wait(|stakker, context, sender| {
        let targets = context.actor.query(stakker, |actor, _| {
            let engines = actor.core().fleet().iter();
            engines
                .map(|(name, view)| ProbeTarget {
                    name: name.clone(),
                    address: view.record.address.clone(),
                    report: actor.core().report_wanted(name),
                })
                .collect::<Vec<_>>()
        });
        let _ = sender.send(targets.unwrap_or_default());
    });
    known.unwrap_or_default()
}

fn run_prober(queued: &Receiver<ProbeTarget>, pending: &PendingProbes, handle: &ControlHandle) {
    let agent = agent();
    while let Ok(target) = queued.recv() {
        let url = format!("http://{}{}", target.address, engine_api::PROBE_PATH);
        let result = fetch::<EngineProbe>(&agent, &url).ok_or(ProbeFailed);
        // The cache report is fetched after the load, so a booking made between the two is counted
        // twice rather than not at all.
        let wanted = target.report.filter(|_| result.is_ok());
        let report = wanted.and_then(|wanted| fetch_report(&agent, &target.address, wanted));
        pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&target.name);
        let name = target.name;
        handle.post(move |_, context| {
            if let Some(report) = report {
                call!([context.actor], cache_report(name.clone(), report));
            }
            call!([context.actor], probe(name, result));
        });
    }
}

fn fetch_report(agent: &Agent, address: &str, wanted: ReportWanted) -> Option<CacheReport> {
    let path = engine_api::CACHE_PATH;
    let url = match wanted {
        ReportWanted::Complete => format!("http://{address}{path}"),
        ReportWanted::ChangesFrom(start, number) => {
            format!("http://{address}{path}/{start}/{number}")
        }
    };
    fetch(agent, &url)
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(PROBE_TIMEOUT))
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(MAX_QUEUED_PROBES)
        .max_idle_connections_per_host(1)
        .build();
    Agent::new_with_config(config)
}

fn fetch<T: DeserializeOwned>(agent: &Agent, url: &str) -> Option<T> {
    let mut response = agent.get(url).call().ok()?;
    let body = response.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}
