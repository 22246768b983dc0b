//! Which back ends are to load weights, in what order.

use crate::{Lifecycle, ReplicatedState};

/// A load of weights that is due or under way.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// The incarnation.
    pub instance: String,
    /// IP:PORT.
    pub address: String,
    /// The model.
    pub model: String,
    /// The version it holds.
    pub held: u64,
    /// The version it is to hold.
    pub version: u64,
}

/// Back ends whose weights are older than what was named, or that are loading; those that are
/// furthest behind first, for their time runs out first.
pub(super) fn pending_loads(state: &ReplicatedState) -> Vec<Load> {
    let mut loads = Vec::new();
    for record in state.instances() {
        if record.lifecycle == Lifecycle::Draining {
            continue;
        }
        for loaded in &record.models.items {
            let named = state.target_version(loaded.model.as_str());
            if named > loaded.version || loaded.loading != 0 {
                loads.push(Load {
                    instance: record.instance.as_str().to_owned(),
                    address: record.address.as_str().to_owned(),
                    model: loaded.model.as_str().to_owned(),
                    held: loaded.version,
                    version: named.max(loaded.version),
                });
            }
        }
    }
    loads.sort_by_key(|load| load.held);
    loads
}
