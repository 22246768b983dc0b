//! The state of each connected router: the revision it applied and the updates it was sent.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_core::{Resource, ResourceKey, ResourceKind, Revision, TenantName};
use drumshore_wire::EngineLoad;

/// Identifies a connection of a router to this control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One router's subscription.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// The name that the router connected with.
    pub router: String,
    /// The region whose engine loads the router receives; empty for all regions.
    pub region: String,
    /// The tenants whose changes the router receives. A router uses few of 9,000 tenants, and a
    /// bandwidth of 14 KB/s is too low to send it all of them.
    pub tenants: BTreeSet<TenantName>,
    /// True once the router has been sent the full configuration.
    pub full_config_sent: bool,
    /// The last revision that the router was sent.
    pub sent: Revision,
    /// The revision that the router reports to have applied.
    pub applied_revision: Revision,
    /// The fleet's change count at the last engine update that the router was sent; `None` before
    /// the first.
    pub engines_sent: Option<u64>,
    /// The last load of each engine that the router was sent, by slot.
    pub loads_sent: BTreeMap<u16, EngineLoad>,
}

impl Subscription {
    /// Creates the subscription of a router that has just connected.
    pub fn new(router: String) -> Self {
        Self {
            router,
            region: String::new(),
            tenants: BTreeSet::new(),
            full_config_sent: false,
            sent: Revision(0),
            applied_revision: Revision(0),
            engines_sent: None,
            loads_sent: BTreeMap::new(),
        }
    }

    /// True if the router receives changes of the resource: all but tenants that it does not use.
    pub fn is_relevant(&self, key: &ResourceKey) -> bool {
        key.kind != ResourceKind::Tenant || self.tenants.contains(&TenantName::new(&key.name))
    }

    /// The resources whose changes the router receives.
    pub fn relevant_resources<'a>(
        &'a self,
        resources: impl Iterator<Item = &'a Resource> + 'a,
    ) -> impl Iterator<Item = &'a Resource> + 'a {
        resources.filter(|resource| self.is_relevant(&resource.key()))
    }

    /// Returns the loads that differ noticeably from those last sent, and records them as sent.
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

/// True if the queued tokens differ by more than an eighth plus two units, or the running sequences
/// by more than an eighth plus one.
fn differs_noticeably(last_sent: &EngineLoad, load: &EngineLoad) -> bool {
    let waiting = last_sent.waiting.abs_diff(load.waiting);
    let running = last_sent.running.abs_diff(load.running);
    waiting > 2 + last_sent.waiting / 8 || running > 1 + last_sent.running / 8
}
