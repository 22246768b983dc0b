//! How many back ends are known at each address: of several incarnations at one, all but the latest have ended.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

/// Back ends by the hash of their address. Nearly always each has an address of its own, and then no choice of a
/// back end has to look at addresses at all.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    counts: HashMap<u64, u32>,
    /// Addresses of several back ends.
    shared: usize,
}

impl Addresses {
    /// A back end listens there.
    pub fn add(&mut self, address: &str) {
        let count = self.counts.entry(hash(address)).or_default();
        *count += 1;
        if *count == 2 {
            self.shared += 1;
        }
    }

    /// A back end there has gone.
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

    /// Whether any address has several back ends.
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
