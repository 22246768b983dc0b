//! The resources that operators configure: engine pools, models, tenants, priority classes and
//! rollouts.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    ChangeId, EngineName, KeyHash, ModelName, OperatorName, PoolName, Revision, TenantName,
    WeightsVersion,
};

const MAX_NAME_BYTES: usize = 63;

/// The kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// Engines that serve one model.
    EnginePool,
    /// A model and the weights version that serves its requests.
    Model,
    /// A tenant with its keys and limits.
    Tenant,
    /// A named class of requests.
    PriorityClass,
    /// A change of a model's weights version, in steps.
    Rollout,
}

impl ResourceKind {
    /// All kinds, in the order in which they are listed.
    pub const ALL: [ResourceKind; 5] = [
        ResourceKind::EnginePool,
        ResourceKind::Model,
        ResourceKind::Tenant,
        ResourceKind::PriorityClass,
        ResourceKind::Rollout,
    ];

    /// The name used in URL paths and documents.
    pub fn as_str(self) -> &'static str {
        match self {
            ResourceKind::EnginePool => "engine-pool",
            ResourceKind::Model => "model",
            ResourceKind::Tenant => "tenant",
            ResourceKind::PriorityClass => "priority-class",
            ResourceKind::Rollout => "rollout",
        }
    }

    /// Parses the name used in URL paths and documents.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

/// The kind and name that identify a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// The kind of the resource.
    pub kind: ResourceKind,
    /// The name, unique within the kind.
    pub name: String,
}

/// The urgency of a request. Lower values are served first and shed last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person waits for the answer.
    Interactive,
    /// The default for requests without a class.
    #[default]
    Standard,
    /// Can wait; shed first.
    Batch,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Interactive, Priority::Standard, Priority::Batch];
}

/// Engines that serve one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// The model that the engines serve.
    pub model: ModelName,
    /// Engines that an operator has excluded from new requests.
    #[serde(default)]
    pub draining: BTreeSet<EngineName>,
}

/// The goal that placement favours when latency and cache reuse conflict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementGoal {
    /// A short time to the first token.
    #[default]
    Latency,
    /// Little recomputation.
    Reuse,
}

/// A model and the weights version that serves its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The weights version that serves requests.
    pub weights_version: WeightsVersion,
    /// Tokens in one cache block of the engines that serve the model.
    pub block_tokens: u32,
    /// The goal that placement favours for the model's requests.
    #[serde(default)]
    pub goal: PlacementGoal,
}

/// Limits of one tenant across the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Requests per second across all routers.
    pub requests_per_second: u32,
    /// Requests that may be open at once across all routers.
    pub concurrent_requests: u32,
    /// The tenant's weight relative to other tenants when a router is contended.
    pub weight: u32,
}

impl Default for TenantLimits {
    fn default() -> Self {
        Self {
            requests_per_second: 10_000,
            concurrent_requests: 20_000,
            weight: 1,
        }
    }
}

/// A tenant with its keys and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Hashes of the bearer keys that belong to the tenant.
    pub key_hashes: BTreeSet<KeyHash>,
    /// The models that the tenant may use; empty means all.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// Limits on the tenant's requests.
    #[serde(default)]
    pub limits: TenantLimits,
    /// The priority of requests that name no priority class.
    #[serde(default)]
    pub default_priority: Priority,
}

/// A named class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityClassSpec {
    /// The priority of requests in this class.
    pub priority: Priority,
    /// The longest time to the first token for a request in this class, in milliseconds.
    pub deadline_ms: u64,
}

/// The state that an operator requests for a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Engines load the new version step by step.
    #[default]
    Running,
    /// No further engines load the new version.
    Paused,
    /// Engines return to the previous version.
    RolledBack,
}

/// A change of a model's weights version, in steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// The model whose weights change.
    pub model: ModelName,
    /// The previous version.
    pub from_version: WeightsVersion,
    /// The version to load.
    pub to_version: WeightsVersion,
    /// The most engines that may load weights at once. The weight store slows down when several do.
    pub max_loading: u32,
    /// Whether the rollout continues, pauses or is rolled back.
    #[serde(default)]
    pub state: RolloutState,
}

/// The desired state of a resource, as written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "kebab-case")]
pub enum ResourceSpec {
    /// Engines that serve one model.
    EnginePool(EnginePoolSpec),
    /// A model and the weights version that serves its requests.
    Model(ModelSpec),
    /// A tenant with its keys and limits.
    Tenant(TenantSpec),
    /// A named class of requests.
    PriorityClass(PriorityClassSpec),
    /// A change of a model's weights version, in steps.
    Rollout(RolloutSpec),
}

/// Why a resource document is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The name is empty, too long or has characters outside `[a-z0-9.-]`.
    #[error("name {0:?} must be 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, '.' and '-'")]
    Name(String),
    /// A field has a value that is not allowed.
    #[error("{field}: found {found}, allowed is {allowed}")]
    Field {
        /// The path of the field, as in `spec.max_loading`.
        field: &'static str,
        /// The value found.
        found: String,
        /// The values allowed.
        allowed: &'static str,
    },
}

impl ResourceSpec {
    /// The kind of resource that the document describes.
    pub fn kind(&self) -> ResourceKind {
        match self {
            ResourceSpec::EnginePool(_) => ResourceKind::EnginePool,
            ResourceSpec::Model(_) => ResourceKind::Model,
            ResourceSpec::Tenant(_) => ResourceKind::Tenant,
            ResourceSpec::PriorityClass(_) => ResourceKind::PriorityClass,
            ResourceSpec::Rollout(_) => ResourceKind::Rollout,
        }
    }

    /// Checks the name and the values that the types do not restrict.
    pub fn validate(&self, name: &str) -> Result<(), SpecError> {
        validate_name(name)?;
        match self {
            ResourceSpec::Model(model) => require(
                model.block_tokens >= 16,
                "spec.block_tokens",
                model.block_tokens,
                "16 or more tokens",
            ),
            ResourceSpec::Tenant(tenant) => validate_tenant(tenant),
            ResourceSpec::Rollout(rollout) => require(
                rollout.max_loading >= 1,
                "spec.max_loading",
                rollout.max_loading,
                "1 or more engines",
            ),
            ResourceSpec::EnginePool(_) | ResourceSpec::PriorityClass(_) => Ok(()),
        }
    }
}

fn validate_name(name: &str) -> Result<(), SpecError> {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        return Err(SpecError::Name(name.to_owned()));
    }
    Ok(())
}

fn validate_tenant(tenant: &TenantSpec) -> Result<(), SpecError> {
    let malformed = tenant.key_hashes.iter().find(|hash| !hash.is_well_formed());
    require(
        malformed.is_none(),
        "spec.key_hashes",
        format!("{malformed:?}"),
        "SHA-256 digests in hexadecimal",
    )?;
    require(
        tenant.limits.weight >= 1,
        "spec.limits.weight",
        tenant.limits.weight,
        "1 or more",
    )
}

fn require(
    holds: bool,
    field: &'static str,
    found: impl ToString,
    allowed: &'static str,
) -> Result<(), SpecError> {
    if holds {
        return Ok(());
    }
    Err(SpecError::Field {
        field,
        found: found.to_string(),
        allowed,
    })
}

/// A resource as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// The name, unique within the kind.
    pub name: String,
    /// The revision of the last change to the resource.
    pub version: Revision,
    /// The desired state.
    #[serde(flatten)]
    pub spec: ResourceSpec,
    /// The operator that made the last change.
    pub changed_by: OperatorName,
    /// The change id of the last change.
    pub change_id: ChangeId,
}

impl Resource {
    /// The kind and name of the resource.
    pub fn key(&self) -> ResourceKey {
        ResourceKey {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }

    /// The name and spec if the resource is a tenant.
    pub fn as_tenant(&self) -> Option<(TenantName, &TenantSpec)> {
        match &self.spec {
            ResourceSpec::Tenant(spec) => Some((TenantName::new(&self.name), spec)),
            _ => None,
        }
    }

    /// The name and spec if the resource is an engine pool.
    pub fn as_pool(&self) -> Option<(PoolName, &EnginePoolSpec)> {
        match &self.spec {
            ResourceSpec::EnginePool(spec) => Some((PoolName::new(&self.name), spec)),
            _ => None,
        }
    }

    /// The name and spec if the resource is a model.
    pub fn as_model(&self) -> Option<(ModelName, &ModelSpec)> {
        match &self.spec {
            ResourceSpec::Model(spec) => Some((ModelName::new(&self.name), spec)),
            _ => None,
        }
    }
}
