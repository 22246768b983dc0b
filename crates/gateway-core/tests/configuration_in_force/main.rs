//! Routers that follow control machines, while machines and links fail: a configuration is in force in time.

#[path = "../cluster/mod.rs"]
mod cluster;
mod faults;
mod router;
mod touch;
mod world;

use std::time::Duration;

use rstest::rstest;

use faults::{draw, Fault, Kind};
use world::{Decisions, World};

const SECOND: Duration = Duration::from_secs(1);
/// Of a seeded schedule.
const RUN: Duration = Duration::from_secs(45);
const SEEDS_IN_CI: u64 = 40;

fn seeded(seed: u64, routers: usize, machines: u8) -> World {
    let mut world = World::new(seed, routers, machines);
    world.faults = draw(seed, routers, machines, RUN);
    world.run(RUN);
    world
}

fn assert_kept(world: &World, what: &str) {
    let broken = &world.broken;
    assert!(
        broken.is_empty(),
        "{what}: {} broken, first {:#?}, faults {:#?}",
        broken.len(),
        &broken[..broken.len().min(3)],
        world.faults
    );
}

#[rstest]
#[case::five_machines(5)]
#[case::nine_machines(9)]
fn no_router_in_touch_decides_by_a_configuration_older_than_the_bound(#[case] machines: u8) {
    for seed in 0..SEEDS_IN_CI {
        assert_kept(&seeded(seed, 8, machines), &format!("seed {seed}"));
    }
}

/// All control machines of one zone are cut off, while routers still reach them.
#[rstest]
#[case::one_of_five(5, &[1])]
#[case::two_of_five(5, &[1, 2])]
#[case::three_of_nine(9, &[1, 6, 2])]
#[case::four_of_nine(9, &[1, 2, 3, 4])]
#[case::two_of_ten(10, &[5, 10])]
#[case::four_of_ten(10, &[5, 10, 1, 6])]
fn a_zone_whose_control_machines_are_cut_off_has_changes_in_time(
    #[case] machines: u8,
    #[case] cut: &[u8],
) {
    for phase in 0..30 {
        let mut world = World::new(phase, 10, machines);
        let from = 6 * SECOND + Duration::from_millis(50) * phase as u32;
        world.faults = vec![Fault {
            from,
            until: from + 20 * SECOND,
            kind: Kind::SplitCore(cut.to_vec()),
        }];
        world.run(30 * SECOND);
        assert_kept(&world, &format!("phase {phase}"));
    }
}

#[rstest]
#[case::forty(40)]
#[case::three_hundred(300)]
fn many_routers_have_changes_in_time(#[case] routers: usize) {
    for seed in 0..2 {
        assert_kept(&seeded(seed, routers, 10), &format!("seed {seed}"));
    }
}

/// Seeds by hand, and how long changes take until they are in force: `cargo test --release -p drumshore-gateway-core
/// --test configuration_in_force -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures"]
fn how_long_changes_take() {
    let number = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().unwrap())
    };
    let seeds = number("FIRST", 1_000)..number("FIRST", 1_000) + number("SEEDS", 300);
    let (routers, machines) = (number("ROUTERS", 8), number("MACHINES", 5));
    let (mut delays, mut broken) = (Vec::new(), Vec::new());
    let mut decisions = Decisions::default();
    for seed in seeds {
        let world = seeded(seed, routers as usize, machines as u8);
        delays.extend(world.delays.iter().copied());
        decisions.add(&world.decisions);
        broken.extend(world.broken.first().map(|first| (seed, first.clone())));
    }
    delays.sort_unstable();
    let at = |part: f64| delays[((delays.len() - 1) as f64 * part) as usize];
    println!(
        "{routers} routers, {machines} machines: {} changes at routers in touch, median {:?}, p99 {:?}, worst {:?}; \
         {} seeds broken",
        delays.len(),
        at(0.5),
        at(0.99),
        at(1.0),
        broken.len()
    );
    println!("all routers, each 50 ms: {decisions:?}");
    for (seed, first) in broken.iter().take(10) {
        println!("seed {seed}: {first}");
    }
}
