//! Looks for bytes behind the declared length of an answer before its head is forwarded.

use std::time::Duration;

use hyper::body::Body;
use hyper::{Method, Response};

use super::received_body::Framing;
use crate::read_ahead::ReadAheadBody;
use crate::upstream::Connection;

/// How long content may take to follow the head of a success that declares none.
pub(super) const EMPTY_ANSWER_WAIT: Duration = Duration::from_millis(50);

/// Whether the body of an answer goes on behind its declared length, as far as it has arrived with the head. Content behind a
/// success without any, which is complete with its head, is waited for.
pub(super) async fn is_exceeded(
    method: &Method,
    response: &mut Response<ReadAheadBody>,
    connection: &Connection,
    empty_answer_wait: Duration,
) -> bool {
    if Framing::of(response) != Framing::Length || *method == Method::HEAD {
        return false;
    }
    let is_success = response.status().is_success();
    let (body, surplus) = (response.body_mut(), connection.surplus());
    body.read_ahead().await;
    if is_success && body.is_end_stream() {
        surplus.becomes_content(empty_answer_wait).await
    } else {
        body.is_read() && surplus.is_content()
    }
}
