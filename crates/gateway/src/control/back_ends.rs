//! Calls from a control machine to back ends: orders, and queries of their state.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use drumshore_core::Timestamp;
use drumshore_gateway_core::{BackEndReport, InstanceId, Order, OrderOutcome, RequestRate};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::Control;
use crate::answer_head;
use crate::dialect::OutboundCall;
use crate::request_body::{OutboundBody, RequestBody};
use crate::sockets;
use crate::unknown_names::UnknownNames;
use crate::upstream::{SendError, Upstreams};

/// Timeout of a call. A back end acknowledges an order at once, before it carries it out.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Connections to one back end.
const CONNECTIONS: usize = 2;
/// Limit of the body of a back end's answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Limit of the body of a store's answer, which may list some hundred thousand prompt parts.
const MAX_STORE_ANSWER_BYTES: usize = 16 << 20;
/// How long no calls are made to a back end or store whose answer exceeded a limit.
const EXCESS_PAUSE: Duration = Duration::from_secs(2);
/// Interval between queries to a back end that limits its rate of requests. Without a limit, a back end that loads
/// weights is queried several times a second, which exceeds what some accept from all callers together. The end of a
/// load is detected later by up to this interval.
const QUERY_INTERVAL_UNDER_LIMIT: Duration = Duration::from_secs(2);

/// Connections to back ends, and the back ends that must not be called for a while.
pub(super) struct BackEnds {
    upstreams: Upstreams,
    /// The end of the backoff that a back end requested, or of the pause after an answer that exceeded a limit.
    backoff_until: RefCell<HashMap<InstanceId, Timestamp>>,
    /// The time of the next allowed query, for back ends that limit their rate of requests.
    no_query_until: RefCell<HashMap<InstanceId, Timestamp>>,
    unknown_headers: UnknownNames,
}

/// The answer of a back end or store to a call.
pub(super) struct CallAnswer {
    pub status: StatusCode,
    pub body: Bytes,
    /// The rate of requests that the back end accepts from all callers together, if it is limited.
    pub limit: Option<RequestRate>,
}

impl BackEnds {
    pub fn new(upstreams: Upstreams) -> Self {
        Self {
            upstreams,
            backoff_until: RefCell::default(),
            no_query_until: RefCell::default(),
            unknown_headers: UnknownNames::default(),
        }
    }

    /// Calls a back end, or a store; `expect` adds the expected instance, which stores do not use. `None` when there is no
    /// answer or a malformed one, or when the back end has requested a backoff, in which case nothing is sent.
    pub async fn call(
        &self,
        control: &Control,
        instance: &InstanceId,
        address: &str,
        call: OutboundCall,
        expect: bool,
    ) -> Option<CallAnswer> {
        let connecting = self
            .upstreams
            .connect(instance, address, CONNECTIONS, TIMEOUT);
        let mut connection = connecting.await.ok()?;
        if self.backs_off(control.clock.now(), instance) {
            connection.release(control.clock.now());
            return None;
        }
        let request = request(control, expect.then_some(instance), address, call)?;
        let sent_at = control.clock.now();
        let sent = connection
            .send(request, sockets::UNACKNOWLEDGED_TIMEOUT)
            .await;
        if let Err(SendError::HeadLimit(excess)) = sent {
            let limit = excess.limit.as_str();
            self.record_excess(control, instance, limit, excess.bytes, sent_at);
        }
        let response = sent.ok()?;
        if let Some(fault) = answer_head::structure_fault(&response) {
            tracing::info!(event = "answer_malformed", %instance, fault = fault.as_str(),
                "control: an answer of a back end or store has a malformed head; closing its connection");
            return None;
        }
        let status = response.status();
        let headers = response.headers();
        let is_known_header = |name: &HeaderName| control.dialect.is_known_header(name);
        self.unknown_headers
            .record_headers(is_known_header, &control.metrics, instance, headers);
        let notice = control.dialect.notice(status, headers);
        if let Some(retry_after) = notice.retry_after {
            self.record_backoff(control, instance, retry_after);
        }
        let max_bytes = if expect {
            MAX_ANSWER_BYTES
        } else {
            MAX_STORE_ANSWER_BYTES
        };
        let body = Limited::new(response.into_body(), max_bytes);
        let body = body.collect().await;
        if body
            .as_ref()
            .is_err_and(|error| error.is::<LengthLimitError>())
        {
            let bytes = max_bytes as u64;
            self.record_excess(control, instance, "answer_bytes", bytes, sent_at);
        }
        let body = body.ok()?.to_bytes();
        connection.release(control.clock.now());
        let limit = notice.limit;
        Some(CallAnswer {
            status,
            body,
            limit,
        })
    }

    /// Records an answer that exceeded a limit. Its connection is closed when it is dropped.
    fn record_excess(
        &self,
        control: &Control,
        instance: &InstanceId,
        limit: &'static str,
        bytes: u64,
        sent_at: Timestamp,
    ) {
        let now = control.clock.now();
        self.pause_calls(now, instance, EXCESS_PAUSE);
        control.metrics.count_answer_limit_exceeded(limit);
        tracing::info!(event = "answer_limit_exceeded", %instance, exceeded = limit, bytes,
            elapsed_ms = now.since(sent_at).as_millis() as u64,
            "control: an answer of a back end or store exceeded a limit; closing its connection and making no calls to it for a while");
    }

    fn pause_calls(&self, now: Timestamp, instance: &InstanceId, pause: Duration) {
        let mut backoff_until = self.backoff_until.borrow_mut();
        backoff_until.retain(|_, until| *until > now);
        backoff_until.insert(instance.clone(), now.plus(pause));
    }

    /// False for a back end that limits its rate of requests and was queried less than the interval ago.
    fn may_query(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let until = self.no_query_until.borrow().get(instance).copied();
        until.is_none_or(|until| until <= now)
    }

    fn record_limit(&self, control: &Control, instance: &InstanceId, limit: RequestRate) {
        let now = control.clock.now();
        let mut no_query_until = self.no_query_until.borrow_mut();
        no_query_until.retain(|_, until| *until > now);
        let until = now.plus(QUERY_INTERVAL_UNDER_LIMIT);
        no_query_until.insert(instance.clone(), until);
        control.metrics.count_notice("limit");
        tracing::info!(event = "back_end_limit", %instance, requests_per_second = %limit,
            "control: a back end set a limit on the rate of requests from all callers");
    }

    fn backs_off(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let until = self.backoff_until.borrow().get(instance).copied();
        until.is_some_and(|until| until > now)
    }

    fn record_backoff(&self, control: &Control, instance: &InstanceId, retry_after: Duration) {
        self.pause_calls(control.clock.now(), instance, retry_after);
        control.metrics.count_notice("backoff");
        tracing::info!(event = "back_end_backoff", %instance,
            retry_after_ms = retry_after.as_millis() as u64, "control: a back end requested a backoff; making no calls to it until it is over");
    }
}

fn request(
    control: &Control,
    expected: Option<&InstanceId>,
    address: &str,
    call: OutboundCall,
) -> Option<Request<OutboundBody>> {
    let has_body = !call.body.is_empty();
    let mut request = Request::new(RequestBody::from(call.body).to_outbound());
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().ok()?;
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(address).ok()?);
    if has_body {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(call.content_type));
    }
    headers.extend(call.headers);
    if let Some(instance) = expected {
        let expected = HeaderValue::from_str(instance.as_str()).ok()?;
        headers.insert(&control.dialect.headers().expect_instance, expected);
    }
    Some(request)
}

/// Sends an order to a back end and reports the outcome to the core.
pub(super) fn send_order(control: &Rc<Control>, order: Order) {
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let call = control.dialect.order(&order);
        let call_future =
            control
                .back_ends
                .call(&control, &order.instance, &order.address, call, true);
        let answer = timeout(TIMEOUT, call_future).await.ok().flatten();
        let outcome = answer.as_ref().map_or(OrderOutcome::Unknown, outcome_of);
        tracing::info!(event = "order", instance = %order.instance, model = %order.model,
            version = order.version, fencing_token = order.fencing_token,
            expected_orders = order.expected_orders, outcome = ?outcome,
            "control: sent an order to a back end");
        control.metrics.count_decision("order");
        control.with_core(|core, now| {
            core.on_order_outcome(now, &order.instance, order.id, outcome);
        });
    });
}

fn outcome_of(answer: &CallAnswer) -> OrderOutcome {
    match answer.status {
        StatusCode::ACCEPTED => OrderOutcome::Taken,
        StatusCode::OK => OrderOutcome::Holds,
        StatusCode::CONFLICT => OrderOutcome::Conflict,
        StatusCode::PRECONDITION_FAILED => OrderOutcome::Fenced,
        StatusCode::MISDIRECTED_REQUEST => OrderOutcome::Gone,
        _ => OrderOutcome::Unknown,
    }
}

/// Queries a back end for its state and passes the report to the core, or `None` without a valid report.
pub(super) fn query_report(control: &Rc<Control>, instance: InstanceId, address: String) {
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let may_query = control.back_ends.may_query(control.clock.now(), &instance);
        let call = control.dialect.report_call();
        let call_future = control
            .back_ends
            .call(&control, &instance, &address, call, true);
        let answer = if may_query {
            timeout(TIMEOUT, call_future).await.ok().flatten()
        } else {
            None
        };
        if let Some(limit) = answer.as_ref().and_then(|answer| answer.limit) {
            control.back_ends.record_limit(&control, &instance, limit);
        }
        let report: Option<BackEndReport> = answer
            .filter(|answer| answer.status == StatusCode::OK)
            .and_then(|answer| control.dialect.report(&answer.body).ok());
        control.with_core(|core, now| core.on_report(now, &instance, report.as_ref()));
    });
}
