//! The HTTP interface of a control machine for operators, back ends and callers.

use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

use bytes::Bytes;
use drumshore_gateway_core::{Command, Heartbeat, Lifecycle, Reply};
use drumshore_wire::{Blob, Text};
use hyper::{Request, Response, StatusCode};

use super::call_body::{self, Unread};
use super::Control;
use crate::answer::{self, AnswerBody};
use crate::caller_body::CallerBody;
use crate::dialect::ControlCall;
use crate::server::{NoAnswer, Peer};

/// Serves one call; `NoAnswer` when its caller leaves before its body is complete.
pub(super) async fn serve(
    control: Rc<Control>,
    request: Request<CallerBody>,
) -> Result<Response<AnswerBody>, NoAnswer> {
    let call = control.dialect.call(request.method(), request.uri());
    let Some(call) = call else {
        return Ok(answer::plain(StatusCode::NOT_FOUND, ""));
    };
    let caller = request.extensions().get::<Peer>().copied();
    let read = call_body::read(&control, &call, request.into_body(), caller).await;
    let call_body = match read {
        Ok(body) => body,
        Err(Unread::Refused(response)) => return Ok(*response),
        Err(Unread::NoAnswer(no_answer)) => return Err(no_answer),
    };
    let body = call_body.bytes();
    let response = match call {
        ControlCall::PutConfiguration => put_configuration(&control, body).await,
        ControlCall::GetConfiguration => get_configuration(&control).await,
        ControlCall::SetTargetWeights => set_target_weights(&control, &body).await,
        ControlCall::Heartbeat(instance) => match control.dialect.heartbeat(&instance, &body) {
            Err(error) => invalid(&control, &error.to_string()),
            Ok(heartbeat) => {
                record_unknown_fields(&control, &heartbeat, &body);
                serve_heartbeat(&control, &heartbeat).await
            }
        },
        ControlCall::Deregister(instance) => {
            let command = Command::Deregister {
                instance: Text::new(instance.as_str()),
            };
            let reply = submit(&control, command).await;
            tracing::info!(event = "deregister", %instance, outcome = reply_name(&reply),
                "control: a back end asked to be deregistered");
            acknowledge(&control, reply)
        }
        ControlCall::Directory { zone } => directory(&control, &zone, caller),
    };
    Ok(response)
}

/// Records the fields that nobody reads of a back end that is not registered yet. Its later heartbeats have the same.
fn record_unknown_fields(control: &Control, heartbeat: &Heartbeat, body: &[u8]) {
    let name = heartbeat.instance.as_str();
    let is_registered = control.with_core(|core, _| core.state().instance(name).is_some());
    if is_registered == Some(false) {
        let unknown = control.dialect.unknown_heartbeat_fields(body);
        let fields = &control.unknown_fields;
        fields.record_fields(&control.metrics, name, &unknown);
    }
}

async fn serve_heartbeat(control: &Control, heartbeat: &Heartbeat) -> Response<AnswerBody> {
    let asking = control.ask(|core, now, ticket| {
        core.set_earlier_build_present(control.peers.has_earlier_build());
        core.on_heartbeat(now, ticket, heartbeat);
    });
    let reply = asking.await;
    if heartbeat.lifecycle == Lifecycle::Draining {
        tracing::info!(event = "leaving_heartbeat", instance = %heartbeat.instance,
            outcome = reply_name(&reply), "control: a back end reported that it is leaving");
    }
    acknowledge(control, reply)
}

/// Submits a command to the replicated log and waits for the reply.
pub(super) async fn submit(control: &Control, command: Command) -> Reply {
    control
        .ask(|core, now, ticket| core.submit(now, ticket, command))
        .await
}

async fn put_configuration(control: &Control, body: Bytes) -> Response<AnswerBody> {
    let document = match control.dialect.document(&body) {
        Ok(document) => document,
        Err(error) => return invalid(control, &error.to_string()),
    };
    let version = document.version;
    let routes = document.routes.len();
    drop(document);
    let unknown = control.dialect.unknown_configuration_fields(&body);
    let fields = &control.unknown_fields;
    fields.record_fields(&control.metrics, "an operator", &unknown);
    let command = Command::Configure {
        version,
        body: Blob::new(body.to_vec()),
    };
    let reply = submit(control, command).await;
    tracing::info!(
        event = "configure",
        version,
        routes,
        outcome = reply_name(&reply),
        "control: an operator sent a configuration"
    );
    acknowledge(control, reply)
}

async fn get_configuration(control: &Control) -> Response<AnswerBody> {
    let asking = control.ask(|core, now, ticket| core.read_configuration(now, ticket));
    let reply = asking.await;
    tracing::info!(
        event = "configuration_read",
        outcome = reply_name(&reply),
        "control: an operator requested the configuration"
    );
    match reply {
        Reply::Configuration(Some(body)) => answer::typed(control.dialect.content_type(), body),
        _ => answer::plain(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}

async fn set_target_weights(control: &Control, body: &[u8]) -> Response<AnswerBody> {
    let (model, version) = match control.dialect.weights(body) {
        Ok(named) => named,
        Err(error) => return invalid(control, &error.to_string()),
    };
    let command = Command::SetTargetWeights {
        model: Text::new(model.as_str()),
        version,
    };
    let reply = submit(control, command).await;
    tracing::info!(event = "weights_named", %model, version, outcome = reply_name(&reply),
        "control: an operator requested a new version of a model's weights");
    acknowledge(control, reply)
}

fn directory(control: &Control, zone: &str, caller: Option<Peer>) -> Response<AnswerBody> {
    let caller = caller.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.0);
    let addresses = control
        .core
        .borrow()
        .as_ref()
        .map(|core| core.directory(zone, caller))
        .unwrap_or_default();
    if addresses.is_empty() {
        return answer::plain(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let ttl = control.settings.directory_ttl;
    let body = control.dialect.directory(&addresses, ttl);
    answer::typed(control.dialect.content_type(), body)
}

/// The answer to a call that was accepted, or that could not be committed.
pub(super) fn acknowledge(control: &Control, reply: Reply) -> Response<AnswerBody> {
    match reply {
        Reply::Accepted => {
            control.metrics.count_decision("accepted");
            answer::typed(control.dialect.content_type(), Bytes::from_static(b"{}"))
        }
        _ => {
            control.metrics.count_decision("unavailable");
            answer::plain(StatusCode::SERVICE_UNAVAILABLE, "")
        }
    }
}

fn invalid(control: &Control, reason: &str) -> Response<AnswerBody> {
    control.metrics.count_decision("invalid");
    tracing::info!(
        event = "invalid_call",
        reason,
        "control: rejected an invalid call"
    );
    answer::plain(StatusCode::BAD_REQUEST, reason.to_owned())
}

/// The name of a reply in log lines.
pub(super) fn reply_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Accepted => "accepted",
        Reply::Configuration(_) => "confirmed",
        Reply::Unavailable => "unavailable",
    }
}
