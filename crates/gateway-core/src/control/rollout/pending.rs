//! Back ends that have to load weights, in order of urgency.

use crate::{Lifecycle, ReplicatedState};

/// A load of weights that is due or in progress.
#[derive(Clone, Debug)]
pub(super) struct WeightLoad {
    /// Name of the incarnation.
    pub instance: String,
    /// Where it listens, IP:PORT.
    pub address: String,
    /// Name of the model.
    pub model: String,
    /// Version that it holds.
    pub held: u64,
    /// Version that it has to hold.
    pub version: u64,
}

/// Loads of back ends whose weights are older than the target version or that are loading. Those
/// with the oldest version come first, because their deadline is the earliest.
pub(super) fn pending_weight_loads(state: &ReplicatedState) -> Vec<WeightLoad> {
    let mut loads = Vec::new();
    for record in state.instances() {
        if record.lifecycle == Lifecycle::Draining {
            continue;
        }
        for loaded in &record.models.items {
            let target = state.target_version(loaded.model.as_str());
            if target > loaded.version || loaded.loading != 0 {
                loads.push(WeightLoad {
                    instance: record.instance.as_str().to_owned(),
                    address: record.address.as_str().to_owned(),
                    model: loaded.model.as_str().to_owned(),
                    held: loaded.version,
                    version: target.max(loaded.version),
                });
            }
        }
    }
    loads.sort_by_key(|load| load.held);
    loads
}
