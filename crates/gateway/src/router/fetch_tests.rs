//! Tests of when a router asks for changes, and asks again.

use rstest::rstest;

use super::*;

const FROM: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const NEWEST: u64 = 12;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

#[rstest]
#[case::changes_soon(7, 299, false)]
#[case::changes_in_time(7, 300, true)]
#[case::the_whole_state_is_on_its_way(0, 2_000, false)]
#[case::the_whole_state_is_overdue(0, 2_500, true)]
fn a_question_is_repeated_when_its_answer_is_overdue(
    #[case] held: u64,
    #[case] waited_ms: u64,
    #[case] is_due: bool,
) {
    // 360 KB take 0.3 s over a router's link alone; asked again after that, five control machines
    // sent them several times while 300 routers started together.
    let fetches = Fetches::default();
    assert!(fetches.is_due(at(100), NEWEST, held));
    fetches.on_asked(at(100), FROM, held);
    assert_eq!(fetches.is_due(at(100 + waited_ms), NEWEST, held), is_due);
}

#[rstest]
#[case::of_the_link_that_ended(FROM, true)]
#[case::of_another_link(OTHER, false)]
fn a_link_that_ends_takes_its_question_along(#[case] ended: Ipv4Addr, #[case] is_due: bool) {
    let fetches = Fetches::default();
    fetches.on_asked(at(100), FROM, 0);
    fetches.on_link_ended(ended);
    assert_eq!(fetches.is_due(at(200), NEWEST, 0), is_due);
}

#[test]
fn nothing_is_asked_for_when_all_is_held() {
    let fetches = Fetches::default();
    assert!(!fetches.is_due(at(100), NEWEST, NEWEST));
    fetches.on_asked(at(100), FROM, 7);
    fetches.on_answer();
    assert!(
        fetches.is_due(at(101), 3, 7),
        "an earlier announcement still stands"
    );
}
