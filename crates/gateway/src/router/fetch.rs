//! When a router asks control machines for what changed.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// A question is repeated after this long, on whichever link speaks next.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// The same for the whole state, while the link that was asked stands. The largest state measured
/// (3,003 back ends, 360 KB) takes 0.3 s over a link of 10 Mbit/s alone, and longer when all routers
/// ask at once; a second copy only delays the first.
const REPEAT_WHOLE_AFTER: Duration = Duration::from_millis(2_500);

/// What is asked, and what there is to ask for.
#[derive(Debug, Default)]
pub(super) struct Fetches {
    under_way: Cell<Option<Fetch>>,
    /// The highest revision that a control machine spoke of.
    announced: Cell<u64>,
}

/// A question that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    from: Ipv4Addr,
    asked: Timestamp,
    /// The revision that is held; 0 asks for the whole state.
    since: u64,
}

impl Fetches {
    /// A control machine spoke of a revision. True when it should be asked for what leads there
    /// from the one that is held.
    pub fn is_due(&self, now: Timestamp, announced: u64, held: u64) -> bool {
        self.announced.set(self.announced.get().max(announced));
        let is_behind = self.announced.get() > held;
        let under_way = self.under_way.get();
        is_behind && under_way.is_none_or(|fetch| fetch.is_overdue(now))
    }

    /// A control machine was asked.
    pub fn on_asked(&self, now: Timestamp, from: Ipv4Addr, since: u64) {
        self.under_way.set(Some(Fetch {
            from,
            asked: now,
            since,
        }));
    }

    /// Changes have come.
    pub fn on_answer(&self) {
        self.under_way.set(None);
    }

    /// A link has ended: what was asked on it is not answered any more.
    pub fn on_link_ended(&self, address: Ipv4Addr) {
        let under_way = self.under_way.get();
        let others = under_way.filter(|fetch| fetch.from != address);
        self.under_way.set(others);
    }
}

impl Fetch {
    fn is_overdue(&self, now: Timestamp) -> bool {
        let patience = if self.since == 0 {
            REPEAT_WHOLE_AFTER
        } else {
            REPEAT_AFTER
        };
        now.since(self.asked) >= patience
    }
}

#[cfg(test)]
#[path = "fetch_tests.rs"]
mod tests;
