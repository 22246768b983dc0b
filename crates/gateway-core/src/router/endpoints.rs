//! All back ends as one router sees them, by their names and keys.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::addresses::Addresses;
use super::endpoint::{Endpoint, Outcome};
use super::notices::{Hearing, NoticeChange, NoticesOfAbsent};
use super::summary::{NameHash, Summary};
use crate::{BackEndNotice, InstanceId, InstanceRecord, LoadEntry, PoolName};

/// A back end that lost a request and sent nothing for so long, while that waited, has fallen
/// silent: answers of one that works come every few tens of milliseconds.
const SILENCE: Duration = Duration::from_millis(1_000);
/// One that was heard within this time is not taken for silent on another router's word.
const HEARD_LATELY: Duration = Duration::from_millis(600);
/// How long a back end that turned another router's request away is avoided: about as long as a
/// load of weights takes.
const REFUSING_PAUSE: Duration = Duration::from_millis(400);

/// All back ends.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<InstanceId, Endpoint>,
    /// By [`LoadEntry::key_of`], which several may share.
    by_key: BTreeSet<(u32, InstanceId)>,
    /// Those that have requests of this router.
    in_use: BTreeSet<InstanceId>,
    /// Those on which others are known to put load.
    loaded_by_others: BTreeSet<u32>,
    addresses: Addresses,
    /// Of back ends that control machines do not name at present.
    notices_of_absent: NoticesOfAbsent,
    /// Those that name a limit.
    limited: BTreeSet<InstanceId>,
}

impl Endpoints {
    /// Takes in the back ends that there are; what was learned of those that stay is kept.
    pub fn replace_all<'a>(&mut self, records: impl Iterator<Item = &'a Rc<InstanceRecord>>) {
        let earlier = std::mem::take(self);
        self.notices_of_absent = earlier.notices_of_absent;
        let mut earlier = earlier.by_id;
        for record in records {
            let id = InstanceId::new(record.instance.as_str());
            if let Some(endpoint) = earlier.remove(&id) {
                self.keep(id, endpoint);
            }
            self.insert(record);
        }
        for (id, endpoint) in earlier {
            self.notices_of_absent.keep(id, endpoint.notices);
        }
    }

    /// Keeps a back end with all that was learned of it.
    fn keep(&mut self, id: InstanceId, endpoint: Endpoint) {
        self.addresses.add(endpoint.record.address.as_str());
        self.by_key.insert((endpoint.key, id.clone()));
        if endpoint.in_flight > 0 {
            self.in_use.insert(id.clone());
        }
        if endpoint.has_load_of_others() {
            self.loaded_by_others.insert(endpoint.key);
        }
        if endpoint.is_limited() {
            self.limited.insert(id.clone());
        }
        self.by_id.insert(id, endpoint);
    }

    /// Takes in one back end that is new or has changed.
    pub fn insert(&mut self, record: &Rc<InstanceRecord>) {
        let id = InstanceId::new(record.instance.as_str());
        let Some(endpoint) = self.by_id.get_mut(&id) else {
            let notices = self.notices_of_absent.restore(&id);
            self.keep(id, Endpoint::new(record, notices));
            return;
        };
        self.addresses.add(record.address.as_str());
        self.addresses.remove(endpoint.record.address.as_str());
        endpoint.record = Rc::clone(record);
        endpoint.summary = Summary::of(record);
    }

    /// Whether several back ends are known at any one address.
    pub fn share_addresses(&self) -> bool {
        self.addresses.any_shared()
    }

    /// A back end has gone.
    pub fn remove(&mut self, instance: &str) {
        let id = InstanceId::new(instance);
        if let Some(endpoint) = self.by_id.remove(&id) {
            self.addresses.remove(endpoint.record.address.as_str());
            self.in_use.remove(&id);
            self.limited.remove(&id);
            self.by_key.remove(&(endpoint.key, id.clone()));
            self.notices_of_absent.keep(id, endpoint.notices);
        }
    }

    pub fn get(&self, instance: &InstanceId) -> Option<&Endpoint> {
        self.by_id.get(instance)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Endpoint)> {
        self.by_id.iter()
    }

    pub fn in_flight(&self) -> u32 {
        self.used().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Requests of all routers, waiting or running, for each slot of the back ends of a pool that
    /// take requests. Those that do not say how many slots they have do not count.
    pub fn slot_utilization(&self, now: Timestamp, pool: &PoolName) -> f64 {
        let pool = NameHash::of(pool.as_str());
        let takes_requests = |endpoint: &&Endpoint| {
            endpoint.summary.pool == pool
                && endpoint.summary.is_ready
                && !endpoint.summary.is_loading
                && endpoint.record.slots > 0
                && endpoint.is_reachable()
                && endpoint.avoided_until <= now
                && endpoint.notices.allow_requests(now)
        };
        let (mut taken, mut slots) = (0, 0);
        for endpoint in self.by_id.values().filter(takes_requests) {
            taken += endpoint.all_in_flight();
            slots += endpoint.slots();
        }
        f64::from(taken) / f64::from(slots.max(1))
    }

    pub fn started(&mut self, now: Timestamp, instance: &InstanceId, tokens: u32) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.notices.on_sent(now);
            endpoint.in_flight += 1;
            endpoint.pending_tokens += tokens;
            self.in_use.insert(instance.clone());
        }
    }

    /// The answer to a request has begun: its prompt has been read.
    pub fn answered(&mut self, instance: &InstanceId, tokens: u32) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.pending_tokens = endpoint.pending_tokens.saturating_sub(tokens);
        }
    }

    /// What this router puts on back ends.
    pub fn own_loads(&self) -> Vec<LoadEntry> {
        let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
        let loads = self.used().map(|endpoint| LoadEntry {
            key: endpoint.key,
            pending: narrow(endpoint.pending_tokens.div_ceil(LoadEntry::TOKENS)),
            in_flight: narrow(endpoint.in_flight),
        });
        loads.collect()
    }

    /// Back ends that have requests of this router.
    fn used(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_use.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Back ends that a key stands for.
    fn with_key(&self, key: u32) -> Vec<InstanceId> {
        let from = (key, InstanceId::new(""));
        let with_key = self.by_key.range(from..);
        let with_key = with_key.take_while(|(other, _)| *other == key);
        with_key.map(|(_, id)| id.clone()).collect()
    }

    fn change_with_key(&mut self, key: u32, mut change: impl FnMut(&InstanceId, &mut Endpoint)) {
        for id in self.with_key(key) {
            if let Some(endpoint) = self.by_id.get_mut(&id) {
                change(&id, endpoint);
            }
        }
    }

    /// Takes in what the other routers put on back ends. Those not named are free of it when the
    /// list is whole, else as before. Only those that are or were loaded are touched: lists come
    /// several times a second, and a pool may have thousands.
    pub fn set_others(&mut self, is_whole: bool, loads: &[LoadEntry]) {
        if is_whole {
            for key in std::mem::take(&mut self.loaded_by_others) {
                self.change_with_key(key, |_, endpoint| endpoint.others = LoadEntry::default());
            }
        }
        for entry in loads {
            self.loaded_by_others.insert(entry.key);
            self.change_with_key(entry.key, |_, endpoint| endpoint.others = *entry);
        }
    }

    /// A request that was sent at `begun` has left its back end. True when that has fallen silent,
    /// so that what this router keeps open to it is worth nothing.
    pub fn finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        begun: Timestamp,
        outcome: Outcome,
    ) -> bool {
        let Some(endpoint) = self.by_id.get_mut(instance) else {
            return false;
        };
        let is_lost = matches!(outcome, Outcome::Broken | Outcome::TimedOut);
        let silent_since = endpoint.last_received_at.get().max(begun);
        let fell_silent = is_lost && now.since(silent_since) >= SILENCE;
        let outcome = if fell_silent {
            Outcome::TimedOut
        } else {
            outcome
        };
        if outcome == Outcome::Answered {
            endpoint.note_stay(now.since(begun));
        }
        endpoint.note_outcome(now, outcome);
        if endpoint.in_flight == 0 {
            self.in_use.remove(instance);
        }
        fell_silent
    }

    /// A back end has accepted a request.
    pub fn accepted(&mut self, instance: &InstanceId) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.notices.on_accepted(endpoint.record.slots);
        }
    }

    /// Takes in what a back end said of itself to this router.
    pub fn on_notice(
        &mut self,
        instance: &InstanceId,
        notice: BackEndNotice,
        hearing: Hearing,
    ) -> NoticeChange {
        let Some(endpoint) = self.by_id.get_mut(instance) else {
            return self.notices_of_absent.take_in(instance, notice, hearing);
        };
        let in_flight = endpoint.in_flight;
        let change = endpoint.notices.take_in(notice, hearing, in_flight);
        if endpoint.is_limited() {
            self.limited.insert(instance.clone());
        } else {
            self.limited.remove(instance);
        }
        change
    }

    /// So many routers share the limits that back ends name.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.notices_of_absent.set_routers(now, routers);
        for id in &self.limited {
            if let Some(endpoint) = self.by_id.get_mut(id) {
                endpoint.notices.set_routers(now, routers);
            }
        }
    }

    /// False once a back end has asked this router for no requests, or says that it leaves.
    pub fn allows_requests(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let endpoint = self.by_id.get(instance);
        endpoint.is_none_or(|endpoint| endpoint.notices.allow_requests(now))
    }

    /// Other routers' requests were turned away by back ends.
    pub fn on_refusing(&mut self, now: Timestamp, keys: &[u32]) {
        for key in keys {
            self.change_with_key(*key, |_, endpoint| {
                endpoint.avoided_until = endpoint.avoided_until.max(now.plus(REFUSING_PAUSE));
            });
        }
    }

    /// A back end has ended. What stands for it may be wrong, so it is avoided as a silent one is, until
    /// its heartbeats are heard again.
    pub fn on_crashed(&mut self, now: Timestamp, instance: &InstanceId) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.avoid_as_silent(now);
        }
    }

    /// Another router found back ends silent. Those that were not heard here since are avoided as
    /// well, and returned.
    pub fn on_suspects(&mut self, now: Timestamp, keys: &[u32]) -> Vec<InstanceId> {
        let mut silent = Vec::new();
        for key in keys {
            self.change_with_key(*key, |id, endpoint| {
                let is_heard = now.since(endpoint.last_received_at.get()) < HEARD_LATELY;
                if !is_heard {
                    endpoint.avoid_as_silent(now);
                    silent.push(id.clone());
                }
            });
        }
        silent
    }
}
