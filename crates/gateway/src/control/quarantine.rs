//! How people on call see the quarantine and lift a verdict, at the metrics address.
//!
//! `GET /quarantine` lists all work that no back end is given, an identifier a line. `DELETE /quarantine/ID`
//! releases the work whose identifier begins with the digits that logs show.

use std::fmt::Write;

use drumshore_gateway_core::{Command, FingerprintPrefix, RequestFingerprint};
use hyper::{Method, Response, StatusCode};

use super::{api, Control};
use crate::answer::{self, AnswerBody};

const PATH: &str = "/quarantine";
const CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// A call about the quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum QuarantineCall {
    /// Which work is quarantined.
    List,
    /// Work is to be released; `None` when the name cannot be one.
    Release(Option<FingerprintPrefix>),
}

/// The call that a request is; `None` when it is about something else.
pub(super) fn call_of(method: &Method, path: &str) -> Option<QuarantineCall> {
    let named = path.strip_prefix(PATH)?;
    match (method, named.strip_prefix('/')) {
        (&Method::GET, None) if named.is_empty() => Some(QuarantineCall::List),
        (&Method::DELETE, Some(name)) => {
            Some(QuarantineCall::Release(FingerprintPrefix::parse(name)))
        }
        _ => None,
    }
}

/// Serves a call.
pub(super) async fn serve(control: &Control, call: QuarantineCall) -> Response<AnswerBody> {
    match call {
        QuarantineCall::List => list(control),
        QuarantineCall::Release(None) => answer::plain(StatusCode::BAD_REQUEST, ""),
        QuarantineCall::Release(Some(prefix)) => release(control, &prefix).await,
    }
}

fn quarantined(control: &Control) -> Option<Vec<RequestFingerprint>> {
    let core = control.core.borrow();
    Some(core.as_ref()?.state().quarantined().collect())
}

fn list(control: &Control) -> Response<AnswerBody> {
    let Some(works) = quarantined(control) else {
        return answer::plain(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let mut text = String::new();
    for work in works {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{work:#}");
    }
    answer::typed(CONTENT_TYPE, text)
}

async fn release(control: &Control, prefix: &FingerprintPrefix) -> Response<AnswerBody> {
    let Some(mut works) = quarantined(control) else {
        return answer::plain(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    works.retain(|work| prefix.matches(*work));
    let [work] = works[..] else {
        let status = if works.is_empty() {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::CONFLICT
        };
        return answer::plain(status, "");
    };
    let reply = api::submit(control, Command::Release { fingerprint: work }).await;
    tracing::info!(event = "release_asked", %work, outcome = api::reply_name(&reply),
        "control: an operator releases work");
    api::acknowledge(control, reply)
}

#[cfg(test)]
#[path = "quarantine_tests.rs"]
mod tests;
