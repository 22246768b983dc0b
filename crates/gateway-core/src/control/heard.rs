//! When back ends were heard last, and how the leader learns of those that speak to other machines.
//!
//! Thousands of back ends send heartbeats to any control machine. Passed on one by one they would overrun the queue
//! between two machines, which then loses messages of the log as well; so one message a tick names all of them.

use std::collections::BTreeMap;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ControlCore, Effect};
use crate::{BackEndKey, Message};

/// When each back end was heard last, here or, at the leader, anywhere.
#[derive(Debug, Default)]
pub(super) struct Heard {
    /// By the short key first, which several may share.
    at: BTreeMap<(u32, BackEndKey), Timestamp>,
    /// Heard here since the leader was told last.
    untold: Vec<BackEndKey>,
}

impl Heard {
    /// When a back end was heard last.
    pub fn at(&self, name: &str) -> Option<Timestamp> {
        let key = BackEndKey::of(name);
        self.at.get(&(key.short(), key)).copied()
    }

    /// The same, and `now` from here on for one that was never heard.
    pub fn at_or_from(&mut self, name: &str, now: Timestamp) -> Timestamp {
        let key = BackEndKey::of(name);
        *self.at.entry((key.short(), key)).or_insert(now)
    }

    /// When the back ends with a short key were heard, the latest of them.
    pub fn at_by_short(&self, short: u32) -> Option<Timestamp> {
        let all = (short, BackEndKey::MIN)..=(short, BackEndKey::MAX);
        self.at.range(all).map(|(_, at)| *at).max()
    }

    /// A back end spoke.
    pub fn note(&mut self, key: BackEndKey, now: Timestamp) {
        self.at.insert((key.short(), key), now);
    }

    /// A back end has gone.
    pub fn forget(&mut self, name: &str) {
        let key = BackEndKey::of(name);
        self.at.remove(&(key.short(), key));
    }
}

impl<D: Directory> ControlCore<D> {
    /// A back end spoke to this machine.
    pub(super) fn note_heard(&mut self, name: &str) {
        let key = BackEndKey::of(name);
        self.heard.note(key, self.now);
        if self.role() != Role::Leader {
            self.heard.untold.push(key);
        }
    }

    /// Back ends spoke to another machine.
    pub(super) fn on_heard(&mut self, keys: &[BackEndKey]) {
        for key in keys {
            self.heard.note(*key, self.now);
        }
    }

    /// Tells the leader who has spoken here since the last time. Without a leader it is lost: a new one
    /// counts silence from its start.
    pub(super) fn tell_heard(&mut self) {
        let mut untold = std::mem::take(&mut self.heard.untold);
        untold.sort_unstable();
        untold.dedup();
        let leader = self.leader().filter(|_| self.role() != Role::Leader);
        if let Some(leader) = leader.filter(|_| !untold.is_empty()) {
            let message = Message::Heard(List::new(untold));
            self.effects.push(Effect::ToControl(leader, message));
        }
    }
}
