//! What a router reported of its own load, to take it out of sums over all routers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::LoadEntry;

/// Sums that arrive hold reports of up to this age: a report waits 80 ms at the router and 50 ms at the leader, and
/// the list is on its way or waits for its turn.
const SUMS_LAG: Duration = Duration::from_millis(200);

/// The reports that sums which arrive now may hold, the newest last.
#[derive(Debug, Default)]
pub struct ReportedLoads(VecDeque<(Timestamp, Vec<LoadEntry>)>);

impl ReportedLoads {
    /// What was reported last.
    pub fn last(&self) -> &[LoadEntry] {
        self.0.back().map_or(&[], |(_, loads)| loads)
    }

    /// A report has been sent.
    pub fn note(&mut self, now: Timestamp, loads: Vec<LoadEntry>) {
        self.0.push_back((now, loads));
        self.forget_before(now);
    }

    /// What the others put on back ends, by sums over all routers.
    ///
    /// Nobody says which report a sum holds. With the last one taken out, a prompt that has just been answered would
    /// count as load of others at its home, and the next one like it would be read again elsewhere. So the most that
    /// any report of late had is taken out: what others put on a back end that this router uses itself is rather
    /// taken for too little, for a moment.
    pub fn without_own(&mut self, now: Timestamp, sums: &[LoadEntry]) -> Vec<LoadEntry> {
        self.forget_before(now);
        let mut most: HashMap<u32, LoadEntry> = HashMap::new();
        for entry in self.0.iter().flat_map(|(_, loads)| loads) {
            let known = most.entry(entry.key).or_insert(*entry);
            known.pending = known.pending.max(entry.pending);
            known.in_flight = known.in_flight.max(entry.in_flight);
        }
        let own: Vec<LoadEntry> = most.into_values().collect();
        LoadEntry::without(sums, &own)
    }

    /// Forgets reports that were replaced before any sum that arrives now.
    fn forget_before(&mut self, now: Timestamp) {
        let is_replaced = |next: &(Timestamp, Vec<LoadEntry>)| now.since(next.0) >= SUMS_LAG;
        while self.0.get(1).is_some_and(is_replaced) {
            self.0.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "reported_loads_tests.rs"]
mod tests;
