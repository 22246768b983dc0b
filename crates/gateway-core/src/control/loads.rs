//! Load that routers put on back ends: the reports of routers, and the broadcast of their sums.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_wire::List;

use crate::occupancy::occupancy;
use crate::{LoadEntry, Message};

/// A router's report expires after this time unless it is repeated.
const REPORT_TTL: Duration = Duration::from_millis(600);

/// Interval of full lists. They make up for lost messages, and arrive before a router takes the
/// absence of messages for the absence of load.
const FULL_LIST_INTERVAL: Duration = Duration::from_millis(800);

/// Bandwidth per router for loads, out of the 14 KB/s that a node may spend on all control traffic.
/// Longer lists are sent less often.
const MAX_BYTES_PER_SECOND: f64 = 10_000.0;

/// Size of a message without its entries: frame header, kind, flag and length.
const MESSAGE_OVERHEAD_BYTES: usize = 22;

/// Messages with loads that all control machines together send to routers in a second. More routers
/// therefore get them less often.
const MAX_MESSAGES_PER_SECOND: f64 = 10_000.0;

/// Limit on the entries of one list: what can be sent before the next full list is due. Entries of
/// a longer list would expire before it is repeated.
const MAX_LOADS_PER_MESSAGE: usize = (MAX_BYTES_PER_SECOND as usize
    * FULL_LIST_INTERVAL.as_millis() as usize)
    / (1_000 * LoadEntry::BYTES);

/// Weight of a request in flight, in waiting tokens, for the selection of the heaviest loads: about
/// the weight that routers give to a stream.
const IN_FLIGHT_REQUEST_TOKENS: u32 = 60;

/// The last load report of one router.
#[derive(Debug)]
pub(super) struct LoadReport {
    loads: Vec<LoadEntry>,
    at: Timestamp,
}

/// State of the broadcast of load sums to routers.
#[derive(Debug, Default)]
pub(super) struct LoadBroadcast {
    /// The sums that routers have, sorted by key.
    sent: Vec<LoadEntry>,
    /// Earliest time of the next list; depends on the length of the last one.
    next_at: Timestamp,
    full_list_at: Option<Timestamp>,
}

/// Sums of the loads of all routers, by the back end's [`LoadEntry::key_of`].
#[derive(Debug, Default)]
pub(super) struct LoadTotals(BTreeMap<u32, Total>);

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

    /// Load by back end.
    pub fn loads(&self) -> &[LoadEntry] {
        &self.loads
    }

    /// Clears a report that was not repeated in time.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.at) >= REPORT_TTL {
            self.loads.clear();
        }
    }
}

impl LoadBroadcast {
    /// The next message to that many routers; `None` if nothing is due.
    pub fn next_message(
        &mut self,
        now: Timestamp,
        totals: &LoadTotals,
        routers: u16,
    ) -> Option<Message> {
        if now < self.next_at {
            return None;
        }
        let all = heaviest(totals.entries());
        let last_full_list = self.full_list_at;
        let is_full_list = last_full_list.is_none_or(|at| now.since(at) >= FULL_LIST_INTERVAL);
        let loads = if is_full_list {
            all.clone()
        } else {
            changed_loads(&self.sent, &all)
        };
        if loads.is_empty() && (self.sent.is_empty() || !is_full_list) {
            return None;
        }
        let bytes = loads.len() * LoadEntry::BYTES + MESSAGE_OVERHEAD_BYTES;
        let by_bytes = bytes as f64 / MAX_BYTES_PER_SECOND;
        let by_messages = f64::from(routers) / MAX_MESSAGES_PER_SECOND;
        let interval = Duration::from_secs_f64(by_bytes.max(by_messages));
        self.next_at = now.plus(interval);
        if is_full_list {
            self.full_list_at = Some(now);
        }
        self.sent = all;
        Some(Message::LoadsOfAll {
            whole: u8::from(is_full_list),
            loads: List::new(loads),
        })
    }
}

impl LoadTotals {
    /// Adds the report of one router.
    pub fn add(&mut self, reported: &[LoadEntry]) {
        for entry in reported {
            let total = self.0.entry(entry.key).or_default();
            total.pending += u32::from(entry.pending);
            total.in_flight += u32::from(entry.in_flight);
        }
    }

    /// The fraction of a back end that is occupied, from 0 to 1, by its [`LoadEntry::key_of`].
    pub fn occupancy(&self, key: u32, slots: u32) -> f64 {
        let total = self.0.get(&key).copied().unwrap_or_default();
        occupancy(total.in_flight, slots, total.pending * LoadEntry::TOKENS)
    }

    /// Entries other than zero, sorted by key.
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

/// The entries to send, sorted by key: the heaviest ones if there are too many. A back end that is
/// not listed has little load.
fn heaviest(mut loads: Vec<LoadEntry>) -> Vec<LoadEntry> {
    if loads.len() > MAX_LOADS_PER_MESSAGE {
        loads.select_nth_unstable_by_key(MAX_LOADS_PER_MESSAGE, |load| Reverse(weight(load)));
        loads.truncate(MAX_LOADS_PER_MESSAGE);
        loads.sort_unstable_by_key(|load| load.key);
    }
    loads
}

fn weight(load: &LoadEntry) -> u32 {
    u32::from(load.pending) * LoadEntry::TOKENS
        + u32::from(load.in_flight) * IN_FLIGHT_REQUEST_TOKENS
}

/// The entries of `after` that differ from `before`, and zero entries for those that are missing.
/// Both lists are sorted by key.
fn changed_loads(before: &[LoadEntry], after: &[LoadEntry]) -> Vec<LoadEntry> {
    let find = |loads: &[LoadEntry], key: u32| {
        let at = loads.binary_search_by_key(&key, |entry| entry.key);
        at.ok().map(|at| loads[at])
    };
    let changed = after
        .iter()
        .filter(|entry| find(before, entry.key) != Some(**entry))
        .copied();
    let removed = before
        .iter()
        .filter(|entry| find(after, entry.key).is_none())
        .map(|entry| LoadEntry {
            key: entry.key,
            ..LoadEntry::default()
        });
    changed.chain(removed).collect()
}
