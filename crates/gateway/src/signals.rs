//! The signals that a daemon heeds.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Stop and reload.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// End in good order.
    Stop,
    /// Read the settings again.
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
