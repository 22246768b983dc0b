//! A blocking HTTP/1.1 server edge with bounds on everything a stranger controls.
//!
//! One thread with a small stack serves one connection. Heads are parsed by `httparse`, chunked
//! bodies by `chunked_transfer`; this crate adds what a router beside its callers needs and
//! `tiny_http` has not: a bound on connections and on heads, and deadlines for slow senders and
//! receivers. `docs/DESIGN.md` has the figures that decided it.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod connection;
mod request;
mod responder;
mod server;

pub use request::{Header, Method, Request};
pub use responder::{Responder, SendOutcome, StreamBody};
pub use server::{Handler, Server, ServerParams, ServerStatus};

/// Header that says whether a refused request may have run.
pub const EXECUTION_HEADER: &str = "x-drumshore-execution";

/// Header with the time after which to come back, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "x-drumshore-retry-after-ms";

/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-drumshore-request-id";

#[cfg(test)]
mod tests;
