//! Tests of which routers a caller is given.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use drumshore_wire::Text;
use rstest::rstest;

use super::*;

fn routers(zone: &str, count: usize) -> Vec<RouterStatus> {
    let router = |number: usize| RouterStatus {
        address: Text::new(format!("{zone}-{number}")),
        zone: Text::new(zone),
        accepting: 1,
        is_serving: 1,
    };
    (0..count).map(router).collect()
}

fn caller(number: u32) -> IpAddr {
    Ipv4Addr::from((10 << 24) + number).into()
}

fn in_zone(listed: &[String], zone: &str) -> usize {
    listed
        .iter()
        .filter(|address| address.starts_with(zone))
        .count()
}

#[test]
fn a_router_is_given_peers_of_its_own_and_of_other_zones_that_can_serve() {
    let mut all = routers("own", 20);
    all.extend(routers("other", 20));
    for status in all.iter_mut().skip(1).step_by(2) {
        status.is_serving = 0;
    }
    let requester = all[0].clone();
    let listed = for_peer(all.iter(), &requester);
    assert_eq!(listed.len(), MAX_PEERS);
    assert_eq!(in_zone(&listed, "own"), MAX_PEERS / 2);
    assert!(!listed.iter().any(|peer| peer == requester.address.as_str()));
    let serving = all.iter().filter(|status| status.is_serving != 0);
    let serving: Vec<&str> = serving.map(|status| status.address.as_str()).collect();
    assert!(listed.iter().all(|peer| serving.contains(&peer.as_str())));
    all.truncate(3);
    assert_eq!(for_peer(all.iter(), &requester), ["own-2"]);
}

#[rstest]
#[case::many_in_each_zone(98, 197, 51, 12)]
#[case::some_in_each_zone(24, 55, 24, 6)]
#[case::few_in_the_zone(2, 55, 2, 6)]
#[case::none_in_the_zone(0, 55, 0, 8)]
#[case::none_in_others(24, 0, 24, 0)]
#[case::few_at_all(2, 3, 2, 3)]
fn answers_list_mostly_routers_of_the_callers_zone(
    #[case] own: usize,
    #[case] others: usize,
    #[case] own_listed: usize,
    #[case] others_listed: usize,
) {
    let mut all = routers("own", own);
    all.extend(routers("other", others));
    let listed = for_caller(all.iter(), "own", caller(7));
    let counts = (in_zone(&listed, "own"), in_zone(&listed, "other"));
    assert_eq!(counts, (own_listed, others_listed));
    assert!(listed.len() <= MAX_LISTED);
}

#[test]
fn callers_spread_over_all_routers_of_a_zone_that_exceeds_one_answer() {
    let all = routers("own", 98);
    let mut listed: BTreeMap<String, u32> = BTreeMap::new();
    const CALLERS: u32 = 400;
    for number in 0..CALLERS {
        for address in for_caller(all.iter(), "own", caller(number)) {
            *listed.entry(address).or_default() += 1;
        }
    }
    assert_eq!(listed.len(), 98);
    let expected = f64::from(CALLERS) * 51.0 / 98.0;
    for (address, times) in listed {
        let ratio = f64::from(times) / expected;
        assert!((0.75..=1.25).contains(&ratio), "{address}: {times}");
    }
}

#[test]
fn stopping_routers_are_not_listed_and_none_is_listed_twice() {
    let mut all = routers("own", 10);
    all[3].accepting = 0;
    // The same router connected again before its first connection was detected as lost.
    all.push(all[5].clone());
    let listed = for_caller(all.iter(), "own", caller(1));
    assert_eq!(listed.len(), 9);
    assert!(!listed.contains(&"own-3".to_owned()));
}

#[test]
fn answers_to_one_caller_differ_only_by_removed_routers() {
    let all = routers("own", 98);
    let listed = for_caller(all.iter(), "own", caller(3));
    assert_eq!(listed, for_caller(all.iter(), "own", caller(3)));
    let removed = listed[10].clone();
    let rest = all
        .iter()
        .filter(|status| status.address.as_str() != removed);
    let later = for_caller(rest, "own", caller(3));
    let kept = listed.iter().filter(|address| later.contains(address));
    assert_eq!(
        (kept.count(), later.len()),
        (listed.len() - 1, listed.len())
    );
}

/// Guards against callers that wait for a second or are rejected: 255 of 985 routers restarted and
/// were listed while others could serve.
#[rstest]
#[case::few_start(80, 20, 0)]
#[case::half_start(50, 50, 0)]
#[case::most_start(20, 80, 41)]
#[case::all_start(0, 100, 51)]
fn routers_without_a_view_are_listed_only_while_most_have_none(
    #[case] with_view: usize,
    #[case] without_view: usize,
    #[case] listed_without: usize,
) {
    let mut all = routers("with", with_view);
    all.extend(routers("without", without_view));
    for status in &mut all {
        let lacks_view = status.address.as_str().starts_with("without");
        status.is_serving = u8::from(!lacks_view);
        status.zone = Text::new("own");
    }
    let listed = for_caller(all.iter(), "own", caller(7));
    let counted = in_zone(&listed, "without");
    assert!(
        counted.abs_diff(listed_without) <= 6,
        "{counted}: {listed:?}"
    );
    assert!(listed_without > 0 || counted == 0);
}
