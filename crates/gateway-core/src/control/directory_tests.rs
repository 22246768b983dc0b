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
        has_view: 1,
    };
    (0..count).map(router).collect()
}

fn caller(number: u32) -> IpAddr {
    Ipv4Addr::from((10 << 24) + number).into()
}

fn in_zone(named: &[String], zone: &str) -> usize {
    named
        .iter()
        .filter(|address| address.starts_with(zone))
        .count()
}

#[rstest]
#[case::many_in_each_zone(98, 197, 51, 12)]
#[case::some_in_each_zone(24, 55, 24, 6)]
#[case::few_in_the_zone(2, 55, 2, 6)]
#[case::none_in_the_zone(0, 55, 0, 8)]
#[case::none_in_others(24, 0, 24, 0)]
#[case::few_at_all(2, 3, 2, 3)]
fn callers_are_told_mostly_of_their_own_zone(
    #[case] own: usize,
    #[case] others: usize,
    #[case] own_named: usize,
    #[case] others_named: usize,
) {
    let mut all = routers("own", own);
    all.extend(routers("other", others));
    let named = for_caller(all.iter(), "own", caller(7));
    let counts = (in_zone(&named, "own"), in_zone(&named, "other"));
    assert_eq!(counts, (own_named, others_named));
    assert!(named.len() <= MOST_NAMED);
}

#[test]
fn all_routers_of_a_zone_get_callers_also_when_an_answer_cannot_name_them_all() {
    let all = routers("own", 98);
    let mut named: BTreeMap<String, u32> = BTreeMap::new();
    const CALLERS: u32 = 400;
    for number in 0..CALLERS {
        for address in for_caller(all.iter(), "own", caller(number)) {
            *named.entry(address).or_default() += 1;
        }
    }
    assert_eq!(named.len(), 98);
    let expected = f64::from(CALLERS) * 51.0 / 98.0;
    for (address, times) in named {
        let part = f64::from(times) / expected;
        assert!((0.75..=1.25).contains(&part), "{address}: {times}");
    }
}

#[test]
fn routers_that_stop_are_not_named_and_none_is_named_twice() {
    let mut all = routers("own", 10);
    all[3].accepting = 0;
    // Linked a second time before the first link was found to be gone.
    all.push(all[5].clone());
    let named = for_caller(all.iter(), "own", caller(1));
    assert_eq!(named.len(), 9);
    assert!(!named.contains(&"own-3".to_owned()));
}

#[test]
fn a_caller_is_told_the_same_again_but_for_a_router_that_has_gone() {
    let all = routers("own", 98);
    let named = for_caller(all.iter(), "own", caller(3));
    assert_eq!(named, for_caller(all.iter(), "own", caller(3)));
    let gone = named[10].clone();
    let rest = all.iter().filter(|status| status.address.as_str() != gone);
    let later = for_caller(rest, "own", caller(3));
    let kept = named.iter().filter(|address| later.contains(address));
    assert_eq!((kept.count(), later.len()), (named.len() - 1, named.len()));
}

/// 255 of 985 routers started again: their callers waited for a second, or were refused, while others could serve.
#[rstest]
#[case::few_start(80, 20, 0)]
#[case::half_start(50, 50, 0)]
#[case::most_start(20, 80, 41)]
#[case::all_start(0, 100, 51)]
fn routers_without_a_view_are_named_only_while_most_have_none(
    #[case] with_view: usize,
    #[case] without: usize,
    #[case] named_without: usize,
) {
    let mut all = routers("with", with_view);
    all.extend(routers("without", without));
    for status in &mut all {
        let starts = status.address.as_str().starts_with("without");
        status.has_view = u8::from(!starts);
        status.zone = Text::new("own");
    }
    let named = for_caller(all.iter(), "own", caller(7));
    let counted = in_zone(&named, "without");
    assert!(counted.abs_diff(named_without) <= 6, "{counted}: {named:?}");
    assert!(named_without > 0 || counted == 0);
}
