//! Routers that follow control machines apply configurations and leaves of back ends in time, while machines and links
//! fail.

mod back_ends;
#[path = "../cluster/mod.rs"]
mod cluster;
mod connectivity;
mod faults;
mod router;
mod simulation;

use std::time::Duration;

use rstest::rstest;

use faults::{random_faults, Fault, FaultKind};
use simulation::{Decisions, Simulation};

const SECOND: Duration = Duration::from_secs(1);
/// Duration of a run with random faults.
const RUN: Duration = Duration::from_secs(45);
const SEEDS_IN_CI: u64 = 40;

fn run_seed(seed: u64, routers: usize, machines: u8) -> Simulation {
    let mut simulation = Simulation::new(seed, routers, machines);
    simulation.faults = random_faults(seed, routers, machines, RUN);
    simulation.run(RUN);
    simulation
}

fn assert_no_violations(simulation: &Simulation, what: &str) {
    let violations = &simulation.violations;
    assert!(
        violations.is_empty(),
        "{what}: {} violations, first {:#?}, faults {:#?}",
        violations.len(),
        &violations[..violations.len().min(3)],
        simulation.faults
    );
}

#[rstest]
#[case::three_machines(3)]
#[case::five_machines(5)]
#[case::nine_machines(9)]
fn no_connected_router_decides_by_a_state_older_than_the_bound(#[case] machines: u8) {
    for seed in 0..SEEDS_IN_CI {
        assert_no_violations(&run_seed(seed, 8, machines), &format!("seed {seed}"));
    }
}

/// Guards against routers that keep following a minority of the control machines, up to all machines of a zone, that is
/// cut off from the others while routers still reach it.
#[rstest]
#[case::one_of_five(5, &[1])]
#[case::two_of_five(5, &[1, 2])]
#[case::three_of_nine(9, &[1, 6, 2])]
#[case::four_of_nine(9, &[1, 2, 3, 4])]
#[case::two_of_ten(10, &[5, 10])]
#[case::four_of_ten(10, &[5, 10, 1, 6])]
fn changes_are_applied_in_time_while_a_minority_of_control_machines_is_cut_off(
    #[case] machines: u8,
    #[case] cut: &[u8],
) {
    for phase in 0..30 {
        let mut simulation = Simulation::new(phase, 10, machines);
        let from = 6 * SECOND + Duration::from_millis(50) * phase as u32;
        simulation.faults = vec![Fault {
            from,
            until: from + 20 * SECOND,
            kind: FaultKind::PartitionControls(cut.to_vec()),
        }];
        simulation.run(30 * SECOND);
        assert_no_violations(&simulation, &format!("phase {phase}"));
    }
}

#[rstest]
#[case::forty(40)]
#[case::three_hundred(300)]
fn many_routers_apply_changes_in_time(#[case] routers: usize) {
    for seed in 0..2 {
        assert_no_violations(&run_seed(seed, routers, 10), &format!("seed {seed}"));
    }
}

/// Prints the delays until changes are in force, for seeds set in the environment: `cargo test --release -p
/// drumshore-gateway-core --test configuration_in_force -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures; asserts nothing"]
fn figures_of_delays_until_changes_are_in_force() {
    let number = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().unwrap())
    };
    let seeds = number("FIRST", 1_000)..number("FIRST", 1_000) + number("SEEDS", 300);
    let (routers, machines) = (number("ROUTERS", 8), number("MACHINES", 5));
    let (mut delays, mut violations) = (Vec::new(), Vec::new());
    let mut decisions = Decisions::default();
    for seed in seeds {
        let simulation = run_seed(seed, routers as usize, machines as u8);
        delays.extend(simulation.delays.iter().copied());
        decisions.add(&simulation.decisions);
        violations.extend(
            simulation
                .violations
                .first()
                .map(|first| (seed, first.clone())),
        );
    }
    delays.sort_unstable();
    let at = |fraction: f64| delays[((delays.len() - 1) as f64 * fraction) as usize];
    println!(
        "{routers} routers, {machines} machines: {} changes at connected routers, median {:?}, p99 {:?}, worst {:?}; \
         {} seeds with violations",
        delays.len(),
        at(0.5),
        at(0.99),
        at(1.0),
        violations.len()
    );
    println!("decisions of all routers, one each 50 ms: {decisions:?}");
    for (seed, first) in violations.iter().take(10) {
        println!("seed {seed}: {first}");
    }
}
