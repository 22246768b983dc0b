//! Tests of when a router asks for changes again.

use rstest::rstest;

use super::*;

const FROM: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

#[rstest]
#[case::changes_soon(7, 299, false)]
#[case::changes_in_time(7, 300, true)]
#[case::the_whole_state_is_on_its_way(0, 2_000, false)]
#[case::the_whole_state_is_overdue(0, 2_500, true)]
fn a_question_is_repeated_when_its_answer_is_overdue(
    #[case] since: u64,
    #[case] waited_ms: u64,
    #[case] may_repeat: bool,
) {
    // 360 KB take 0.3 s over a router's link alone; asked again after that, five control machines
    // sent them several times while 300 routers started together.
    let fetch = Fetch {
        from: FROM,
        asked: at(100),
        since,
    };
    assert_eq!(fetch.may_repeat(at(100 + waited_ms)), may_repeat);
}

#[rstest]
#[case::of_the_link_that_ended(FROM, false)]
#[case::of_another_link(OTHER, true)]
fn a_link_that_ends_takes_its_question_along(#[case] ended: Ipv4Addr, #[case] stays: bool) {
    let links = Links::default();
    links.fetch.set(Some(Fetch {
        from: FROM,
        asked: at(100),
        since: 0,
    }));
    links.forget_fetch_from(ended);
    assert_eq!(links.fetch.get().is_some(), stays);
}
