//! The documents that operators write: engine pools, models, tenants, priorities, rollouts.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    ChangeId, EngineName, KeyHash, ModelName, OperatorName, PoolName, Revision, TenantName,
    WeightsVersion,
};

const MAX_NAME_BYTES: usize = 63;

/// The kinds of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// Engines that serve one model.
    EnginePool,
    /// A model and the weights version in force.
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

    /// The word used in paths and documents.
    pub fn as_str(self) -> &'static str {
        match self {
            ResourceKind::EnginePool => "engine-pool",
            ResourceKind::Model => "model",
            ResourceKind::Tenant => "tenant",
            ResourceKind::PriorityClass => "priority-class",
            ResourceKind::Rollout => "rollout",
        }
    }

    /// Reads the word back.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

/// Identifies a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name, unique within the kind.
    pub name: String,
}

/// How urgent a request is. Lower values go first and are shed last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Someone waits for the answer.
    Interactive,
    /// The usual.
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
    /// The model the engines hold.
    pub model: ModelName,
    /// Engines that must get no new work, by order of an operator.
    #[serde(default)]
    pub draining: BTreeSet<EngineName>,
}

/// What placement weighs more when it cannot have both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementGoal {
    /// A short time to the first token.
    #[default]
    Latency,
    /// Little recomputation.
    Reuse,
}

/// A model and the weights version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The version that requests are answered with.
    pub weights_version: WeightsVersion,
    /// Tokens in one cached block of the engines that serve it.
    pub block_tokens: u32,
    /// What its placement weighs more.
    #[serde(default)]
    pub goal: PlacementGoal,
}

/// Limits of one tenant over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TenantLimits {
    /// Requests a second, over all routers.
    pub requests_per_second: u32,
    /// Requests that may be open at once, over all routers.
    pub concurrent_requests: u32,
    /// The share of a contended router relative to other tenants.
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
    /// Hashes of the bearer keys it may present.
    pub key_hashes: BTreeSet<KeyHash>,
    /// The models it may use; empty means all.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// Its limits.
    #[serde(default)]
    pub limits: TenantLimits,
    /// The priority class of requests that name none.
    #[serde(default)]
    pub default_priority: Priority,
}

/// A named class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityClassSpec {
    /// The priority that requests of this class have.
    pub priority: Priority,
    /// How long a request of this class may take to its first token, in milliseconds.
    pub deadline_ms: u64,
}

/// Where a rollout is to stand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Goes on.
    #[default]
    Running,
    /// Loads no further engines.
    Paused,
    /// Goes back to the version before.
    RolledBack,
}

/// A change of a model's weights version, in steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// The model.
    pub model: ModelName,
    /// The version before.
    pub from_version: WeightsVersion,
    /// The version to load.
    pub to_version: WeightsVersion,
    /// Engines that may load weights at once; the weight store slows when several do.
    pub max_loading: u32,
    /// Whether it goes on.
    #[serde(default)]
    pub state: RolloutState,
}

/// What an operator wants of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "kebab-case")]
pub enum ResourceSpec {
    /// Engines that serve one model.
    EnginePool(EnginePoolSpec),
    /// A model and the weights version in force.
    Model(ModelSpec),
    /// A tenant with its keys and limits.
    Tenant(TenantSpec),
    /// A named class of requests.
    PriorityClass(PriorityClassSpec),
    /// A change of a model's weights version, in steps.
    Rollout(RolloutSpec),
}

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The name is empty, too long or has characters outside `[a-z0-9.-]`.
    #[error("name {0:?} must be 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, '.' and '-'")]
    Name(String),
    /// A field has a value outside what is allowed.
    #[error("{field}: found {found}, allowed is {allowed}")]
    Field {
        /// The field's path.
        field: &'static str,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl ResourceSpec {
    /// The kind of the document.
    pub fn kind(&self) -> ResourceKind {
        match self {
            ResourceSpec::EnginePool(_) => ResourceKind::EnginePool,
            ResourceSpec::Model(_) => ResourceKind::Model,
            ResourceSpec::Tenant(_) => ResourceKind::Tenant,
            ResourceSpec::PriorityClass(_) => ResourceKind::PriorityClass,
            ResourceSpec::Rollout(_) => ResourceKind::Rollout,
        }
    }

    /// Checks values that the types alone do not bound.
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

/// A stored document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Unique within its kind.
    pub name: String,
    /// The revision of the change that wrote it.
    pub version: Revision,
    /// What the operator wants.
    #[serde(flatten)]
    pub spec: ResourceSpec,
    /// Who wrote it last.
    pub changed_by: OperatorName,
    /// Under which change id.
    pub change_id: ChangeId,
}

impl Resource {
    /// The resource's key.
    pub fn key(&self) -> ResourceKey {
        ResourceKey {
            kind: self.spec.kind(),
            name: self.name.clone(),
        }
    }

    /// The tenant's name and document, when it is one.
    pub fn as_tenant(&self) -> Option<(TenantName, &TenantSpec)> {
        match &self.spec {
            ResourceSpec::Tenant(spec) => Some((TenantName::new(&self.name), spec)),
            _ => None,
        }
    }

    /// The pool's name and document, when it is one.
    pub fn as_pool(&self) -> Option<(PoolName, &EnginePoolSpec)> {
        match &self.spec {
            ResourceSpec::EnginePool(spec) => Some((PoolName::new(&self.name), spec)),
            _ => None,
        }
    }

    /// The model's name and document, when it is one.
    pub fn as_model(&self) -> Option<(ModelName, &ModelSpec)> {
        match &self.spec {
            ResourceSpec::Model(spec) => Some((ModelName::new(&self.name), spec)),
            _ => None,
        }
    }
}
