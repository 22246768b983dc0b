//! Asks the platform for its list and the engines for their state.

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

const PROBE_PATIENCE: Duration = Duration::from_secs(1);
const PROBERS: usize = 8;
const QUEUED_PROBES: usize = 4_096;
const BUFFER_BYTES: usize = 8 * 1024;

/// Path of the platform's list of machines.
const MACHINES_PATH: &str = "/v1/machines";

#[derive(Clone, Debug)]
struct Target {
    name: EngineName,
    address: String,
    /// What to ask about its cache; `None` when this machine does not index it.
    report: Option<ReportWanted>,
}

/// Engines whose probe is under way; each is asked once at a time.
type UnderWay = Arc<Mutex<BTreeSet<EngineName>>>;

pub(super) fn start(settings: &ControlSettings, handle: &ControlHandle) -> io::Result<()> {
    let (queue, queued) = bounded(QUEUED_PROBES);
    let under_way = UnderWay::default();
    for _ in 0..PROBERS {
        let (queued, handle) = (queued.clone(), handle.clone());
        let under_way = Arc::clone(&under_way);
        thread::Builder::new()
            .name("engine-probe".to_owned())
            .spawn(move || probe_all(&queued, &under_way, &handle))?;
    }
    let url = format!("{}{MACHINES_PATH}", settings.platform_url);
    let interval = Duration::from_millis(settings.poll_interval_ms);
    let handle = handle.clone();
    thread::Builder::new()
        .name("platform-poll".to_owned())
        .spawn(move || {
            let agent = agent();
            loop {
                poll(&agent, &url, &queue, &under_way, &handle);
                thread::sleep(interval);
            }
        })?;
    Ok(())
}

fn poll(
    agent: &Agent,
    url: &str,
    queue: &Sender<Target>,
    under_way: &UnderWay,
    handle: &ControlHandle,
) {
    match fetch::<Vec<MachineRecord>>(agent, url) {
        Some(machines) => handle.post(move |_, context| {
            call!([context.actor], machines(machines));
        }),
        None => tracing::warn!("control: the platform's list was not received"),
    }
    for target in targets(handle) {
        let mut under_way = under_way.lock().unwrap_or_else(PoisonError::into_inner);
        if under_way.insert(target.name.clone()) && queue.try_send(target.clone()).is_err() {
            under_way.remove(&target.name);
        }
    }
}

/// The engines known, those that the list no longer has included.
fn targets(handle: &ControlHandle) -> Vec<Target> {
    let known = handle.ask(|stakker, context, sender| {
        let targets = context.actor.query(stakker, |actor, _| {
            let engines = actor.core().fleet().iter();
            engines
                .map(|(name, view)| Target {
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

fn probe_all(queued: &Receiver<Target>, under_way: &UnderWay, handle: &ControlHandle) {
    let agent = agent();
    while let Ok(target) = queued.recv() {
        let url = format!("http://{}{}", target.address, engine_api::PROBE_PATH);
        let result = fetch::<EngineProbe>(&agent, &url).ok_or(ProbeFailed);
        // The report comes after the load: what was booked in between counts twice rather than
        // not at all.
        let wanted = target.report.filter(|_| result.is_ok());
        let report = wanted.and_then(|wanted| fetch_report(&agent, &target.address, wanted));
        under_way
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
        .timeout_global(Some(PROBE_PATIENCE))
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(QUEUED_PROBES)
        .max_idle_connections_per_host(1)
        .build();
    Agent::new_with_config(config)
}

fn fetch<T: DeserializeOwned>(agent: &Agent, url: &str) -> Option<T> {
    let mut response = agent.get(url).call().ok()?;
    let body = response.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}
