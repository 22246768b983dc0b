//! Judges by the head of an answer whether a back end gave that answer.
//!
//! A head that ends early with a blank line parses like a whole one: the fields after it are missing, among them what
//! frames the body.

use drumshore_http::{head_structure_fault, HeadStructureFault};
use hyper::ext::ReasonPhrase;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Response, StatusCode};

use crate::dialect::HeaderNames;

/// Why an answer is not taken for that of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadFault {
    /// Its structure is not that of an answer.
    Structure(HeadStructureFault),
    /// A success, or a promise that the request has not run, without the proof that a back end gave it.
    Unproven,
    /// A rejection by its fields, and by its status an answer to a request that ran.
    ContradictoryRejection,
    /// It names two requests that it answers.
    ContradictoryRequest,
}

impl HeadFault {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Structure(fault) => fault.as_str(),
            Self::Unproven => "unproven",
            Self::ContradictoryRejection => "contradictory_rejection",
            Self::ContradictoryRequest => "contradictory_request",
        }
    }
}

/// The fields by which a back end tells which request it answers, and whether that ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VerdictFields<'a> {
    request: &'a HeaderName,
    proof: Option<&'a HeaderName>,
    not_run: &'a HeaderName,
}

impl<'a> VerdictFields<'a> {
    /// The fields of this protocol.
    pub fn of(names: &'a HeaderNames) -> Self {
        Self {
            request: &names.request_id,
            proof: names.proof.as_ref(),
            not_run: &names.not_run,
        }
    }
}

/// What is wrong with the head of an answer of a back end; `None` if nothing is. No field of a head counts before this.
pub(crate) fn fault<B>(fields: &VerdictFields<'_>, response: &Response<B>) -> Option<HeadFault> {
    structure_fault(response).or_else(|| verdict_fault(fields, response))
}

/// What is wrong with the head of any answer, whoever gave it.
pub(crate) fn structure_fault<B>(response: &Response<B>) -> Option<HeadFault> {
    let reason = response.extensions().get::<ReasonPhrase>();
    let reason = reason.map(ReasonPhrase::as_bytes);
    let fault = head_structure_fault(response.status(), response.headers(), reason);
    fault.map(HeadFault::Structure)
}

/// What is wrong with what a head says of the request.
fn verdict_fault<B>(fields: &VerdictFields<'_>, response: &Response<B>) -> Option<HeadFault> {
    let (status, headers) = (response.status(), response.headers());
    let mut requests = headers.get_all(fields.request).iter();
    let first = requests.next();
    if requests.any(|other| Some(other) != first) {
        return Some(HeadFault::ContradictoryRequest);
    }
    if headers.contains_key(fields.not_run) {
        return (!may_reject(status)).then_some(HeadFault::ContradictoryRejection);
    }
    let is_unproven = needs_proof(status) && !is_proven(fields.proof, headers);
    is_unproven.then_some(HeadFault::Unproven)
}

/// Whether a status may say that the request has not run.
fn may_reject(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Whether callers rely on an answer: on a success, or on a status by which they may send the request again although it
/// must not run twice.
fn needs_proof(status: StatusCode) -> bool {
    status.is_success()
        || matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
}

/// Whether the proof is there, once and not empty. Its text means nothing to the gateway.
fn is_proven(proof: Option<&HeaderName>, headers: &HeaderMap) -> bool {
    let Some(proof) = proof else {
        return true;
    };
    let mut values = headers.get_all(proof).iter();
    let has_proof = values.next().is_some_and(|value| !value.is_empty());
    has_proof && values.next().is_none()
}

#[cfg(test)]
#[path = "answer_head_tests.rs"]
mod tests;
