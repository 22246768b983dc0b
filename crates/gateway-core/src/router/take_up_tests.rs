use rstest::rstest;

use drumshore_wire::List;

use super::super::tests::{
    admit_model_request, at, changes, document, params, record, router_with,
};
use super::*;
use crate::{
    Changes, DepartedVersion, InstanceRecord, RequestKind, Share, SoftwareVersion,
    MAX_STREAM_LIFETIME,
};

const POOL: &str = "models";
const CONFIRMED_AT: u64 = 0;

fn back_end(number: u64, pool: &str, version: &str) -> InstanceRecord {
    InstanceRecord {
        software: SoftwareVersion::new(version),
        ..record(&format!("{pool}-{number}"), pool, number)
    }
}

fn back_ends(versions: &[&str]) -> Vec<InstanceRecord> {
    let numbered = versions.iter().zip(1..);
    numbered
        .map(|(version, number)| back_end(number, POOL, version))
        .collect()
}

fn software(version: &str) -> SoftwareKey {
    SoftwareKey::of_names(POOL, version)
}

fn admission(router: &mut RouterCore) -> Admission {
    admit_model_request(router, RequestKind::ResumableStream)
}

/// Applies changes to a router whose view began with revision 10.
fn change(router: &mut RouterCore, now: u64, revision: u64, records: Vec<InstanceRecord>) {
    let changes = changes(revision - 1, revision, records);
    router.apply(at(now), changes, |_| unreachable!()).unwrap();
    router.on_confirmed(at(now), revision, 1);
}

/// Takes up a stream by a request that arrived before the last confirmation of the view was requested.
fn take_up(
    router: &RouterCore,
    now: Timestamp,
    admission: &mut Admission,
    origin: Option<SoftwareKey>,
) -> Result<SoftwareKey, ChoiceError> {
    let confirmed = router.view.confirmed().unwrap();
    let received = Timestamp(confirmed.0 - 1);
    router.continue_stream(now, received, admission, origin)
}

fn remove(router: &mut RouterCore, now: u64, revision: u64, name: &str) {
    let mut changes = changes(revision - 1, revision, Vec::new());
    changes.removed.items.push(name.into());
    router.apply(at(now), changes, |_| unreachable!()).unwrap();
    router.on_confirmed(at(now), revision, 1);
}

#[rstest]
#[case::known(Some("v2"), Ok("v2"))]
#[case::gone(Some("v3"), Err(ChoiceError::NoneOfSoftware))]
#[case::unknown(None, Err(ChoiceError::UnknownOrigin))]
#[case::undeclared(Some(""), Err(ChoiceError::UnknownOrigin))]
fn in_a_pool_of_two_versions_a_stream_goes_on_only_if_its_origin_is_known(
    #[case] origin: Option<&str>,
    #[case] expected: Result<&str, ChoiceError>,
) {
    let mut router = router_with(back_ends(&["v1", "v2"]));
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(1), &mut admission, origin.map(software));
    assert_eq!(required, expected.map(software));
}

#[rstest]
#[case::declared(&["v1", "v1"], "v1")]
#[case::undeclared(&["", ""], "")]
fn in_a_pool_of_one_version_a_stream_of_unknown_origin_goes_on(
    #[case] versions: &[&str],
    #[case] expected: &str,
) {
    let mut router = router_with(back_ends(versions));
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(1), &mut admission, None);
    assert_eq!(required, Ok(software(expected)));
}

/// Guards against a version that joined after the view was confirmed, however short a time ago that was.
#[rstest]
#[case::before_the_confirmation(-1, Ok("v1"))]
#[case::at_the_confirmation(0, Err(ChoiceError::UnknownOrigin))]
#[case::after_the_confirmation(1, Err(ChoiceError::UnknownOrigin))]
fn a_view_tells_that_there_is_one_version_only_if_its_confirmation_was_requested_after_the_take_up(
    #[case] received_later_us: i64,
    #[case] expected: Result<&str, ChoiceError>,
) {
    let mut router = router_with(back_ends(&["v1"]));
    let mut admission = admission(&mut router);
    let received = Timestamp(at(CONFIRMED_AT).0.saturating_add_signed(received_later_us));
    for now in [at(1), at(10_000)] {
        let required = router.continue_stream(now, received, &mut admission, None);
        assert_eq!(required, expected.map(software));
        let awaits = router.awaits_confirmation(now, received, &admission, None);
        assert_eq!(awaits, expected.is_err());
        let required = router.continue_stream(now, received, &mut admission, Some(software("v1")));
        assert_eq!(required, Ok(software("v1")));
    }
}

/// Guards against a confirmation that counts before the changes that it names have arrived.
#[rstest]
#[case::another_version("v2", Err(ChoiceError::UnknownOrigin))]
#[case::the_same_version("v1", Ok("v1"))]
fn a_confirmation_of_a_later_revision_counts_once_the_view_holds_it(
    #[case] joining: &str,
    #[case] expected: Result<&str, ChoiceError>,
) {
    let mut router = router_with(back_ends(&["v1"]));
    let mut admission = admission(&mut router);
    let (received, confirmed, now) = (at(10), at(11), at(12));
    router.on_confirmed(confirmed, 11, 1);
    let required = router.continue_stream(now, received, &mut admission, None);
    assert_eq!(required, Err(ChoiceError::UnknownOrigin));
    let joined = changes(10, 11, vec![back_end(2, POOL, joining)]);
    router.apply(now, joined, |_| unreachable!()).unwrap();
    let required = router.continue_stream(now, received, &mut admission, None);
    assert_eq!(required, expected.map(software));
}

/// Guards against a back end that is in neither the earlier view nor the part that has arrived, because it changed since.
#[test]
fn a_view_that_holds_a_part_of_the_changes_does_not_tell_that_there_is_one_version() {
    let mut router = router_with(back_ends(&["v1"]));
    let mut admission = admission(&mut router);
    let (received, confirmed, now) = (at(10), at(11), at(12));
    let part = Changes {
        newest: 20,
        ..changes(10, 15, Vec::new())
    };
    router.apply(now, part, |_| unreachable!()).unwrap();
    router.on_confirmed(confirmed, 15, 1);
    let required = router.continue_stream(now, received, &mut admission, None);
    assert_eq!(required, Err(ChoiceError::UnknownOrigin));
    let rest = Changes {
        newest: 20,
        ..changes(15, 20, Vec::new())
    };
    router.apply(now, rest, |_| unreachable!()).unwrap();
    let required = router.continue_stream(now, received, &mut admission, None);
    assert_eq!(required, Ok(software("v1")));
}

#[rstest]
#[case::known(&["v1"], Some("v1"), false)]
#[case::undeclared(&["v1"], Some(""), true)]
#[case::several_versions(&["v1", "v2"], None, false)]
fn only_a_stream_of_unknown_origin_in_a_pool_of_one_version_awaits_a_confirmation(
    #[case] versions: &[&str],
    #[case] origin: Option<&str>,
    #[case] expected: bool,
) {
    let mut router = router_with(back_ends(versions));
    let admission = admission(&mut router);
    let origin = origin.map(software);
    let awaits = router.awaits_confirmation(at(2), at(1), &admission, origin);
    assert_eq!(awaits, expected);
}

#[test]
fn a_version_that_left_counts_for_as_long_as_its_streams_may_last() {
    let mut router = router_with(back_ends(&["v1", "v2"]));
    remove(&mut router, 1_000, 11, "models-1");
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(1_100), &mut admission, None);
    assert_eq!(required, Err(ChoiceError::UnknownOrigin));
    let later = 1_000 + MAX_STREAM_LIFETIME.as_millis() as u64 + 10;
    router.on_confirmed(at(later), 11, 1);
    let required = take_up(&router, at(later), &mut admission, None);
    assert_eq!(required, Ok(software("v2")));
}

#[test]
fn a_back_end_that_starts_again_at_another_version_leaves_the_earlier_one() {
    let mut router = router_with(back_ends(&["v1"]));
    change(&mut router, 1_000, 11, vec![back_end(1, POOL, "v2")]);
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(1_100), &mut admission, None);
    assert_eq!(required, Err(ChoiceError::UnknownOrigin));
}

/// A router that has just started, with a view from a control machine that says what left before.
fn started_router(departed: Option<&[(&str, &str)]>) -> RouterCore {
    let departed_version = |(pool, version): &(&str, &str)| DepartedVersion {
        pool: (*pool).into(),
        software: SoftwareVersion::new(version),
        revision: 9,
    };
    let departed = departed.map(|all| List::new(all.iter().map(departed_version).collect()));
    let first = Changes {
        departed,
        ..changes(0, 10, back_ends(&["v2"]))
    };
    let mut router = RouterCore::new(params(), 7);
    router
        .apply(at(CONFIRMED_AT), first, |_| Ok(document()))
        .unwrap();
    router.on_confirmed(at(CONFIRMED_AT), 10, 1);
    router
}

#[rstest]
#[case::nothing_left(Some(&[][..]), Ok("v2"))]
#[case::another_version_left(Some(&[(POOL, "v1")][..]), Err(ChoiceError::UnknownOrigin))]
#[case::the_same_version_left(Some(&[(POOL, "v2")][..]), Ok("v2"))]
#[case::left_another_pool(Some(&[("apps", "v1")][..]), Ok("v2"))]
#[case::not_known(None, Err(ChoiceError::UnknownOrigin))]
fn a_router_that_has_started_heeds_the_versions_that_left_before(
    #[case] departed: Option<&[(&str, &str)]>,
    #[case] expected: Result<&str, ChoiceError>,
) {
    let mut router = started_router(departed);
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(1), &mut admission, None);
    assert_eq!(required, expected.map(software));
    let required = take_up(&router, at(1), &mut admission, Some(software("v2")));
    assert_eq!(required, Ok(software("v2")));
}

/// Control machines of earlier builds do not say what left.
#[test]
fn a_router_that_is_not_told_what_left_observes_it_for_the_life_of_a_stream() {
    let mut router = started_router(None);
    let mut admission = admission(&mut router);
    let lifetime = MAX_STREAM_LIFETIME.as_millis() as u64;
    for (later, expected) in [
        (lifetime, Err(ChoiceError::UnknownOrigin)),
        (lifetime + 1, Ok(software("v2"))),
    ] {
        router.on_confirmed(at(later), 10, 1);
        let required = take_up(&router, at(later), &mut admission, None);
        assert_eq!(required, expected);
    }
}

/// While builds are replaced, versions become known one after the other.
#[test]
fn a_version_that_becomes_known_is_no_second_one() {
    let mut router = router_with(back_ends(&["", ""]));
    change(&mut router, 1_000, 11, back_ends(&["v1", "v1"]));
    let mut admission = admission(&mut router);
    for origin in [None, Some(software(""))] {
        let required = take_up(&router, at(1_100), &mut admission, origin);
        assert_eq!(required, Ok(software("v1")));
    }
}

#[test]
fn a_stream_goes_on_in_the_pool_that_began_it() {
    let mut instances = back_ends(&["v1"]);
    instances.push(back_end(7, "apps", "v1"));
    let mut router = router_with(instances);
    let mut admission = admission(&mut router);
    let share = |pool: &str| Share {
        pool: PoolName::new(pool),
        weight: 1,
    };
    let route = std::rc::Rc::make_mut(&mut admission.route);
    route.shares = vec![share(POOL), share("apps")];
    for pool in [POOL, "apps"] {
        let origin = SoftwareKey::of_names(pool, "v1");
        let required = take_up(&router, at(1), &mut admission, Some(origin));
        assert_eq!((required, admission.pool.as_str()), (Ok(origin), pool));
    }
}

#[test]
fn a_share_without_weight_takes_up_no_stream() {
    let mut instances = back_ends(&["v1"]);
    instances.push(back_end(7, "apps", "v1"));
    let mut router = router_with(instances);
    let mut admission = admission(&mut router);
    let route = std::rc::Rc::make_mut(&mut admission.route);
    route.shares.push(Share {
        pool: PoolName::new("apps"),
        weight: 0,
    });
    let origin = SoftwareKey::of_names("apps", "v1");
    let required = take_up(&router, at(1), &mut admission, Some(origin));
    assert_eq!(required, Err(ChoiceError::NoneOfSoftware));
}

#[test]
fn receiving_the_whole_state_again_departs_no_version_that_stays() {
    let mut router = router_with(back_ends(&["", ""]));
    for (now, versions) in [(1_000, ["v1", "v1"]), (2_000, ["v1", "v1"])] {
        let whole = changes(0, 10 + now, back_ends(&versions));
        router.apply(at(now), whole, |_| Ok(document())).unwrap();
        router.on_confirmed(at(now), 10 + now, 1);
        let mut admission = admission(&mut router);
        let required = take_up(&router, at(now), &mut admission, None);
        assert_eq!(required, Ok(software("v1")));
    }
}

/// A router whose control machine does not say what left, at the end of the time for which it has to observe that.
fn observing_router(instances: Vec<InstanceRecord>) -> (RouterCore, u64) {
    let mut router = RouterCore::new(params(), 7);
    apply_untold(&mut router, 0, changes(0, 10, instances));
    let observed = MAX_STREAM_LIFETIME.as_millis() as u64 + 1;
    router.on_confirmed(at(observed), 10, 1);
    (router, observed)
}

fn apply_untold(router: &mut RouterCore, now: u64, changes: Changes) {
    let revision = changes.revision;
    let untold = Changes {
        departed: None,
        ..changes
    };
    router.apply(at(now), untold, |_| Ok(document())).unwrap();
    router.on_confirmed(at(now), revision, 1);
}

/// Guards against a version that is forgotten because many others left after it.
#[test]
fn a_version_that_left_is_remembered_however_many_leave_after_it() {
    const OTHERS: u64 = 64;
    let pool = |number| format!("pool-{number}");
    let mut instances = back_ends(&["v1", "v2"]);
    instances.extend((1..=OTHERS).map(|number| back_end(number, &pool(number), "v1")));
    let (mut router, now) = observing_router(instances);
    let others = (1..=OTHERS).map(|number| format!("{}-{number}", pool(number)));
    let names = std::iter::once("models-1".to_owned()).chain(others);
    for (name, revision) in names.zip(11..) {
        let mut changes = changes(revision - 1, revision, Vec::new());
        changes.removed.items.push(name.as_str().into());
        apply_untold(&mut router, now, changes);
    }
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(now), &mut admission, None);
    assert_eq!(required, Err(ChoiceError::UnknownOrigin));
}

/// Guards against a version that came and left while this router had no current view.
#[rstest]
#[case::current(1_000, Ok("v2"))]
#[case::outdated(1_010, Err(ChoiceError::UnknownOrigin))]
fn a_router_that_is_not_told_what_left_does_not_count_time_without_a_current_view(
    #[case] later: u64,
    #[case] expected: Result<&str, ChoiceError>,
) {
    let (mut router, now) = observing_router(back_ends(&["v2"]));
    let now = now + later;
    let mut changes = changes(10, 14, Vec::new());
    changes.removed.items.push("models-2".into());
    apply_untold(&mut router, now, changes);
    let mut admission = admission(&mut router);
    let required = take_up(&router, at(now), &mut admission, None);
    assert_eq!(required, expected.map(software));
}

/// Guards against a version that is forgotten while streams that it began still last.
#[test]
fn a_version_that_left_counts_for_as_long_as_the_route_lets_its_streams_last() {
    let mut router = router_with(back_ends(&["v1", "v2"]));
    remove(&mut router, 1_000, 11, "models-1");
    let mut admission = admission(&mut router);
    std::rc::Rc::make_mut(&mut admission.route).timeout = 2 * MAX_STREAM_LIFETIME;
    let later = 1_010 + MAX_STREAM_LIFETIME.as_millis() as u64;
    router.on_confirmed(at(later), 11, 1);
    let required = take_up(&router, at(later), &mut admission, None);
    assert_eq!(required, Err(ChoiceError::UnknownOrigin));
}
