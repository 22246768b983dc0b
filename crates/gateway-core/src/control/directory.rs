//! Which routers a caller is told of.
//!
//! Callers choose evenly among the routers of an answer. There may be more routers than an answer
//! names, so each caller gets a part of its own, or the rest would get no callers; and mostly routers
//! of the caller's zone, or most requests would cross zones. A caller leaves routers that a new answer
//! lacks, so its answers differ only by routers that come and go.

use std::net::IpAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::RouterStatus;

/// Routers that an answer names at most: callers use no more (the platform's bound).
const MOST_NAMED: usize = 64;
/// For so many routers of the caller's zone one of another zone is named, for callers whose zone
/// loses its routers before they ask again.
const OWN_FOR_EACH_OTHER: usize = 4;
/// Routers that an answer names at least, from other zones if there are too few in the caller's: few
/// are soon all lost or all full.
const FEWEST_NAMED: usize = 8;

/// The addresses for a caller in a zone, of the routers that take callers.
pub(super) fn for_caller<'a>(
    routers: impl Iterator<Item = &'a RouterStatus>,
    zone: &str,
    caller: IpAddr,
) -> Vec<String> {
    let caller = xxh3_64(caller.to_string().as_bytes());
    let accepting = routers.filter(|status| status.accepting != 0).collect();
    let serving = prefer_with_view(accepting).into_iter();
    let (own, others): (Vec<_>, Vec<_>) = serving.partition(|status| status.zone.as_str() == zone);
    let most_own = MOST_NAMED * OWN_FOR_EACH_OTHER / (OWN_FOR_EACH_OTHER + 1);
    let mut named = first_ranked(&own, caller, most_own);
    let fewest_others = FEWEST_NAMED.saturating_sub(named.len());
    let from_others = (named.len() / OWN_FOR_EACH_OTHER).max(fewest_others);
    named.extend(first_ranked(&others, caller, from_others));
    named
}

/// Leaves out routers that have no view yet, while those are few: a router that starts before thousands of back
/// ends takes a second or two to learn of them, and its callers wait or are refused. While most have none, as
/// after a start of all, the few that have one could not serve everybody.
fn prefer_with_view(mut accepting: Vec<&RouterStatus>) -> Vec<&RouterStatus> {
    let with_view = accepting.iter().filter(|status| status.has_view != 0);
    if 2 * with_view.count() >= accepting.len() {
        accepting.retain(|status| status.has_view != 0);
    }
    accepting
}

/// The first addresses by rendezvous hashing, each once. Thousands of callers ask once a second: only what is
/// named is put in order and copied.
fn first_ranked(routers: &[&RouterStatus], caller: u64, most: usize) -> Vec<String> {
    let keyed = routers.iter().map(|status| {
        let address = status.address.as_str();
        (xxh3_64_with_seed(address.as_bytes(), caller), address)
    });
    let mut keyed: Vec<(u64, &str)> = keyed.collect();
    // A router that linked anew may be there twice.
    let enough = 2 * most;
    if keyed.len() > enough {
        keyed.select_nth_unstable(enough);
        keyed.truncate(enough);
    }
    keyed.sort_unstable();
    keyed.dedup();
    let first = keyed.into_iter().take(most);
    first.map(|(_, address)| address.to_owned()).collect()
}

#[cfg(test)]
#[path = "directory_tests.rs"]
mod tests;
