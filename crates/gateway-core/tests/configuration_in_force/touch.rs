//! For whom a bound holds: routers in touch with control machines of which more than half run and reach each other.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// A machine is in touch when nothing has disturbed it for so long.
pub const CONTACT: Duration = Duration::from_secs(3);
/// A configuration is in force so long after it was acknowledged.
pub const APPLY: Duration = Duration::from_secs(2);
/// So much later while control machines are disturbed, but more than half run and reach each other.
pub const MOST_SKEW: Duration = Duration::from_secs(5);

/// Machines that reach more than half of all, themselves among them, in both directions.
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

/// Since when something has held without interruption.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held(Option<Timestamp>);

impl Held {
    pub fn note(&mut self, now: Timestamp, holds: bool) {
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
