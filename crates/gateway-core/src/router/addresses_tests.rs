//! Tests of the counts of back ends per address.

use super::*;

#[test]
fn an_address_is_shared_while_several_back_ends_have_it() {
    let mut addresses = Addresses::default();
    addresses.add("10.0.0.1:80");
    addresses.add("10.0.0.2:80");
    assert!(!addresses.any_shared());
    addresses.add("10.0.0.1:80");
    addresses.add("10.0.0.1:80");
    assert!(addresses.any_shared());
    addresses.remove("10.0.0.1:80");
    assert!(addresses.any_shared());
    addresses.remove("10.0.0.1:80");
    assert!(!addresses.any_shared());
    addresses.remove("10.0.0.1:80");
    addresses.remove("10.0.0.9:80");
    assert_eq!(addresses.counts.len(), 1);
}
