use drumshore_core::{
    ChangeId, ModelName, ModelSpec, OperatorName, Resource, ResourceKey, ResourceKind,
    ResourceSpec, Revision, SecretKey, TenantSpec, WeightsVersion,
};
use drumshore_wire::{Blob, ConfigUpdate};

use crate::config::{ConfigError, ConfigView};

pub(super) fn resource(name: &str, version: u64, spec: ResourceSpec) -> Resource {
    Resource {
        name: name.to_owned(),
        version: Revision(version),
        spec,
        changed_by: OperatorName::new("ana"),
        change_id: ChangeId::new("c"),
    }
}

pub(super) fn model(version: u64, weights: u64) -> Resource {
    let spec = ResourceSpec::Model(ModelSpec {
        weights_version: WeightsVersion(weights),
        block_tokens: 16,
        goal: Default::default(),
    });
    resource("m", version, spec)
}

pub(super) fn tenant(name: &str, version: u64, key: &str) -> Resource {
    let spec = ResourceSpec::Tenant(TenantSpec {
        key_hashes: [SecretKey::new(key).hash()].into(),
        models: Default::default(),
        limits: Default::default(),
        default_priority: Default::default(),
    });
    resource(name, version, spec)
}

pub(super) fn update(revision: u64, full: bool, records: &[Resource]) -> ConfigUpdate {
    ConfigUpdate {
        revision,
        full: u8::from(full),
        records: Blob::new(serde_json::to_vec(records).expect("resources are JSON")),
        deleted: Blob::new(b"[]".to_vec()),
    }
}

fn weights(view: &ConfigView) -> Option<u64> {
    let model = view.model(&ModelName::new("m"));
    model.map(|model| model.weights_version.0)
}

#[test]
fn older_update_is_refused_after_a_restart() {
    let mut view = ConfigView::default();
    view.apply(&update(5, true, &[model(5, 2)]))
        .expect("the update is new");
    let stored = view.encode();
    let mut restarted = ConfigView::decode(&stored).expect("the encoded view is readable");
    let older = restarted.apply(&update(4, true, &[model(4, 1)]));
    assert!(matches!(older, Err(ConfigError::Stale { .. })));
    assert_eq!(weights(&restarted), Some(2));
    assert_eq!(restarted.floor(), Revision(5));
}

#[test]
fn update_does_not_replace_a_newer_queried_tenant() {
    let mut view = ConfigView::default();
    view.apply(&update(5, true, &[model(5, 2)]))
        .expect("the update is new");
    view.add_queried_tenant(tenant("t", 8, "new"), Revision(8))
        .expect("the revision is newer");
    view.apply(&update(6, false, &[tenant("t", 6, "old")]))
        .expect("the revision is above the floor");
    assert!(view.tenant_of_key(&SecretKey::new("new").hash()).is_some());
    assert!(view.tenant_of_key(&SecretKey::new("old").hash()).is_none());
}

#[test]
fn deleted_tenant_loses_its_key() {
    let mut view = ConfigView::default();
    view.apply(&update(5, true, &[tenant("t", 5, "k")]))
        .expect("the update is new");
    let deleted = [ResourceKey {
        kind: ResourceKind::Tenant,
        name: "t".to_owned(),
    }];
    let mut change = update(6, false, &[]);
    change.deleted = Blob::new(serde_json::to_vec(&deleted).expect("keys are JSON"));
    view.apply(&change).expect("the revision is newer");
    assert!(view.tenant_of_key(&SecretKey::new("k").hash()).is_none());
}
