//! Unit tests of the modules; `crates/testbed` tests them together under injected failures.

use drumshore_core::{
    ChangeId, ModelSpec, OperatorName, ResourceKey, ResourceKind, ResourceSpec, SecretKey,
    TenantLimits, TenantSpec, WeightsVersion,
};

use crate::store::Author;

mod allotment;
mod core;
mod fleet;
mod ledger;
mod rollout;
mod store;

fn model(version: u64) -> ResourceSpec {
    ResourceSpec::Model(ModelSpec {
        weights_version: WeightsVersion(version),
        block_tokens: 2_048,
        goal: Default::default(),
    })
}

fn tenant(key: &str) -> ResourceSpec {
    ResourceSpec::Tenant(TenantSpec {
        key_hashes: [SecretKey::new(key).hash()].into(),
        models: Default::default(),
        limits: TenantLimits::default(),
        default_priority: Default::default(),
    })
}

fn author(change: &str) -> Author {
    Author {
        change_id: ChangeId::new(change),
        operator: OperatorName::new("ana"),
        at_ms: 1,
    }
}

fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    ResourceKey {
        kind,
        name: name.to_owned(),
    }
}
