//! The load that routers put on back ends: what each reports, and what all are told of the sums.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_wire::List;

use crate::{LoadEntry, Message};

/// A router's report that is not repeated counts for so long.
const REPORT_COUNTS_FOR: Duration = Duration::from_millis(600);

/// The whole list is sent after this long, in case a message was lost, and before a router takes
/// silence for no load.
const WHOLE_LIST_AFTER: Duration = Duration::from_millis(800);

/// Bytes a second that loads may cost one router, of 14 KB/s that a node may spend on all control
/// traffic. Longer lists are sent less often.
const BYTES_PER_SECOND: f64 = 10_000.0;

/// Loads in one list at most: what can be sent before the whole list is due again. A longer one would come too
/// seldom for any of it to count.
const MOST_LOADS: usize = (BYTES_PER_SECOND as usize * WHOLE_LIST_AFTER.as_millis() as usize)
    / (1_000 * LoadEntry::BYTES);

/// What a request in flight counts beside tokens that wait, when the heaviest loads are picked: about as routers
/// weigh a stream, see `STREAM_TOKENS` there.
const REQUEST_TOKENS: u32 = 60;

/// What one router reported.
#[derive(Debug)]
pub(super) struct LoadReport {
    loads: Vec<LoadEntry>,
    at: Timestamp,
}

/// What routers were told of the sums.
#[derive(Debug, Default)]
pub(super) struct LoadNews {
    /// As routers have it, in the order of keys.
    sent: Vec<LoadEntry>,
    /// When the next list may follow, by the length of the last one.
    next_at: Timestamp,
    whole_list_at: Option<Timestamp>,
}

/// The load of all routers, by [`LoadEntry::key_of`] a back end.
#[derive(Debug, Default)]
pub(super) struct Totals(BTreeMap<u32, Total>);

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    pending: u32,
    in_flight: u32,
}

impl LoadReport {
    pub fn new(now: Timestamp) -> Self {
        Self::of(now, Vec::new())
    }

    pub fn of(now: Timestamp, loads: Vec<LoadEntry>) -> Self {
        Self { loads, at: now }
    }

    /// What the router reported.
    pub fn loads(&self) -> &[LoadEntry] {
        &self.loads
    }

    /// Drops a report that was not repeated.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.at) >= REPORT_COUNTS_FOR {
            self.loads.clear();
        }
    }
}

impl LoadNews {
    /// What routers are to be told, if anything is due.
    pub fn next_message(&mut self, now: Timestamp, totals: &Totals) -> Option<Message> {
        if now < self.next_at {
            return None;
        }
        let all = heaviest(totals.entries());
        let last_whole = self.whole_list_at;
        let is_whole = last_whole.is_none_or(|at| now.since(at) >= WHOLE_LIST_AFTER);
        let loads = if is_whole {
            all.clone()
        } else {
            changed_loads(&self.sent, &all)
        };
        if loads.is_empty() && (self.sent.is_empty() || !is_whole) {
            return None;
        }
        let bytes = loads.len() * LoadEntry::BYTES;
        let interval = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.next_at = now.plus(interval);
        if is_whole {
            self.whole_list_at = Some(now);
        }
        self.sent = all;
        Some(Message::LoadsOfAll {
            whole: u8::from(is_whole),
            loads: List::new(loads),
        })
    }
}

impl Totals {
    /// Counts one router's report.
    pub fn add(&mut self, reported: &[LoadEntry]) {
        for entry in reported {
            let total = self.0.entry(entry.key).or_default();
            total.pending += u32::from(entry.pending);
            total.in_flight += u32::from(entry.in_flight);
        }
    }

    /// Tokens that wait at each back end.
    pub fn pending_tokens(&self) -> BTreeMap<u32, u32> {
        let tokens = |total: &Total| total.pending * LoadEntry::TOKENS;
        self.0
            .iter()
            .map(|(key, total)| (*key, tokens(total)))
            .collect()
    }

    /// In the order of keys, those that have any.
    fn entries(&self) -> Vec<LoadEntry> {
        let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
        let entries = self.0.iter().map(|(key, total)| LoadEntry {
            key: *key,
            pending: narrow(total.pending),
            in_flight: narrow(total.in_flight),
        });
        entries
            .filter(|entry| entry.pending > 0 || entry.in_flight > 0)
            .collect()
    }
}

/// As many loads as are told, in the order of keys: the heaviest if not all. That a back end has little to do is
/// told by silence.
fn heaviest(mut loads: Vec<LoadEntry>) -> Vec<LoadEntry> {
    if loads.len() > MOST_LOADS {
        loads.select_nth_unstable_by_key(MOST_LOADS, |load| Reverse(weight(load)));
        loads.truncate(MOST_LOADS);
        loads.sort_unstable_by_key(|load| load.key);
    }
    loads
}

fn weight(load: &LoadEntry) -> u32 {
    u32::from(load.pending) * LoadEntry::TOKENS + u32::from(load.in_flight) * REQUEST_TOKENS
}

/// The entries of `after` that differ from `before`, and empty ones for those that are gone. Both
/// lists are in the order of their keys.
fn changed_loads(before: &[LoadEntry], after: &[LoadEntry]) -> Vec<LoadEntry> {
    let find = |loads: &[LoadEntry], key: u32| {
        let at = loads.binary_search_by_key(&key, |entry| entry.key);
        at.ok().map(|at| loads[at])
    };
    let changed = after
        .iter()
        .filter(|entry| find(before, entry.key) != Some(**entry))
        .copied();
    let gone = before
        .iter()
        .filter(|entry| find(after, entry.key).is_none())
        .map(|entry| LoadEntry {
            key: entry.key,
            ..LoadEntry::default()
        });
    changed.chain(gone).collect()
}
