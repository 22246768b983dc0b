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
    pub applied_revision: Revision,
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
            applied_revision: Revision(0),
            engines_sent: None,
            loads_sent: BTreeMap::new(),
        }
    }

    /// True when the router is to hear of the resource: all but tenants it does not use.
    pub fn is_relevant(&self, key: &ResourceKey) -> bool {
        key.kind != ResourceKind::Tenant || self.tenants.contains(&TenantName::new(&key.name))
    }

    /// The resources that concern the router.
    pub fn relevant_resources<'a>(
        &'a self,
        resources: impl Iterator<Item = &'a Resource> + 'a,
    ) -> impl Iterator<Item = &'a Resource> + 'a {
        resources.filter(|resource| self.is_relevant(&resource.key()))
    }

    /// The loads that differ noticeably from what the router was told, which is noted.
    pub fn changed_loads(&mut self, loads: &[EngineLoad]) -> Vec<EngineLoad> {
        let mut changed = Vec::new();
        for load in loads {
            let last_sent = self.loads_sent.get(&load.slot);
            if last_sent.is_none_or(|last_sent| differs_noticeably(last_sent, load)) {
                self.loads_sent.insert(load.slot, *load);
                changed.push(*load);
            }
        }
        changed
    }
}

/// Waiting by more than an eighth and two units, or running by more than an eighth and one.
fn differs_noticeably(last_sent: &EngineLoad, load: &EngineLoad) -> bool {
    let waiting = last_sent.waiting.abs_diff(load.waiting);
    let running = last_sent.running.abs_diff(load.running);
    waiting > 2 + last_sent.waiting / 8 || running > 1 + last_sent.running / 8
}
