//! The gateway's daemons: routers that forward callers' requests, and control machines that replicate the configuration
//! and serve operators and back ends. Decisions are made in `drumshore-gateway-core`; this crate provides sockets,
//! clock and signals, on one event loop per process.
//!
//! The protocol of callers, back ends and operators is defined by a [`Dialect`]; the daemons contain none of its names.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod answer;
mod answer_head;
mod body_reception;
mod caller_body;
mod caller_connections;
mod caller_stream;
mod client_activity;
mod clock;
mod connection_errors;
mod control;
mod dead_peer_timeout;
mod dialect;
mod event_loop_delay;
mod head_limits;
mod link;
pub mod logs;
mod memory_account;
mod memory_shares;
mod metrics;
mod open_connections;
mod read_ahead;
mod request_body;
mod router;
mod server;
mod settings;
mod signals;
mod sockets;
mod surplus;
mod traffic;
mod unknown_names;
mod upstream;

pub use control::run as run_control;
pub use dialect::{
    ControlCall, Dialect, HeaderNames, InvalidCall, OutboundCall, StoreEvent, StoreEvents,
};
pub use router::run as run_router;
pub use settings::{ControlSettings, RouterSettings, SeedSource};

/// An error that ends a daemon.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listening socket could not be opened.
    #[error("cannot listen for {purpose} at {address}: {source}")]
    Listen {
        /// What the socket was to serve.
        purpose: &'static str,
        /// The address to listen at.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The event loop or its signal handlers could not be set up.
    #[error("cannot set up the event loop: {0}")]
    EventLoop(#[from] std::io::Error),
    /// The data folder cannot be used.
    #[error("cannot use the data folder: {0}")]
    Folder(#[from] drumshore_consensus::ReplicaError),
}

/// Runs a daemon on the current thread until it ends.
fn run_on_event_loop(
    daemon: impl std::future::Future<Output = Result<(), DaemonError>>,
) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, daemon)
}
