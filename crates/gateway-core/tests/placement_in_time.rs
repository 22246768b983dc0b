//! Placement of prompts by the expected time of their response, in a pool with room for all of them.

mod pool;

use std::time::Duration;

use pool::{Kind, Layout, Simulation, Tally, LONG, SHORT};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 3;

/// A few long prompts are so long that only a fast back end is in time.
fn reports() -> Kind {
    Kind {
        prompt_tokens: 9_000,
        spread: 0.6,
        output_tokens: 17,
        share: 0.15,
        ..LONG
    }
}

fn questions() -> Kind {
    Kind {
        prompt_tokens: 300,
        output_tokens: 7,
        target: Duration::from_millis(400),
        share: 0.85,
        ..SHORT
    }
}

fn layout(factors: &[f64], back_ends: usize) -> Layout {
    Layout {
        time_factors: (0..back_ends)
            .map(|number| factors[number % factors.len()])
            .collect(),
        routers: 67,
        us_per_pair: 0.000_6,
        loads_age: Duration::from_millis(100),
        speeds_are_known: true,
        loads_are_known: true,
    }
}

/// Outcomes by kind over six seconds at a constant rate.
fn play(layout: Layout, rate: f64, seed: u64) -> [Tally; 2] {
    let mut simulation = Simulation::with_layout(&[reports(), questions()], layout, seed);
    simulation.run(rate, 2 * SECOND);
    simulation.take_tallies();
    simulation.run(rate, 6 * SECOND);
    simulation.take_tallies().try_into().unwrap()
}

fn late_share(tally: Tally) -> f64 {
    f64::from(tally.late) / f64::from(tally.served().max(1))
}

/// Mean share of late prompts over some seeds, by kind.
fn mean_late(layout: &Layout, rate: f64) -> [f64; 2] {
    let mut sums = [0.0; 2];
    for seed in 1..=SEEDS {
        let tallies = play(layout.clone(), rate, seed);
        for (sum, tally) in sums.iter_mut().zip(tallies) {
            *sum += late_share(tally) / SEEDS as f64;
        }
    }
    sums
}

#[test]
fn a_pool_of_unlike_back_ends_answers_more_in_time_if_routers_know_their_speeds() {
    let known = layout(&[0.56, 0.94, 1.5], 30);
    let unknown = Layout {
        speeds_are_known: false,
        ..known.clone()
    };
    let [known, unknown] = [known, unknown].map(|layout| mean_late(&layout, 150.0));
    assert!(known[0] < 0.75 * unknown[0], "{known:?}, {unknown:?}");
    assert!(known[1] < 1.1 * unknown[1] + 0.01, "{known:?}, {unknown:?}");
}

#[test]
fn known_equal_speeds_do_no_harm() {
    let known = layout(&[1.0], 30);
    let unknown = Layout {
        speeds_are_known: false,
        ..known.clone()
    };
    let [known, unknown] = [known, unknown].map(|layout| mean_late(&layout, 150.0));
    assert!(known[0] < 1.1 * unknown[0] + 0.01, "{known:?}, {unknown:?}");
    assert!(known[1] < 1.1 * unknown[1] + 0.01, "{known:?}, {unknown:?}");
}

/// Loads are known some 0.2 s late. The more routers there are, the less of the load is a router's own, which it knows at once.
#[rstest]
#[case::routers_67(67)]
#[case::routers_300(300)]
#[case::routers_1_000(1_000)]
fn old_loads_of_others_are_better_than_none(#[case] routers: usize) {
    let known = Layout {
        routers,
        ..layout(&[1.0], 30)
    };
    let unknown = Layout {
        loads_are_known: false,
        ..known.clone()
    };
    let [known, unknown] = [known, unknown].map(|layout| mean_late(&layout, 150.0));
    assert!(known[0] < 0.85 * unknown[0], "{known:?}, {unknown:?}");
}

#[test]
fn a_surge_of_short_prompts_is_served_in_time_beside_long_ones() {
    for seed in 1..=SEEDS {
        let kinds = [reports(), questions()];
        let mut simulation = Simulation::with_layout(&kinds, layout(&[1.0], 30), seed);
        simulation.run(100.0, 4 * SECOND);
        simulation.take_tallies();
        simulation.set_share(1, 4.0 * kinds[1].share);
        simulation.run(100.0 * (0.15 + 4.0 * 0.85), 4 * SECOND);
        let tallies = simulation.take_tallies();
        assert!(late_share(tallies[1]) < 0.05, "seed {seed}: {tallies:?}");
    }
}

#[test]
#[ignore = "prints figures; asserts nothing"]
fn figures() {
    for rate in [100.0, 150.0, 200.0] {
        for routers in [67, 300, 1_000] {
            for (name, factors) in [("unlike", &[0.56, 0.94, 1.5][..]), ("equal", &[1.0])] {
                let known = Layout {
                    routers,
                    ..layout(factors, 30)
                };
                let no_speeds = Layout {
                    speeds_are_known: false,
                    ..known.clone()
                };
                let no_loads = Layout {
                    loads_are_known: false,
                    ..known.clone()
                };
                let late = [known, no_speeds, no_loads]
                    .map(|layout| mean_late(&layout, rate).map(|late| (late * 1e3).round() / 10.0));
                println!("{rate} a second, {routers} routers, {name}: late long and short in 100 {:?}, without speeds {:?}, without loads {:?}", late[0], late[1], late[2]);
            }
        }
    }
}
