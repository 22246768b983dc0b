//! How many connections a control machine keeps open.
//!
//! Back ends keep a connection for their heartbeats. With a fixed bound of 1,000, three thousand
//! back ends before five machines filled the busiest ones; what came then, an operator's call or
//! another heartbeat, waited in the listener's queue until its caller gave up.

/// Of the descriptors that the machine allows, those for files, for links to other processes and for
/// calls to back ends. A link for each of 360 routers, as many calls, and the 200 that the users'
/// platform sets aside.
const RESERVED_DESCRIPTORS: usize = 920;
/// Part of the others for back ends and operators; the rest is for callers of the directory, who
/// come and go.
const CONTROL_SHARE: f64 = 0.75;
/// Connections of each kind on a machine with few descriptors.
const MIN_CONNECTIONS: usize = 256;

/// Connections at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    /// For back ends and operators.
    pub control: usize,
    /// For callers of the directory.
    pub directory: usize,
}

impl ConnectionLimits {
    /// For a process that may have so many descriptors open.
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
