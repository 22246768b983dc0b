//! Recent load reports of this router, used to subtract its own load from the sums over all routers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::{load_change, LoadEntry};

/// Maximum age of a report that a received sum includes. A report waits 80 ms at the router and 50 ms at the leader,
/// and the sums then take time to be queued and sent.
const MAX_SUM_LAG: Duration = Duration::from_millis(200);

/// Interval between two reports of changes that are not urgent.
const REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Unchanged load is reported again after this long, before it expires at the leader.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// The shortest interval between two reports.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// The reports that sums received now may include, the newest last.
#[derive(Debug, Default)]
pub struct ReportedLoads(VecDeque<(Timestamp, Vec<LoadEntry>)>);

impl ReportedLoads {
    /// The last report, empty before the first one.
    pub fn last(&self) -> &[LoadEntry] {
        self.0.back().map_or(&[], |(_, loads)| loads)
    }

    /// Whether the current loads are due to be reported.
    pub fn is_due(&self, now: Timestamp, loads: &[LoadEntry]) -> bool {
        let Some((reported_at, _)) = self.0.back() else {
            return !loads.is_empty();
        };
        let age = now.since(*reported_at);
        if age < MIN_INTERVAL {
            return false;
        }
        let last = self.last();
        let has_changed = loads != last;
        (has_changed && (age >= REPORT_INTERVAL || load_change::is_urgent(last, loads)))
            || (age >= REFRESH_INTERVAL && !loads.is_empty())
    }

    /// Records a report that has been sent.
    pub fn note(&mut self, now: Timestamp, loads: Vec<LoadEntry>) {
        self.0.push_back((now, loads));
        self.forget_before(now);
    }

    /// The load that the other routers put on back ends, computed from sums over all routers.
    ///
    /// A sum does not tell which of this router's reports it includes. If only the last report were subtracted, a
    /// prompt that has just been answered would count as load of other routers at its home, and the next prompt with
    /// the same prefix would be sent elsewhere and prefilled again. The maximum over the recent reports is subtracted
    /// instead, which briefly underestimates the load of others on back ends that this router uses itself.
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

    /// Drops the reports that a newer one replaced so long ago that no sum received now includes them.
    fn forget_before(&mut self, now: Timestamp) {
        let is_replaced = |next: &(Timestamp, Vec<LoadEntry>)| now.since(next.0) >= MAX_SUM_LAG;
        while self.0.get(1).is_some_and(is_replaced) {
            self.0.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "reported_loads_tests.rs"]
mod tests;
