//! Selects the routers that a caller is given.
//!
//! Callers choose uniformly among the routers of an answer. There may be more routers than an
//! answer can list, so each caller gets its own subset; otherwise the rest would get no callers.
//! Most of the listed routers are in the caller's zone, or most requests would cross zones. A
//! caller disconnects from routers that a new answer lacks, so its answers differ only by routers
//! that come and go.

use std::net::IpAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::RouterStatus;

/// Maximum number of routers in an answer: callers of the platform use no more.
const MAX_LISTED: usize = 64;
/// One router of another zone is listed for this many of the caller's zone, in case that zone loses
/// its routers before the caller asks again.
const OWN_ZONE_PER_OTHER: usize = 4;
/// Minimum number of routers in an answer, filled up from other zones if the caller's zone has too
/// few: a few routers are more likely to be all lost or all full.
const MIN_LISTED: usize = 8;
/// Maximum number of routers that one router is given to forward requests to.
const MAX_PEERS: usize = 8;

/// Addresses for a caller in a zone, among the routers that accept callers.
pub(super) fn for_caller<'a>(
    routers: impl Iterator<Item = &'a RouterStatus>,
    zone: &str,
    caller: IpAddr,
) -> Vec<String> {
    let caller = xxh3_64(caller.to_string().as_bytes());
    let accepting = routers.filter(|status| status.accepting != 0).collect();
    let eligible = prefer_serving(accepting).into_iter();
    let (own, others): (Vec<_>, Vec<_>) = eligible.partition(|status| status.zone.as_str() == zone);
    let max_own = MAX_LISTED * OWN_ZONE_PER_OTHER / (OWN_ZONE_PER_OTHER + 1);
    let mut listed = first_ranked(&own, caller, max_own);
    let min_others = MIN_LISTED.saturating_sub(listed.len());
    let from_others = (listed.len() / OWN_ZONE_PER_OTHER).max(min_others);
    listed.extend(first_ranked(&others, caller, from_others));
    listed
}

/// Addresses of routers that can serve requests which another router forwards to them. Half of them
/// are in its zone, if there are as many. Each router gets its own subset, so that none has to
/// serve the callers of many others.
pub(super) fn for_peer<'a>(
    routers: impl Iterator<Item = &'a RouterStatus>,
    router: &RouterStatus,
) -> Vec<String> {
    let seed = xxh3_64(router.address.as_str().as_bytes());
    let can_serve = |status: &&RouterStatus| {
        status.accepting != 0 && status.is_serving != 0 && status.address != router.address
    };
    let (own, others): (Vec<_>, Vec<_>) = routers
        .filter(can_serve)
        .partition(|status| status.zone == router.zone);
    let mut listed = first_ranked(&own, seed, MAX_PEERS / 2);
    let from_others = MAX_PEERS - listed.len();
    listed.extend(first_ranked(&others, seed, from_others));
    listed
}

/// Leaves out routers that cannot serve callers unless they are the majority. A router that starts
/// before thousands of back ends needs a second or two to receive them, and its callers wait or are
/// rejected. A router without a path to back ends forwards its callers' requests to others. While
/// most routers cannot serve, as after a restart of the whole fleet, the few that can could not
/// serve all callers.
fn prefer_serving(mut accepting: Vec<&RouterStatus>) -> Vec<&RouterStatus> {
    let serving = accepting.iter().filter(|status| status.is_serving != 0);
    if 2 * serving.count() >= accepting.len() {
        accepting.retain(|status| status.is_serving != 0);
    }
    accepting
}

/// The first distinct addresses by rendezvous hashing. Thousands of callers ask once a second, so
/// only as many as needed are sorted and copied.
fn first_ranked(routers: &[&RouterStatus], caller: u64, limit: usize) -> Vec<String> {
    let keyed = routers.iter().map(|status| {
        let address = status.address.as_str();
        (xxh3_64_with_seed(address.as_bytes(), caller), address)
    });
    let mut keyed: Vec<(u64, &str)> = keyed.collect();
    // A router that has reconnected may be present twice.
    let enough = 2 * limit;
    if keyed.len() > enough {
        keyed.select_nth_unstable(enough);
        keyed.truncate(enough);
    }
    keyed.sort_unstable();
    keyed.dedup();
    let selected = keyed.into_iter().take(limit);
    selected.map(|(_, address)| address.to_owned()).collect()
}

#[cfg(test)]
#[path = "directory_tests.rs"]
mod tests;
