//! The fleet under every failure of the brief, and each safeguard's harm.

use drumshore_guard::{set_disabled, Guard};
use drumshore_testbed::sim::{Scenario, SCENARIOS};
use rstest::rstest;

/// Seeds of the fixed set that every change has to pass. `drumshore-lab sim` runs more.
const SEEDS: u64 = 4;

/// Seeds within which the harm of a missing safeguard has to show.
const HARM_SEEDS: u64 = 40;

fn scenario(name: &str) -> Scenario {
    Scenario::from_name(name).unwrap_or_else(|| panic!("no scenario {name}"))
}

#[test]
fn every_promise_holds_in_every_scenario() {
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
        thread.join().expect("every scenario is clean");
    }
}

#[rstest]
#[case("storm")]
#[case("rollout")]
#[case("second-machine-lost")]
fn a_seed_decides_everything(#[case] name: &str) {
    let first = scenario(name).run(7, None);
    let second = scenario(name).run(7, None);
    let other = scenario(name).run(8, None);
    assert!(first.events > 1_000, "{}", first.events);
    assert_eq!(first.trace_hash, second.trace_hash);
    assert_ne!(first.trace_hash, other.trace_hash);
}

/// Takes one safeguard out and runs a scenario until its harm shows.
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
fn a_missing_safeguard_does_harm(#[case] guard: Guard, #[case] name: &str) {
    let scenario = scenario(name);
    let noticed = (1..=HARM_SEEDS).any(|seed| {
        set_disabled(Some(guard));
        let report = scenario.run(seed, Some(guard));
        set_disabled(None);
        !report.failures.is_empty()
    });
    assert!(noticed, "{} can be taken out unnoticed", guard.as_str());
}

#[test]
fn every_safeguard_has_its_scenario() {
    let source = include_str!("simulation.rs");
    for guard in Guard::ALL {
        let case = format!("#[case(Guard::{guard:?},");
        assert!(source.contains(&case), "{}", guard.as_str());
    }
}
