//! When a router asks control machines for what changed, and which of them.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::Position;

/// A fetch without an answer is followed by another after this long: an answer takes 50 ms at most on a link of
/// 10 Mbit/s, for larger ones come in parts.
const REPEAT_AFTER: Duration = Duration::from_millis(300);
/// Once all machines that have what is wanted were asked, the next fetch waits twice as long, this often. Control
/// machines that answer late have too much to do; repeated fetches would give them more.
const MOST_DOUBLINGS: u32 = 3;
/// A router that has been behind for so long without progress, or asked in vain, asks machines that it does not follow
/// as well: those that it follows may be cut off from the others.
const FOLLOWED_PATIENCE: Duration = Duration::from_millis(400);

/// Fetches of changes. Only progress of the view counts as an answer.
#[derive(Debug, Default)]
pub struct Fetches {
    under_way: Option<Fetch>,
    /// Fetches since the last progress, by whom they went to.
    asked: BTreeMap<Ipv4Addr, u32>,
    /// Since when this router has known of changes without getting any.
    behind_since: Option<Timestamp>,
    /// The highest revision that any control machine spoke of.
    newest: u64,
    /// What each linked machine has, by what it said last.
    revisions: BTreeMap<Ipv4Addr, u64>,
}

/// A fetch that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    to: Ipv4Addr,
    asked: Timestamp,
    patience: Duration,
}

impl Fetches {
    /// A control machine spoke of its revision. True when the router learns by it that it is behind.
    pub fn on_revision(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        revision: u64,
        held: u64,
    ) -> bool {
        self.revisions.insert(from, revision);
        self.newest = self.newest.max(revision);
        let was_behind = self.behind_since.is_some();
        self.note_position(now, held);
        !was_behind && self.behind_since.is_some()
    }

    /// Changes have come from a machine that has `newest`, and `held` is what the router has with them.
    pub fn on_changes(&mut self, now: Timestamp, from: Ipv4Addr, newest: u64, progress: Progress) {
        let held = match progress {
            Progress::Made { held } => {
                self.under_way = None;
                self.asked.clear();
                self.behind_since = None;
                held
            }
            Progress::None { held } => held,
        };
        self.on_revision(now, from, newest, held);
    }

    /// The machine to ask now, if any.
    pub fn due(
        &mut self,
        now: Timestamp,
        position: Position,
        followed: &[Ipv4Addr],
    ) -> Option<Ipv4Addr> {
        self.note_position(now, position.held);
        let behind_since = self.behind_since?;
        if self.under_way.is_some_and(|fetch| !fetch.is_overdue(now)) {
            return None;
        }
        let may_ask_any = !self.asked.is_empty() || now.since(behind_since) >= FOLLOWED_PATIENCE;
        let has_more =
            |revision: u64| revision > position.held && revision >= position.source_revision;
        let able = self.revisions.iter().filter(|(_, has)| has_more(**has));
        let able = able.map(|(address, _)| *address);
        able.filter(|address| may_ask_any || followed.contains(address))
            .min_by_key(|address| {
                let is_followed = followed.contains(address);
                (self.times_asked(*address), !is_followed)
            })
    }

    /// A control machine was asked.
    pub fn on_fetch_sent(&mut self, now: Timestamp, to: Ipv4Addr) {
        let times = self.asked.entry(to).or_default();
        let doublings = (*times).min(MOST_DOUBLINGS);
        *times += 1;
        self.under_way = Some(Fetch {
            to,
            asked: now,
            patience: REPEAT_AFTER * 2_u32.pow(doublings),
        });
    }

    /// A link has ended: what was asked on it is not answered any more.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.revisions.remove(&address);
        self.under_way = self.under_way.filter(|fetch| fetch.to != address);
    }

    /// For how long a newer revision has been known without progress; `None` when none is.
    pub fn behind(&self, now: Timestamp) -> Option<Duration> {
        self.behind_since.map(|since| now.since(since))
    }

    fn note_position(&mut self, now: Timestamp, held: u64) {
        let is_behind = self.newest > held;
        let since = self.behind_since.unwrap_or(now);
        self.behind_since = is_behind.then_some(since);
    }

    fn times_asked(&self, address: Ipv4Addr) -> u32 {
        self.asked.get(&address).copied().unwrap_or_default()
    }
}

/// What changes that came did to the view, which then holds a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// They led it on.
    Made {
        /// The revision.
        held: u64,
    },
    /// They could not be used, or led nowhere.
    None {
        /// The revision.
        held: u64,
    },
}

impl Fetch {
    fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.asked) >= self.patience
    }
}

#[cfg(test)]
#[path = "fetches_tests.rs"]
mod tests;
