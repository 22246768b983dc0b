//! Slots: small numbers that identify engines in the messages of one link.

use std::collections::BTreeMap;

use drumshore_core::EngineId;

/// The mapping between slots and engines, in both directions.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    engines: BTreeMap<u16, EngineId>,
    slots: BTreeMap<EngineId, u16>,
}

impl Slots {
    pub(super) fn insert(&mut self, slot: u16, engine: EngineId) {
        self.remove(engine);
        self.engines.insert(slot, engine);
        self.slots.insert(engine, slot);
    }

    pub(super) fn remove(&mut self, engine: EngineId) {
        if let Some(slot) = self.slots.remove(&engine) {
            self.engines.remove(&slot);
        }
    }

    pub(super) fn clear(&mut self) {
        self.engines.clear();
        self.slots.clear();
    }

    pub(super) fn engine(&self, slot: u16) -> Option<EngineId> {
        self.engines.get(&slot).copied()
    }

    pub(super) fn slot(&self, engine: EngineId) -> Option<u16> {
        self.slots.get(&engine).copied()
    }
}
