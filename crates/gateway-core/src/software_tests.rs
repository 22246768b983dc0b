use rstest::rstest;

use super::{SoftwareKey, SoftwareVersion, MAX_NAME_BYTES};
use crate::PoolName;

#[rstest]
#[case::empty("", false)]
#[case::short("v1.2", true)]
fn a_version_is_declared_by_its_name(#[case] name: &str, #[case] is_declared: bool) {
    let version = SoftwareVersion::new(name);
    assert_eq!(
        (version.as_str(), version.is_declared()),
        (name, is_declared)
    );
}

#[test]
fn long_names_are_bounded_and_stay_distinct() {
    let long = "é".repeat(1_000);
    let one = SoftwareVersion::new(&format!("{long}1"));
    let other = SoftwareVersion::new(&format!("{long}2"));
    assert!(one.as_str().len() <= MAX_NAME_BYTES);
    assert_ne!(one, other);
}

#[test]
fn versions_of_one_name_in_two_pools_differ() {
    let version = SoftwareVersion::new("v1");
    let (one, other) = (PoolName::new("one"), PoolName::new("other"));
    assert_ne!(
        SoftwareKey::of(&one, &version),
        SoftwareKey::of(&other, &version)
    );
    assert_ne!(
        SoftwareKey::of(&one, &version),
        SoftwareKey::undeclared(&one)
    );
}
