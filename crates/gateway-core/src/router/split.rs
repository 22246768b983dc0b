//! Splits the requests of a route among its pools by smooth weighted round robin: for each request, each pool's
//! current weight grows by its share; the pool with the highest current weight is selected, and the total of the
//! shares is subtracted from it. So any short sequence of requests is split in proportion to the shares.
//!
//! Each router starts at a random position of the cycle. Otherwise the first request of each router would go
//! to the pool with the largest share, which would get too many requests if many routers have few requests each.

use std::collections::HashMap;

use rand::Rng;

use crate::{PoolName, Route};

/// Upper bound of the number of steps skipped at the start, if the cycle is longer.
const MAX_INITIAL_STEPS: u32 = 1_000;

/// The current weights of the pools, for each route with several shares.
#[derive(Debug, Default)]
pub(super) struct Splitter(HashMap<String, HashMap<PoolName, i64>>);

impl Splitter {
    /// Selects the pool for the next request.
    pub fn next(&mut self, route: &Route, random: &mut impl Rng) -> PoolName {
        if let [only] = &route.shares[..] {
            return only.pool.clone();
        }
        if !self.0.contains_key(&route.name) {
            for _ in 0..random.random_range(0..cycle_length(route)) {
                self.select_next(route);
            }
        }
        self.select_next(route)
    }

    fn select_next(&mut self, route: &Route) -> PoolName {
        let current_weights = self.0.entry(route.name.clone()).or_default();
        current_weights.retain(|pool, _| route.shares.iter().any(|share| share.pool == *pool));
        let mut total = 0;
        let mut selected: Option<(&PoolName, i64)> = None;
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let weight = i64::from(share.weight);
            total += weight;
            let current_weight = current_weights.entry(share.pool.clone()).or_insert(0);
            *current_weight += weight;
            if selected.is_none_or(|(_, highest)| *current_weight > highest) {
                selected = Some((&share.pool, *current_weight));
            }
        }
        let (pool, _) = selected.expect("a validated route has a share with a weight above 0");
        if let Some(current_weight) = current_weights.get_mut(pool) {
            *current_weight -= total;
        }
        pool.clone()
    }
}

/// Number of requests after which the sequence of pools repeats.
fn cycle_length(route: &Route) -> u32 {
    let weights = route.shares.iter().map(|share| share.weight);
    let divisor = weights.clone().fold(0, greatest_common_divisor).max(1);
    let total: u32 = weights.map(|weight| weight / divisor).sum();
    total.clamp(1, MAX_INITIAL_STEPS)
}

fn greatest_common_divisor(one: u32, other: u32) -> u32 {
    if other == 0 {
        one
    } else {
        greatest_common_divisor(other, one % other)
    }
}
