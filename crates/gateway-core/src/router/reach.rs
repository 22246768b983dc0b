//! What a router knows of the back ends of a pool: how many are ready, and how many it failed to reach itself.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::endpoint::Endpoint;
use super::endpoints::Endpoints;
use super::summary::NameHash;
use super::RouterCore;
use crate::PoolName;

/// The back ends of one pool as one router reaches them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolReach {
    /// Back ends that the replicated state lists as ready: control machines receive their heartbeats.
    pub ready: usize,
    /// Of those, back ends that this router's last attempt did not reach.
    pub unreachable: usize,
    /// Time since this router last received bytes from any of them; `None` if it never did.
    pub received_ago: Option<Duration>,
}

impl Endpoints {
    fn reach(&self, now: Timestamp, pool: &PoolName) -> PoolReach {
        let pool = NameHash::of(pool.as_str());
        let mut reach = PoolReach::default();
        let endpoints = self.iter().map(|(_, endpoint)| endpoint);
        let is_ready =
            |endpoint: &&Endpoint| endpoint.summary.pool == pool && endpoint.summary.is_ready;
        for endpoint in endpoints.filter(is_ready) {
            reach.ready += 1;
            reach.unreachable += usize::from(!endpoint.is_reachable());
            let received = endpoint.last_received_at.get();
            if received > Timestamp::default() {
                let ago = now.since(received);
                reach.received_ago = Some(reach.received_ago.map_or(ago, |least| least.min(ago)));
            }
        }
        reach
    }
}

impl RouterCore {
    /// How this router reaches the back ends of a pool.
    pub fn pool_reach(&self, now: Timestamp, pool: &PoolName) -> PoolReach {
        self.endpoints.reach(now, pool)
    }
}

#[cfg(test)]
#[path = "reach_tests.rs"]
mod tests;
