//! The operators' HTTP API of a control machine.

use std::time::Duration;

use crossbeam_channel::bounded;
use drumshore_consensus::{MembershipChange, ReplicaId};
use drumshore_control::{
    ChangeOutcome, OperatorReply, OperatorRequest, OperatorTicket, StatusReport,
};
use drumshore_core::settings::{ControlSettings, OperatorAccount};
use drumshore_core::{
    ChangeId, ErrorCode, OperatorName, RequestError, ResourceKey, ResourceKind, ResourceSpec,
    Revision,
};
use drumshore_http::{Handler, Method, Request, Responder};
use serde::{Deserialize, Serialize};
use serde_json::json;
use stakker::call;

use super::{ControlHandle, SharedRegistry};
use crate::links::TRAFFIC;
use crate::metrics::{Scrape, CONTENT_TYPE};

/// Header with the resource version that a change is based on; 0 for a new resource.
pub(crate) const EXPECTED_VERSION_HEADER: &str = "x-drumshore-expected-version";

/// Header with the change id that the operator chose. A change resent with the same id returns the
/// first result.
pub(crate) const CHANGE_ID_HEADER: &str = "x-drumshore-change-id";

const RESOURCES_PATH: &str = "/v1/resources/";
const MAX_BODY_BYTES: u64 = 1 << 20;
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long an operator's request waits for the control actor's reply, in addition to the wait of a
/// watch.
const REPLY_MARGIN: Duration = Duration::from_secs(10);

/// One step of a membership change of the control machines.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum MemberStep {
    /// The machine becomes a learner, which receives the log.
    Add,
    /// The learner becomes a voter.
    Promote,
    /// The machine is removed from the cluster.
    Remove,
    /// The machine becomes the leader.
    Transfer,
}

/// Body of `POST /v1/members`: a step and the number of the machine.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct MemberChange {
    pub(crate) step: MemberStep,
    pub(crate) id: u64,
}

/// Serves operators' requests and metrics scrapes.
pub(super) struct Api {
    operators: Vec<OperatorAccount>,
    registry: SharedRegistry,
    handle: ControlHandle,
}

impl Api {
    pub(super) fn new(
        settings: &ControlSettings,
        registry: SharedRegistry,
        handle: ControlHandle,
    ) -> Self {
        Self {
            operators: settings.operators.clone(),
            registry,
            handle,
        }
    }

    fn authenticate(&self, request: &Request<'_>) -> Result<OperatorName, RequestError> {
        let presented = request.bearer_key().map(|key| key.hash());
        self.operators
            .iter()
            .find(|account| presented.as_ref() == Some(&account.key_hash))
            .map(|account| account.name.clone())
            .ok_or_else(|| {
                RequestError::not_run(ErrorCode::Unauthorized, "an operator's key is needed")
            })
    }

    fn answer(&self, request: &mut Request<'_>) -> Result<OperatorReply, RequestError> {
        let operator = self.authenticate(request)?;
        let operator_request = parse(request, operator)?;
        let timeout = match &operator_request {
            OperatorRequest::Watch { timeout, .. } => *timeout + REPLY_MARGIN,
            _ => REPLY_MARGIN,
        };
        self.submit(operator_request, timeout)
    }

    fn submit(
        &self,
        request: OperatorRequest,
        timeout: Duration,
    ) -> Result<OperatorReply, RequestError> {
        let (sender, receiver) = bounded(1);
        let ticket = {
            let mut registry = self.registry.lock();
            registry.next_ticket += 1;
            let ticket = OperatorTicket(registry.next_ticket);
            registry.operators.insert(ticket, sender);
            ticket
        };
        self.handle.post(move |_, context| {
            call!([context.actor], operator(ticket, request));
        });
        let reply = receiver.recv_timeout(timeout);
        self.registry.lock().operators.remove(&ticket);
        reply.map_err(|_| unavailable())
    }

    fn metrics(&self, responder: Responder<'_>) {
        match self.submit(OperatorRequest::Status, REPLY_MARGIN) {
            Ok(OperatorReply::Status(status)) => {
                let text = metrics_text(&status);
                responder.send(200, CONTENT_TYPE, text.as_bytes());
            }
            _ => {
                responder.refuse(&unavailable());
            }
        }
    }
}

impl Handler for Api {
    fn handle(&self, request: &mut Request<'_>, responder: Responder<'_>) {
        match (request.method(), request.path()) {
            (Method::Get, "/healthz") => {
                responder.send(200, "text/plain", b"alive\n");
                return;
            }
            (Method::Get, "/metrics") => return self.metrics(responder),
            _ => {}
        }
        match self.answer(request) {
            Ok(reply) => send(reply, responder),
            Err(error) => {
                responder.refuse(&error);
            }
        }
    }
}

fn parse(
    request: &mut Request<'_>,
    operator: OperatorName,
) -> Result<OperatorRequest, RequestError> {
    match (request.method(), request.path()) {
        (Method::Get, "/v1/status") => Ok(OperatorRequest::Status),
        (Method::Get, "/v1/watch") => Ok(parse_watch(request)),
        (Method::Post, "/v1/members") => parse_members(request),
        (method, path) if path.starts_with(RESOURCES_PATH) => {
            let path = path[RESOURCES_PATH.len()..].to_owned();
            parse_resource(method, &path, request, operator)
        }
        _ => Err(RequestError::not_run(ErrorCode::NotFound, "no such path")),
    }
}

fn parse_watch(request: &Request<'_>) -> OperatorRequest {
    let number = |name: &str| request.query(name).and_then(|value| value.parse().ok());
    let timeout = number("patience_ms").map_or(MAX_WATCH_WAIT, Duration::from_millis);
    OperatorRequest::Watch {
        after: Revision(number("after").unwrap_or(0)),
        timeout: timeout.min(MAX_WATCH_WAIT),
    }
}

fn parse_members(request: &mut Request<'_>) -> Result<OperatorRequest, RequestError> {
    let body = request.read_body(MAX_BODY_BYTES)?;
    let change: MemberChange = serde_json::from_slice(&body).map_err(bad_request)?;
    let id = ReplicaId(change.id);
    Ok(match change.step {
        MemberStep::Add => OperatorRequest::ChangeMembers(MembershipChange::AddLearner(id)),
        MemberStep::Promote => OperatorRequest::ChangeMembers(MembershipChange::Promote(id)),
        MemberStep::Remove => OperatorRequest::ChangeMembers(MembershipChange::Remove(id)),
        MemberStep::Transfer => OperatorRequest::Transfer(id),
    })
}

fn parse_resource(
    method: Method,
    path: &str,
    request: &mut Request<'_>,
    operator: OperatorName,
) -> Result<OperatorRequest, RequestError> {
    let (kind, name) = path.split_once('/').unwrap_or((path, ""));
    let kind = ResourceKind::from_word(kind)
        .ok_or_else(|| RequestError::not_run(ErrorCode::NotFound, "no such kind of resource"))?;
    let name = name.to_owned();
    match method {
        Method::Get if name.is_empty() => Ok(OperatorRequest::List(kind)),
        Method::Get => Ok(OperatorRequest::Get(ResourceKey { kind, name })),
        Method::Put => {
            let (expected, change_id) = change_headers(request)?;
            let body = request.read_body(MAX_BODY_BYTES)?;
            let spec: ResourceSpec = serde_json::from_slice(&body).map_err(bad_request)?;
            if spec.kind() != kind {
                return Err(bad_request("the document's kind is not that of the path"));
            }
            Ok(OperatorRequest::Put {
                change_id,
                operator,
                expected,
                name,
                spec,
            })
        }
        Method::Delete => {
            let (expected, change_id) = change_headers(request)?;
            Ok(OperatorRequest::Delete {
                change_id,
                operator,
                expected,
                key: ResourceKey { kind, name },
            })
        }
        Method::Post | Method::Other => Err(RequestError::not_run(
            ErrorCode::NotFound,
            "no such method here",
        )),
    }
}

fn change_headers(request: &Request<'_>) -> Result<(Revision, ChangeId), RequestError> {
    let expected = request
        .header(EXPECTED_VERSION_HEADER)
        .and_then(|version| version.parse().ok())
        .ok_or_else(|| bad_request(format!("{EXPECTED_VERSION_HEADER} is needed")))?;
    let change_id = request
        .header(CHANGE_ID_HEADER)
        .filter(|id| !id.is_empty())
        .ok_or_else(|| bad_request(format!("{CHANGE_ID_HEADER} is needed")))?;
    Ok((Revision(expected), ChangeId::new(change_id)))
}

fn bad_request(reason: impl ToString) -> RequestError {
    RequestError::not_run(ErrorCode::BadRequest, reason.to_string())
}

/// The error when no quorum confirmed in time. An unconfirmed change may still be accepted, so the
/// error says "may have run" instead of "not run".
fn unavailable() -> RequestError {
    let message = "no quorum confirmed in time; send a change again with the same id";
    RequestError::may_have_run(ErrorCode::ConfigUnavailable, message)
        .retry_after(Duration::from_secs(1))
}

fn send(reply: OperatorReply, responder: Responder<'_>) {
    match reply {
        OperatorReply::Change(outcome) => {
            responder.send_json(http_status(&outcome), &outcome);
        }
        OperatorReply::Unavailable => {
            responder.refuse(&unavailable());
        }
        OperatorReply::Resource(Some(resource)) => {
            responder.send_json(200, &resource);
        }
        OperatorReply::Resource(None) => {
            responder.refuse(&RequestError::not_run(
                ErrorCode::NotFound,
                "no such resource",
            ));
        }
        OperatorReply::Resources {
            revision,
            resources,
        } => {
            responder.send_json(200, &json!({"revision": revision, "resources": resources}));
        }
        OperatorReply::Changes { revision, changes } => {
            responder.send_json(200, &json!({"revision": revision, "changes": changes}));
        }
        OperatorReply::Compacted { revision } => {
            responder.send_json(200, &json!({"revision": revision, "compacted": true}));
        }
        OperatorReply::Status(status) => {
            responder.send_json(200, &status);
        }
        OperatorReply::Members(Ok(())) => {
            responder.send_json(200, &json!({"started": true}));
        }
        OperatorReply::Members(Err(reason)) => {
            responder.send_json(409, &json!({"started": false, "reason": reason}));
        }
    }
}

fn http_status(outcome: &ChangeOutcome) -> u16 {
    match outcome {
        ChangeOutcome::Accepted { .. } => 200,
        ChangeOutcome::Conflict { .. } => 409,
        ChangeOutcome::Invalid { .. } => 422,
    }
}

fn metrics_text(status: &StatusReport) -> String {
    let mut scrape = Scrape::new("drumshore_control");
    let ready = status
        .engines
        .iter()
        .filter(|engine| engine.state == "ready");
    let gauges = [
        ("term", "Term of the replicated log", status.term),
        ("applied_index", "Last log position applied", status.applied),
        (
            "config_revision",
            "Revision of the resources",
            status.revision.0,
        ),
        (
            "leads",
            "1 when this machine leads",
            u64::from(status.role == "leader"),
        ),
        (
            "confirmed",
            "1 when a quorum confirmed this view lately",
            u64::from(status.confirmed),
        ),
        (
            "foreign_disks",
            "Alarm: machines that returned with another disk under their old number",
            status.foreign_disks.len() as u64,
        ),
        ("claims", "Claims kept", status.claims as u64),
        ("routers", "Routers linked", status.routers.len() as u64),
        ("engines", "Engines known", status.engines.len() as u64),
        ("engines_ready", "Engines ready", ready.count() as u64),
    ];
    for (name, help, value) in gauges {
        scrape.gauge(name, help, value);
    }
    TRAFFIC.add_to(&mut scrape);
    scrape.text()
}
