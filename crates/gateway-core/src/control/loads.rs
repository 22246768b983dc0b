//! The load that routers put on back ends: what each reports, and what the leader tells it of the
//! others.

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

/// Bytes a second that the others' load may cost one router, of 14 KB/s that a node may spend on
/// all control traffic. Longer lists are sent less often.
const BYTES_PER_SECOND: f64 = 10_000.0;

/// Bytes a second that it may cost the leader for all routers together: 300 routers at the rate above. Beyond, each
/// router gets less, so the leader's traffic, most of which crosses zones, does not grow with routers. What 985
/// routers were told took 7.9 MB/s across zones, for requests of which each back end sees one in 20 s.
const LEADER_BYTES_PER_SECOND: f64 = 3_000_000.0;

/// What a request in flight counts beside tokens that wait, when the heaviest are picked: about as routers weigh a
/// stream, see `STREAM_TOKENS` there.
const REQUEST_TOKENS: u32 = 60;

/// What one router reported, and what it was sent of the others.
#[derive(Debug)]
pub(super) struct LoadExchange {
    reported: Vec<LoadEntry>,
    reported_at: Timestamp,
    /// The others' load as the router has it, in the order of keys.
    sent: Vec<LoadEntry>,
    /// When the next list may follow, by the length of the last one.
    next_at: Timestamp,
    whole_list_at: Option<Timestamp>,
}

/// What loads may cost each router.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadBudget {
    bytes_per_second: f64,
}

impl LoadBudget {
    /// When the leader tells so many routers.
    pub fn among(routers: usize) -> Self {
        let part = LEADER_BYTES_PER_SECOND / routers.max(1) as f64;
        Self {
            bytes_per_second: part.min(BYTES_PER_SECOND),
        }
    }

    /// The loads that can be sent before the whole list is due again, the heaviest if not all. A longer list
    /// would come too seldom for any of it to count; that a back end has little to do is told by silence.
    fn heaviest(self, mut loads: Vec<LoadEntry>) -> Vec<LoadEntry> {
        let bytes = self.bytes_per_second * WHOLE_LIST_AFTER.as_secs_f64();
        let most = (bytes / LoadEntry::BYTES as f64) as usize;
        if loads.len() > most {
            loads.select_nth_unstable_by_key(most, |load| std::cmp::Reverse(weight(load)));
            loads.truncate(most);
            loads.sort_unstable_by_key(|load| load.key);
        }
        loads
    }
}

fn weight(load: &LoadEntry) -> u32 {
    u32::from(load.pending) * LoadEntry::TOKENS + u32::from(load.in_flight) * REQUEST_TOKENS
}

/// The load of all routers, by [`LoadEntry::key_of`] a back end.
#[derive(Debug, Default)]
pub(super) struct Totals(BTreeMap<u32, Total>);

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    pending: u32,
    in_flight: u32,
}

impl LoadExchange {
    pub fn new(now: Timestamp) -> Self {
        Self {
            reported: Vec::new(),
            reported_at: now,
            sent: Vec::new(),
            next_at: Timestamp::default(),
            whole_list_at: None,
        }
    }

    /// Takes in the router's report.
    pub fn on_report(&mut self, now: Timestamp, loads: Vec<LoadEntry>) {
        self.reported = loads;
        self.reported_at = now;
    }

    /// What the router reported.
    pub fn reported(&self) -> &[LoadEntry] {
        &self.reported
    }

    /// Drops a report that was not repeated.
    pub fn expire(&mut self, now: Timestamp) {
        if now.since(self.reported_at) >= REPORT_COUNTS_FOR {
            self.reported.clear();
        }
    }

    /// What this router is to be sent of the others' load, if anything is due.
    pub fn next_message(
        &mut self,
        now: Timestamp,
        totals: &Totals,
        budget: LoadBudget,
    ) -> Option<Message> {
        if now < self.next_at {
            return None;
        }
        let others = budget.heaviest(totals.without(&self.reported));
        let last_whole = self.whole_list_at;
        let is_whole = last_whole.is_none_or(|at| now.since(at) >= WHOLE_LIST_AFTER);
        let loads = if is_whole {
            others.clone()
        } else {
            changed_loads(&self.sent, &others)
        };
        if loads.is_empty() && (self.sent.is_empty() || !is_whole) {
            return None;
        }
        let bytes = loads.len() * LoadEntry::BYTES;
        let interval = Duration::from_secs_f64(bytes as f64 / budget.bytes_per_second);
        self.next_at = now.plus(interval);
        if is_whole {
            self.whole_list_at = Some(now);
        }
        self.sent = others;
        Some(Message::LoadsOfOthers {
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

    /// The load of all but one router, in the order of keys.
    fn without(&self, own: &[LoadEntry]) -> Vec<LoadEntry> {
        let own: BTreeMap<u32, &LoadEntry> = own.iter().map(|entry| (entry.key, entry)).collect();
        let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
        let others = self.0.iter().map(|(key, total)| {
            let own = own.get(key).map(|entry| **entry).unwrap_or_default();
            LoadEntry {
                key: *key,
                pending: narrow(total.pending.saturating_sub(u32::from(own.pending))),
                in_flight: narrow(total.in_flight.saturating_sub(u32::from(own.in_flight))),
            }
        });
        others
            .filter(|entry| entry.pending > 0 || entry.in_flight > 0)
            .collect()
    }
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
