//! What counts against work, and what does not.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::*;
use crate::{FingerprintInput, FingerprintKey};

fn at(ms: u64) -> Timestamp {
    Timestamp(1 + ms * 1_000)
}

fn fingerprint(number: u32) -> RequestFingerprint {
    let body = number.to_le_bytes();
    FingerprintKey::generate(1).identify(&FingerprintInput {
        body: &body,
        ..FingerprintInput::default()
    })
}

/// A back end that had had the work for a second when it ended.
fn ended(back_end: u32, age_ms: u64) -> CrashReport {
    CrashReport {
        back_end,
        age: Duration::from_millis(age_ms),
        service_time: Duration::from_secs(1),
    }
}

#[test]
fn each_back_end_counts_once_and_each_moment_once() {
    let mut ledger = CrashLedger::default();
    assert!(ledger.record_crash(at(0), fingerprint(1), ended(10, 0)));
    assert!(
        !ledger.record_crash(at(5), fingerprint(1), ended(10, 0)),
        "seen by another router"
    );
    assert!(
        ledger.record_crash(at(9), fingerprint(1), ended(11, 0)),
        "ended together"
    );
    assert_eq!(ledger.crashes(fingerprint(1)), 1);
    assert!(ledger.record_crash(at(400), fingerprint(1), ended(12, 0)));
    assert_eq!(ledger.crashes(fingerprint(1)), 2);
    assert_eq!(ledger.crashes(fingerprint(2)), 0);
}

/// A call that sends the work on within 42 ms has run it twice, one after the other.
#[test]
fn a_back_end_that_got_the_work_after_the_first_had_ended_is_another_moment() {
    let mut ledger = CrashLedger::default();
    ledger.record_crash(at(1_000), fingerprint(1), ended(1, 0));
    let service_time = Duration::from_millis(41);
    let second = CrashReport {
        service_time,
        ..ended(2, 0)
    };
    ledger.record_crash(at(1_042), fingerprint(1), second);
    assert_eq!(ledger.crashes(fingerprint(1)), 2);
}

#[test]
fn reports_that_come_late_count_at_the_time_of_the_end() {
    let mut ledger = CrashLedger::default();
    for (ended_at, back_end) in [(900, 1), (100, 2), (500, 3)] {
        ledger.record_crash(at(2_000), fingerprint(1), ended(back_end, 2_000 - ended_at));
    }
    assert_eq!(ledger.crashes(fingerprint(1)), 3);
}

/// A control machine that has just started hears of ends before its start.
#[test]
fn ends_before_the_start_are_told_apart() {
    let mut ledger = CrashLedger::default();
    for (age_s, back_end) in [(9, 1), (7, 2), (5, 3)] {
        ledger.record_crash(at(10), fingerprint(1), ended(back_end, age_s * 1_000));
    }
    assert_eq!(ledger.crashes(fingerprint(1)), 3);
}

#[test]
fn requests_beside_the_culprit_are_innocent_once_it_is_known() {
    let mut ledger = CrashLedger::default();
    for (moment, back_end) in [(0, 1), (1_000, 2), (2_000, 3)] {
        ledger.record_crash(at(moment), fingerprint(1), ended(back_end, 0));
    }
    for (moment, back_end) in [(0, 1), (1_000, 2), (1_500, 9)] {
        ledger.record_crash(at(moment), fingerprint(2), ended(back_end, 0));
    }
    ledger.record_crash(at(0), fingerprint(3), ended(1, 0));
    assert_eq!(
        ledger.attribute_crashes_to(fingerprint(1)),
        sorted([fingerprint(2), fingerprint(3)])
    );
    assert_eq!(
        (
            ledger.crashes(fingerprint(1)),
            ledger.crashes(fingerprint(2)),
            ledger.crashes(fingerprint(3))
        ),
        (3, 1, 0)
    );
    assert!(
        !ledger.record_crash(at(2_100), fingerprint(4), ended(3, 0)),
        "a late report of it"
    );
}

fn sorted<const N: usize>(mut fingerprints: [RequestFingerprint; N]) -> Vec<RequestFingerprint> {
    fingerprints.sort_unstable();
    fingerprints.to_vec()
}

/// A verdict is applied again with each further end under it; what it explained before stays known.
#[test]
fn ends_are_explained_once() {
    let mut ledger = CrashLedger::default();
    ledger.record_crash(at(0), fingerprint(1), ended(1, 0));
    for _ in 0..2 * MOST_EXPLAINED {
        ledger.attribute_crashes_to(fingerprint(1));
    }
    assert_eq!(ledger.attributed, [1]);
}

#[test]
fn a_run_to_the_end_clears_and_time_forgets() {
    let mut ledger = CrashLedger::default();
    ledger.record_crash(at(0), fingerprint(1), ended(1, 0));
    assert!(ledger.clear(fingerprint(1)));
    assert!(!ledger.clear(fingerprint(1)));
    ledger.record_crash(at(0), fingerprint(2), ended(1, 0));
    ledger.expire(at(0).plus(REMEMBER_CRASHES_FOR));
    assert_eq!(ledger.crashes(fingerprint(2)), 0);
}

#[test]
fn a_full_table_keeps_the_work_that_ended_most() {
    let mut ledger = CrashLedger::default();
    for (moment, back_end) in [(0, 1), (1_000, 2)] {
        ledger.record_crash(at(moment), fingerprint(0), ended(back_end, 0));
    }
    for number in 1..=3 * MOST_WORKS as u32 {
        let moment = 2_000 + u64::from(number);
        ledger.record_crash(at(moment), fingerprint(number), ended(100 + number, 0));
    }
    assert!(ledger.fingerprints.len() <= MOST_WORKS);
    assert_eq!(ledger.crashes(fingerprint(0)), 2);
}

/// A pool of 100 back ends with 16 requests each. `share` of them end at each of `waves` moments, 2 s
/// apart; each request that broke runs once more at a back end that is drawn. Returns how many of 1,000
/// requests in hand at the first moment are seen at `least` moments.
fn ends_by_chance(seed: u64, waves: u32, share: f64, least: u32) -> f64 {
    const BACK_ENDS: u32 = 100;
    const SLOTS: u32 = 16;
    let mut random = StdRng::seed_from_u64(seed);
    let mut ledger = CrashLedger::default();
    let mut home: Vec<u32> = (0..BACK_ENDS * SLOTS)
        .map(|number| number / SLOTS)
        .collect();
    for wave in 0..waves {
        let moment = at(u64::from(wave) * 2_000);
        let struck: BTreeSet<u32> = (0..BACK_ENDS)
            .filter(|_| random.random_bool(share))
            .collect();
        for (number, back_end) in home.iter_mut().enumerate() {
            if struck.contains(back_end) {
                // The next incarnation is another back end.
                let incarnation = wave * BACK_ENDS + *back_end;
                ledger.record_crash(moment, fingerprint(number as u32), ended(incarnation, 0));
                *back_end = random.random_range(0..BACK_ENDS);
            }
        }
    }
    let fingerprints = (0..BACK_ENDS * SLOTS).map(fingerprint);
    let seen = fingerprints
        .filter(|fingerprint| ledger.crashes(*fingerprint) >= least)
        .count();
    seen as f64 * 1_000.0 / f64::from(BACK_ENDS * SLOTS)
}

/// When a quarter of a pool ends at once, and again 2 s later, no innocent request is quarantined.
#[rstest]
fn a_quarter_of_a_pool_that_ends_twice_condemns_nobody(#[values(1, 2, 3, 4, 5)] seed: u64) {
    assert_eq!(ends_by_chance(seed, 2, 0.25, CRASHES_FOR_QUARANTINE), 0.0);
}

/// What other bounds would do; prints the figures that docs/design/quarantine.md gives.
#[test]
#[ignore = "prints figures"]
fn figures_of_bounds() {
    for (waves, least) in [(2, 2), (2, 3), (3, 2), (3, 3)] {
        let of: Vec<f64> = (1..=10)
            .map(|seed| ends_by_chance(seed, waves, 0.25, least))
            .collect();
        let mean = of.iter().sum::<f64>() / of.len() as f64;
        println!("{waves} waves, {least} ends: {mean:.1} of 1,000");
    }
}
