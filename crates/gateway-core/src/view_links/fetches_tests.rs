//! Tests of when a router asks for changes, and asks again.

use rstest::rstest;

use super::*;

const FROM: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const NEWEST: u64 = 12;
const FOLLOWED: bool = true;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

#[rstest]
#[case::changes_soon(7, 299, false)]
#[case::changes_in_time(7, 300, true)]
#[case::the_first_part_of_all_soon(0, 299, false)]
#[case::the_first_part_of_all_in_time(0, 300, true)]
fn a_question_is_repeated_when_its_answer_is_overdue(
    #[case] held: u64,
    #[case] waited_ms: u64,
    #[case] is_due: bool,
) {
    let mut fetches = Fetches::default();
    assert!(fetches.is_due(at(100), FOLLOWED, NEWEST, held));
    fetches.on_asked(at(100), FROM);
    assert_eq!(
        fetches.is_due(at(100 + waited_ms), FOLLOWED, NEWEST, held),
        is_due
    );
}

/// Control machines that were late were asked again each 0.3 s by 300 routers that started together, and sent
/// the same state several times.
#[test]
fn a_router_that_gets_no_answer_asks_ever_less_often() {
    let mut fetches = Fetches::default();
    let asks = |fetches: &mut Fetches, milliseconds: u64| {
        let is_due = fetches.is_due(at(milliseconds), FOLLOWED, NEWEST, 0);
        if is_due {
            fetches.on_asked(at(milliseconds), FROM);
        }
        is_due
    };
    let asked: Vec<u64> = (0..10_000).filter(|at| asks(&mut fetches, *at)).collect();
    assert_eq!(asked, [0, 300, 900, 2_100, 4_500, 6_900, 9_300]);
    fetches.on_answer();
    assert!(asks(&mut fetches, 10_000));
    assert!(asks(&mut fetches, 10_300), "an answer starts it anew");
}

#[test]
fn machines_that_are_not_followed_are_asked_only_by_a_router_that_gets_nothing() {
    let mut fetches = Fetches::default();
    assert!(!fetches.is_due(at(100), !FOLLOWED, NEWEST, 7));
    assert!(!fetches.is_due(at(499), !FOLLOWED, NEWEST, 7));
    assert!(fetches.is_due(at(500), !FOLLOWED, NEWEST, 7));
    fetches.on_answer();
    assert!(
        !fetches.is_due(at(500), !FOLLOWED, NEWEST, 8),
        "it is behind, but changes come"
    );
}

#[rstest]
#[case::of_the_link_that_ended(FROM, true)]
#[case::of_another_link(OTHER, false)]
fn a_link_that_ends_takes_its_question_along(#[case] ended: Ipv4Addr, #[case] is_due: bool) {
    let mut fetches = Fetches::default();
    fetches.on_asked(at(100), FROM);
    fetches.on_link_ended(ended);
    assert_eq!(fetches.is_due(at(200), FOLLOWED, NEWEST, 0), is_due);
}

#[test]
fn nothing_is_asked_for_when_all_is_held() {
    let mut fetches = Fetches::default();
    assert!(!fetches.is_due(at(100), FOLLOWED, NEWEST, NEWEST));
    fetches.on_asked(at(100), FROM);
    fetches.on_answer();
    assert!(
        fetches.is_due(at(101), FOLLOWED, 3, 7),
        "an earlier announcement still stands"
    );
}
