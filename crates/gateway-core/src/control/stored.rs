//! Contents of the stores of cached prompts, as their events and lists report them to the leader,
//! and the distribution of these contents to routers.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::{Message, StoreId, StoredKey};

/// An update on the contents of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreUpdate {
    /// Complete contents.
    Contents(Vec<StoredKey>),
    /// Changes of the contents.
    Changed {
        /// Prompt parts that were added.
        added: Vec<StoredKey>,
        /// Prompt parts that were removed.
        removed: Vec<StoredKey>,
    },
    /// The store does not answer.
    Unreachable,
}

/// Stores known to the leader.
#[derive(Debug, Default)]
pub(super) struct Stores(BTreeMap<StoreId, StoreState>);

/// State of one store.
#[derive(Debug, Default)]
struct StoreState {
    /// `None` while the contents are unknown or the store does not answer.
    held: Option<BTreeSet<StoredKey>>,
    changed: bool,
    /// This leader has sent the state of this store to routers, or will at the next tick.
    was_announced: bool,
    added: Vec<StoredKey>,
    removed: Vec<StoredKey>,
    /// Routers have to be sent the complete contents.
    reset: bool,
}

impl StoreState {
    fn full_contents(&self, store: StoreId) -> Message {
        Message::StoreContents {
            store,
            known: u8::from(self.held.is_some()),
            reset: 1,
            added: List::new(self.held.iter().flatten().copied().collect()),
            removed: List::new(Vec::new()),
        }
    }

    fn apply_update(&mut self, update: StoreUpdate) {
        match update {
            StoreUpdate::Contents(keys) => {
                let keys: BTreeSet<StoredKey> = keys.into_iter().collect();
                if self.held.as_ref() != Some(&keys) {
                    self.held = Some(keys);
                    self.reset = true;
                }
            }
            StoreUpdate::Unreachable => {
                // Routers may still have contents from an earlier leader if this one has never
                // reached the store.
                self.reset |= self.held.take().is_some() || !self.was_announced;
            }
            StoreUpdate::Changed { added, removed } => self.apply_change(added, removed),
        }
        self.changed |= self.reset;
        self.was_announced |= self.changed;
    }

    fn apply_change(&mut self, added: Vec<StoredKey>, removed: Vec<StoredKey>) {
        let Some(held) = &mut self.held else {
            return;
        };
        for key in removed {
            if held.remove(&key) {
                self.removed.push(key);
            }
        }
        for key in added {
            if held.insert(key) {
                self.added.push(key);
            }
        }
        self.changed |= !self.added.is_empty() || !self.removed.is_empty();
    }

    /// The message with the changes since the last call; `None` if there are none.
    fn take_changes(&mut self, store: StoreId) -> Option<Message> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let added = std::mem::take(&mut self.added);
        let removed = std::mem::take(&mut self.removed);
        if std::mem::take(&mut self.reset) {
            return Some(self.full_contents(store));
        }
        Some(Message::StoreContents {
            store,
            known: 1,
            reset: 0,
            added: List::new(added),
            removed: List::new(removed),
        })
    }
}

impl<D: Directory> ControlCore<D> {
    /// Processes an update on a store of cached prompts.
    pub fn on_store_update(&mut self, now: Timestamp, store: StoreId, update: StoreUpdate) {
        self.now = now;
        self.stores.0.entry(store).or_default().apply_update(update);
    }

    pub(super) fn reset_stores(&mut self) {
        self.stores = Stores::default();
    }

    /// Sends all routers the changes since the last call.
    pub(super) fn broadcast_store_changes(&mut self) {
        let stores = self.stores.0.iter_mut();
        let messages: Vec<Message> = stores
            .filter_map(|(id, stored)| stored.take_changes(*id))
            .collect();
        for message in messages {
            let all = self.routers.connections();
            self.effects.push(Effect::ToRouters(all, message));
        }
    }

    /// Sends a router that has just connected the contents of all stores.
    pub(super) fn send_store_contents(&mut self, connection: ConnectionId) {
        let known = self.stores.0.iter().filter(|item| item.1.held.is_some());
        let messages =
            known.map(|(id, stored)| Effect::ToRouter(connection, stored.full_contents(*id)));
        self.effects.extend(messages);
    }
}
