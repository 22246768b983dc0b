//! Limits of the connections that a control machine keeps open.
//!
//! Each back end keeps a connection open for its heartbeats. With a fixed limit of 1,000, 3,000 back ends of five control
//! machines use up the connections of the busiest ones. Further calls of operators and heartbeats then wait in the
//! listener's backlog until their callers time out.

/// File descriptors reserved for files, for links to other processes and for calls to back ends: a link for each of 360
/// routers, as many calls, and the 200 that the users' platform sets aside.
const RESERVED_DESCRIPTORS: usize = 920;
/// Share of the other descriptors that is for back ends and operators. The rest is for callers of the directory, whose
/// connections are short-lived.
const CONTROL_SHARE: f64 = 0.75;
/// Minimum of connections of each kind, for machines with few descriptors.
const MIN_CONNECTIONS: usize = 256;

/// Connections that may be open at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    /// Connections of back ends and operators.
    pub control: usize,
    /// Connections of callers of the directory.
    pub directory: usize,
}

impl ConnectionLimits {
    /// The limits for a process that may open `max_descriptors` file descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        let free = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let control = (free as f64 * CONTROL_SHARE) as usize;
        Self {
            control: control.max(MIN_CONNECTIONS),
            directory: (free - control).max(MIN_CONNECTIONS),
        }
    }
}

#[cfg(test)]
#[path = "connections_tests.rs"]
mod tests;
