//! Which back ends of a pool load weights next.

use std::collections::BTreeMap;

/// A back end that has to load weights.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadCandidate {
    /// Name of the incarnation.
    pub instance: String,
    pub zone: String,
    /// Version that it holds.
    pub held: u64,
    /// Fraction of it that is occupied, from 0 to 1.
    pub occupancy: f64,
}

/// Back ends of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ZoneLoads {
    pub back_ends: usize,
    pub loading: usize,
}

/// The next `count` back ends to load: those with the oldest weights first, whose deadline is the earliest, then those
/// of the zone with the smallest fraction that loads, then the least occupied, which displace the fewest requests.
pub(super) fn next_to_load(
    candidates: Vec<LoadCandidate>,
    mut zones: BTreeMap<String, ZoneLoads>,
    count: usize,
) -> Vec<LoadCandidate> {
    let mut by_zone: BTreeMap<String, Vec<LoadCandidate>> = BTreeMap::new();
    for candidate in candidates {
        let zone = by_zone.entry(candidate.zone.clone()).or_default();
        zone.push(candidate);
    }
    for waiting in by_zone.values_mut() {
        // The next one is the last.
        waiting.sort_by(|a, b| {
            let by_version = b.held.cmp(&a.held);
            by_version.then(b.occupancy.total_cmp(&a.occupancy))
        });
    }
    let mut next = Vec::new();
    while next.len() < count {
        let first = by_zone.iter().filter_map(|(zone, waiting)| {
            let loads = zones.get(zone).copied().unwrap_or_default();
            let loading = loads.loading as f64 / loads.back_ends.max(1) as f64;
            Some((waiting.last()?, loading))
        });
        let first = first.min_by(|(a, a_loading), (b, b_loading)| {
            let by_version = a.held.cmp(&b.held);
            let by_zone = a_loading.total_cmp(b_loading);
            by_version
                .then(by_zone)
                .then(a.occupancy.total_cmp(&b.occupancy))
        });
        let Some(zone) = first.map(|(candidate, _)| candidate.zone.clone()) else {
            break;
        };
        next.extend(by_zone.get_mut(&zone).and_then(Vec::pop));
        zones.entry(zone).or_default().loading += 1;
    }
    next
}

#[cfg(test)]
#[path = "sequence_tests.rs"]
mod tests;
