//! Tests of the account of held bytes.

use super::*;

#[test]
fn bytes_are_held_until_their_charge_is_dropped() {
    let account = MemoryAccount::new(10, &ClientMetrics::default());
    let mut first = account.try_charge(6, 10).unwrap();
    assert!(account.try_charge(5, 10).is_none());
    let second = account.try_charge(4, 10).unwrap();
    first.merge(second);
    assert_eq!((first.bytes(), account.held()), (10, 10));
    drop(first);
    assert_eq!(account.held(), 0);
}

#[test]
fn the_gauges_show_what_is_held_and_the_limit() {
    let metrics = ClientMetrics::default();
    let account = MemoryAccount::new(10, &metrics);
    assert_eq!(metrics.max_held_bytes.get(), 10);
    let charge = account.charge(20);
    assert_eq!(metrics.held_bytes.get(), 20);
    drop(charge);
    assert_eq!(metrics.held_bytes.get(), 0);
}
