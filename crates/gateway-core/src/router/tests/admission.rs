//! Tests of routes, keys, confirmations of the view, and traffic shares of pools.

use super::*;

#[test]
fn a_request_matches_the_route_with_the_longest_prefix() {
    let mut router = router();
    assert_eq!(admit(&mut router, at(1), "/a/x").route.name, "short");
    assert_eq!(admit(&mut router, at(1), "/a/b/x").route.name, "long");
    let none = router.admit(at(1), head("host", "/c/", Some("key 1")));
    assert_eq!(none.unwrap_err(), Refusal::NoRoute);
    let other_host = router.admit(at(1), head("other", "/a/x", Some("key 1")));
    assert_eq!(other_host.unwrap_err(), Refusal::NoRoute);
}

#[test]
fn keys_determine_tenant_and_priority() {
    let mut router = router();
    let unknown = router.admit(at(1), head("host", "/a/x", Some("key 9")));
    assert_eq!(unknown.unwrap_err(), Refusal::UnknownKey);
    let missing = router.admit(at(1), head("host", "/a/x", None));
    assert_eq!(missing.unwrap_err(), Refusal::UnknownKey);
    let one = router
        .admit(at(1), head("host", "/a/x", Some("key 1")))
        .unwrap();
    assert_eq!(one.priority, 2);
    let two = router
        .admit(at(1), head("host", "/a/x", Some("key 2")))
        .unwrap();
    assert_eq!(two.priority, 0);
    let open = router.admit(at(1), head("host", "/open/x", None)).unwrap();
    assert!(open.tenant.is_none());
}

#[test]
fn a_router_refuses_all_requests_after_its_key_lease_expires() {
    let mut router = router();
    let late = at(LEASE.as_millis() as u64 + 1);
    let refused = router.admit(late, head("host", "/a/x", Some("key 1")));
    assert_eq!(refused.unwrap_err(), Refusal::Unconfirmed);
    router.on_confirmed(at(3_000), 10, 1);
    assert!(router
        .admit(late, head("host", "/a/x", Some("key 1")))
        .is_ok());
}

#[rstest]
#[case::no_route("/c/x", Some("key 1"), Refusal::NoRoute)]
#[case::unknown_key("/a/x", Some("key 9"), Refusal::UnknownKey)]
#[case::no_key("/a/x", None, Refusal::UnknownKey)]
fn an_unknown_route_or_key_is_reported_only_within_the_absence_lease(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] missing: Refusal,
) {
    let mut router = router();
    let within = at(ABSENCE_LEASE.as_millis() as u64 - 1);
    let refused = router.admit(within, head("host", path, key));
    assert_eq!(refused.unwrap_err(), missing);
    let past = at(ABSENCE_LEASE.as_millis() as u64);
    let refused = router.admit(past, head("host", path, key));
    assert_eq!(refused.unwrap_err(), Refusal::Unconfirmed);
    let known = router.admit(past, head("host", "/a/x", Some("key 1")));
    assert!(known.is_ok(), "known routes and keys are still served");
}

#[test]
fn a_confirmation_of_a_newer_revision_counts_only_after_that_revision_has_arrived() {
    let mut router = router();
    let late = at(5_000);
    router.on_confirmed(at(4_900), 12, 1);
    let refused = router.admit(late, head("host", "/a/x", Some("key 1")));
    assert_eq!(refused.unwrap_err(), Refusal::Unconfirmed);
    update(&mut router, late, changes(10, 12, Vec::new()));
    assert!(router
        .admit(late, head("host", "/a/x", Some("key 1")))
        .is_ok());
}

#[test]
fn changes_to_an_older_revision_or_with_a_gap_are_rejected() {
    let mut router = router();
    let parse = |_: &[u8]| Ok(document());
    let older = router.apply(at(1), changes(0, 9, Vec::new()), parse);
    assert!(matches!(older, Err(ViewError::Gap { .. })));
    let gap = router.apply(at(1), changes(11, 12, Vec::new()), parse);
    assert!(matches!(gap, Err(ViewError::Gap { .. })));
    assert_eq!(router.revision(), 10);
}

#[test]
fn traffic_shares_are_exact_over_few_requests() {
    let mut router = router();
    let mut apps = 0;
    for _ in 0..40 {
        let admission = admit(&mut router, at(1), "/split/x");
        apps += u32::from(admission.pool.as_str() == "apps");
    }
    assert_eq!(apps, 30);
}

#[test]
fn traffic_shares_hold_over_many_routers_with_one_request_each() {
    // If all routers started at the same point of the sequence, each would choose the pool with the largest weight.
    let apps = (0..400).filter(|seed| {
        let mut router = RouterCore::new(params(), *seed);
        update(&mut router, at(0), changes(0, 10, Vec::new()));
        router.on_confirmed(at(0), 10, 1);
        let admission = admit(&mut router, at(1), "/split/x");
        admission.pool.as_str() == "apps"
    });
    let apps = apps.count();
    assert!(
        (270..=330).contains(&apps),
        "{apps} of 400 requests, expected about 300"
    );
}
