//! Tests of the properties that are kept next to a back end's load.

use drumshore_wire::{List, Text};
use rstest::rstest;

use super::*;
use crate::{LoadedModel, SoftwareVersion};

fn record(models: &[(&str, u64)]) -> InstanceRecord {
    let loaded = models.iter().map(|(model, version)| LoadedModel {
        model: Text::new(*model),
        version: *version,
        loading: 0,
    });
    InstanceRecord {
        instance: Text::new("i-1"),
        pool: Text::new("pool"),
        address: Text::new("10.0.0.1:80"),
        zone: Text::new("zone"),
        slots: 4,
        lifecycle: Lifecycle::Ready,
        models: List::new(loaded.collect()),
        registered: 1,
        revision: 1,
        software: SoftwareVersion::default(),
        started_ms: 0,
    }
}

#[rstest]
#[case::of_the_only_model(&[("a", 3)], "a", Some(3))]
#[case::of_another_than_the_only_one(&[("a", 3)], "b", None)]
#[case::of_one_of_two(&[("a", 3), ("b", 5)], "b", Some(5))]
#[case::without_any(&[], "a", None)]
fn the_summary_returns_the_version_in_the_record(
    #[case] models: &[(&str, u64)],
    #[case] model: &str,
    #[case] expected: Option<u64>,
) {
    let record = record(models);
    let summary = Summary::of(&record);
    let version = summary.version(&record, model, NameHash::of(model));
    assert_eq!(version, expected);
}

#[test]
fn a_change_of_the_record_changes_the_summary() {
    let mut changed = record(&[("a", 3)]);
    changed.lifecycle = Lifecycle::Draining;
    changed.models.items[0].loading = 4;
    let summary = Summary::of(&changed);
    assert!(!summary.is_ready);
    assert!(summary.is_loading);
    assert_eq!(summary.pool, NameHash::of("pool"));
    assert_ne!(summary.zone, NameHash::of("another zone"));
}
