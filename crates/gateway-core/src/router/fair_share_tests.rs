//! Tests of max-min fairness.

use proptest::prelude::*;
use rstest::rstest;

use super::*;

fn equal(costs: &[f64]) -> Vec<Demand> {
    let demand = |cost: &f64| Demand {
        cost: *cost,
        weight: 1.0,
    };
    costs.iter().map(demand).collect()
}

fn got(demand: &Demand, level: f64) -> f64 {
    demand.cost.min(demand.weight * level)
}

#[rstest]
#[case::room_for_all(&[1.0, 2.0], 3.0, f64::INFINITY)]
#[case::all_alike(&[2.0, 2.0], 3.0, 1.5)]
#[case::one_surges(&[1.0, 1.0, 6.0], 5.0, 3.0)]
#[case::what_is_not_used_raises_the_level(&[0.0, 1.0, 6.0, 6.0], 5.0, 2.0)]
#[case::no_room(&[1.0, 2.0], 0.0, 0.0)]
#[case::no_tenant(&[], 0.0, f64::INFINITY)]
fn level_divides_the_room(#[case] costs: &[f64], #[case] room: f64, #[case] level: f64) {
    assert_eq!(fair_level(&equal(costs), room), level);
}

#[test]
fn a_weight_counts_as_that_many_tenants() {
    let mut demands = equal(&[9.0, 9.0]);
    demands[1].weight = 2.0;
    let level = fair_level(&demands, 9.0);
    assert_eq!(
        (got(&demands[0], level), got(&demands[1], level)),
        (3.0, 6.0)
    );
}

fn demand() -> impl Strategy<Value = Demand> {
    (0.0..1_000.0, 0.01..100.0).prop_map(|(cost, weight)| Demand { cost, weight })
}

fn sum(demands: &[Demand], level: f64) -> f64 {
    demands.iter().map(|demand| got(demand, level)).sum()
}

proptest! {
    #[test]
    fn what_tenants_get_adds_up_to_the_room(
        demands in prop::collection::vec(demand(), 1..80),
        fraction in 0.0..1.0_f64,
    ) {
        let all = sum(&demands, f64::INFINITY);
        let level = fair_level(&demands, all * fraction);
        prop_assert!((sum(&demands, level) - all * fraction).abs() <= 1e-6 * all.max(1.0));
    }

    /// A tenant that asks for no more than an even share of the room gets it, whatever others ask for.
    #[test]
    fn no_tenant_within_an_even_share_is_refused(
        demands in prop::collection::vec(demand(), 1..80),
        fraction in 0.0..1.0_f64,
    ) {
        let room = sum(&demands, f64::INFINITY) * fraction;
        let weight: f64 = demands.iter().map(|demand| demand.weight).sum();
        let level = fair_level(&demands, room);
        for demand in &demands {
            if demand.cost <= 0.999_999 * demand.weight * room / weight {
                prop_assert_eq!(got(demand, level), demand.cost);
            }
        }
    }

    #[test]
    fn more_room_takes_from_nobody(
        demands in prop::collection::vec(demand(), 1..80),
        fraction in 0.0..1.0_f64,
        more in 0.0..1.0_f64,
    ) {
        let all = sum(&demands, f64::INFINITY);
        let low = fair_level(&demands, all * fraction);
        let high = fair_level(&demands, all * (fraction + (1.0 - fraction) * more));
        prop_assert!(high >= low * (1.0 - 1e-9));
    }

    /// Who asks for more gets no less, and takes from the others at most until all are at one level.
    #[test]
    fn a_surge_takes_no_more_than_a_share(
        demands in prop::collection::vec(demand(), 2..80),
        fraction in 0.01..1.0_f64,
        times in 1.0..10.0_f64,
    ) {
        let room = sum(&demands, f64::INFINITY) * fraction;
        let before = fair_level(&demands, room);
        let mut surging = demands.clone();
        surging[0].cost *= times;
        let after = fair_level(&surging, room);
        prop_assert!(got(&surging[0], after) >= got(&demands[0], before) * (1.0 - 1e-9));
        let surging_level = got(&surging[0], after) / surging[0].weight;
        for demand in &demands[1..] {
            let lost = got(demand, before) - got(demand, after);
            prop_assert!(lost <= 1e-6 * demand.cost.max(1.0) || got(demand, after) / demand.weight >= surging_level * (1.0 - 1e-9));
        }
    }
}
