//! All back ends that one router knows, by name and by key, with the state that it keeps for each.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::addresses::Addresses;
use super::endpoint::{Endpoint, Outcome};
use super::notices::{AbsentNotices, NoticeChange, NoticeContext};
use super::summary::{NameHash, Summary};
use crate::back_end_speed::BackEndSpeeds;
use crate::{BackEndNotice, InstanceId, InstanceRecord, LoadEntry, PoolName};

/// A back end is unresponsive if it sent no bytes for this long before a request to it broke off or timed out.
/// A working one sends response bytes every few tens of milliseconds, and may be silent for a second or so.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);
/// Another router's report of an unresponsive back end is ignored if this router received bytes from the back end
/// within this time.
const RECENTLY_RECEIVED: Duration = Duration::from_millis(600);
/// Cooldown of a back end that refused another router's request: about as long as it takes to load weights.
const REFUSING_COOLDOWN: Duration = Duration::from_millis(400);

/// The back ends and the indexes over them.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<InstanceId, Endpoint>,
    /// Index by [`LoadEntry::key_of`]; several back ends may have the same key.
    by_key: BTreeSet<(u32, InstanceId)>,
    /// Back ends at which this router has requests in flight.
    in_use: BTreeSet<InstanceId>,
    /// Keys of the back ends on which other routers report load.
    loaded_by_others: BTreeSet<u32>,
    addresses: Addresses,
    /// Notices of back ends that control machines do not announce at present.
    notices_of_absent: AbsentNotices,
    /// Back ends that announce a rate limit.
    limited: BTreeSet<InstanceId>,
}

impl Endpoints {
    /// Replaces the set of back ends; the state of those that remain is kept.
    pub fn replace_all<'a>(&mut self, records: impl Iterator<Item = &'a Rc<InstanceRecord>>) {
        let earlier = std::mem::take(self);
        self.notices_of_absent = earlier.notices_of_absent;
        let mut earlier = earlier.by_id;
        for record in records {
            let id = InstanceId::new(record.instance.as_str());
            if let Some(endpoint) = earlier.remove(&id) {
                self.add(id, endpoint);
            }
            self.insert(record);
        }
        for (id, endpoint) in earlier {
            self.notices_of_absent.keep(id, endpoint.notices);
        }
    }

    /// Adds a back end with its state and updates the indexes.
    fn add(&mut self, id: InstanceId, endpoint: Endpoint) {
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

    /// Adds a back end, or updates the record of one that is known.
    pub fn insert(&mut self, record: &Rc<InstanceRecord>) {
        let id = InstanceId::new(record.instance.as_str());
        let Some(endpoint) = self.by_id.get_mut(&id) else {
            let notices = self.notices_of_absent.restore(&id);
            self.add(id, Endpoint::new(record, notices));
            return;
        };
        self.addresses.add(record.address.as_str());
        self.addresses.remove(endpoint.record.address.as_str());
        endpoint.record = Rc::clone(record);
        endpoint.summary = Summary::of(record);
    }

    /// Whether any address is shared by several back ends.
    pub fn has_shared_addresses(&self) -> bool {
        self.addresses.any_shared()
    }

    /// Removes a back end; its notices are kept in case it is announced again.
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
        self.in_use_endpoints()
            .map(|endpoint| endpoint.in_flight)
            .sum()
    }

    /// Requests of all routers, waiting or running, divided by the slots of the pool's back ends that take requests.
    /// Above 1 while requests wait for slots. Back ends that declare no slots are not counted.
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
        let (mut occupied, mut slots) = (0, 0);
        for endpoint in self.by_id.values().filter(takes_requests) {
            occupied += endpoint.all_in_flight();
            slots += endpoint.slots();
        }
        f64::from(occupied) / f64::from(slots.max(1))
    }

    pub fn started(&mut self, now: Timestamp, instance: &InstanceId, tokens: u32) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.notices.on_sent(now);
            endpoint.in_flight += 1;
            endpoint.pending_tokens += tokens;
            self.in_use.insert(instance.clone());
        }
    }

    /// The response to a request has begun, so its prompt has been prefilled.
    pub fn answered(&mut self, instance: &InstanceId, tokens: u32) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.pending_tokens = endpoint.pending_tokens.saturating_sub(tokens);
        }
    }

    /// This router's load on each back end where it has requests in flight, except those that are cut off.
    pub fn own_loads(&self, is_cut_off: impl Fn(&Endpoint) -> bool) -> Vec<LoadEntry> {
        let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
        let reached = self
            .in_use_endpoints()
            .filter(|back_end| !is_cut_off(back_end));
        let loads = reached.map(|endpoint| LoadEntry {
            key: endpoint.key,
            pending: narrow(endpoint.pending_tokens.div_ceil(LoadEntry::TOKENS)),
            in_flight: narrow(endpoint.in_flight),
        });
        loads.collect()
    }

    /// Back ends at which this router has requests in flight.
    fn in_use_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.in_use.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Names of the back ends with a key.
    fn ids_with_key(&self, key: u32) -> Vec<InstanceId> {
        let from = (key, InstanceId::new(""));
        let entries = self.by_key.range(from..);
        let entries = entries.take_while(|(other, _)| *other == key);
        entries.map(|(_, id)| id.clone()).collect()
    }

    fn change_with_key(&mut self, key: u32, mut change: impl FnMut(&InstanceId, &mut Endpoint)) {
        for id in self.ids_with_key(key) {
            if let Some(endpoint) = self.by_id.get_mut(&id) {
                change(&id, endpoint);
            }
        }
    }

    /// Records the load that the other routers put on back ends. Back ends that are not listed have none if the list is
    /// whole; otherwise their load is unchanged. Only back ends with old or new load are updated: lists
    /// arrive several times a second, and a pool may have thousands of back ends.
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

    /// A request that was sent at `sent_at` has ended at its back end. Returns true if the back end has become
    /// unresponsive; the caller should then close its idle connections to it.
    pub fn finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        sent_at: Timestamp,
        outcome: Outcome,
    ) -> bool {
        let Some(endpoint) = self.by_id.get_mut(instance) else {
            return false;
        };
        let is_lost = matches!(outcome, Outcome::Broken | Outcome::TimedOut);
        let last_activity = endpoint.last_received_at.get().max(sent_at);
        let became_unresponsive = is_lost && now.since(last_activity) >= UNRESPONSIVE_AFTER;
        let outcome = if became_unresponsive {
            Outcome::TimedOut
        } else {
            outcome
        };
        if outcome == Outcome::Answered {
            endpoint.record_service_time(now.since(sent_at));
        }
        endpoint.record_outcome(now, outcome);
        if endpoint.in_flight == 0 {
            self.in_use.remove(instance);
        }
        became_unresponsive
    }

    /// A back end has accepted a request, which widens its window after a backoff.
    pub fn accepted(&mut self, instance: &InstanceId) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.notices.on_accepted(endpoint.record.slots);
        }
    }

    /// Records the notices in a response of a back end.
    pub fn on_notice(
        &mut self,
        instance: &InstanceId,
        notice: BackEndNotice,
        context: NoticeContext,
    ) -> NoticeChange {
        let Some(endpoint) = self.by_id.get_mut(instance) else {
            return self.notices_of_absent.apply(instance, notice, context);
        };
        let in_flight = endpoint.in_flight;
        let change = endpoint.notices.apply(notice, context, in_flight);
        if endpoint.is_limited() {
            self.limited.insert(instance.clone());
        } else {
            self.limited.remove(instance);
        }
        change
    }

    /// Updates how long back ends take for a piece of work.
    pub fn set_time_factors(&mut self, speeds: &BackEndSpeeds) {
        for endpoint in self.by_id.values_mut() {
            endpoint.set_time_factor(speeds.time_factor(endpoint.key));
        }
    }

    /// Sets the number of routers that share the limits of back ends.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        self.notices_of_absent.set_routers(now, routers);
        for id in &self.limited {
            if let Some(endpoint) = self.by_id.get_mut(id) {
                endpoint.notices.set_routers(now, routers);
            }
        }
    }

    /// False while a back end asks this router to back off or announces that it is leaving.
    pub fn notices_allow_requests(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let endpoint = self.by_id.get(instance);
        endpoint.is_none_or(|endpoint| endpoint.notices.allow_requests(now))
    }

    /// Avoids, for a short time, back ends that refused requests of other routers.
    pub fn on_refusing(&mut self, now: Timestamp, keys: &[u32]) {
        for key in keys {
            self.change_with_key(*key, |_, endpoint| {
                endpoint.avoided_until = endpoint.avoided_until.max(now.plus(REFUSING_COOLDOWN));
            });
        }
    }

    /// Sends a back end that rejected a request no further one for this long.
    pub fn pause(&mut self, now: Timestamp, instance: &InstanceId, pause: Duration) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.notices.pause(now, pause);
        }
    }

    /// Avoids a back end for a short time, without a verdict on it.
    pub fn avoid(&mut self, now: Timestamp, instance: &InstanceId) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.avoid_as_unresponsive(now);
        }
    }

    /// Stops avoiding a back end that has proved reachable.
    pub fn stop_avoiding(&mut self, instance: &InstanceId) {
        if let Some(endpoint) = self.by_id.get_mut(instance) {
            endpoint.forget_failures();
        }
    }

    /// Forgets the failures of a pool's back ends that were due to this router's path to them.
    pub fn forget_failures(&mut self, pool: &PoolName) {
        let pool = NameHash::of(pool.as_str());
        let in_pool = |endpoint: &&mut Endpoint| endpoint.summary.pool == pool;
        for endpoint in self.by_id.values_mut().filter(in_pool) {
            endpoint.forget_failures();
        }
    }

    /// A back end is believed to have crashed. As that may be wrong, it is only avoided, like an unresponsive one,
    /// until its heartbeats arrive again.
    pub fn on_crashed(&mut self, now: Timestamp, instance: &InstanceId) {
        self.avoid(now, instance);
    }

    /// Another router found back ends unresponsive. Those from which this router received no bytes recently are
    /// avoided too, and returned.
    pub fn on_suspects(&mut self, now: Timestamp, keys: &[u32]) -> Vec<InstanceId> {
        let mut unresponsive = Vec::new();
        for key in keys {
            self.change_with_key(*key, |id, endpoint| {
                let is_responsive = now.since(endpoint.last_received_at.get()) < RECENTLY_RECEIVED;
                if !is_responsive {
                    endpoint.avoid_as_unresponsive(now);
                    unresponsive.push(id.clone());
                }
            });
        }
        unresponsive
    }
}
