//! What the store of cached prompts holds, as its events and lists tell the leader, and what
//! routers were told of it.

use std::collections::BTreeSet;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ConnectionId, ControlCore, Effect};
use crate::{Message, StoredKey};

/// News of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreNews {
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

/// The store as the leader knows it.
#[derive(Debug, Default)]
pub(super) struct Stored {
    /// `None` while it is not known, or does not answer.
    held: Option<BTreeSet<StoredKey>>,
    changed: bool,
    added: Vec<StoredKey>,
    removed: Vec<StoredKey>,
    /// Routers need to be told all.
    reset: bool,
}

impl Stored {
    fn whole(&self) -> Message {
        Message::Stored {
            known: u8::from(self.held.is_some()),
            reset: 1,
            added: List::new(self.held.iter().flatten().copied().collect()),
            removed: List::new(Vec::new()),
        }
    }

    fn take_in(&mut self, news: StoreNews) {
        match news {
            StoreNews::Holds(keys) => {
                let keys: BTreeSet<StoredKey> = keys.into_iter().collect();
                if self.held.as_ref() != Some(&keys) {
                    self.held = Some(keys);
                    self.reset = true;
                }
            }
            StoreNews::Lost => {
                self.reset |= self.held.take().is_some();
            }
            StoreNews::Changed { added, removed } => self.change(added, removed),
        }
        self.changed |= self.reset;
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
}

impl<D: Directory> ControlCore<D> {
    /// Takes in news of the store of cached prompts.
    pub fn on_store_news(&mut self, now: Timestamp, news: StoreNews) {
        self.now = now;
        self.stored.take_in(news);
    }

    pub(super) fn forget_store(&mut self) {
        self.stored = super::Stored::default();
    }

    /// Tells all routers what came and went since the last time.
    pub(super) fn share_stored(&mut self) {
        if !std::mem::take(&mut self.stored.changed) {
            return;
        }
        let added = std::mem::take(&mut self.stored.added);
        let removed = std::mem::take(&mut self.stored.removed);
        let message = if std::mem::take(&mut self.stored.reset) {
            self.stored.whole()
        } else {
            Message::Stored {
                known: 1,
                reset: 0,
                added: List::new(added),
                removed: List::new(removed),
            }
        };
        for connection in self.routers.connections() {
            let effect = Effect::ToRouter(connection, message.clone());
            self.effects.push(effect);
        }
    }

    /// Tells a router that has just come all there is.
    pub(super) fn tell_stored(&mut self, connection: ConnectionId) {
        if self.stored.held.is_some() {
            let message = self.stored.whole();
            self.effects.push(Effect::ToRouter(connection, message));
        }
    }
}
