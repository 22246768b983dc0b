//! When a router asks control machines for what changed.

use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// A question is repeated after this long, on whichever link speaks next: an answer takes 50 ms at most on a
/// link of 10 Mbit/s, for larger ones come in parts.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// Each further repetition waits twice as long as the one before, this often. Control machines that answer late
/// have too much to do; repeated questions would give them more.
const MOST_DOUBLINGS: u32 = 3;
/// A router that has known for so long that it is behind, and got nothing meanwhile, asks machines that it does
/// not follow as well: those that it follows may be cut off from the others.
const FOLLOWED_PATIENCE: Duration = Duration::from_millis(400);

/// What is asked, and what there is to ask for.
#[derive(Debug, Default)]
pub struct Fetches {
    under_way: Option<Fetch>,
    /// Questions in a row that got no answer.
    unanswered: u32,
    /// Since when this router has known of changes and got none.
    behind_since: Option<Timestamp>,
    /// The highest revision that a control machine spoke of.
    announced: u64,
}

/// A question that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    from: Ipv4Addr,
    asked: Timestamp,
    patience: Duration,
}

impl Fetches {
    /// A control machine spoke of a revision. True when it should be asked for what leads there
    /// from the one that is held.
    pub fn is_due(&mut self, now: Timestamp, is_followed: bool, announced: u64, held: u64) -> bool {
        self.announced = self.announced.max(announced);
        if self.announced <= held {
            self.behind_since = None;
            return false;
        }
        let behind_since = self.behind_since.unwrap_or(now);
        self.behind_since = Some(behind_since);
        let may_ask = is_followed || now.since(behind_since) >= FOLLOWED_PATIENCE;
        let under_way = self.under_way;
        may_ask && under_way.is_none_or(|fetch| fetch.is_overdue(now))
    }

    /// True while a newer revision is known than the one that is held.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// For how long a newer revision has been known.
    pub fn behind(&self, now: Timestamp) -> Duration {
        self.behind_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// A control machine was asked.
    pub fn on_asked(&mut self, now: Timestamp, from: Ipv4Addr) {
        let unanswered = self.unanswered;
        self.unanswered = unanswered + 1;
        self.under_way = Some(Fetch {
            from,
            asked: now,
            patience: REPEAT_AFTER * 2_u32.pow(unanswered.min(MOST_DOUBLINGS)),
        });
    }

    /// Changes have come.
    pub fn on_answer(&mut self) {
        self.under_way = None;
        self.unanswered = 0;
        self.behind_since = None;
    }

    /// A link has ended: what was asked on it is not answered any more.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        let under_way = self.under_way;
        let others = under_way.filter(|fetch| fetch.from != address);
        self.under_way = others;
    }
}

impl Fetch {
    fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.asked) >= self.patience
    }
}

#[cfg(test)]
#[path = "fetches_tests.rs"]
mod tests;
