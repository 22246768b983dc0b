//! What back ends say of themselves in the heads of their answers, as the router daemon hears it.
//!
//! All answers to requests pass here, whatever they are to: a first choice, a retry, a resumption, a copy of a run.
//! What was said counts for all that this router sends from then on, and for requests that wait for a connection.

use std::rc::Rc;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{BackEndNotice, Choice, InstanceId, LimitChange};
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::Response;

use super::forward::header;
use super::Router;

/// Takes in what the head of an answer says of its back end; the request was sent at `sent_at`. That it says nothing
/// is heeded as well: a limit ends so.
pub(super) fn process(
    router: &Rc<Router>,
    choice: &Choice,
    response: &Response<Incoming>,
    sent_at: Timestamp,
) {
    let headers = response.headers();
    let notice = router.dialect.notice(response.status(), headers);
    let instance = answered_by(router, choice, response);
    let is_known_header = |name: &HeaderName| router.dialect.is_known_header(name);
    let metrics = &router.metrics;
    router
        .unknown_headers
        .record(is_known_header, metrics, &instance, headers);
    let mut core = router.core.borrow_mut();
    if notice == BackEndNotice::default() && core.limit_of(&instance).is_none() {
        return;
    }
    let now = router.clock.now();
    let change = core.on_notice(now, &instance, notice, sent_at);
    drop(core);
    if let Some(change) = change.limit {
        record_limit_change(router, &instance, change);
    }
    if change.backs_off {
        router.metrics.count_notice("backoff");
        let retry_after = notice.retry_after.unwrap_or_default();
        tracing::info!(event = "back_end_backoff", %instance,
            retry_after_ms = retry_after.as_millis() as u64, "router: a back end asks for no requests");
    }
    if change.leaves {
        router.metrics.count_notice("leaving");
        tracing::info!(event = "back_end_leaving", %instance, "router: a back end says that it leaves");
        router.upstreams.close_idle(&instance);
    }
}

fn record_limit_change(router: &Router, instance: &InstanceId, change: LimitChange) {
    match change {
        LimitChange::Named(rate) => {
            router.metrics.count_notice("limit");
            tracing::info!(event = "back_end_limit", %instance, requests_per_second = %rate,
                "router: a back end limits what it takes from all routers");
        }
        LimitChange::Ended => {
            router.metrics.count_notice("limit_ended");
            tracing::info!(event = "back_end_limit_ended", %instance, "router: a back end names no limit any more");
        }
    }
}

/// Another incarnation may listen at the address, and says so.
fn answered_by(router: &Router, choice: &Choice, response: &Response<Incoming>) -> InstanceId {
    let names = router.dialect.headers();
    let named = header(response.headers(), &names.instance);
    if named.is_empty() {
        choice.instance.clone()
    } else {
        InstanceId::new(&named)
    }
}

/// Whether a request that has its connection may be sent. A wait for one may last longer than the half second
/// that requests may be under way after a back end asked for none.
pub(super) fn may_send(router: &Router, choice: &Choice) -> bool {
    let now = router.clock.now();
    let core = router.core.borrow();
    core.allows_requests(now, &choice.instance)
}
