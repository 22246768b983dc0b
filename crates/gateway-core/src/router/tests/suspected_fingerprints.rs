//! Tests of requests that crash the back ends serving them.

use super::*;
use crate::{
    Fingerprint, FingerprintEvent, FingerprintInput, FingerprintKey, FingerprintSuspicion,
    Quarantine, RequestFingerprints,
};

fn fingerprint(body: &str) -> Fingerprint {
    FingerprintKey::generate(1).identify(&FingerprintInput {
        body: &[body.as_bytes()],
        ..FingerprintInput::default()
    })
}

fn request(body: &str) -> RequestFingerprints {
    RequestFingerprints::of_request(fingerprint(body))
}

fn first_attempt(fingerprints: &RequestFingerprints) -> EarlierAttempts<'_> {
    EarlierAttempts {
        fingerprints: Some(fingerprints),
        ..EarlierAttempts::default()
    }
}

/// Chooses a back end for the first attempt of a request.
fn choose_first(router: &mut RouterCore, fingerprint: Fingerprint) -> Result<Choice, ChoiceError> {
    let fingerprints = RequestFingerprints::of_request(fingerprint);
    choose(router, first_attempt(&fingerprints))
}

/// The named back ends crash while serving a request with the fingerprint, one second apart.
fn crash_while_serving(router: &mut RouterCore, fingerprint: Fingerprint, names: &[&str]) {
    for (number, name) in names.iter().enumerate() {
        let now = at(1_000 * (1 + number as u64));
        router.on_back_end_crashed(now, &InstanceId::new(name), &[(fingerprint, now)]);
    }
}

fn choose(router: &mut RouterCore, earlier: EarlierAttempts<'_>) -> Result<Choice, ChoiceError> {
    let admission = admit(router, at(3_500), "/a/x");
    router.choose(at(3_500), &admission, None, earlier)
}

#[test]
fn a_fingerprint_is_refused_after_three_crashes_seen_by_this_router_alone() {
    let mut router = router();
    crash_while_serving(&mut router, fingerprint("a"), &["app-1", "app-2"]);
    assert!(choose_first(&mut router, fingerprint("a")).is_ok());
    crash_while_serving(&mut router, fingerprint("a"), &["app-1", "app-2", "app-3"]);
    let refused = choose_first(&mut router, fingerprint("a"));
    assert_eq!(refused, Err(ChoiceError::Quarantined));
    assert!(choose_first(&mut router, fingerprint("b")).is_ok());
}

#[rstest]
#[case::crash_count_from_a_control_machine(true)]
#[case::replicated_quarantine_list(false)]
fn a_router_that_saw_no_crash_refuses_a_fingerprint(#[case] by_count: bool) {
    let mut router = router();
    if by_count {
        let suspected = fingerprint("a");
        router.on_fingerprint_suspicions(
            at(1),
            &[FingerprintSuspicion {
                fingerprint: suspected,
                crashes: 3,
            }],
        );
    } else {
        update(
            &mut router,
            at(1),
            with_quarantine(10, 11, &[fingerprint("a")]),
        );
    }
    let refused = choose_first(&mut router, fingerprint("a"));
    assert_eq!(refused, Err(ChoiceError::Quarantined));
}

fn check_first(
    router: &mut RouterCore,
    now_ms: u64,
    fingerprint: Fingerprint,
) -> Result<(), ChoiceError> {
    let fingerprints = RequestFingerprints::of_request(fingerprint);
    router.check_fingerprints(at(now_ms), &first_attempt(&fingerprints))
}

#[test]
fn crashes_seen_by_this_router_alone_refuse_a_fingerprint_for_ten_seconds() {
    let mut router = router();
    let suspected = fingerprint("a");
    crash_while_serving(&mut router, suspected, &["app-1", "app-2", "app-3"]);
    let refused = check_first(&mut router, 12_900, suspected);
    assert_eq!(refused, Err(ChoiceError::Quarantined));
    assert_eq!(check_first(&mut router, 13_100, suspected), Ok(()));
    assert!(router.is_suspected(at(13_100), Some(&request("a"))));
    let now = at(13_500);
    router.on_back_end_crashed(now, &InstanceId::new("app-4"), &[(suspected, now)]);
    let refused = check_first(&mut router, 23_400, suspected);
    assert_eq!(refused, Err(ChoiceError::Quarantined));
}

#[test]
fn a_crash_count_that_is_not_sent_again_refuses_a_fingerprint_for_thirty_seconds() {
    let mut router = router();
    let suspected = fingerprint("a");
    let count = |crashes| FingerprintSuspicion {
        fingerprint: suspected,
        crashes,
    };
    router.on_fingerprint_suspicions(at(1_000), &[count(4)]);
    router.on_fingerprint_suspicions(at(11_000), &[count(4)]);
    router.on_fingerprint_suspicions(at(12_000), &[count(2)]);
    let refused = check_first(&mut router, 40_900, suspected);
    assert_eq!(refused, Err(ChoiceError::Quarantined));
    assert_eq!(check_first(&mut router, 41_100, suspected), Ok(()));
}

#[test]
fn crashes_that_are_found_late_are_reported_and_refuse_nothing() {
    let mut router = router();
    let suspected = fingerprint("a");
    for (number, name) in ["app-1", "app-2", "app-3"].iter().enumerate() {
        let crashed_at = at(1_000 * (1 + number as u64));
        let served = [(suspected, crashed_at)];
        let instance = InstanceId::new(name);
        router.on_earlier_crash_found(at(20_000), crashed_at, &instance, &served);
    }
    assert_eq!(check_first(&mut router, 20_000, suspected), Ok(()));
    let reports = router.fingerprint_reports_since(at(20_000), &mut 0);
    assert_eq!(reports.len(), 3);
}

fn with_quarantine(since: u64, revision: u64, fingerprints: &[Fingerprint]) -> Changes {
    let fingerprints = List::new(fingerprints.to_vec());
    Changes {
        quarantine: List::new(vec![Quarantine { fingerprints }]),
        ..changes(since, revision, Vec::new())
    }
}

#[test]
fn release_from_quarantine_clears_all_crash_counts() {
    let mut router = router();
    crash_while_serving(&mut router, fingerprint("a"), &["app-1", "app-2", "app-3"]);
    update(
        &mut router,
        at(3_100),
        with_quarantine(10, 11, &[fingerprint("a"), fingerprint("b")]),
    );
    update(
        &mut router,
        at(3_200),
        with_quarantine(11, 12, &[fingerprint("b")]),
    );
    assert_eq!(router.crash_count(fingerprint("a")), 0);
    assert!(choose_first(&mut router, fingerprint("a")).is_ok());
    assert!(choose_first(&mut router, fingerprint("b")).is_err());
    let reports = router.fingerprint_reports_since(at(3_300), &mut 0);
    assert!(
        reports.is_empty(),
        "a control machine that connects later receives no report of it"
    );
}

/// A call is retried after its first back end crashed, but not once a second crash while serving the same
/// fingerprint is known, from this call or from before it.
#[rstest]
#[case::first_crash(0, 1, true)]
#[case::second_crash_in_the_call(0, 2, false)]
#[case::one_crash_before_the_call(1, 1, false)]
#[case::no_broken_attempt_yet(2, 0, true)]
fn a_suspected_request_is_not_retried_within_its_call(
    #[case] crashes_before_call: u32,
    #[case] broken: u32,
    #[case] is_retried: bool,
) {
    let mut router = router();
    let tried = [InstanceId::new("app-1")];
    let earlier = EarlierAttempts {
        tried: if broken > 0 { &tried } else { &[] },
        arrived: broken,
        fingerprints: Some(&request("a")),
        crashes_before_call,
        broken,
        required_software: None,
    };
    let chosen = choose(&mut router, earlier);
    assert_eq!(chosen.is_ok(), is_retried, "{chosen:?}");
    if !is_retried {
        assert_eq!(chosen, Err(ChoiceError::Suspected));
    }
}

#[test]
fn a_suspected_request_goes_to_the_least_loaded_back_end_and_is_not_copied() {
    let mut router = router();
    let loads = (4..=9)
        .filter(|number| *number != 6)
        .map(|number| LoadEntry {
            key: LoadEntry::key_of(&format!("llm-{number}")),
            pending: 0,
            in_flight: 2,
        });
    router.set_others_loads(true, &loads.collect::<Vec<_>>());
    let suspicion = FingerprintSuspicion {
        fingerprint: fingerprint("a"),
        crashes: 2,
    };
    router.on_fingerprint_suspicions(at(1), &[suspicion]);
    let admission = admit(&mut router, at(1), "/a/b/x");
    for session in ["s1", "s2", "s3", "s4"] {
        let prompt = prompt(session, 300);
        let choice = router.choose(
            at(1),
            &admission,
            Some(&prompt),
            first_attempt(&request("a")),
        );
        let choice = choice.unwrap();
        assert_eq!((choice.instance.as_str(), &choice.copy), ("llm-6", &None));
        router.finished(at(1), &choice.instance, at(1), Outcome::Answered);
    }
}

#[test]
fn each_crash_is_reported_to_every_control_machine_also_to_those_that_connect_later() {
    let mut router = router();
    crash_while_serving(&mut router, fingerprint("a"), &["app-1", "app-2"]);
    let (mut early, mut late) = (0, 0);
    assert_eq!(
        router
            .fingerprint_reports_since(at(2_000), &mut early)
            .len(),
        2
    );
    assert!(router
        .fingerprint_reports_since(at(2_000), &mut early)
        .is_empty());
    crash_while_serving(&mut router, fingerprint("b"), &["app-1"]);
    assert_eq!(
        router
            .fingerprint_reports_since(at(2_500), &mut early)
            .len(),
        1
    );
    let all = router.fingerprint_reports_since(at(2_500), &mut late);
    let ages: Vec<u32> = all.iter().map(|report| report.age_ms).collect();
    assert_eq!(ages, [1_500, 500, 1_500]);
}

#[test]
fn a_completed_request_clears_its_fingerprint_and_is_reported() {
    let mut router = router();
    assert!(
        !router.on_fingerprint_completed(at(1), fingerprint("b")),
        "no crash was counted"
    );
    crash_while_serving(&mut router, fingerprint("a"), &["app-1", "app-2", "app-3"]);
    assert!(router.on_fingerprint_completed(at(3_100), fingerprint("a")));
    assert!(choose_first(&mut router, fingerprint("a")).is_ok());
    let reports = router.fingerprint_reports_since(at(3_200), &mut 3);
    let events: Vec<FingerprintEvent> = reports.iter().map(|report| report.event).collect();
    assert_eq!(events, [FingerprintEvent::Completed]);
}

/// A permit allows one trial, which is placed as a suspected request, and it expires.
#[test]
fn a_permit_allows_one_trial_of_a_quarantined_fingerprint() {
    let mut router = router();
    update(
        &mut router,
        at(1),
        with_quarantine(10, 11, &[fingerprint("a")]),
    );
    router.on_trial_permitted(at(3_400), fingerprint("a"));
    assert!(choose_first(&mut router, fingerprint("a")).is_ok());
    let next = choose_first(&mut router, fingerprint("a"));
    assert_eq!(next, Err(ChoiceError::Quarantined));
    router.on_trial_permitted(at(3_500), fingerprint("a"));
    assert!(router.is_suspected(at(3_500), Some(&request("a"))));
    let too_late = at(23_500);
    let refused = router.check_fingerprints(too_late, &first_attempt(&request("a")));
    assert_eq!(refused, Err(ChoiceError::Quarantined));
}

#[test]
fn a_broken_trial_is_not_retried_within_its_call() {
    let mut router = router();
    update(
        &mut router,
        at(1),
        with_quarantine(10, 11, &[fingerprint("a")]),
    );
    router.on_trial_permitted(at(3_400), fingerprint("a"));
    let tried = [InstanceId::new("app-1")];
    let request = request("a");
    let earlier = EarlierAttempts {
        tried: &tried,
        arrived: 1,
        broken: 1,
        ..first_attempt(&request)
    };
    assert_eq!(choose(&mut router, earlier), Err(ChoiceError::Quarantined));
}

/// A control machine that connects later must not release a fingerprint because of an old completion: the
/// fingerprint may have crashed back ends since.
#[test]
fn an_old_completion_is_not_reported_to_a_new_connection() {
    let mut router = router();
    crash_while_serving(&mut router, fingerprint("a"), &["app-1"]);
    router.on_fingerprint_completed(at(2_000), fingerprint("a"));
    assert_eq!(router.fingerprint_reports_since(at(2_100), &mut 0).len(), 1);
    assert!(router
        .fingerprint_reports_since(at(12_100), &mut 0)
        .is_empty());
}

/// A fingerprint that many requests share, such as a status query, is in flight at every back end that another
/// request crashes, so it must not be quarantined with the culprit. Otherwise, the crash of all three back ends of a
/// pool within 0.3 s causes all such requests to be refused: 1,763 in the last 40 s of a soak test.
#[test]
fn a_crash_is_not_counted_against_a_fingerprint_that_has_just_completed() {
    let mut router = router();
    router.on_fingerprint_completed(at(900), fingerprint("common"));
    for name in ["app-1", "app-2", "app-3"] {
        let now = at(1_000 + 300 * u64::from(name.as_bytes()[4] - b'0'));
        let in_flight = [
            (fingerprint("common"), at(950)),
            (fingerprint("crashing"), at(950)),
        ];
        router.on_back_end_crashed(now, &InstanceId::new(name), &in_flight);
    }
    assert_eq!(router.crash_count(fingerprint("common")), 0);
    assert_eq!(router.crash_count(fingerprint("crashing")), 3);
}

/// The router that observed a crash need not be the one at which the same fingerprint completed, so every router
/// with a recent completion must report it. Otherwise, a shared fingerprint stays quarantined, because a
/// quarantined request never gets to complete: 1,580 requests were refused until the end of a soak test.
#[rstest]
#[case::of_a_suspected_fingerprint(true)]
#[case::of_a_quarantined_fingerprint(false)]
fn a_router_reports_its_recent_completion(#[case] suspicion: bool) {
    let mut router = router();
    router.on_fingerprint_completed(at(900), fingerprint("common"));
    let mut cursor = 0;
    if suspicion {
        let suspected = fingerprint("common");
        router.on_fingerprint_suspicions(
            at(1_000),
            &[FingerprintSuspicion {
                fingerprint: suspected,
                crashes: 3,
            }],
        );
    } else {
        let quarantined =
            with_quarantine(10, 11, &[fingerprint("common"), fingerprint("crashing")]);
        update(&mut router, at(1_000), quarantined);
    }
    let reports = router.fingerprint_reports_since(at(1_000), &mut cursor);
    let events: Vec<(Fingerprint, FingerprintEvent)> = reports
        .iter()
        .map(|report| (report.fingerprint, report.event))
        .collect();
    assert_eq!(
        events,
        [(fingerprint("common"), FingerprintEvent::Completed)]
    );
    assert_eq!(
        choose_first(&mut router, fingerprint("common")).is_ok(),
        suspicion
    );
}

/// A fingerprint that completed some time ago may crash back ends that were replaced since.
#[test]
fn a_completion_protects_a_fingerprint_for_some_seconds_only() {
    let mut router = router();
    router.on_fingerprint_completed(at(900), fingerprint("a"));
    let later = at(12_000);
    router.on_fingerprint_completed(later, fingerprint("another"));
    router.on_back_end_crashed(
        later,
        &InstanceId::new("app-1"),
        &[(fingerprint("a"), later)],
    );
    assert_eq!(router.crash_count(fingerprint("a")), 1);
}

#[test]
fn a_crashed_back_end_is_avoided_and_announced_to_other_routers() {
    let mut router = router();
    crash_while_serving(&mut router, fingerprint("a"), &["app-1"]);
    assert_eq!(router.take_suspects(), [LoadEntry::key_of("app-1")]);
    let admission = admit(&mut router, at(2_500), "/a/x");
    for _ in 0..20 {
        let choice = router.choose(at(2_500), &admission, None, EarlierAttempts::default());
        assert_ne!(choice.unwrap().instance.as_str(), "app-1");
    }
}
