//! Tests of work that ends back ends.

use super::*;
use crate::{Quarantine, Work, WorkEvent, WorkId, WorkKey, WorkSuspicion};

fn work(body: &str) -> WorkId {
    WorkKey::draw(1).identify(&Work {
        body: body.as_bytes(),
        ..Work::default()
    })
}

fn first_of(work: WorkId) -> EarlierAttempts<'static> {
    EarlierAttempts {
        fingerprint: Some(work),
        ..EarlierAttempts::default()
    }
}

/// Back ends of both pools that have ended under the work, a second apart.
fn end_under(router: &mut RouterCore, work: WorkId, names: &[&str]) {
    for (number, name) in names.iter().enumerate() {
        let now = at(1_000 * (1 + number as u64));
        router.on_back_end_ended(now, &InstanceId::new(name), &[(work, now)]);
    }
}

fn choose(router: &mut RouterCore, earlier: EarlierAttempts<'_>) -> Result<Choice, ChoiceError> {
    let admission = admit(router, at(3_500), "/a/x");
    router.choose(at(3_500), &admission, None, earlier)
}

#[test]
fn a_router_alone_stops_after_three_ends() {
    let mut router = router();
    end_under(&mut router, work("a"), &["app-1", "app-2"]);
    assert!(choose(&mut router, first_of(work("a"))).is_ok());
    end_under(&mut router, work("a"), &["app-1", "app-2", "app-3"]);
    let refused = choose(&mut router, first_of(work("a")));
    assert_eq!(refused, Err(ChoiceError::Quarantined));
    assert!(choose(&mut router, first_of(work("b"))).is_ok());
}

#[rstest]
#[case::on_the_word_of_a_control_machine(true)]
#[case::on_the_word_of_the_log(false)]
fn a_router_that_saw_nothing_stops(#[case] told: bool) {
    let mut router = router();
    if told {
        let work = work("a");
        router.on_work_suspicions(at(1), &[WorkSuspicion { work, ends: 3 }]);
    } else {
        update(&mut router, at(1), with_quarantine(10, 11, &[work("a")]));
    }
    let refused = choose(&mut router, first_of(work("a")));
    assert_eq!(refused, Err(ChoiceError::Quarantined));
}

fn with_quarantine(since: u64, revision: u64, works: &[WorkId]) -> Changes {
    let works = List::new(works.to_vec());
    Changes {
        quarantine: List::new(vec![Quarantine { works }]),
        ..changes(since, revision, Vec::new())
    }
}

#[test]
fn released_work_is_as_if_it_had_never_come() {
    let mut router = router();
    end_under(&mut router, work("a"), &["app-1", "app-2", "app-3"]);
    update(
        &mut router,
        at(3_100),
        with_quarantine(10, 11, &[work("a"), work("b")]),
    );
    update(
        &mut router,
        at(3_200),
        with_quarantine(11, 12, &[work("b")]),
    );
    assert_eq!(router.ends_under(work("a")), 0);
    assert!(choose(&mut router, first_of(work("a"))).is_ok());
    assert!(choose(&mut router, first_of(work("b"))).is_err());
    let reports = router.work_reports_since(at(3_300), &mut 0);
    assert!(
        reports.is_empty(),
        "a control machine that links later hears nothing of it"
    );
}

/// A call whose work broke off at a back end goes on at another one, unless that work has ended another
/// one before.
#[rstest]
#[case::first_end(0, 1, true)]
#[case::second_end_in_the_call(0, 2, false)]
#[case::one_before_the_call(1, 1, false)]
#[case::not_broken_yet(2, 0, true)]
fn a_call_does_not_send_suspected_work_on(
    #[case] crashes_before_call: u32,
    #[case] broken: u32,
    #[case] goes_on: bool,
) {
    let mut router = router();
    let tried = [InstanceId::new("app-1")];
    let earlier = EarlierAttempts {
        tried: if broken > 0 { &tried } else { &[] },
        arrived: broken,
        fingerprint: Some(work("a")),
        crashes_before_call,
        broken,
    };
    let chosen = choose(&mut router, earlier);
    assert_eq!(chosen.is_ok(), goes_on, "{chosen:?}");
    if !goes_on {
        assert_eq!(chosen, Err(ChoiceError::Suspected));
    }
}

#[test]
fn suspected_work_goes_where_the_least_is_lost_and_without_a_copy() {
    let mut router = router();
    let loads = (4..=9)
        .filter(|number| *number != 6)
        .map(|number| LoadEntry {
            key: LoadEntry::key_of(&format!("llm-{number}")),
            pending: 0,
            in_flight: 2,
        });
    router.set_others_loads(true, &loads.collect::<Vec<_>>());
    let suspicion = WorkSuspicion {
        work: work("a"),
        ends: 2,
    };
    router.on_work_suspicions(at(1), &[suspicion]);
    let admission = admit(&mut router, at(1), "/a/b/x");
    for session in ["s1", "s2", "s3", "s4"] {
        let prompt = prompt(session, 300);
        let choice = router.choose(at(1), &admission, Some(&prompt), first_of(work("a")));
        let choice = choice.unwrap();
        assert_eq!((choice.instance.as_str(), &choice.copy), ("llm-6", &None));
        router.finished(at(1), &choice.instance, at(1), Outcome::Answered);
    }
}

#[test]
fn each_control_machine_hears_of_each_end_and_later_ones_too() {
    let mut router = router();
    end_under(&mut router, work("a"), &["app-1", "app-2"]);
    let (mut early, mut late) = (0, 0);
    assert_eq!(router.work_reports_since(at(2_000), &mut early).len(), 2);
    assert!(router.work_reports_since(at(2_000), &mut early).is_empty());
    end_under(&mut router, work("b"), &["app-1"]);
    assert_eq!(router.work_reports_since(at(2_500), &mut early).len(), 1);
    let all = router.work_reports_since(at(2_500), &mut late);
    let ages: Vec<u32> = all.iter().map(|report| report.age_ms).collect();
    assert_eq!(ages, [1_500, 500, 1_500]);
}

#[test]
fn work_that_ran_to_its_end_is_cleared_everywhere() {
    let mut router = router();
    assert!(
        !router.on_work_completed(at(1), work("b")),
        "nothing spoke against it"
    );
    end_under(&mut router, work("a"), &["app-1", "app-2", "app-3"]);
    assert!(router.on_work_completed(at(3_100), work("a")));
    assert!(choose(&mut router, first_of(work("a"))).is_ok());
    let reports = router.work_reports_since(at(3_200), &mut 3);
    let events: Vec<WorkEvent> = reports.iter().map(|report| report.event).collect();
    assert_eq!(events, [WorkEvent::Completed]);
}

/// A permit is for one run, at the back end with the least to lose, and not for ever.
#[test]
fn one_run_of_quarantined_work_may_be_permitted() {
    let mut router = router();
    update(&mut router, at(1), with_quarantine(10, 11, &[work("a")]));
    router.on_trial_permitted(at(3_400), work("a"));
    assert!(choose(&mut router, first_of(work("a"))).is_ok());
    let next = choose(&mut router, first_of(work("a")));
    assert_eq!(next, Err(ChoiceError::Quarantined));
    router.on_trial_permitted(at(3_500), work("a"));
    assert!(router.is_suspected(Some(work("a"))));
    let too_late = at(23_500);
    let judged = router.judge_work(too_late, &first_of(work("a")));
    assert_eq!(judged, Err(ChoiceError::Quarantined));
}

/// A call that was permitted and broke is not sent on.
#[test]
fn a_trial_that_broke_is_not_repeated_within_its_call() {
    let mut router = router();
    update(&mut router, at(1), with_quarantine(10, 11, &[work("a")]));
    router.on_trial_permitted(at(3_400), work("a"));
    let tried = [InstanceId::new("app-1")];
    let earlier = EarlierAttempts {
        tried: &tried,
        arrived: 1,
        broken: 1,
        ..first_of(work("a"))
    };
    assert_eq!(choose(&mut router, earlier), Err(ChoiceError::Quarantined));
}

/// A control machine that links later must not release, on a run from long ago, what has ended back ends since.
#[test]
fn an_old_run_to_the_end_is_not_reported_again() {
    let mut router = router();
    end_under(&mut router, work("a"), &["app-1"]);
    router.on_work_completed(at(2_000), work("a"));
    assert_eq!(router.work_reports_since(at(2_100), &mut 0).len(), 1);
    assert!(router.work_reports_since(at(12_100), &mut 0).is_empty());
}

/// Requests that are all the same work, such as a question for a status, are in hand at every back end that
/// another request ends. In a soak all of a pool's three ended within 0.3 s, and 1,763 requests of their
/// callers were refused in the 40 s that were left.
#[test]
fn work_that_has_just_run_to_its_end_does_not_count_as_having_ended_a_back_end() {
    let mut router = router();
    router.on_work_completed(at(900), work("common"));
    for name in ["app-1", "app-2", "app-3"] {
        let now = at(1_000 + 300 * u64::from(name.as_bytes()[4] - b'0'));
        let in_hand = [(work("common"), at(950)), (work("ending"), at(950))];
        router.on_back_end_ended(now, &InstanceId::new(name), &in_hand);
    }
    assert_eq!(router.ends_under(work("common")), 0);
    assert_eq!(router.ends_under(work("ending")), 3);
}

/// The router that saw a back end end need not be the one that has run the work well: each contradicts what
/// control machines add up. In a soak 1,580 requests of one kind were refused until its end, for none of
/// that kind may run once it is quarantined.
#[rstest]
#[case::of_a_suspicion(true)]
#[case::of_a_verdict(false)]
fn a_router_that_has_just_run_the_work_well_contradicts(#[case] suspicion: bool) {
    let mut router = router();
    router.on_work_completed(at(900), work("common"));
    let mut cursor = 0;
    if suspicion {
        let work = work("common");
        router.on_work_suspicions(at(1_000), &[WorkSuspicion { work, ends: 3 }]);
    } else {
        let quarantined = with_quarantine(10, 11, &[work("common"), work("ending")]);
        update(&mut router, at(1_000), quarantined);
    }
    let reports = router.work_reports_since(at(1_000), &mut cursor);
    let events: Vec<(WorkId, WorkEvent)> = reports
        .iter()
        .map(|report| (report.work, report.event))
        .collect();
    assert_eq!(events, [(work("common"), WorkEvent::Completed)]);
    assert_eq!(
        choose(&mut router, first_of(work("common"))).is_ok(),
        suspicion
    );
}

/// What ran well before may end back ends since they were replaced.
#[test]
fn a_run_to_the_end_speaks_for_work_for_some_seconds_only() {
    let mut router = router();
    router.on_work_completed(at(900), work("a"));
    let later = at(12_000);
    router.on_work_completed(later, work("another"));
    router.on_back_end_ended(later, &InstanceId::new("app-1"), &[(work("a"), later)]);
    assert_eq!(router.ends_under(work("a")), 1);
}

#[test]
fn a_back_end_that_ended_is_avoided_by_all_routers() {
    let mut router = router();
    end_under(&mut router, work("a"), &["app-1"]);
    assert_eq!(router.take_suspects(), [LoadEntry::key_of("app-1")]);
    let admission = admit(&mut router, at(2_500), "/a/x");
    for _ in 0..20 {
        let choice = router.choose(at(2_500), &admission, None, EarlierAttempts::default());
        assert_ne!(choice.unwrap().instance.as_str(), "app-1");
    }
}
