//! Judges by the head of an answer whether a back end gave that answer.
//!
//! A head that ends early with a blank line parses like a whole one: the fields after it are missing, among them what
//! frames the body.

use hyper::header::HeaderName;
use hyper::{HeaderMap, Response};

/// Why an answer is not taken for that of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadFault {
    /// A success without the proof that a back end gave it.
    Unproven,
}

impl HeadFault {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unproven => "unproven",
        }
    }
}

/// What is wrong with the head of an answer; `None` if nothing is. `proof` names the field that back ends set on answers.
pub(super) fn fault<B>(proof: Option<&HeaderName>, response: &Response<B>) -> Option<HeadFault> {
    if response.status().is_success() && !is_proven(proof, response.headers()) {
        return Some(HeadFault::Unproven);
    }
    None
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
