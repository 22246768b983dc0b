use drumshore_wire::{Blob, List};
use rstest::rstest;

use super::*;

fn body(version: u8) -> Vec<u8> {
    vec![version; 2_000]
}

fn changes(version: u8) -> Changes {
    Changes {
        configuration: List::new(vec![Blob::new(body(version))]),
        ..Changes::default()
    }
}

/// The changes that a router is sent that holds a version.
fn sent_to(patches: &mut ConfigurationPatches, held: ConfigurationHash, version: u8) -> Changes {
    let mut changes = changes(version);
    patches.apply_to(&mut changes, held);
    changes
}

#[test]
fn a_router_is_sent_the_difference_from_what_it_holds() {
    let mut patches = ConfigurationPatches::default();
    patches.note(&body(1));
    patches.note(&body(2));
    let sent = sent_to(&mut patches, ConfigurationHash::of(&body(1)), 2);
    let patch = sent.patch.expect("a patch");
    assert!(sent.configuration.items.is_empty());
    assert_eq!(patch.base, ConfigurationHash::of(&body(1)));
    assert_eq!(patch.apply(&body(1)), Ok(body(2)));
}

#[rstest]
#[case::nothing(ConfigurationHash::NONE)]
#[case::an_unknown_one(ConfigurationHash::of(b"unknown"))]
fn a_router_that_holds_no_kept_configuration_is_sent_all_of_it(#[case] held: ConfigurationHash) {
    let mut patches = ConfigurationPatches::default();
    let patch = sent_to(&mut patches, held, 3).patch.expect("a patch");
    assert_eq!(patch.apply(&[]), Ok(body(3)));
}

#[test]
fn a_patch_leads_to_the_newest_configuration_after_each_change() {
    let mut patches = ConfigurationPatches::default();
    let held = ConfigurationHash::of(&body(1));
    patches.note(&body(1));
    for version in 2..6 {
        let patch = sent_to(&mut patches, held, version).patch.expect("a patch");
        assert_eq!(patch.apply(&body(1)), Ok(body(version)));
    }
}

#[test]
fn the_kept_configurations_are_bounded() {
    let mut patches = ConfigurationPatches::default();
    for version in 0..100 {
        patches.note(&body(version));
    }
    assert_eq!(patches.kept.len(), MAX_KEPT);
    patches.note(&vec![1; MAX_KEPT_BYTES]);
    patches.note(&vec![2; MAX_KEPT_BYTES]);
    assert_eq!(patches.kept.len(), 1);
}
