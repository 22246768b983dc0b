//! Shares of a route's requests, by smooth weighted round robin: each pool gains its weight, the
//! one ahead is chosen and pays the total, so that any few requests are split as the weights say.
//!
//! Every router starts somewhere else in the cycle. Otherwise the first request of each router
//! would go to the pool with the most weight, and many routers with few requests each would give
//! that pool more than its share.

use std::collections::HashMap;

use rand::Rng;

use crate::{PoolName, Route};

/// Of a longer cycle only this much is walked through at the start.
const LONGEST_CYCLE: u32 = 1_000;

/// The state of each route that has several shares.
#[derive(Debug, Default)]
pub(super) struct Splitter(HashMap<String, HashMap<PoolName, i64>>);

impl Splitter {
    /// The pool of the next request.
    pub fn next(&mut self, route: &Route, random: &mut impl Rng) -> PoolName {
        if let [only] = &route.shares[..] {
            return only.pool.clone();
        }
        if !self.0.contains_key(&route.name) {
            for _ in 0..random.random_range(0..cycle(route)) {
                self.advance(route);
            }
        }
        self.advance(route)
    }

    fn advance(&mut self, route: &Route) -> PoolName {
        let gains = self.0.entry(route.name.clone()).or_default();
        gains.retain(|pool, _| route.shares.iter().any(|share| share.pool == *pool));
        let mut total = 0;
        let mut ahead: Option<(&PoolName, i64)> = None;
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let weight = i64::from(share.weight);
            total += weight;
            let gain = gains.entry(share.pool.clone()).or_insert(0);
            *gain += weight;
            if ahead.is_none_or(|(_, most)| *gain > most) {
                ahead = Some((&share.pool, *gain));
            }
        }
        let (pool, _) = ahead.expect("a checked route has a share with weight");
        if let Some(gain) = gains.get_mut(pool) {
            *gain -= total;
        }
        pool.clone()
    }
}

/// Requests after which the order of pools begins anew.
fn cycle(route: &Route) -> u32 {
    let weights = route.shares.iter().map(|share| share.weight);
    let divisor = weights.clone().fold(0, greatest_common_divisor).max(1);
    let total: u32 = weights.map(|weight| weight / divisor).sum();
    total.clamp(1, LONGEST_CYCLE)
}

fn greatest_common_divisor(one: u32, other: u32) -> u32 {
    if other == 0 {
        one
    } else {
        greatest_common_divisor(other, one % other)
    }
}
