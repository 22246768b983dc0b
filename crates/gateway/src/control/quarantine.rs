//! Lets operators list and release quarantined request fingerprints, at the metrics address.
//!
//! `GET /quarantine` lists the fingerprints whose requests are sent to no back end, one per line.
//! `DELETE /quarantine/ID` releases the fingerprint that begins with `ID`, the digits that logs show.

use std::fmt::Write;

use drumshore_gateway_core::{Command, Fingerprint, FingerprintPrefix};
use hyper::{Method, Response, StatusCode};

use super::{api, Control};
use crate::answer::{self, AnswerBody};

const PATH: &str = "/quarantine";
const CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// A call about the quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum QuarantineCall {
    /// Lists the quarantined fingerprints.
    List,
    /// Releases the fingerprint with this prefix; `None` when the prefix is invalid.
    Release(Option<FingerprintPrefix>),
}

/// Maps a request to a call; `None` when it is not about the quarantine.
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

fn quarantined(control: &Control) -> Option<Vec<Fingerprint>> {
    let core = control.core.borrow();
    Some(core.as_ref()?.state().quarantined().collect())
}

fn list(control: &Control) -> Response<AnswerBody> {
    let Some(fingerprints) = quarantined(control) else {
        return answer::plain(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let mut text = String::new();
    for fingerprint in fingerprints {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{fingerprint:#}");
    }
    answer::typed(CONTENT_TYPE, text)
}

async fn release(control: &Control, prefix: &FingerprintPrefix) -> Response<AnswerBody> {
    let Some(mut fingerprints) = quarantined(control) else {
        return answer::plain(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    fingerprints.retain(|fingerprint| prefix.matches(*fingerprint));
    let [fingerprint] = fingerprints[..] else {
        let status = if fingerprints.is_empty() {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::CONFLICT
        };
        return answer::plain(status, "");
    };
    let reply = api::submit(control, Command::Release { fingerprint }).await;
    tracing::info!(event = "release_asked", work = %fingerprint, outcome = api::reply_name(&reply),
        "control: an operator requested the release of a quarantined request fingerprint");
    api::acknowledge(control, reply)
}

#[cfg(test)]
#[path = "quarantine_tests.rs"]
mod tests;
