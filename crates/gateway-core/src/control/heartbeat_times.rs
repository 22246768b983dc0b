//! When back ends sent their last heartbeats, and how the leader learns of heartbeats that other
//! machines receive.
//!
//! Thousands of back ends send heartbeats to any control machine. Forwarded one by one they would
//! overflow the queue between two machines, which would then lose messages of the replicated log as
//! well. Therefore one message per tick lists all of them.

use std::collections::BTreeMap;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ControlCore, Effect};
use crate::{BackEndKey, Message};

/// Time of the last heartbeat of each back end, received by this machine or, at the leader, by any
/// machine.
#[derive(Debug, Default)]
pub(super) struct HeartbeatTimes {
    /// Sorted by the short key first, which several back ends may share.
    last: BTreeMap<(u32, BackEndKey), Timestamp>,
    /// Back ends whose heartbeats were received here since the last message to the leader.
    unforwarded: Vec<BackEndKey>,
}

impl HeartbeatTimes {
    /// Time of a back end's last heartbeat.
    pub fn last(&self, name: &str) -> Option<Timestamp> {
        let key = BackEndKey::of(name);
        self.last.get(&(key.short(), key)).copied()
    }

    /// Time of a back end's last heartbeat; records `now` if there was none.
    pub fn last_or_insert(&mut self, name: &str, now: Timestamp) -> Timestamp {
        let key = BackEndKey::of(name);
        *self.last.entry((key.short(), key)).or_insert(now)
    }

    /// Latest heartbeat of the back ends that share a short key.
    pub fn last_by_short_key(&self, short: u32) -> Option<Timestamp> {
        let all = (short, BackEndKey::MIN)..=(short, BackEndKey::MAX);
        self.last.range(all).map(|(_, last)| *last).max()
    }

    /// Records a heartbeat.
    pub fn record(&mut self, key: BackEndKey, now: Timestamp) {
        self.last.insert((key.short(), key), now);
    }

    /// Removes a back end that is no longer registered.
    pub fn forget(&mut self, name: &str) {
        let key = BackEndKey::of(name);
        self.last.remove(&(key.short(), key));
    }
}

impl<D: Directory> ControlCore<D> {
    /// Records a heartbeat that this machine received.
    pub(super) fn record_heartbeat(&mut self, name: &str) {
        let key = BackEndKey::of(name);
        self.heartbeat_times.record(key, self.now);
        if self.role() != Role::Leader {
            self.heartbeat_times.unforwarded.push(key);
        }
    }

    /// Records heartbeats that another machine received.
    pub(super) fn on_forwarded_heartbeats(&mut self, keys: &[BackEndKey]) {
        for key in keys {
            self.heartbeat_times.record(*key, self.now);
        }
    }

    /// Sends the leader the back ends whose heartbeats were received here since the last call.
    /// Without a leader they are dropped: a new leader measures timeouts from its own start.
    pub(super) fn forward_heartbeats(&mut self) {
        let mut unforwarded = std::mem::take(&mut self.heartbeat_times.unforwarded);
        unforwarded.sort_unstable();
        unforwarded.dedup();
        let leader = self.leader().filter(|_| self.role() != Role::Leader);
        if let Some(leader) = leader.filter(|_| !unforwarded.is_empty()) {
            let message = Message::ForwardedHeartbeats(List::new(unforwarded));
            self.effects.push(Effect::ToControl(leader, message));
        }
    }
}
