//! The streams that one router began, and the control machines that it tells of them.

use std::net::Ipv4Addr;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{StreamKey, StreamOrigin, StreamOrigins};
use crate::SoftwareKey;

/// Control machines that each router tells of its streams. One of them may fail together with the router.
const HOLDERS: usize = 2;
/// Origins that a router keeps of its own streams.
const MAX_OWN_ORIGINS: usize = 16_384;

/// The origins of a router's own streams, with the control machines that hold copies.
#[derive(Debug)]
pub struct StreamPublisher {
    own: StreamOrigins,
    /// Distributes the routers over the control machines.
    seed: u64,
    holders: Vec<Ipv4Addr>,
}

impl StreamPublisher {
    /// Routers with different seeds choose different control machines.
    pub fn new(seed: u64) -> Self {
        Self {
            own: StreamOrigins::new(MAX_OWN_ORIGINS),
            seed,
            holders: Vec::new(),
        }
    }

    /// Records a stream of this router; returns the control machines to tell.
    pub fn record(&mut self, now: Timestamp, origin: &StreamOrigin) -> &[Ipv4Addr] {
        self.own.record(now, origin);
        &self.holders
    }

    /// The software version that began a stream of this router.
    pub fn find(&self, now: Timestamp, stream: StreamKey) -> Option<SoftwareKey> {
        self.own.find(now, stream)
    }

    /// Sets the control machines that are linked and decode messages about streams. Returns those that hold copies from
    /// now on and are to be told of all [`StreamPublisher::live`] streams. A link that ended and began again must be
    /// missing in a call in between, because the control machine may have restarted.
    pub fn set_linked(&mut self, linked: impl IntoIterator<Item = Ipv4Addr>) -> Vec<Ipv4Addr> {
        let mut ranked: Vec<Ipv4Addr> = linked.into_iter().collect();
        ranked.sort_unstable_by_key(|address| xxh3_64_with_seed(&address.octets(), self.seed));
        ranked.truncate(HOLDERS);
        let earlier = std::mem::replace(&mut self.holders, ranked);
        let holders = self.holders.iter().copied();
        holders.filter(|holder| !earlier.contains(holder)).collect()
    }

    /// All streams that may still be taken up.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = StreamOrigin> + '_ {
        self.own.live(now)
    }
}
