//! Tests of the choice among peers.

use super::*;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(1 + milliseconds * 1_000)
}

fn peers() -> Peers {
    let peers = Peers::default();
    peers.set(at(0), vec!["a".to_owned(), "b".to_owned()]);
    peers
}

#[test]
fn requests_begin_with_different_peers() {
    let (peers, pool) = (peers(), PoolName::new("pool"));
    assert_eq!(peers.candidates(at(0), &pool), ["a", "b"]);
    assert_eq!(peers.candidates(at(0), &pool), ["b", "a"]);
}

#[test]
fn a_peer_that_declined_is_not_asked_for_the_same_pool_for_a_while() {
    let (peers, pool) = (peers(), PoolName::new("pool"));
    peers.on_declined(at(0), "a", &pool);
    assert_eq!(peers.candidates(at(499), &pool), ["b"]);
    assert_eq!(peers.candidates(at(499), &PoolName::new("other")).len(), 2);
    assert_eq!(peers.candidates(at(501), &pool).len(), 2);
}

#[test]
fn an_unreachable_peer_is_not_asked_for_any_pool_for_a_while() {
    let (peers, pool) = (peers(), PoolName::new("pool"));
    peers.on_unreachable(at(0), "b");
    assert_eq!(peers.candidates(at(1_999), &pool), ["a"]);
    assert_eq!(peers.candidates(at(2_001), &pool).len(), 2);
}

#[test]
fn the_list_is_fetched_at_once_and_more_often_while_a_path_is_lost() {
    let peers = peers();
    assert!(peers.is_fetch_due(at(0), false));
    assert!(!peers.is_fetch_due(at(400), false));
    assert!(peers.is_fetch_due(at(400), true));
    assert!(!peers.is_fetch_due(at(500), true));
}

#[test]
fn a_peer_that_is_no_longer_named_is_tried_last_for_a_while() {
    let (peers, pool) = (peers(), PoolName::new("pool"));
    peers.set(at(1_000), vec!["b".to_owned()]);
    assert_eq!(peers.candidates(at(1_000), &pool), ["b", "a"]);
    peers.set(at(2_000), Vec::new());
    assert_eq!(peers.candidates(at(2_000), &pool), ["a", "b"]);
    assert_eq!(peers.candidates(at(11_500), &pool), ["b"]);
    assert!(peers.candidates(at(12_000), &pool).is_empty());
    peers.set(at(12_000), vec!["a".to_owned()]);
    assert_eq!(peers.candidates(at(12_000), &pool), ["a"]);
}
