//! Shares of a route's requests, by smooth weighted round robin: each pool gains its weight, the
//! one ahead is chosen and pays the total, so that any few requests are split as the weights say.

use std::collections::HashMap;

use crate::{PoolName, Route};

/// The state of each route that has several shares.
#[derive(Debug, Default)]
pub(super) struct Splitter(HashMap<String, HashMap<PoolName, i64>>);

impl Splitter {
    /// The pool of the next request.
    pub fn next(&mut self, route: &Route) -> PoolName {
        if let [only] = &route.shares[..] {
            return only.pool.clone();
        }
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
