//! Tests of what a router concludes about its paths.

use super::super::tests::{admit, at, router};
use super::*;
use crate::router::{EarlierAttempts, Outcome};
use crate::LoadEntry;

fn pool() -> PoolName {
    PoolName::new("apps")
}

fn back_end(name: &str) -> InstanceId {
    InstanceId::new(name)
}

/// Fails an attempt at a back end and checks the path.
fn fail_and_check(router: &mut RouterCore, name: &str, reached: bool) -> Option<PathChange> {
    router.finished(at(10), &back_end(name), at(0), Outcome::Unreachable);
    let check = router.begin_path_check(at(10), &back_end(name))?;
    router.end_path_check(at(20), &check.pool, reached)
}

#[test]
fn a_check_tries_the_other_back_ends_of_the_pool() {
    let mut router = router();
    let check = router.begin_path_check(at(10), &back_end("app-1")).unwrap();
    assert_eq!(check.pool, pool());
    let witnesses = check.witnesses.iter();
    let mut witnesses: Vec<&str> = witnesses.map(|witness| witness.instance.as_str()).collect();
    witnesses.sort_unstable();
    assert_eq!(witnesses, ["app-2", "app-3"]);
}

#[test]
fn a_path_is_lost_when_no_witness_is_reached_and_regained_with_the_first_one() {
    let mut router = router();
    assert_eq!(
        fail_and_check(&mut router, "app-1", false),
        Some(PathChange::Lost)
    );
    assert!(router.has_lost_path(&pool()));
    assert!(router.has_any_path(), "the other pool is not in doubt");
    router.begin_path_recheck(at(30), &pool()).unwrap();
    let change = router.end_path_check(at(120), &pool(), true);
    let lost_for = Duration::from_millis(100);
    assert_eq!(change, Some(PathChange::Regained(lost_for)));
    assert!(!router.has_lost_path(&pool()));
}

#[test]
fn one_back_end_that_is_down_does_not_lose_the_path() {
    let mut router = router();
    assert_eq!(fail_and_check(&mut router, "app-1", true), None);
    assert!(!router.has_lost_path(&pool()));
    let again = router.begin_path_check(at(200), &back_end("app-1"));
    assert_eq!(again, None, "the path was found open a moment ago");
    assert!(router
        .begin_path_check(at(300), &back_end("app-1"))
        .is_some());
}

#[test]
fn only_one_check_of_a_pool_runs_at_a_time() {
    let mut router = router();
    router.begin_path_check(at(10), &back_end("app-1")).unwrap();
    assert_eq!(router.begin_path_check(at(11), &back_end("app-2")), None);
    assert!(router
        .begin_path_check(at(11), &back_end("llm-4"))
        .is_some());
}

#[test]
fn back_ends_that_failed_while_the_path_was_lost_are_used_at_once_when_it_is_regained() {
    let mut router = router();
    for name in ["app-1", "app-2", "app-3"] {
        for _ in 0..4 {
            router.finished(at(10), &back_end(name), at(0), Outcome::Unreachable);
        }
    }
    fail_and_check(&mut router, "app-1", false);
    router.begin_path_recheck(at(30), &pool()).unwrap();
    router.end_path_check(at(40), &pool(), true);
    assert_eq!(router.pool_reach(at(40), &pool()).unreachable, 0);
    let admission = admit(&mut router, at(40), "/a/x");
    let tried = [back_end("app-1"), back_end("app-2")];
    let earlier = EarlierAttempts {
        tried: &tried,
        ..EarlierAttempts::default()
    };
    assert!(router.choose(at(40), &admission, None, earlier).is_ok());
}

#[test]
fn a_router_without_a_path_to_any_pool_has_none() {
    let mut router = router();
    fail_and_check(&mut router, "app-1", false);
    fail_and_check(&mut router, "llm-4", false);
    assert!(!router.has_any_path());
}

#[test]
fn requests_that_hang_behind_a_lost_path_are_not_reported_as_load() {
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/x");
    let mut send = || {
        let choice = router.choose(at(1), &admission, None, EarlierAttempts::default());
        choice.unwrap()
    };
    let (hanging, streaming) = (send(), send());
    assert_ne!(hanging.instance, streaming.instance);
    assert_eq!(router.own_loads().len(), 2);
    router.begin_path_check(at(10), &hanging.instance).unwrap();
    router.end_path_check(at(20), &pool(), false);
    streaming.last_received_at.set(at(21));
    let reported: Vec<u32> = router.own_loads().iter().map(|load| load.key).collect();
    assert_eq!(reported, [LoadEntry::key_of(streaming.instance.as_str())]);
    router.begin_path_recheck(at(30), &pool()).unwrap();
    router.end_path_check(at(40), &pool(), true);
    assert_eq!(router.own_loads().len(), 2);
}

/// Loses a request at a back end that sent nothing for two seconds, and begins to check the path.
fn lose_request(router: &mut RouterCore, name: &str) {
    let became_unresponsive = router.finished(at(2_010), &back_end(name), at(0), Outcome::Broken);
    assert!(became_unresponsive);
    router.begin_path_check(at(2_010), &back_end(name)).unwrap();
}

#[test]
fn an_unresponsive_back_end_is_reported_once_another_one_was_reached() {
    let mut router = router();
    lose_request(&mut router, "app-1");
    assert!(router.take_suspects().is_empty());
    router.end_path_check(at(2_020), &pool(), true);
    assert_eq!(router.take_suspects(), [LoadEntry::key_of("app-1")]);
}

#[test]
fn back_ends_behind_a_lost_path_are_not_reported() {
    let mut router = router();
    lose_request(&mut router, "app-1");
    router.end_path_check(at(2_020), &pool(), false);
    router.on_silent(at(2_100), &back_end("app-2"));
    assert!(router.take_suspects().is_empty());
    router.begin_path_recheck(at(2_300), &pool()).unwrap();
    router.end_path_check(at(2_310), &pool(), true);
    assert!(router.take_suspects().is_empty());
}

#[test]
fn a_back_end_that_refused_is_compared_with_sound_ones_only() {
    let mut router = router();
    let names = |witnesses: Option<Vec<Witness>>| {
        let witnesses = witnesses?.into_iter();
        Some(
            witnesses
                .map(|witness| witness.instance.as_str().to_owned())
                .collect::<Vec<_>>(),
        )
    };
    router.finished(at(10), &back_end("app-2"), at(0), Outcome::Unreachable);
    let witnesses = router.sound_witnesses(at(2_000), &back_end("app-1"));
    assert_eq!(names(witnesses), Some(vec!["app-3".to_owned()]));
    router.finished(at(10), &back_end("app-3"), at(0), Outcome::Unreachable);
    let witnesses = router.sound_witnesses(at(20), &back_end("app-1"));
    assert_eq!(names(witnesses).map(|names| names.len()), Some(2));
    let witnesses = router.sound_witnesses(at(2_000), &back_end("app-1"));
    assert_eq!(names(witnesses), None, "none is left to compare it with");
    fail_and_check(&mut router, "app-1", false);
    let witnesses = router.sound_witnesses(at(2_000), &back_end("app-1"));
    assert_eq!(names(witnesses), Some(Vec::new()));
}

#[test]
fn each_pool_with_back_ends_can_be_checked_by_itself() {
    let mut router = router();
    let pools = router.pools_with_back_ends();
    assert_eq!(
        pools.into_iter().collect::<Vec<_>>(),
        [pool(), PoolName::new("models")]
    );
    fail_and_check(&mut router, "app-1", false);
    let check = router.begin_path_recheck(at(30), &PoolName::new("models"));
    assert_eq!(check.unwrap().witnesses.len(), WITNESSES);
}

#[test]
fn back_ends_that_did_not_respond_over_a_slow_path_are_not_reported() {
    let mut router = router();
    router.on_silent(at(10), &back_end("app-1"));
    router.on_silent(at(10), &back_end("llm-4"));
    router.forget_suspects(&pool());
    assert_eq!(router.take_suspects(), [LoadEntry::key_of("llm-4")]);
}
