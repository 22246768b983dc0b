//! Checks whether this router has a path to the back ends of a pool, after an attempt at one of them failed.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{InstanceId, PathChange, PathCheck, PoolName, Witness};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::Router;
use crate::sockets;
use crate::upstream::NoConnection;

/// A reachable machine accepts a connection within a network round trip of a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time between two checks of a path that is lost.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts a check of the path to a back end that could not be reached, unless the path was checked a moment ago.
pub(super) fn check(router: &Rc<Router>, unreached: &InstanceId) {
    let now = router.clock.now();
    let check = router.core.borrow_mut().begin_path_check(now, unreached);
    if let Some(check) = check {
        tokio::task::spawn_local(check_until_reached(Rc::clone(router), check));
    }
}

/// Whether this router reaches back ends beside one that refused it. True if no sound one is left to compare with.
pub(super) async fn is_open_beside(router: &Rc<Router>, refusing: &InstanceId) -> bool {
    reaches_others(router, refusing).await.unwrap_or(true)
}

/// Whether this router reaches other back ends of the pool than one that it does not reach; `None` if no sound one is
/// left to compare with.
pub(super) async fn reaches_others(router: &Rc<Router>, refusing: &InstanceId) -> Option<bool> {
    let now = router.clock.now();
    let witnesses = router.core.borrow_mut().sound_witnesses(now, refusing)?;
    let is_open = !witnesses.is_empty() && reaches_any(router, witnesses).await == Reach::Accepted;
    if !is_open {
        check(router, refusing);
    }
    Some(is_open)
}

/// Carries out a check and repeats it while the path is lost.
fn check_until_reached(router: Rc<Router>, check: PathCheck) -> Pin<Box<dyn Future<Output = ()>>> {
    Box::pin(repeat_until_reached(router, check))
}

async fn repeat_until_reached(router: Rc<Router>, mut check: PathCheck) {
    loop {
        let pool = check.pool.clone();
        let began = router.clock.now();
        let reached = match reaches_any(&router, check.witnesses).await {
            Reach::Accepted => true,
            Reach::Refused => false,
            Reach::TimedOut => is_slow(&router, &pool, began),
        };
        record(&router, &pool, reached);
        loop {
            if !router.core.borrow().has_lost_path(&pool) {
                return;
            }
            sleep(RECHECK_INTERVAL).await;
            let now = router.clock.now();
            let next = router.core.borrow_mut().begin_path_recheck(now, &pool);
            if let Some(next) = next {
                check = next;
                break;
            }
        }
    }
}

/// The result of opening connections to back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reach {
    Refused,
    /// None was accepted in time. Connections may be lost on the way, or wait behind other data on this router's link.
    TimedOut,
    Accepted,
}

/// Whether a path that was not lost is slow: bytes arrive from back ends of the pool, and connections that time out wait
/// behind other data. Then no back end is reported for not responding. Bytes of open connections do not show that a path
/// is regained.
fn is_slow(router: &Router, pool: &PoolName, began: Timestamp) -> bool {
    let now = router.clock.now();
    let mut core = router.core.borrow_mut();
    let received_ago = core.pool_reach(now, pool).received_ago;
    let is_slow =
        !core.has_lost_path(pool) && received_ago.is_some_and(|ago| ago < now.since(began));
    if is_slow {
        core.forget_suspects(pool);
    }
    is_slow
}

/// Whether any of the back ends accepts a connection; otherwise, whether any attempt timed out.
async fn reaches_any(router: &Rc<Router>, witnesses: Vec<Witness>) -> Reach {
    let (sender, mut results) = mpsc::unbounded_channel();
    for witness in witnesses {
        let (router, sender) = (Rc::clone(router), sender.clone());
        tokio::task::spawn_local(async move {
            // The receiver is gone once another witness was reached.
            let _ = sender.send(reaches(&router, &witness).await);
        });
    }
    drop(sender);
    let mut best = Reach::Refused;
    while let Some(reach) = results.recv().await {
        best = best.max(reach);
        if best == Reach::Accepted {
            break;
        }
    }
    best
}

/// Opens a connection, which is kept for a later request.
async fn reaches(router: &Router, witness: &Witness) -> Reach {
    let Witness {
        instance,
        address,
        connections,
    } = witness;
    let opening = router.upstreams.open_idle(instance, address, *connections);
    match timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(())) => Reach::Accepted,
        Ok(Err(NoConnection::NoneFree)) => match address.parse() {
            Ok(address) => reach_of(sockets::connect(address, CONNECT_TIMEOUT).await),
            Err(_) => Reach::Refused,
        },
        Ok(Err(NoConnection::Unreachable(error))) => reach_of::<()>(Err(error)),
        Ok(Err(NoConnection::NoPath)) => Reach::Refused,
        Err(_) => Reach::TimedOut,
    }
}

fn reach_of<T>(connected: io::Result<T>) -> Reach {
    match connected {
        Ok(_) => Reach::Accepted,
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Reach::TimedOut,
        Err(_) => Reach::Refused,
    }
}

fn record(router: &Rc<Router>, pool: &PoolName, reached: bool) {
    let now = router.clock.now();
    let had_any_path = router.core.borrow().has_any_path();
    let change = router.core.borrow_mut().end_path_check(now, pool, reached);
    let reach = router.core.borrow().pool_reach(now, pool);
    router
        .metrics
        .count_path_check(if reached { "open" } else { "lost" });
    match change {
        Some(PathChange::Lost) => {
            tracing::info!(event = "path_lost", %pool, ready = reach.ready, unreachable = reach.unreachable,
                received_ms_ago = reach.received_ago.map(|ago| ago.as_millis() as u64), peers = router.peers.count(),
                event_loop_late_ms = router.event_loop_delay.late_ms(),
                "router: reached no back end of a pool; forwarding its requests to other routers");
            router.path_lost.notify_waiters();
            check_other_pools(router);
        }
        Some(PathChange::Regained(after)) => {
            tracing::info!(event = "path_regained", %pool, ready = reach.ready,
                lost_for_ms = after.as_millis() as u64, "router: reached a back end of a pool again");
        }
        None => {}
    }
    if router.core.borrow().has_any_path() != had_any_path {
        router.status_changed.notify_waiters();
    }
}

/// Checks the paths to the other pools, which may be lost for the same reason.
fn check_other_pools(router: &Rc<Router>) {
    let now = router.clock.now();
    let mut pools = router.core.borrow().pools_with_back_ends();
    pools.retain(|pool| !router.core.borrow().has_lost_path(pool));
    for pool in pools {
        let check = router.core.borrow_mut().begin_path_recheck(now, &pool);
        if let Some(check) = check {
            tokio::task::spawn_local(check_until_reached(Rc::clone(router), check));
        }
    }
}

/// Completes when the path to a pool is found lost.
pub(super) async fn lost(router: &Router, pool: &PoolName) {
    loop {
        let changed = router.path_lost.notified();
        if router.core.borrow().has_lost_path(pool) {
            return;
        }
        changed.await;
    }
}
