//! Number of known back ends per address. Of several incarnations at one address, all but the latest have ended.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

/// Counts of back ends by the hash of their address. Nearly always each back end has an address of its own, and then
/// addresses need not be checked when a back end is chosen.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    counts: HashMap<u64, u32>,
    /// Number of addresses with more than one back end.
    shared: usize,
}

impl Addresses {
    /// Adds a back end at the address.
    pub fn add(&mut self, address: &str) {
        let count = self.counts.entry(hash(address)).or_default();
        *count += 1;
        if *count == 2 {
            self.shared += 1;
        }
    }

    /// Removes a back end at the address; has no effect if none is known there.
    pub fn remove(&mut self, address: &str) {
        let hash = hash(address);
        let Some(count) = self.counts.get_mut(&hash) else {
            return;
        };
        *count -= 1;
        match *count {
            0 => {
                self.counts.remove(&hash);
            }
            1 => self.shared -= 1,
            _ => {}
        }
    }

    /// Whether any address has more than one back end.
    pub fn any_shared(&self) -> bool {
        self.shared > 0
    }
}

fn hash(address: &str) -> u64 {
    xxh3_64(address.as_bytes())
}

#[cfg(test)]
#[path = "addresses_tests.rs"]
mod tests;
