//! Determines why connections to a back end broke: because the back end crashed, or for another reason.
//!
//! A request may crash each back end that runs it. The crash also breaks off all other requests that run there, so a
//! broken connection alone does not identify the cause: a reset connection, a load of weights that cuts streams and a
//! lost network link look the same. The router therefore opens a new connection to the back end's address, which is
//! refused when the process has crashed.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    Choice, CrashEvidence, CrashVerdict, Fingerprint, FingerprintSuspicion, InstanceId, Leave,
    LoadEntry, RequestFingerprints,
};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::end_cause::EndCause;
use super::undecided_crashes::SuspectedCrash;
use super::{paths, Router};
use crate::sockets;
use crate::upstream::NoConnection;

/// A reachable machine accepts or refuses a connection within a network round trip, 2.8 ms between the users' zones. One
/// that does not respond within this time is isolated or has no power.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a back end is seen to accept connections before the unmarked end of its answer is taken for that of a whole
/// one. The kernel closes the connections of a process that ends one after the other, and its listener may be the last.
const END_CHECK_TIME: Duration = Duration::from_millis(50);

/// Time between two connections of that check, if the back end closes the first. Shorter than any start of a process.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum number of fingerprints that are logged for one crash.
const MAX_EVIDENCE_LINES: usize = 32;

/// A request that a back end may have been running when its connection broke.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    /// The request's identifier.
    pub id: String,
    /// The request's fingerprints.
    pub fingerprints: RequestFingerprints,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// The result of probing a back end's address after connections to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// It refuses connections and had not announced a stop: the process has crashed.
    Crashed,
    /// It refuses connections, and so do the other back ends of its pool: this router has no path to them.
    NoPath,
    /// It refuses connections, and was no longer serving before: the process has stopped as announced.
    StoppedAsAnnounced,
    /// It accepts connections: the process is running.
    Alive,
    /// The connection attempt timed out or failed without being refused.
    Unresponsive,
}

impl Finding {
    fn new(connected: io::Result<()>, is_serving: bool) -> Self {
        match connected {
            Ok(()) => Self::Alive,
            Err(error) if error.kind() != io::ErrorKind::ConnectionRefused => Self::Unresponsive,
            Err(_) => Self::of_ended(is_serving),
        }
    }

    fn of_ended(is_serving: bool) -> Self {
        if is_serving {
            Self::Crashed
        } else {
            Self::StoppedAsAnnounced
        }
    }

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "ended",
            Self::NoPath => "no_path",
            Self::StoppedAsAnnounced => "left",
            Self::Alive => "alive",
            Self::Unresponsive => "silent",
        }
    }
}

/// Broken runs by back end, while the back end is being probed.
#[derive(Default)]
pub(super) struct PendingProbes(RefCell<HashMap<InstanceId, Vec<BrokenRun>>>);

impl PendingProbes {
    /// Adds a broken run; true when no probe of its back end is in progress yet.
    fn add(&self, instance: &InstanceId, run: BrokenRun) -> bool {
        let mut open = self.0.borrow_mut();
        let runs = open.entry(instance.clone()).or_default();
        runs.push(run);
        runs.len() == 1
    }

    fn take(&self, instance: &InstanceId) -> Vec<BrokenRun> {
        self.0.borrow_mut().remove(instance).unwrap_or_default()
    }
}

/// Counts crashes that looked like a lost path, once the view shows that their back ends have ended.
pub(super) fn review_undecided(router: &Router) {
    let now = router.clock.now();
    let core = router.core.borrow();
    let decided = router.undecided_crashes.take_decided(now, |crash| {
        core.has_ended(&crash.instance, crash.started_ms)
    });
    drop(core);
    for crash in decided {
        tracing::info!(event = "back_end_ended", instance = %crash.instance, runs = crash.runs.len(),
            started_ms = crash.started_ms, found_ms_ago = now.since(crash.found_at).as_millis() as u64,
            "router: a back end that seemed to be out of reach has crashed");
        report_crash(router, &crash);
    }
}

/// Finds out why a run broke. Runs that break at a back end while it is being probed share that probe.
pub(super) fn probe(router: &Rc<Router>, instance: &InstanceId, address: &str, run: BrokenRun) {
    if router.pending_probes.add(instance, run) {
        let (router, instance) = (Rc::clone(router), instance.clone());
        let address = address.to_owned();
        tokio::task::spawn_local(async move {
            let mut finding = probe_address(&router, &instance, &address).await;
            if finding == Finding::Crashed && !paths::is_open_beside(&router, &instance).await {
                finding = Finding::NoPath;
            }
            apply_finding(&router, &instance, finding);
        });
    }
}

async fn probe_address(router: &Router, instance: &InstanceId, address: &str) -> Finding {
    let is_serving = is_serving(router, instance);
    Finding::new(connect(address).await.map(drop), is_serving)
}

async fn connect(address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    sockets::connect(address, CONNECT_TIMEOUT).await
}

/// Whether the state has a back end as serving. Read before connecting to it: control machines remove a back end from the
/// state soon after its process has ended.
fn is_serving(router: &Router, instance: &InstanceId) -> bool {
    let core = router.core.borrow();
    core.is_serving(router.clock.now(), instance)
}

/// What was found of a back end after the connection had ended together with an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndCheck {
    pub finding: Finding,
    /// How the back end was known to leave before the check; `None` if it was serving.
    pub leave: Option<Leave>,
    /// How long the check took.
    pub took: Duration,
}

impl EndCheck {
    /// Why the answer is not taken for whole; `None` if its back end was seen to run on.
    pub fn doubt(&self) -> Option<EndCause> {
        match self.finding {
            Finding::Alive => None,
            Finding::Crashed => Some(EndCause::BackEndCrashed),
            Finding::StoppedAsAnnounced => Some(EndCause::BackEndLeft),
            Finding::NoPath | Finding::Unresponsive => Some(EndCause::BackEndUnresponsive),
        }
    }
}

/// Finds out whether a back end runs on whose connection ended together with its answer.
pub(super) async fn check_end(router: Rc<Router>, choice: Choice) -> EndCheck {
    let began = router.clock.now();
    let leave = router.core.borrow().leave(began, &choice.instance);
    let finding = probe_end(&router, &choice, leave.is_none()).await;
    router.metrics.count_unmarked_end(finding.as_str());
    EndCheck {
        finding,
        leave,
        took: router.clock.now().since(began),
    }
}

/// A back end that closes a new connection may have ended, or be at its limit of connections. A later one is refused in
/// the first case.
async fn probe_end(router: &Router, choice: &Choice, is_serving: bool) -> Finding {
    let until = Instant::now() + END_CHECK_TIME;
    loop {
        let is_last = Instant::now() >= until;
        match accepts_connection(router, choice, until).await {
            Ok(is_open) if is_open || is_last => break,
            Ok(_) => sleep(END_CHECK_INTERVAL).await,
            Err(error) => return Finding::new(Err(error), is_serving),
        }
    }
    if is_replaced(router, &choice.instance) {
        return Finding::of_ended(is_serving);
    }
    Finding::Alive
}

/// Whether a new connection is open at a time. It replaces the one that ended if this process may open another one.
async fn accepts_connection(router: &Router, choice: &Choice, until: Instant) -> io::Result<bool> {
    let Choice {
        instance, address, ..
    } = choice;
    let watching = router
        .upstreams
        .open_and_watch(instance, address, choice.connections, until);
    let is_open = match watching.await {
        Ok(is_open) => Ok(is_open),
        Err(NoConnection::Unreachable(error)) => Err(error),
        Err(NoConnection::NoneFree | NoConnection::NoPath) => match connect(address).await {
            Ok(stream) => Ok(sockets::stays_open(&stream, until).await),
            Err(error) => Err(error),
        },
    };
    match is_open {
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(false),
        is_open => is_open,
    }
}

/// Whether the view has a later back end at the address of this one.
fn is_replaced(router: &Router, instance: &InstanceId) -> bool {
    let core = router.core.borrow();
    let is_removed = core.leave(router.clock.now(), instance) == Some(Leave::Removed);
    !is_removed && core.has_ended(instance, core.start_of(instance))
}

fn apply_finding(router: &Rc<Router>, instance: &InstanceId, finding: Finding) {
    let runs = router.pending_probes.take(instance);
    let found = finding.as_str();
    router.metrics.count_back_end_broken(found);
    tracing::info!(event = "back_end_examined", %instance, finding = found, runs = runs.len(),
        "router: probed a back end whose connections broke");
    for run in &runs {
        tracing::info!(event = "run_broken", id = %run.id, work = run.fingerprints.request().map(tracing::field::display),
            parts = run.fingerprints.displayed_parts(), %instance, finding = found, "router: the connection to a back end broke during a request");
    }
    let crash = SuspectedCrash {
        instance: instance.clone(),
        started_ms: router.core.borrow().start_of(instance),
        runs,
        found_at: router.clock.now(),
    };
    match finding {
        Finding::Crashed => report_crash(router, &crash),
        Finding::NoPath => router.undecided_crashes.add(crash),
        Finding::StoppedAsAnnounced | Finding::Alive | Finding::Unresponsive => {}
    }
}

/// Logs and counts what a crashed back end was serving: first what the crash counts against.
fn log_evidence(
    router: &Router,
    instance: &InstanceId,
    runs: &[BrokenRun],
    mut evidence: Vec<CrashEvidence>,
) {
    let mut served: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    for fingerprint in runs.iter().flat_map(|run| run.fingerprints.iter()) {
        *served.entry(fingerprint).or_default() += 1;
    }
    evidence.sort_unstable_by_key(|item| (item.verdict, item.fingerprint));
    let metrics = &router.metrics.crashes;
    for CrashEvidence {
        fingerprint,
        verdict,
        ..
    } in &evidence
    {
        let has_completed = *verdict == CrashVerdict::RecentlyCompleted;
        metrics.count_evidence(fingerprint.scope(), has_completed);
        metrics.count_verdicts(*verdict, 1);
    }
    for CrashEvidence {
        fingerprint,
        verdict,
        crashes,
    } in evidence.iter().take(MAX_EVIDENCE_LINES)
    {
        tracing::info!(event = "crash_evidence", work = %fingerprint, scope = fingerprint.scope().as_str(), %instance,
            back_end = format_args!("{:08x}", LoadEntry::key_of(instance.as_str())), runs = served.get(fingerprint).copied().unwrap_or_default(),
            completed_elsewhere = *verdict == CrashVerdict::RecentlyCompleted, outcome = verdict.as_str(), ends = crashes,
            "router: a crashed back end was serving requests with this fingerprint");
    }
}

/// Records a crash and reports it to all control machines: the next router that receives a request with the same
/// fingerprint may be another one.
fn report_crash(router: &Router, crash: &SuspectedCrash) {
    let SuspectedCrash {
        instance,
        started_ms,
        runs,
        found_at,
    } = crash;
    let mut fingerprints: Vec<(Fingerprint, Timestamp)> = Vec::new();
    for run in runs {
        let of_run = run.fingerprints.iter();
        fingerprints.extend(of_run.map(|fingerprint| (fingerprint, run.sent_at)));
    }
    let now = router.clock.now();
    let mut core = router.core.borrow_mut();
    let evidence = if core.has_ended(instance, *started_ms) {
        core.on_earlier_crash_found(now, *found_at, instance, &fingerprints)
    } else {
        core.on_back_end_crashed(now, instance, &fingerprints)
    };
    drop(core);
    let counted = evidence
        .iter()
        .filter(|item| item.verdict == CrashVerdict::Counted);
    for CrashEvidence {
        fingerprint,
        crashes,
        ..
    } in counted
    {
        tracing::info!(event = "work_suspected", work = %fingerprint, scope = fingerprint.scope().as_str(), ends = crashes, %instance, by = "this router",
            "router: a back end crashed while serving requests with this fingerprint");
    }
    log_evidence(router, instance, runs, evidence);
    router.upstreams.close_idle(instance);
    router.crash_reports_changed.notify_waiters();
}

/// Records fingerprints that a control machine reported as suspected, and logs them.
pub(super) fn on_suspicions(
    router: &Router,
    address: Ipv4Addr,
    suspicions: &[FingerprintSuspicion],
) {
    let now = router.clock.now();
    router
        .core
        .borrow_mut()
        .on_fingerprint_suspicions(now, suspicions);
    router.crash_reports_changed.notify_waiters();
    for FingerprintSuspicion {
        fingerprint,
        crashes,
    } in suspicions
    {
        tracing::info!(event = "work_suspected", work = %fingerprint, scope = fingerprint.scope().as_str(), ends = crashes, by = %address,
            "router: a control machine reported a suspected fingerprint");
    }
}
