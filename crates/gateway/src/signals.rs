//! The signals that a daemon handles: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Receives the signals.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// Shut down gracefully.
    Stop,
    /// Read the reloadable settings again.
    Reload,
}

impl Signals {
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    pub async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}
