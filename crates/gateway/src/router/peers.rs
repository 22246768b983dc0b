//! The routers to which this one forwards requests of pools that it has no path to.
//!
//! Control machines name them, because they know which routers have a path. Their list is fetched before it is needed,
//! and more often while a path is lost.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::PoolName;

/// Time between two fetches of the list.
const FETCH_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two fetches while a path is lost.
const FETCH_INTERVAL_WHILE_LOST: Duration = Duration::from_millis(300);
/// A peer that had no path to a pool itself is asked again after this time.
const WITHOUT_PATH_FOR: Duration = Duration::from_millis(500);
/// A peer that could not be reached is tried again after this time.
const UNREACHABLE_FOR: Duration = Duration::from_secs(2);
/// A peer that control machines no longer name is used for this long after the others. It may only have lost its links to
/// them, and goes on serving until its view expires.
const FORMER_PEER_TTL: Duration = Duration::from_secs(10);

/// The known peers.
#[derive(Debug, Default)]
pub(super) struct Peers {
    named: RefCell<Vec<String>>,
    /// Peers that were named before, with the time at which they last were.
    former: RefCell<BTreeMap<String, Timestamp>>,
    fetched_at: Cell<Timestamp>,
    fetches: Cell<usize>,
    /// Until when peers are not used, for one pool or for all.
    avoided: RefCell<BTreeMap<(String, Option<PoolName>), Timestamp>>,
    next: Cell<usize>,
}

impl Peers {
    /// True when the list should be fetched; the caller then fetches it.
    pub fn is_fetch_due(&self, now: Timestamp, any_path_lost: bool) -> bool {
        let interval = if any_path_lost {
            FETCH_INTERVAL_WHILE_LOST
        } else {
            FETCH_INTERVAL
        };
        let fetched_at = self.fetched_at.get();
        let is_due = fetched_at == Timestamp::default() || now.since(fetched_at) >= interval;
        if is_due {
            self.fetched_at.set(now);
        }
        is_due
    }

    /// Counts a fetch; returns the number of earlier ones.
    pub fn count_fetch(&self) -> usize {
        let earlier = self.fetches.get();
        self.fetches.replace(earlier.wrapping_add(1))
    }

    /// Replaces the list.
    pub fn set(&self, now: Timestamp, addresses: Vec<String>) {
        let earlier = self.named.replace(addresses);
        let mut former = self.former.borrow_mut();
        former.extend(earlier.into_iter().map(|address| (address, now)));
        let named = self.named.borrow();
        former.retain(|address, at| now.since(*at) < FORMER_PEER_TTL && !named.contains(address));
    }

    /// The number of peers that control machines named last.
    pub fn count(&self) -> usize {
        self.named.borrow().len()
    }

    /// Peers to try for a request of a pool, in order. Successive requests begin with different ones.
    pub fn candidates(&self, now: Timestamp, pool: &PoolName) -> Vec<String> {
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        let addresses = self.named.borrow();
        let first = self.next.get();
        self.next.set(first.wrapping_add(1));
        let count = addresses.len();
        let rotated = (0..count).map(|offset| &addresses[first.wrapping_add(offset) % count]);
        let is_usable = |address: &&String| {
            let for_pool = (String::clone(address), Some(pool.clone()));
            let for_all = (String::clone(address), None);
            !avoided.contains_key(&for_pool) && !avoided.contains_key(&for_all)
        };
        let former = self.former.borrow();
        let recent = former
            .iter()
            .filter(|(_, at)| now.since(**at) < FORMER_PEER_TTL);
        let last = recent.map(|(address, _)| address);
        rotated.chain(last).filter(is_usable).cloned().collect()
    }

    /// Records that a peer has no path to a pool either, or takes no further requests.
    pub fn on_declined(&self, now: Timestamp, address: &str, pool: &PoolName) {
        self.avoid(address, Some(pool.clone()), now.plus(WITHOUT_PATH_FOR));
    }

    /// Records that a peer could not be reached.
    pub fn on_unreachable(&self, now: Timestamp, address: &str) {
        self.avoid(address, None, now.plus(UNREACHABLE_FOR));
    }

    fn avoid(&self, address: &str, pool: Option<PoolName>, until: Timestamp) {
        let key = (address.to_owned(), pool);
        self.avoided.borrow_mut().insert(key, until);
    }
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
