//! Tests of what back ends say of themselves.

use rstest::rstest;

use super::super::tests::{
    admit, at, changes, prompt_of, record, router, router_with, short_stream, update,
};
use super::super::{Choice, EarlierAttempts, Outcome, RunCopy};
use super::*;
use crate::{Lifecycle, RequestKind};

const PAUSE: Duration = Duration::from_secs(3);

fn pause() -> BackEndNotice {
    BackEndNotice {
        retry_after: Some(PAUSE),
        ..BackEndNotice::default()
    }
}

fn leaving() -> BackEndNotice {
    BackEndNotice {
        is_leaving: true,
        ..BackEndNotice::default()
    }
}

fn hearing(now: Timestamp) -> NoticeContext {
    NoticeContext {
        now,
        asked: now,
        routers: 1,
        seed: 1,
    }
}

fn id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

/// Back ends that get some of a hundred requests at a time.
fn chosen(router: &mut RouterCore, now: Timestamp) -> Vec<InstanceId> {
    let admission = admit(router, at(1), "/a/x");
    let mut chosen = Vec::new();
    for _ in 0..100 {
        let choice = router.choose(now, &admission, None, EarlierAttempts::default());
        let instance = choice.unwrap().instance;
        router.finished(now, &instance, now, Outcome::Answered);
        if !chosen.contains(&instance) {
            chosen.push(instance);
        }
    }
    chosen
}

fn error(router: &mut RouterCore, now: Timestamp) -> ChoiceError {
    let admission = admit(router, at(1), "/a/x");
    router
        .choose(now, &admission, None, EarlierAttempts::default())
        .unwrap_err()
}

#[test]
fn one_that_asked_for_a_pause_gets_nothing_until_it_has_passed() {
    let mut router = router();
    let change = router.on_notice(at(10), &id("app-1"), pause(), at(10));
    assert!(change.backs_off && !change.leaves);
    assert!(!chosen(&mut router, at(11)).contains(&id("app-1")));
    assert!(!chosen(&mut router, at(3_009)).contains(&id("app-1")));
    assert!(chosen(&mut router, at(3_010)).contains(&id("app-1")));
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut router = router();
    router.on_notice(at(10), &id("app-1"), pause(), at(10));
    let shorter = BackEndNotice {
        retry_after: Some(Duration::from_millis(100)),
        ..pause()
    };
    assert!(
        !router
            .on_notice(at(20), &id("app-1"), shorter, at(20))
            .backs_off
    );
    assert!(!chosen(&mut router, at(2_000)).contains(&id("app-1")));
}

#[test]
fn when_all_ask_for_a_pause_callers_are_told_when_the_first_one_ends() {
    let mut router = router();
    for (index, name) in ["app-1", "app-2", "app-3"].into_iter().enumerate() {
        router.on_notice(
            at(10 + index as u64),
            &id(name),
            pause(),
            at(10 + index as u64),
        );
    }
    let mut told = Vec::new();
    for _ in 0..200 {
        let ChoiceError::BackedOff(backoff) = error(&mut router, at(1_010)) else {
            panic!("refused for the pause");
        };
        assert_eq!(
            (backoff.back_ends, backoff.soonest),
            (3, Duration::from_secs(2))
        );
        told.push(backoff.retry_after);
    }
    let (first, last) = (told.iter().min().unwrap(), told.iter().max().unwrap());
    assert!(*first >= Duration::from_secs(2), "not before it ends");
    assert!(
        *last - *first > Duration::from_millis(800),
        "spread over a second"
    );
    assert!(*last <= Duration::from_secs(3));
    assert_eq!(chosen(&mut router, at(3_010)), [id("app-1")]);
}

/// Requests that one back end gets at once when it is the only one.
fn at_once(router: &mut RouterCore, now: Timestamp) -> Vec<Choice> {
    let admission = admit(router, at(1), "/a/x");
    let mut open = Vec::new();
    while let Ok(choice) = router.choose(now, &admission, None, EarlierAttempts::default()) {
        open.push(choice);
        assert!(open.len() < 100, "no bound");
    }
    open
}

#[test]
fn after_a_pause_a_back_end_gets_one_request_and_then_more() {
    let mut router = router_with(vec![record("app-1", "apps", 1)]);
    let now = at(10);
    let admission = admit(&mut router, at(1), "/a/x");
    for _ in 0..8 {
        let choice = router.choose(now, &admission, None, EarlierAttempts::default());
        assert!(choice.is_ok());
    }
    router.on_notice(now, &id("app-1"), pause(), now);
    for _ in 0..8 {
        router.finished(now, &id("app-1"), now, Outcome::Shed);
    }
    let later = at(4_000);
    let mut sizes = Vec::new();
    for _ in 0..6 {
        let open = at_once(&mut router, later);
        sizes.push(open.len());
        for choice in open {
            router.accepted(later, &choice);
            router.finished(later, &choice.instance, later, Outcome::Answered);
        }
    }
    // It had eight when it asked: one more for each that it accepts up to four, then one more for about as many.
    assert_eq!(sizes, [1, 2, 4, 4, 5, 6]);
    let ChoiceError::BackedOff(backoff) = ({
        at_once(&mut router, later);
        error(&mut router, later)
    }) else {
        panic!("refused for the window");
    };
    assert!(backoff.retry_after <= LEAST_SPREAD, "{backoff:?}");
}

/// It speaks to the router that it answers; the others hear of refusals without a pause only.
#[test]
fn a_pause_is_not_passed_on_to_other_routers() {
    let mut router = router();
    router.on_notice(at(10), &id("app-1"), pause(), at(10));
    router.finished(at(10), &id("app-1"), at(5), Outcome::Shed);
    assert!(router.take_refusing().is_empty());
    router.finished(at(10), &id("app-2"), at(5), Outcome::Shed);
    assert_eq!(router.take_refusing().len(), 1);
}

#[test]
fn a_pool_that_leaves_is_not_waited_for() {
    let mut router = router();
    for name in ["app-1", "app-2", "app-3"] {
        router.on_notice(at(10), &id(name), leaving(), at(10));
        router.on_notice(at(10), &id(name), pause(), at(10));
    }
    assert_eq!(error(&mut router, at(20)), ChoiceError::NoneReady);
}

/// What control machines say in between changes nothing.
#[rstest]
#[case::a_change_of_the_record(true)]
#[case::removed_and_registered_again(false)]
fn what_was_said_outlives_changes_of_the_view(#[case] stays: bool) {
    let mut router = router();
    router.on_notice(at(10), &id("app-1"), pause(), at(10));
    router.on_notice(at(10), &id("app-2"), leaving(), at(10));
    if stays {
        let mut changed = record("app-1", "apps", 1);
        changed.slots = 9;
        update(&mut router, at(20), changes(10, 11, vec![changed]));
    } else {
        let mut gone = changes(10, 11, Vec::new());
        gone.removed =
            drumshore_wire::List::new(["app-1", "app-2"].map(drumshore_wire::Text::new).to_vec());
        update(&mut router, at(20), gone);
        let again = vec![record("app-1", "apps", 12), record("app-2", "apps", 13)];
        update(&mut router, at(30), changes(11, 13, again));
    }
    assert_eq!(chosen(&mut router, at(40)), [id("app-3")]);
}

#[test]
fn what_was_said_outlives_a_view_that_is_taken_in_anew() {
    let mut router = router();
    router.on_notice(at(10), &id("app-1"), pause(), at(10));
    let whole = (1..=3).map(|number| record(&format!("app-{number}"), "apps", number));
    update(&mut router, at(20), changes(0, 20, whole.collect()));
    assert!(!chosen(&mut router, at(30)).contains(&id("app-1")));
}

/// An answer to a request that was under way when control machines removed its back end.
#[test]
fn one_that_is_not_named_at_present_is_heard_as_well() {
    let mut router = router_with(vec![record("app-2", "apps", 2)]);
    router.on_notice(at(10), &id("app-1"), leaving(), at(10));
    let named = vec![record("app-1", "apps", 12)];
    update(&mut router, at(20), changes(10, 12, named));
    assert_eq!(chosen(&mut router, at(30)), [id("app-2")]);
}

#[test]
fn one_that_leaves_is_tried_again_when_it_stays_for_long() {
    let mut router = router();
    assert!(
        router
            .on_notice(at(10), &id("app-1"), leaving(), at(10))
            .leaves
    );
    assert!(
        !router
            .on_notice(at(20), &id("app-1"), leaving(), at(20))
            .leaves
    );
    assert!(!router.allows_requests(at(59_000), &id("app-1")));
    assert!(router.allows_requests(at(61_000), &id("app-1")));
}

/// The others are silent, and avoided while there are better ones: the pause is no preference.
#[test]
fn the_last_resort_passes_over_those_that_asked_for_a_pause() {
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/x");
    let silent = router
        .choose(at(1), &admission, None, EarlierAttempts::default())
        .unwrap();
    router.finished(at(1), &silent.instance, at(1), Outcome::Unreachable);
    for name in ["app-1", "app-2", "app-3"] {
        if id(name) != silent.instance {
            router.on_notice(at(2), &id(name), pause(), at(2));
        }
    }
    assert_eq!(chosen(&mut router, at(3)), [silent.instance]);
}

#[rstest]
#[case(pause())]
#[case(leaving())]
fn a_copy_of_a_run_is_not_gone_on_with_there(#[case] notice: BackEndNotice) {
    let mut router = router();
    let admission = short_stream(&mut router, RequestKind::Stream);
    let copy = RunCopy {
        instance: id("llm-5"),
        address: "10.0.0.5:80".to_owned(),
        version: None,
    };
    let earlier = EarlierAttempts::default();
    let now = at(2);
    assert!(router
        .choose_copy(now, &admission, None, &copy, earlier)
        .is_ok());
    router.on_notice(now, &id("llm-5"), notice, now);
    assert!(router
        .choose_copy(now, &admission, None, &copy, earlier)
        .is_err());
}

/// Draining by its heartbeats as well: it is not among those that callers are told to come back for.
#[test]
fn only_those_that_could_take_the_request_count() {
    let mut drains = record("app-2", "apps", 2);
    drains.lifecycle = Lifecycle::Draining;
    let mut router = router_with(vec![record("app-1", "apps", 1), drains]);
    router.on_notice(
        at(5),
        &id("app-2"),
        BackEndNotice {
            retry_after: Some(Duration::from_millis(100)),
            ..pause()
        },
        at(5),
    );
    router.on_notice(at(10), &id("app-1"), pause(), at(10));
    let ChoiceError::BackedOff(backoff) = error(&mut router, at(10)) else {
        panic!("refused for the pause");
    };
    assert_eq!((backoff.back_ends, backoff.soonest), (1, PAUSE));
}

/// What it had in hand did not end it.
#[test]
fn one_that_said_it_leaves_to_this_router_ends_as_announced() {
    let mut router = router();
    assert!(router.is_serving(at(5), &id("app-1")));
    router.on_notice(at(10), &id("app-1"), leaving(), at(10));
    assert!(!router.is_serving(at(11), &id("app-1")));
    router.on_notice(at(10), &id("app-2"), pause(), at(10));
    assert!(router.is_serving(at(11), &id("app-2")));
}

#[test]
fn what_is_kept_of_those_that_are_gone_is_bounded() {
    let mut absent = AbsentNotices::default();
    for number in 0..3 * MOST_ABSENT as u64 {
        let mut notices = NoticeState::default();
        notices.take_in(leaving(), hearing(at(number)), 0);
        absent.keep(id(&format!("app-{number}")), notices);
    }
    assert_eq!(absent.0.len(), MOST_ABSENT);
    let last = id(&format!("app-{}", 3 * MOST_ABSENT - 1));
    assert!(
        !absent.restore(&last).allow_requests(at(9)),
        "the last are kept"
    );
}

fn limited(per_second: f64) -> BackEndNotice {
    BackEndNotice {
        limit: RequestRate::per_second(per_second),
        ..BackEndNotice::default()
    }
}

/// A limit of 2 that was named at 100 ms, and then an answer.
#[rstest]
#[case::falls(90, Some(1.0), Some(1.0))]
#[case::rises(100, Some(3.0), Some(3.0))]
#[case::an_older_answer_that_names_more(90, Some(3.0), Some(2.0))]
#[case::ends(100, None, None)]
#[case::an_older_answer_that_names_none(90, None, Some(2.0))]
fn a_limit_holds_until_a_newer_answer_says_otherwise(
    #[case] asked: u64,
    #[case] named: Option<f64>,
    #[case] expected: Option<f64>,
) {
    let mut router = router();
    let app = id("app-1");
    router.on_notice(at(100), &app, limited(2.0), at(50));
    let notice = named.map_or(BackEndNotice::default(), limited);
    router.on_notice(at(110), &app, notice, at(asked));
    let limit = router.limit_of(&app).map(RequestRate::as_per_second);
    assert_eq!(limit, expected);
}

#[test]
fn a_limit_is_told_apart_from_the_one_before() {
    let mut router = router();
    let app = id("app-1");
    let named = |rate: f64| RequestRate::per_second(rate).map(LimitChange::Named);
    let first = router.on_notice(at(100), &app, limited(2.0), at(50));
    assert_eq!(first.limit, named(2.0));
    let again = router.on_notice(at(110), &app, limited(2.0), at(105));
    assert_eq!(again.limit, None);
    let ended = router.on_notice(at(120), &app, BackEndNotice::default(), at(115));
    assert_eq!(ended.limit, Some(LimitChange::Ended));
}

/// Requests that a back end gets between two times when it is asked for one each 10 ms.
fn sent_between(router: &mut RouterCore, from: u64, to: u64) -> usize {
    let admission = admit(router, at(1), "/a/x");
    let mut sent = 0;
    for time in (from..to).step_by(10) {
        if let Ok(choice) = router.choose(at(time), &admission, None, EarlierAttempts::default()) {
            router.accepted(at(time), &choice);
            router.finished(at(time), &choice.instance, at(time), Outcome::Answered);
            sent += 1;
        }
    }
    sent
}

#[test]
fn one_that_names_a_limit_gets_this_routers_part_of_it() {
    let mut router = router_with(vec![record("app-1", "apps", 1)]);
    router.on_confirmed(at(1), 10, 4);
    router.on_notice(at(10), &id("app-1"), limited(2.0), at(10));
    let sent = sent_between(&mut router, 10, 20_010);
    assert!(
        (9..=11).contains(&sent),
        "{sent} in 20 s, a quarter of 2 a second"
    );
}

#[test]
fn a_limit_that_has_ended_holds_nothing_back() {
    let mut router = router_with(vec![record("app-1", "apps", 1)]);
    router.on_notice(at(10), &id("app-1"), limited(0.1), at(10));
    router.on_notice(at(20), &id("app-1"), BackEndNotice::default(), at(15));
    assert_eq!(sent_between(&mut router, 30, 130), 10);
}

#[rstest]
#[case::not_connected(Outcome::Unreachable)]
#[case::no_connection_free(Outcome::NoFreeConnection)]
#[case::withheld(Outcome::Withheld)]
fn what_did_not_reach_it_is_not_counted(#[case] outcome: Outcome) {
    let mut router = router_with(vec![record("app-1", "apps", 1)]);
    router.on_confirmed(at(1), 10, 4);
    router.on_notice(at(10), &id("app-1"), limited(0.1), at(10));
    let admission = admit(&mut router, at(1), "/a/x");
    let later = at(60_000);
    let choose = |router: &mut RouterCore, now| {
        router.choose(now, &admission, None, EarlierAttempts::default())
    };
    let choice = choose(&mut router, later).unwrap();
    assert!(choose(&mut router, later).is_err());
    router.finished(later, &choice.instance, later, outcome);
    assert!(choose(&mut router, later).is_ok());
}

#[test]
fn a_limit_holds_while_its_back_end_is_not_named() {
    let mut router = router();
    let app = id("app-1");
    router.on_notice(at(10), &app, limited(1.0), at(10));
    let mut removed = changes(10, 11, Vec::new());
    removed.removed = drumshore_wire::List::new(vec![drumshore_wire::Text::new("app-1")]);
    update(&mut router, at(20), removed);
    router.on_confirmed(at(21), 11, 9);
    update(
        &mut router,
        at(30),
        changes(11, 12, vec![record("app-1", "apps", 12)]),
    );
    assert!(router.limit_of(&app).is_some());
}

/// A pause within a limit, and the window after it: what lasts longer holds.
#[test]
fn a_pause_a_limit_and_leaving_hold_together() {
    let mut notices = NoticeState::default();
    let all = BackEndNotice {
        retry_after: Some(PAUSE),
        is_leaving: true,
        limit: RequestRate::per_second(1.0),
    };
    notices.take_in(all, hearing(at(10)), 3);
    assert_eq!(notices.permission(at(20), 0), Permission::Never);
    let paused = BackEndNotice {
        is_leaving: false,
        ..all
    };
    let mut notices = NoticeState::default();
    notices.take_in(paused, hearing(at(10)), 3);
    assert_eq!(
        notices.permission(at(1_010), 0),
        Permission::In(Duration::from_secs(2))
    );
    assert_eq!(notices.permission(at(3_010), 0), Permission::Granted);
    assert_eq!(
        notices.permission(at(3_010), 1),
        Permission::OnceOneIsAccepted
    );
    for _ in 0..4 {
        notices.on_sent(at(3_010));
    }
    let Permission::In(wait) = notices.permission(at(3_010), 0) else {
        panic!("the limit holds after the pause");
    };
    assert!(wait <= Duration::from_secs(4));
}

/// A whole pool limits what it takes: callers are told times one after the other.
#[test]
fn callers_beyond_limits_are_told_when_there_is_room_for_each() {
    let mut router = router();
    router.on_confirmed(at(1), 10, 2);
    for app in ["app-1", "app-2", "app-3"] {
        router.on_notice(at(10), &id(app), limited(1.0), at(10));
    }
    let now = at(60_000);
    let mut told = Vec::new();
    let admission = admit(&mut router, at(1), "/a/x");
    while told.len() < 6 {
        if let Err(error) = router.choose(now, &admission, None, EarlierAttempts::default()) {
            let ChoiceError::BackedOff(backoff) = error else {
                panic!("refused for the limits");
            };
            told.push(backoff.retry_after);
        }
    }
    // One and a half requests a second are this router's.
    let between = told[5] - told[0];
    let expected = Duration::from_millis(5 * 667);
    assert!(between.abs_diff(expected) < LEAST_SPREAD, "{told:?}");
}

/// What goes to others may bring it work as well.
#[test]
fn nothing_is_copied_to_one_that_names_a_limit_or_fetched_from_it() {
    let mut router = router();
    let instances = (4..=9).map(|number| id(&format!("llm-{number}")));
    let limited_ones: Vec<InstanceId> = instances.take(5).collect();
    for instance in &limited_ones {
        router.on_notice(at(10), instance, limited(100.0), at(10));
    }
    let admission = short_stream(&mut router, RequestKind::Stream);
    for request in 0..60 {
        let now = at(30_000 + request * 500);
        let prompt = prompt_of(100);
        let choice = router.choose(now, &admission, Some(&prompt), EarlierAttempts::default());
        let Ok(choice) = choice else { continue };
        let copied_to = choice.copy.as_ref().map(|copy| &copy.instance);
        assert!(copied_to.is_none_or(|target| !limited_ones.contains(target)));
        assert!(choice.fetch_from.is_none(), "{:?}", choice.fetch_from);
        router.accepted(now, &choice);
        router.finished(now, &choice.instance, now, Outcome::Answered);
    }
}

/// It has few requests and would look idle.
#[test]
fn one_that_names_a_limit_counts_for_the_slots_that_its_rate_fills() {
    let mut router = router();
    router.on_notice(at(10), &id("app-1"), limited(2.0), at(10));
    let endpoint = router.endpoints.get(&id("app-1")).unwrap();
    assert_eq!(endpoint.slots(), 2, "two a second that stay for 0.8 s each");
    let other = router.endpoints.get(&id("app-2")).unwrap();
    assert_eq!(other.slots(), 8);
}

/// What users saw of it in the fault soak: all back ends of a service named 0 for eight seconds, and 23 s after that a
/// sixth of the callers were still refused, for no router had sent a request by which it would have found out.
/// The aim: well again 12 s after the last disturbance.
#[test]
fn a_pool_that_takes_nothing_is_well_soon_after_it_takes_all_again() {
    const RECOVERY_MS: u64 = 12_000;
    let mut router = router();
    router.on_confirmed(at(1), 10, 3);
    let apps = ["app-1", "app-2", "app-3"].map(id);
    for app in &apps {
        router.on_notice(at(10), app, limited(0.0), at(10));
    }
    let admission = admit(&mut router, at(1), "/a/x");
    for time in (20..20 + RECOVERY_MS).step_by(10) {
        let now = at(time);
        let choice = router.choose(now, &admission, None, EarlierAttempts::default());
        let Ok(choice) = choice else { continue };
        router.accepted(now, &choice);
        router.on_notice(now, &choice.instance, BackEndNotice::default(), now);
        router.finished(now, &choice.instance, now, Outcome::Answered);
    }
    assert!(apps.iter().all(|app| router.limit_of(app).is_none()));
}
