//! Tests of how fast routers are answered, and who first.

use super::*;

const MILLISECOND: u64 = 1_000;
const LINK: f64 = 125e6;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * MILLISECOND)
}

fn holding(held: u64) -> Position {
    Position {
        held,
        source_revision: held,
    }
}

/// What so many routers that ask for parts of 64 KB are sent within a second, with a flush each millisecond.
fn sent_in_a_second(routers: usize) -> usize {
    let mut fetches = Fetches::default();
    let mut sent = 0;
    for millisecond in 0..1_000 {
        fetches.refill(at(millisecond), LINK);
        sent += fetches.spend(MOST_PART_BYTES, routers) * MOST_PART_BYTES;
    }
    sent
}

/// 985 routers that started together were sent 60 MB by the leader within half a second.
#[test]
fn however_many_ask_the_link_is_not_filled() {
    assert_eq!(sent_in_a_second(100), sent_in_a_second(1_000));
    assert!((sent_in_a_second(1_000) as f64) < LINK / 2.0);
}

#[test]
fn one_answer_is_always_given_however_large_it_is() {
    let mut fetches = Fetches::default();
    fetches.refill(at(1_000), LINK);
    let large = 8 << 20;
    assert_eq!(fetches.spend(large, 10), 1);
    assert!(fetches.allowance < 0.0);
    fetches.refill(at(1_050), LINK);
    assert_eq!(fetches.spend(large, 10), 0);
    fetches.refill(at(1_200), LINK);
    assert_eq!(fetches.spend(large, 10), 1);
}

#[test]
fn routers_that_have_come_furthest_are_answered_first_and_the_last_question_counts() {
    let mut fetches = Fetches::default();
    fetches.ask(ConnectionId(1), holding(0));
    fetches.ask(ConnectionId(2), holding(7));
    fetches.ask(ConnectionId(3), holding(5));
    fetches.ask(ConnectionId(3), holding(7));
    fetches.ask(ConnectionId(4), holding(7));
    fetches.forget(ConnectionId(4));
    let order: Vec<_> = fetches.by_position().into_iter().collect();
    let expected = [
        (Reverse(holding(7)), vec![ConnectionId(2), ConnectionId(3)]),
        (Reverse(holding(0)), vec![ConnectionId(1)]),
    ];
    assert_eq!(order, expected);
}
