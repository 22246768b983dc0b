//! A pool that receives more requests than it can serve in time.

mod pool;

use std::time::Duration;

use pool::{Kind, Simulation, Tally, LONG, SHORT};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
/// Requests a second that the pool serves in time, with any mix of kinds.
const SUSTAINABLE_RATE: f64 = 40.0;
const SEEDS: u64 = 10;

fn mixed() -> Vec<Kind> {
    vec![
        Kind {
            share: 0.35,
            ..LONG
        },
        Kind {
            share: 0.65,
            ..SHORT
        },
    ]
}

fn sum(tallies: &[Tally]) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, one| Tally {
        asked: sum.asked + one.asked,
        in_time: sum.in_time + one.in_time,
        in_time_on_retry: sum.in_time_on_retry + one.in_time_on_retry,
        late: sum.late + one.late,
        refused_at_first: sum.refused_at_first + one.refused_at_first,
        refused_again: sum.refused_again + one.refused_again,
    })
}

/// Outcomes at a constant rate, by kind, after 6 s in which the pool reaches a steady state.
fn steady(kinds: &[Kind], rate: f64, seed: u64) -> Vec<Tally> {
    let mut simulation = Simulation::new(kinds, seed);
    simulation.run(rate, 6 * SECOND);
    simulation.take_tallies();
    simulation.run(rate, 12 * SECOND);
    simulation.take_tallies()
}

#[rstest]
#[case::mixed(mixed())]
#[case::short(vec![SHORT])]
#[case::long(vec![LONG])]
fn a_pool_with_spare_capacity_refuses_nothing(#[case] kinds: Vec<Kind>) {
    for seed in 1..=SEEDS {
        let tally = sum(&steady(&kinds, SUSTAINABLE_RATE, seed));
        assert_eq!(tally.refused_at_first, 0, "seed {seed}: {tally:?}");
    }
}

#[rstest]
#[case::mixed(mixed(), &[80.0, 90.0, 100.0, 110.0])]
#[case::short(vec![SHORT], &[70.0, 80.0, 90.0, 100.0])]
#[case::long(vec![LONG], &[80.0, 100.0, 110.0, 120.0])]
fn a_pool_at_half_more_than_its_best_rate_serves_nearly_as_many_in_time(
    #[case] kinds: Vec<Kind>,
    #[case] rates: &[f64],
) {
    for seed in 1..=SEEDS {
        let served = |rate: f64| sum(&steady(&kinds, rate, seed)).served_in_time();
        let best = rates.iter().map(|rate| (served(*rate), *rate));
        let (best, rate) = best.max_by_key(|(served, _)| *served).unwrap();
        let overloaded = served(rate * 1.5);
        assert!(
            f64::from(overloaded) >= 0.9 * f64::from(best),
            "seed {seed}: {best} served in time at {rate} a second, {overloaded} at half more"
        );
    }
}

#[rstest]
#[case::mixed(mixed())]
#[case::short(vec![SHORT])]
#[case::long(vec![LONG])]
fn a_pool_recovers_from_a_burst_by_itself(#[case] kinds: Vec<Kind>) {
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(&kinds, seed);
        simulation.run(5.0 * SUSTAINABLE_RATE, 8 * SECOND);
        simulation.run(SUSTAINABLE_RATE, 5 * SECOND);
        simulation.take_tallies();
        simulation.run(SUSTAINABLE_RATE, 5 * SECOND);
        let tally = sum(&simulation.take_tallies());
        // Callers that were refused in the burst may still retry within this time, and are served then.
        assert_eq!(
            tally.refused_at_first + tally.refused_again,
            0,
            "seed {seed}: {tally:?}"
        );
        let in_time = f64::from(tally.served_in_time());
        assert!(
            in_time >= 0.95 * f64::from(tally.served()),
            "seed {seed}: {tally:?}"
        );
    }
}

#[test]
fn the_least_urgent_requests_are_refused_first_but_not_starved() {
    for seed in 1..=SEEDS {
        let tallies = steady(&mixed(), 130.0, seed);
        let [long, short] = tallies[..] else {
            unreachable!("two kinds")
        };
        let refused_share = |tally: Tally| f64::from(tally.refused_again) / f64::from(tally.asked);
        assert!(
            refused_share(long) > 2.0 * refused_share(short),
            "seed {seed}: {tallies:?}"
        );
        let tallies = steady(&mixed(), 300.0, seed);
        let all = sum(&tallies);
        let served = |tally: Tally| f64::from(tally.served()) / f64::from(tally.asked);
        for tally in &tallies {
            assert!(
                served(*tally) > 0.25 * served(all),
                "seed {seed}: {tallies:?}"
            );
        }
    }
}

#[test]
#[ignore = "prints figures; asserts nothing"]
fn figures() {
    for (name, kinds) in [
        ("mixed", mixed()),
        ("short", vec![SHORT]),
        ("long", vec![LONG]),
    ] {
        for rate in [40.0, 60.0, 80.0, 100.0, 120.0, 150.0, 180.0, 220.0] {
            println!(
                "{name} {rate} a second: {:?}",
                sum(&steady(&kinds, rate, 1))
            );
        }
    }
}
