//! Why connections to a back end broke: whether the back end ended, or only a connection did.
//!
//! A request may end each back end that runs it. All that run beside it are broken off at the same
//! moment, so what broke says nothing by itself: a reset connection, a load of weights that cuts
//! streams and a lost link look the same to the request. A process that has ended is told by its
//! address, which refuses the next connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{InstanceId, RequestFingerprint};

use super::Router;
use crate::sockets;

/// A machine that is there answers or refuses a connection within its network's round trip; 2.8 ms
/// between the users' zones. One that says nothing for so long is cut off or without power.
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);

/// A request that a back end had, and may have run, when its connection broke.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    /// The request's identifier.
    pub id: String,
    /// What it carries; `None` before the key that identifies work is known.
    pub work: Option<RequestFingerprint>,
    /// When it was sent.
    pub begun: Timestamp,
}

/// What a back end's address tells after connections to it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// It refuses connections: the process has ended.
    Ended,
    /// It was leaving, and has ended as announced.
    Left,
    /// It takes connections: the process goes on.
    Alive,
    /// Nothing came back.
    Silent,
}

impl Finding {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Left => "left",
            Self::Alive => "alive",
            Self::Silent => "silent",
        }
    }
}

/// Broken runs whose back end is being looked at.
#[derive(Default)]
pub(super) struct Examinations(RefCell<HashMap<InstanceId, Vec<BrokenRun>>>);

impl Examinations {
    /// True when nobody looks at the back end yet.
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

/// Finds out why a run broke. One connection is tried for all that broke at a back end together.
pub(super) fn examine(router: &Rc<Router>, instance: &InstanceId, address: &str, run: BrokenRun) {
    if router.examinations.add(instance, run) {
        let (router, instance) = (Rc::clone(router), instance.clone());
        let address = address.to_owned();
        tokio::task::spawn_local(async move {
            let finding = find(&router, &instance, &address).await;
            conclude(&router, &instance, finding);
        });
    }
}

async fn find(router: &Router, instance: &InstanceId, address: &str) -> Finding {
    // Asked before the connection: control machines forget a back end soon after it has ended.
    let is_serving = router
        .core
        .borrow()
        .is_serving(router.clock.now(), instance);
    let Ok(address) = address.parse::<SocketAddr>() else {
        return Finding::Silent;
    };
    match sockets::connect(address, CONNECT_PATIENCE).await {
        Ok(_) => Finding::Alive,
        Err(error) if error.kind() != io::ErrorKind::ConnectionRefused => Finding::Silent,
        Err(_) if is_serving => Finding::Ended,
        Err(_) => Finding::Left,
    }
}

fn conclude(router: &Rc<Router>, instance: &InstanceId, finding: Finding) {
    let runs = router.examinations.take(instance);
    let found = finding.as_str();
    router.metrics.count_back_end_broken(found);
    tracing::info!(event = "back_end_examined", %instance, finding = found, runs = runs.len(),
        "router: why connections to a back end broke");
    for run in &runs {
        tracing::info!(event = "run_broken", id = %run.id, work = run.work.map(tracing::field::display),
            %instance, finding = found, "router: a run broke with its back end");
    }
    if finding == Finding::Ended {
        note_ended(router, instance, &runs);
    }
}

/// All control machines hear of it, for the next router that gets the same work knows nothing of this one.
fn note_ended(router: &Router, instance: &InstanceId, runs: &[BrokenRun]) {
    let with_work = |run: &BrokenRun| run.work.map(|work| (work, run.begun));
    let works: Vec<(RequestFingerprint, Timestamp)> = runs.iter().filter_map(with_work).collect();
    let now = router.clock.now();
    let mut core = router.core.borrow_mut();
    for (work, ends) in core.on_back_end_ended(now, instance, &works) {
        tracing::info!(event = "work_suspected", %work, ends, %instance, by = "this router",
            "router: a back end ended under work");
    }
    drop(core);
    router.upstreams.close_idle(instance);
    router.work_reported.notify_waiters();
}
