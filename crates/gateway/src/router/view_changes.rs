//! Applies changes of the replicated state to the view, and logs what they change.

use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_gateway_core::{Changes, Document, InstanceId, Leave, Progress, ViewLinks};
use tokio::time::Instant;

use super::control_links::wake_waiting_requests;
use super::crash_detection;
use super::Router;
use crate::open_connections::HeadLimits;

/// Maximum number of leaving back ends that are logged by name per message; a whole view may remove thousands.
const MAX_NAMED_LEAVES: usize = 16;

/// Applies changes that a control machine sent, and reports the progress to the links.
pub(super) fn apply(router: &Router, view_links: &mut ViewLinks, from: Ipv4Addr, changes: Changes) {
    let now = router.clock.now();
    let started = Instant::now();
    let behind = view_links.behind(now).unwrap_or_default();
    let (revision, newest) = (changes.revision, changes.newest);
    let (instances, removed) = (changes.instances.items.len(), changes.removed.items.len());
    let leaves = router.core.borrow().leaves_in(&changes);
    let (bytes, is_patch) = (changes.bytes(), changes.patch.is_some());
    let mut parsing = Duration::ZERO;
    let parse = |body: &[u8]| {
        let began = Instant::now();
        let document = router.dialect.document(body);
        parsing = began.elapsed();
        document
    };
    let applied = router.core.borrow_mut().apply(now, changes, parse);
    let core = router.core.borrow();
    let held = core.revision();
    let progress = match applied {
        Ok(()) => {
            router.metrics.revision.set(revision as i64);
            router.metrics.count_fetch("applied");
            tracing::info!(
                event = "view_changed",
                revision,
                %from,
                behind_ms = behind.as_millis() as u64,
                instances,
                removed,
                leaving = leaves.len(),
                configuration = core.configuration_version(),
                bytes,
                is_patch,
                parsing_us = parsing.as_micros() as u64,
                took_us = started.elapsed().as_micros() as u64,
                "router: applied changes to the view"
            );
            apply_client_limits(router, core.document());
            drop(core);
            record_leaves(router, revision, &leaves);
            crash_detection::review_undecided(router);
            wake_waiting_requests(router);
            router.crash_reports_changed.notify_waiters();
            Progress::Made { held }
        }
        Err(error) => {
            router.metrics.count_fetch("refused");
            tracing::info!(event = "view_refused", %from, revision, bytes, %error,
                "router: changes from a control machine could not be applied to the view");
            Progress::None { held }
        }
    };
    view_links.on_changes(now, from, newest, progress);
}

fn apply_client_limits(router: &Router, document: Option<&Document>) {
    let Some(limits) = document.map(|document| &document.limits) else {
        return;
    };
    router.caller_connections.set_head_limits(HeadLimits {
        bytes: limits.header_bytes,
        time: limits.header_timeout,
        idle: Some(limits.idle_timeout),
    });
}

fn record_leaves(router: &Router, revision: u64, leaves: &[(InstanceId, Leave)]) {
    for (_, leave) in leaves {
        router.metrics.count_leave(*leave);
    }
    for (instance, leave) in leaves.iter().take(MAX_NAMED_LEAVES) {
        tracing::info!(event = "back_end_leaving", %instance, known_by = %leave, revision,
            "router: the view says that a back end leaves or is gone");
    }
}
