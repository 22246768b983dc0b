//! Runs every fault scenario, and checks that removing any guard violates an invariant.

use drumshore_guard::{set_disabled, Guard};
use drumshore_testbed::sim::{Scenario, SCENARIOS};
use rstest::rstest;

/// Seeds per scenario in the fixed set that every change must pass. `drumshore-lab sim` can run
/// more.
const SEEDS: u64 = 4;

/// Number of seeds within which a removed guard has to cause a violation.
const VIOLATION_SEEDS: u64 = 40;

fn scenario(name: &str) -> Scenario {
    Scenario::from_name(name).unwrap_or_else(|| panic!("no scenario {name}"))
}

#[test]
fn every_invariant_holds_in_every_scenario() {
    let threads: Vec<_> = SCENARIOS
        .iter()
        .map(|scenario| {
            std::thread::spawn(move || {
                for seed in 1..=SEEDS {
                    let report = scenario.run(seed, None);
                    let failures = report.failures;
                    assert!(
                        failures.is_empty(),
                        "repeat: drumshore-lab sim --scenario {} --seed {seed}: {failures:#?}",
                        scenario.name
                    );
                }
            })
        })
        .collect();
    for thread in threads {
        thread
            .join()
            .expect("all invariants hold in every scenario");
    }
}

#[rstest]
#[case("storm")]
#[case("rollout")]
#[case("second-machine-lost")]
fn the_same_seed_gives_the_same_run(#[case] name: &str) {
    let first = scenario(name).run(7, None);
    let second = scenario(name).run(7, None);
    let other = scenario(name).run(8, None);
    assert!(first.events > 1_000, "{}", first.events);
    assert_eq!(first.trace_hash, second.trace_hash);
    assert_ne!(first.trace_hash, other.trace_hash);
}

/// Removes one guard and runs a scenario until an invariant is violated. A guard whose removal stays
/// undetected is not covered by the checks.
#[rstest]
#[case(Guard::VoteSynced, "log-double-vote")]
#[case(Guard::EntriesSynced, "control-restarts")]
#[case(Guard::CurrentTermCommit, "log-older-term")]
#[case(Guard::UpToDateVote, "log-schedules")]
#[case(Guard::DiskIdentity, "log-lost-disk")]
#[case(Guard::CompareVersion, "racing-operators")]
#[case(Guard::ChangeIdentity, "racing-operators")]
#[case(Guard::ConfigFloor, "restored-from-copy")]
#[case(Guard::QuorumRead, "leader-cut-off")]
#[case(Guard::ClaimBeforeDispatch, "router-restarts")]
#[case(Guard::RetryOnlyIfSafe, "engine-crash")]
#[case(Guard::IncarnationFence, "late-requests")]
#[case(Guard::WeightsFence, "rollout-cut-off")]
#[case(Guard::IsolatedPrefix, "quiet")]
#[case(Guard::OrderEpoch, "rollout")]
#[case(Guard::DrainExcluded, "leaving-engine")]
#[case(Guard::DrainOnStop, "planned-stop")]
#[case(Guard::StreamOrder, "disordered-streams")]
#[case(Guard::ContinuationMatches, "varying-engines")]
fn removing_a_guard_breaks_an_invariant(#[case] guard: Guard, #[case] name: &str) {
    let scenario = scenario(name);
    let violated = (1..=VIOLATION_SEEDS).any(|seed| {
        set_disabled(Some(guard));
        let report = scenario.run(seed, Some(guard));
        set_disabled(None);
        !report.failures.is_empty()
    });
    assert!(
        violated,
        "removing the guard {} violates no invariant",
        guard.as_str()
    );
}

#[test]
fn every_guard_has_a_scenario() {
    let source = include_str!("simulation.rs");
    for guard in Guard::ALL {
        let case = format!("#[case(Guard::{guard:?},");
        assert!(source.contains(&case), "{}", guard.as_str());
    }
}
