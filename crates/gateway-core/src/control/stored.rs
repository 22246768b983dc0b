//! What each store of cached prompts holds, as its events and lists tell the leader, and what
//! routers were told of it.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::{Message, StoreId, StoredKey};

/// News of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreUpdate {
    /// All that it holds.
    Holds(Vec<StoredKey>),
    /// Parts that came or went.
    Changed {
        /// Parts that came.
        added: Vec<StoredKey>,
        /// Parts that went.
        removed: Vec<StoredKey>,
    },
    /// It does not answer.
    Lost,
}

/// All stores as the leader knows them.
#[derive(Debug, Default)]
pub(super) struct Stores(BTreeMap<StoreId, Stored>);

/// One store.
#[derive(Debug, Default)]
struct Stored {
    /// `None` while it is not known, or does not answer.
    held: Option<BTreeSet<StoredKey>>,
    changed: bool,
    /// This leader has told routers of it, or is about to.
    was_told: bool,
    added: Vec<StoredKey>,
    removed: Vec<StoredKey>,
    /// Routers need to be told all.
    reset: bool,
}

impl Stored {
    fn whole(&self, store: StoreId) -> Message {
        Message::Stored {
            store,
            known: u8::from(self.held.is_some()),
            reset: 1,
            added: List::new(self.held.iter().flatten().copied().collect()),
            removed: List::new(Vec::new()),
        }
    }

    fn take_in(&mut self, news: StoreUpdate) {
        match news {
            StoreUpdate::Holds(keys) => {
                let keys: BTreeSet<StoredKey> = keys.into_iter().collect();
                if self.held.as_ref() != Some(&keys) {
                    self.held = Some(keys);
                    self.reset = true;
                }
            }
            StoreUpdate::Lost => {
                // Of one that this leader never heard routers may believe what another one told.
                self.reset |= self.held.take().is_some() || !self.was_told;
            }
            StoreUpdate::Changed { added, removed } => self.change(added, removed),
        }
        self.changed |= self.reset;
        self.was_told |= self.changed;
    }

    fn change(&mut self, added: Vec<StoredKey>, removed: Vec<StoredKey>) {
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

    /// What came and went since the last time.
    fn take_changes(&mut self, store: StoreId) -> Option<Message> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let added = std::mem::take(&mut self.added);
        let removed = std::mem::take(&mut self.removed);
        if std::mem::take(&mut self.reset) {
            return Some(self.whole(store));
        }
        Some(Message::Stored {
            store,
            known: 1,
            reset: 0,
            added: List::new(added),
            removed: List::new(removed),
        })
    }
}

impl<D: Directory> ControlCore<D> {
    /// Takes in news of a store of cached prompts.
    pub fn on_store_update(&mut self, now: Timestamp, store: StoreId, news: StoreUpdate) {
        self.now = now;
        self.stores.0.entry(store).or_default().take_in(news);
    }

    pub(super) fn forget_stores(&mut self) {
        self.stores = Stores::default();
    }

    /// Tells all routers what came and went since the last time.
    pub(super) fn share_stored(&mut self) {
        let stores = self.stores.0.iter_mut();
        let messages: Vec<Message> = stores
            .filter_map(|(id, stored)| stored.take_changes(*id))
            .collect();
        for message in messages {
            let all = self.routers.connections();
            self.effects.push(Effect::ToRouters(all, message));
        }
    }

    /// Tells a router that has just come all there is.
    pub(super) fn tell_stored(&mut self, connection: ConnectionId) {
        let known = self.stores.0.iter().filter(|item| item.1.held.is_some());
        let messages = known.map(|(id, stored)| Effect::ToRouter(connection, stored.whole(*id)));
        self.effects.extend(messages);
    }
}
