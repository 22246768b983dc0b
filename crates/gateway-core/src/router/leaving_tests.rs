//! Tests of what a router knows of leaving back ends.

use drumshore_wire::{List, Text};

use super::super::tests::{at, changes, record, router};
use super::*;
use crate::BackEndNotice;

fn id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

/// Changes after which `app-1` drains and `app-2` is gone.
fn leaves() -> Changes {
    let mut draining = record("app-1", "apps", 1);
    draining.lifecycle = Lifecycle::Draining;
    Changes {
        removed: List::new(vec![Text::new("app-2")]),
        ..changes(10, 11, vec![draining])
    }
}

fn apply(router: &mut RouterCore, changes: Changes) {
    let unchanged = |_: &[u8]| unreachable!("the changes hold no configuration");
    router.apply(at(5), changes, unchanged).unwrap();
}

#[test]
fn a_leave_is_known_by_its_source() {
    let mut router = router();
    let announced = BackEndNotice {
        is_leaving: true,
        ..BackEndNotice::default()
    };
    router.on_notice(at(4), &id("app-3"), announced, at(4));
    apply(&mut router, leaves());
    let leave = |name: &str| router.leave(at(6), &id(name));
    assert_eq!(leave("app-1"), Some(Leave::Draining));
    assert_eq!(leave("app-2"), Some(Leave::Removed));
    assert_eq!(leave("app-3"), Some(Leave::Announced));
    assert_eq!(leave("llm-4"), None);
}

#[test]
fn leaves_in_changes_are_found_once() {
    let mut router = router();
    let expected = [
        (id("app-1"), Leave::Draining),
        (id("app-2"), Leave::Removed),
    ];
    assert_eq!(router.leaves_in(&leaves()), expected);
    apply(&mut router, leaves());
    assert_eq!(router.leaves_in(&leaves()), []);
}

#[test]
fn a_whole_view_removes_what_it_does_not_contain() {
    let router = router();
    let names = ["app-1", "app-2", "app-3"];
    let records = (1..).zip(names).map(|(at, name)| record(name, "apps", at));
    let whole = changes(0, 20, records.collect());
    let removed: Vec<InstanceId> = (4..=9).map(|number| id(&format!("llm-{number}"))).collect();
    let expected = removed.into_iter().map(|id| (id, Leave::Removed));
    assert_eq!(router.leaves_in(&whole), expected.collect::<Vec<_>>());
}

#[test]
fn a_request_that_waits_for_a_connection_is_not_sent_once_the_view_says_that_its_back_end_leaves() {
    let mut router = router();
    let left = ["app-1", "app-2"].map(id);
    assert!(left.iter().all(|id| router.allows_requests(at(4), id)));
    apply(&mut router, leaves());
    assert!(!left.iter().any(|id| router.allows_requests(at(6), id)));
}

#[test]
fn the_process_of_a_back_end_has_ended_once_the_view_has_a_later_start_of_it() {
    let mut router = router();
    let earlier = router.start_of(&id("app-1"));
    let mut started = record("app-1", "apps", 1);
    started.started_ms = earlier + 1;
    apply(&mut router, changes(10, 11, vec![started]));
    assert!(router.has_ended(&id("app-1"), earlier));
    assert!(!router.has_ended(&id("app-1"), router.start_of(&id("app-1"))));
    assert!(!router.has_ended(&id("app-2"), earlier));
}

#[test]
fn a_back_end_has_ended_once_it_is_removed_or_another_one_has_its_address() {
    let mut router = router();
    assert!(!router.has_ended(&id("app-1"), 0));
    let mut successor = record("app-9", "apps", 1);
    successor.address = record("app-1", "apps", 1).address;
    successor.registered = 11;
    let removed = List::new(vec![Text::new("app-2")]);
    apply(
        &mut router,
        Changes {
            removed,
            ..changes(10, 11, vec![successor])
        },
    );
    assert!(router.has_ended(&id("app-1"), 0));
    assert!(router.has_ended(&id("app-2"), 0));
    assert!(!router.has_ended(&id("app-3"), 0));
    assert!(!router.has_ended(&id("app-9"), 0));
}
