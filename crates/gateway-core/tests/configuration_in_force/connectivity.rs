//! The conditions under which a bound holds: the router is connected to control machines of which more than half run and
//! reach each other.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// A router or machine counts as connected when nothing has disturbed it for this time.
pub const MIN_CONNECTED: Duration = Duration::from_secs(3);
/// A configuration is in force at the latest this time after it was acknowledged.
pub const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Added to [`APPLY_BOUND`] while control machines are disturbed, but more than half run and reach each other.
pub const DISTURBED_ALLOWANCE: Duration = Duration::from_secs(5);

/// Machines that reach more than half of all machines, themselves included, in both directions.
pub fn connected(
    all: &[Ipv4Addr],
    runs: impl Fn(Ipv4Addr) -> bool,
    reaches: impl Fn(Ipv4Addr, Ipv4Addr) -> bool,
) -> BTreeSet<Ipv4Addr> {
    let running: Vec<Ipv4Addr> = all.iter().copied().filter(|at| runs(*at)).collect();
    let reached = |at: Ipv4Addr| {
        let others = running.iter().filter(|other| **other != at);
        1 + others
            .filter(|other| reaches(at, **other) && reaches(**other, at))
            .count()
    };
    let connected = running.iter().copied();
    connected
        .filter(|at| 2 * reached(*at) > all.len())
        .collect()
}

/// The time since which a condition has held without interruption.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldSince(Option<Timestamp>);

impl HeldSince {
    pub fn update(&mut self, now: Timestamp, holds: bool) {
        let since = self.0.unwrap_or(now);
        self.0 = holds.then_some(since);
    }

    pub fn lasts(&self, now: Timestamp, duration: Duration) -> bool {
        self.0.is_some_and(|since| now.since(since) >= duration)
    }

    pub fn since(&self) -> Option<Timestamp> {
        self.0
    }
}
