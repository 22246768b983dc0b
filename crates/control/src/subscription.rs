//! What each connected router holds and has been told.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_core::{Resource, ResourceKey, ResourceKind, Revision, TenantName};
use drumshore_wire::EngineLoad;

/// A connection of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One router's subscription.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// The router's name.
    pub router: String,
    /// Its region; empty for all.
    pub region: String,
    /// The tenants it holds. Of 9,000 tenants a router uses few, and 14 KB/s do not carry all.
    pub tenants: BTreeSet<TenantName>,
    /// True once it has been told everything up to `sent`.
    pub confirmed: bool,
    /// The revision it was told last.
    pub sent: Revision,
    /// The revision it says it applies.
    pub in_force: Revision,
    /// The fleet's change that it was told last; `None` before the first list.
    pub engines_sent: Option<u64>,
    /// The loads it was told last, by slot.
    pub loads_sent: BTreeMap<u16, EngineLoad>,
}

impl Subscription {
    /// A subscription of a router that has just connected.
    pub fn new(router: String) -> Self {
        Self {
            router,
            region: String::new(),
            tenants: BTreeSet::new(),
            confirmed: false,
            sent: Revision(0),
            in_force: Revision(0),
            engines_sent: None,
            loads_sent: BTreeMap::new(),
        }
    }

    /// True when the router is to hear of the resource: all but tenants it does not use.
    pub fn concerns(&self, key: &ResourceKey) -> bool {
        key.kind != ResourceKind::Tenant || self.tenants.contains(&TenantName::new(&key.name))
    }

    /// The resources that concern the router.
    pub fn concerned<'a>(
        &'a self,
        resources: impl Iterator<Item = &'a Resource> + 'a,
    ) -> impl Iterator<Item = &'a Resource> + 'a {
        resources.filter(|resource| self.concerns(&resource.key()))
    }

    /// The loads that differ noticeably from what the router was told, which is noted.
    pub fn changed_loads(&mut self, loads: &[EngineLoad]) -> Vec<EngineLoad> {
        let mut changed = Vec::new();
        for load in loads {
            let told = self.loads_sent.get(&load.slot);
            if told.is_none_or(|told| differs(told, load)) {
                self.loads_sent.insert(load.slot, *load);
                changed.push(*load);
            }
        }
        changed
    }
}

/// Waiting by more than an eighth and two units, or running by more than an eighth and one.
fn differs(told: &EngineLoad, load: &EngineLoad) -> bool {
    let waiting = told.waiting.abs_diff(load.waiting);
    let running = told.running.abs_diff(load.running);
    waiting > 2 + told.waiting / 8 || running > 1 + told.running / 8
}
