//! Checks whether this router has a path to the back ends of a pool, after an attempt at one of them failed.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

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
    let now = router.clock.now();
    let witnesses = router.core.borrow_mut().sound_witnesses(now, refusing);
    let Some(witnesses) = witnesses else {
        return true;
    };
    let is_open = !witnesses.is_empty() && reaches_any(router, witnesses).await;
    if !is_open {
        check(router, refusing);
    }
    is_open
}

/// Carries out a check and repeats it while the path is lost.
fn check_until_reached(router: Rc<Router>, check: PathCheck) -> Pin<Box<dyn Future<Output = ()>>> {
    Box::pin(repeat_until_reached(router, check))
}

async fn repeat_until_reached(router: Rc<Router>, mut check: PathCheck) {
    loop {
        let pool = check.pool.clone();
        let reached = reaches_any(&router, check.witnesses).await;
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

/// Whether any of the back ends accepts a connection.
async fn reaches_any(router: &Rc<Router>, witnesses: Vec<Witness>) -> bool {
    let (sender, mut results) = mpsc::unbounded_channel();
    for witness in witnesses {
        let (router, sender) = (Rc::clone(router), sender.clone());
        tokio::task::spawn_local(async move {
            // The receiver is gone once another witness was reached.
            let _ = sender.send(reaches(&router, &witness).await);
        });
    }
    drop(sender);
    while let Some(reached) = results.recv().await {
        if reached {
            return true;
        }
    }
    false
}

/// Opens a connection, which is kept for a later request.
async fn reaches(router: &Router, witness: &Witness) -> bool {
    let Witness {
        instance,
        address,
        connections,
    } = witness;
    let opening = router.upstreams.open_idle(instance, address, *connections);
    match timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Err(NoConnection::NoneFree)) => match address.parse() {
            Ok(address) => sockets::connect(address, CONNECT_TIMEOUT).await.is_ok(),
            Err(_) => false,
        },
        Ok(opened) => opened.is_ok(),
        Err(_) => false,
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
