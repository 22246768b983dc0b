//! Weighted max-min fairness between the tenants of a pool that has too little room.
//!
//! The room that is left is divided like water poured into vessels: each tenant gets what it asks for, up to a level
//! that is the same for all per unit of weight, and the level is as high as the room allows. A tenant that asks for less
//! than that loses nothing, whatever others ask for. What it leaves over raises the level of the others.

/// A tenant's demand and its weight. The units of both are arbitrary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Demand {
    pub cost: f64,
    /// Above 0.
    pub weight: f64,
}

impl Demand {
    /// The level that the tenant needs to get all it asks for.
    fn level(&self) -> f64 {
        self.cost / self.weight
    }
}

/// The level at which what all tenants get adds up to `room`; infinite if there is room for all.
pub(super) fn fair_level(demands: &[Demand], room: f64) -> f64 {
    let mut by_level = demands.to_vec();
    by_level.sort_by(|one, other| one.level().total_cmp(&other.level()));
    let mut room = room.max(0.0);
    let mut weight: f64 = by_level.iter().map(|demand| demand.weight).sum();
    for demand in by_level {
        let level = room / weight;
        if demand.level() > level {
            return level;
        }
        room -= demand.cost;
        weight -= demand.weight;
    }
    f64::INFINITY
}

#[cfg(test)]
#[path = "fair_share_tests.rs"]
mod tests;
