//! Tests of the rate and the order in which routers are answered.

use super::*;

const MILLISECOND: u64 = 1_000;
const LINK: f64 = 125e6;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * MILLISECOND)
}

fn holding(held: u64) -> Held {
    Held {
        position: Reverse(Position {
            held,
            source_revision: held,
        }),
        configuration: None,
    }
}

/// Bytes sent within a second to routers that request chunks of 64 KB, with a flush each
/// millisecond.
fn sent_in_a_second(routers: usize) -> usize {
    let mut fetches = Fetches::default();
    let mut sent = 0;
    for millisecond in 0..1_000 {
        fetches.refill(at(millisecond), LINK);
        sent += fetches.spend(MAX_CHUNK_BYTES, routers) * MAX_CHUNK_BYTES;
    }
    sent
}

/// Guards against answers that fill the leader's link: 985 routers that started together were sent
/// 60 MB within half a second.
#[test]
fn answers_do_not_fill_the_link_for_any_number_of_routers() {
    assert_eq!(sent_in_a_second(100), sent_in_a_second(1_000));
    assert!((sent_in_a_second(1_000) as f64) < LINK / 2.0);
}

#[test]
fn an_answer_larger_than_the_allowance_is_sent() {
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
fn the_most_advanced_routers_are_answered_first_and_the_last_request_counts() {
    let mut fetches = Fetches::default();
    fetches.request(ConnectionId(1), holding(0));
    fetches.request(ConnectionId(2), holding(7));
    fetches.request(ConnectionId(3), holding(5));
    fetches.request(ConnectionId(3), holding(7));
    fetches.request(ConnectionId(4), holding(7));
    fetches.forget(ConnectionId(4));
    let served: Vec<_> = fetches.by_held().into_iter().collect();
    let expected = [
        (holding(7), vec![ConnectionId(2), ConnectionId(3)]),
        (holding(0), vec![ConnectionId(1)]),
    ];
    assert_eq!(served, expected);
}
