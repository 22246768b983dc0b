//! Processes the notices of back ends: the status headers in their answers.
//!
//! Every answer to a request is processed here, whether the attempt was a first choice, a retry or the resumption of a
//! stream, with or without a copy of its run. A notice applies to everything that this router sends afterwards,
//! including requests that are waiting for a connection.

use std::rc::Rc;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    BackEndNotice, BrittleChange, Choice, InstanceId, Leave, LimitChange,
};
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Response, StatusCode};

use super::forward::header;
use super::Router;

/// Processes the notice in the head of an answer to a request that was sent at `sent_at`. An answer without a notice
/// matters too: it ends a limit that the back end set earlier.
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
        .record_headers(is_known_header, metrics, &instance, headers);
    record(router, &instance, notice, sent_at);
}

/// Processes the notice in an answer of a back end that another router forwarded to this one. A backoff was addressed to that
/// router, and it is unknown when the request was sent, so nothing that was announced before ends.
pub(super) fn process_forwarded(
    router: &Rc<Router>,
    instance: &InstanceId,
    status: StatusCode,
    headers: &HeaderMap,
) {
    let notice = BackEndNotice {
        retry_after: None,
        ..router.dialect.notice(status, headers)
    };
    record(router, instance, notice, Timestamp::default());
}

fn record(router: &Router, instance: &InstanceId, notice: BackEndNotice, sent_at: Timestamp) {
    let now = router.clock.now();
    let mut core = router.core.borrow_mut();
    let brittle_change = core.on_brittleness(now, instance, notice.brittle, sent_at);
    if let Some(change) = brittle_change {
        record_brittle_change(router, instance, change);
    }
    if notice == BackEndNotice::default() && core.limit_of(instance).is_none() {
        return;
    }
    let change = core.on_notice(now, instance, notice, sent_at);
    drop(core);
    if let Some(change) = change.limit {
        record_limit_change(router, instance, change);
    }
    if change.backs_off {
        router.metrics.count_notice("backoff");
        let retry_after = notice.retry_after.unwrap_or_default();
        tracing::info!(event = "back_end_backoff", %instance,
            retry_after_ms = retry_after.as_millis() as u64, "router: a back end requested a backoff; sending it no requests until it is over");
    }
    if change.leaves {
        router.metrics.count_notice("leaving");
        router.metrics.count_leave(Leave::Announced);
        tracing::info!(event = "back_end_leaving", %instance, known_by = %Leave::Announced,
            revision = router.core.borrow().revision(), "router: a back end announced that it is leaving");
        router.upstreams.close_idle(instance);
    }
}

fn record_brittle_change(router: &Router, instance: &InstanceId, change: BrittleChange) {
    match change {
        BrittleChange::Began(withstood) => {
            router.metrics.count_notice("brittle");
            tracing::info!(event = "pool_brittle", %instance, rejections_per_second = %withstood,
                "router: a back end announced that too many rejections crash it; limiting the requests in flight to its pool");
        }
        BrittleChange::Ended => {
            router.metrics.count_notice("brittle_ended");
            tracing::info!(event = "pool_brittle_ended", %instance, "router: the back ends of a pool are no longer brittle");
        }
    }
}

fn record_limit_change(router: &Router, instance: &InstanceId, change: LimitChange) {
    match change {
        LimitChange::Announced(rate) => {
            router.metrics.count_notice("limit");
            tracing::info!(event = "back_end_limit", %instance, requests_per_second = %rate,
                "router: a back end set a limit on the rate of requests from all routers");
        }
        LimitChange::Ended => {
            router.metrics.count_notice("limit_ended");
            tracing::info!(event = "back_end_limit_ended", %instance, "router: a back end lifted its limit on the rate of requests");
        }
    }
}

/// The instance that answered, which may be a newer incarnation at the same address.
fn answered_by(router: &Router, choice: &Choice, response: &Response<Incoming>) -> InstanceId {
    let names = router.dialect.headers();
    let named = header(response.headers(), &names.instance);
    if named.is_empty() {
        choice.instance.clone()
    } else {
        InstanceId::new(&named)
    }
}
