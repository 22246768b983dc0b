//! Tests of the traffic that is reported in log lines.

use super::*;

#[test]
fn bytes_are_reported_by_kind_and_only_once() {
    let traffic = LinkTraffic::default();
    traffic.on_queued(kind_of(&Message::KeepAlive), 20);
    traffic.on_queued(kind_of(&Message::Ping { sequence: 1 }), 30);
    traffic.on_queued(kind_of(&Message::KeepAlive), 20);
    traffic.on_dequeued(20);
    traffic.on_dropped();
    let recent = traffic.take_recent();
    assert_eq!(recent.to_string(), "keep_alive=40 ping=30");
    assert_eq!((recent.most_queued_bytes, recent.dropped), (70, 1));
    assert_eq!(traffic.take_recent().to_string(), "");
}

#[test]
fn queued_bytes_count_until_they_are_dequeued() {
    let traffic = LinkTraffic::default();
    traffic.on_queued(kind_of(&Message::KeepAlive), 1_000);
    traffic.take_recent();
    traffic.on_queued(kind_of(&Message::KeepAlive), 10);
    assert_eq!(traffic.take_recent().most_queued_bytes, 1_010);
    traffic.on_dequeued(1_010);
    traffic.on_queued(kind_of(&Message::KeepAlive), 10);
    assert_eq!(traffic.take_recent().most_queued_bytes, 10);
}
