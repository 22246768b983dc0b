//! The gateway's daemons: routers that forward callers' requests, and control machines that
//! operators and back ends call. Decisions are made in `drumshore-gateway-core`; this crate has
//! the sockets, the clock and the signals, on one event loop per process.
//!
//! What callers, back ends and operators speak is a [`Dialect`]; the daemons know no name of it.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod answer;
mod clock;
mod control;
mod dialect;
mod link;
pub mod logs;
mod metrics;
mod router;
mod server;
mod settings;
mod signals;
mod sockets;
mod traffic;
mod unknown_headers;
mod upstream;

pub use control::run as run_control;
pub use dialect::{
    ControlCall, Dialect, HeaderNames, InvalidCall, OutboundCall, StoreEvent, StoreEvents,
};
pub use router::run as run_router;
pub use settings::{ControlSettings, RouterSettings, SeedSource};

/// Why a daemon ends.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A socket could not be opened.
    #[error("{what} at {address}: {source}")]
    Listen {
        /// What was to be served.
        what: &'static str,
        /// Where.
        address: std::net::SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The event loop could not be started.
    #[error("event loop: {0}")]
    EventLoop(#[from] std::io::Error),
    /// The data folder cannot be used.
    #[error("data folder: {0}")]
    Folder(#[from] drumshore_consensus::ReplicaError),
}

/// Runs a daemon on one thread, until it ends.
fn run_on_event_loop(
    daemon: impl std::future::Future<Output = Result<(), DaemonError>>,
) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, daemon)
}
