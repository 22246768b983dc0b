//! A blocking HTTP/1.1 server with limits on everything that an untrusted client controls, and the judgement of heads that
//! servers send.
//!
//! Each connection has its own thread with a small stack. `httparse` parses request heads and
//! `chunked_transfer` decodes chunked bodies. This crate adds what a router needs and `tiny_http`
//! lacks: limits on connections and on the size of heads, and deadlines for slow senders and
//! receivers. `docs/DESIGN.md` has the figures behind this choice.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod answer_head;
mod connection;
mod request;
mod responder;
mod server;
mod stream_body;

pub use answer_head::{head_structure_fault, HeadStructureFault};
pub use request::{Header, Method, Request};
pub use responder::{Responder, SendOutcome};
pub use server::{Handler, Server, ServerParams, ServerStatus};
pub use stream_body::StreamBody;

/// Response header: whether a refused request may have run.
pub const EXECUTION_HEADER: &str = "x-drumshore-execution";

/// Response header: the delay before a retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "x-drumshore-retry-after-ms";

/// Header with the identifier of the request.
pub const REQUEST_ID_HEADER: &str = "x-drumshore-request-id";

#[cfg(test)]
mod tests;
