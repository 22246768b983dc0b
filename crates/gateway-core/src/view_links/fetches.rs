//! When a router fetches changes of the replicated state, and from which control machine.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::Position;

/// A fetch is repeated when nothing of a response has arrived for this time. The configuration is not sent in chunks, so
/// a response may take longer to arrive.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// A fetch is also repeated, at another machine, when its response is not complete after this time, which doubles with
/// each fetch since the last progress: the machine or its link may be slow.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(1);
/// The timeout doubles with each further fetch from the same machine, at most this many times. Control machines that
/// respond late are overloaded, and repeated fetches would add to their load.
const MAX_DOUBLINGS: u32 = 3;
/// A router that has been behind for this time without progress, or has sent a fetch without progress, also fetches
/// from machines that it does not follow: those that it follows may be partitioned from the rest.
const FOLLOWED_ONLY_FOR: Duration = Duration::from_millis(400);

/// The state of fetches. A fetch counts as answered only when the view makes progress.
#[derive(Debug, Default)]
pub struct Fetches {
    pending: Option<Fetch>,
    /// The number of fetches from each machine since the last progress.
    fetch_counts: BTreeMap<Ipv4Addr, u32>,
    /// Since when a newer revision has been known without progress.
    behind_since: Option<Timestamp>,
    /// The highest revision that any control machine announced.
    newest: u64,
    /// The revision that each linked machine announced last.
    revisions: BTreeMap<Ipv4Addr, u64>,
    /// When a part of an incomplete message last arrived from each linked machine.
    partial_messages: BTreeMap<Ipv4Addr, Timestamp>,
}

/// A fetch that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    to: Ipv4Addr,
    /// When it was sent, or when a part of a message arrived from the machine since.
    progressed_at: Timestamp,
    timeout: Duration,
    complete_by: Timestamp,
}

impl Fetches {
    /// A control machine announced its revision, while the view holds `held`. True if this shows that the view, which
    /// was current so far, is behind.
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

    /// Changes arrived from a machine whose own revision is `newest`.
    pub fn on_changes(&mut self, now: Timestamp, from: Ipv4Addr, newest: u64, progress: Progress) {
        let held = match progress {
            Progress::Made { held } => {
                self.pending = None;
                self.fetch_counts.clear();
                self.behind_since = None;
                held
            }
            Progress::None { held } => held,
        };
        self.on_revision(now, from, newest, held);
    }

    /// The machine to fetch from now, if any: the one asked least often since the last progress, among equals one that
    /// the router follows.
    pub fn due(
        &mut self,
        now: Timestamp,
        position: Position,
        followed: &[Ipv4Addr],
    ) -> Option<Ipv4Addr> {
        self.note_position(now, position.held);
        let behind_since = self.behind_since?;
        if self.pending.is_some_and(|fetch| !fetch.is_overdue(now)) {
            return None;
        }
        let may_ask_any =
            !self.fetch_counts.is_empty() || now.since(behind_since) >= FOLLOWED_ONLY_FOR;
        let has_more =
            |revision: u64| revision > position.held && revision >= position.source_revision;
        let able = self.revisions.iter().filter(|(_, has)| has_more(**has));
        let able = able.map(|(address, _)| *address);
        let able = able.filter(|address| !self.is_responding(now, *address));
        able.filter(|address| may_ask_any || followed.contains(address))
            .min_by_key(|address| {
                let is_followed = followed.contains(address);
                (self.fetch_count(*address), !is_followed)
            })
    }

    /// A fetch was sent to a control machine.
    pub fn on_fetch_sent(&mut self, now: Timestamp, to: Ipv4Addr) {
        let fetches: u32 = self.fetch_counts.values().sum();
        let max_response_time = MAX_RESPONSE_TIME * 2_u32.pow(fetches.min(MAX_DOUBLINGS));
        let count = self.fetch_counts.entry(to).or_default();
        let doublings = (*count).min(MAX_DOUBLINGS);
        *count += 1;
        self.pending = Some(Fetch {
            to,
            progressed_at: now,
            timeout: FETCH_TIMEOUT * 2_u32.pow(doublings),
            complete_by: now.plus(max_response_time),
        });
    }

    /// A part of a message arrived from a machine; the message is not complete yet.
    pub fn on_partial_message(&mut self, now: Timestamp, from: Ipv4Addr) {
        self.partial_messages.insert(from, now);
        if let Some(fetch) = self.pending.as_mut().filter(|fetch| fetch.to == from) {
            fetch.progressed_at = now;
        }
    }

    /// A link was closed: a fetch sent on it gets no response.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.revisions.remove(&address);
        self.partial_messages.remove(&address);
        self.pending = self.pending.filter(|fetch| fetch.to != address);
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

    /// Whether the response of a machine to an earlier fetch is still arriving.
    fn is_responding(&self, now: Timestamp, address: Ipv4Addr) -> bool {
        let partial_message_at = self.partial_messages.get(&address);
        self.fetch_count(address) > 0
            && partial_message_at.is_some_and(|at| now.since(*at) < FETCH_TIMEOUT)
    }

    fn fetch_count(&self, address: Ipv4Addr) -> u32 {
        self.fetch_counts.get(&address).copied().unwrap_or_default()
    }
}

/// Whether received changes advanced the view, and the revision that it holds afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The changes advanced the view.
    Made {
        /// The revision that the view holds.
        held: u64,
    },
    /// The changes could not be applied, or contained nothing new.
    None {
        /// The revision that the view holds.
        held: u64,
    },
}

impl Fetch {
    fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.progressed_at) >= self.timeout || now >= self.complete_by
    }
}

#[cfg(test)]
#[path = "fetches_tests.rs"]
mod tests;
