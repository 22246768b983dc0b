//! Number of routers among which limits, retries and connections are divided.

use std::collections::VecDeque;
use std::time::Duration;

use drumshore_core::Timestamp;

/// How long a count is valid. A control machine that has just started counts few routers until all have connected to
/// it, and one that is cut off from some routers counts only the others. A router that no control machine counts
/// stops serving when its key lease expires.
const COUNT_TTL: Duration = Duration::from_secs(10);

/// The largest recent count of any control machine. A count that is too high leaves some of the divided amount unused,
/// and one that is too low gives some of it out twice. Counts are kept in falling order, so the first is the largest.
#[derive(Debug, Default)]
pub(super) struct RouterCount(VecDeque<(u16, Timestamp)>);

impl RouterCount {
    /// Records the count of a control machine.
    pub fn note(&mut self, now: Timestamp, routers: u16) {
        while self
            .0
            .back()
            .is_some_and(|(earlier, _)| *earlier <= routers)
        {
            self.0.pop_back();
        }
        self.0.push_back((routers, now));
        while self
            .0
            .front()
            .is_some_and(|(_, at)| now.since(*at) > COUNT_TTL)
        {
            self.0.pop_front();
        }
    }

    /// The number of routers, at least one.
    pub fn get(&self) -> u16 {
        self.0.front().map_or(1, |(routers, _)| (*routers).max(1))
    }
}

#[cfg(test)]
#[path = "router_count_tests.rs"]
mod tests;
