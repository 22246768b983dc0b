//! Random schedules of messages, ticks and faults: safety holds with all guards enforced, and
//! disabling a guard is detected as a violation.

use drumshore_consensus_harness::{run_schedule, Violation};
use drumshore_guard::{set_disabled, Guard};
use proptest::prelude::*;
use rstest::rstest;

const STEPS: usize = 6_000;

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn acknowledged_commands_are_never_lost(#[case] voters: u64) {
    let mut acknowledged = 0;
    for seed in 0..300 {
        acknowledged += run_schedule(voters, seed, STEPS)
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation:?}"));
    }
    assert!(
        acknowledged > 1_000,
        "only {acknowledged} commands were acknowledged"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn safety_holds_for_any_seed(seed in any::<u64>(), voters in 1u64..=5) {
        prop_assert_eq!(run_schedule(voters, seed, 1_500).err(), None);
    }
}

/// Runs a schedule and counts a panic as a violation, because the library panics on some
/// inconsistent states.
fn schedule_with_panics(seed: u64) -> Result<usize, Violation> {
    std::panic::catch_unwind(|| run_schedule(3, seed, STEPS))
        .unwrap_or(Err(Violation::NothingCommits))
}

fn first_violation(guard: Guard) -> Option<(u64, Violation)> {
    set_disabled(Some(guard));
    let seeds = 0..4_000;
    let found = seeds.into_iter().find_map(|seed| {
        schedule_with_panics(seed)
            .err()
            .map(|violation| (seed, violation))
    });
    set_disabled(None);
    found
}

#[rstest]
#[case::vote_not_synced(Guard::VoteSynced)]
#[case::entries_not_synced(Guard::EntriesSynced)]
#[case::vote_for_a_log_that_is_behind(Guard::UpToDateVote)]
fn random_schedules_detect_a_disabled_guard(#[case] guard: Guard) {
    let found = first_violation(guard);
    assert!(
        found.is_some(),
        "no schedule detects that {} is disabled",
        guard.as_str()
    );
}
