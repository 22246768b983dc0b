//! Inputs and outputs of [`RouterCore`](super::RouterCore).

use std::sync::Arc;

use drumshore_core::{
    AdapterName, EngineName, IdempotencyKey, Incarnation, KeyHash, ModelName, Priority,
    RequestError, RequestId, WeightsVersion,
};
use drumshore_routing::{EngineObservation, PrefixRoot};
use drumshore_wire::Message;
use serde::Serialize;

use crate::answer::RecordedAnswer;
use crate::completion::PromptInput;
use crate::config::{ConfigError, ConfigView};
use crate::session::LinkId;

/// The operation that a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// Run a completion.
    #[default]
    Complete,
    /// List the models that the tenant may use.
    ListModels,
}

/// A request to be admitted.
#[derive(Clone, Debug, Default)]
pub struct AdmitRequest {
    /// Hash of the bearer key; `None` if the request has none.
    pub key_hash: Option<KeyHash>,
    /// The operation asked for.
    pub purpose: Purpose,
    /// The requested model.
    pub model: ModelName,
    /// The adapter to apply to the model.
    pub adapter: Option<AdapterName>,
    /// The prompt, from which cached prefixes are hashed.
    pub prompt: Arc<PromptInput>,
    /// The requested priority.
    pub priority: Option<Priority>,
    /// The requested priority class; its priority overrides `priority`.
    pub priority_class: Option<String>,
    /// True if repeating the request with the same weights gives the same answer.
    pub deterministic: bool,
    /// The caller's idempotency key, present if the request must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of the body, compared by the ledger when an idempotency key is used again.
    pub fingerprint: u64,
}

/// The engine chosen for an attempt, and what to send to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request that is assigned.
    pub request: RequestId,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
    /// The name of the engine.
    pub engine: EngineName,
    /// The address that the engine listens on.
    pub address: String,
    /// The engine's expected incarnation, sent as a fence: an engine with another one refuses.
    pub incarnation: Incarnation,
    /// The required weights version, also sent as a fence.
    pub weights_version: WeightsVersion,
    /// The root of the prompt's prefix chain. Cache blocks are not shared between different roots.
    pub cache_salt: PrefixRoot,
    /// The priority at the engine.
    pub priority: Priority,
    /// The caller's idempotency key, present if the request must not run twice.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The core's answer to a request or a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// Send the request to this engine.
    Assigned(Assignment),
    /// The request ran before with this answer.
    Recorded(RecordedAnswer),
    /// The models that the tenant may use.
    Models(Vec<ModelName>),
    /// The request is refused, or failed and is not retried.
    Refused(RequestError),
}

/// The files in a router's data folder, with which it serves at once after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredFile {
    /// The configuration applied. It must not be older than what was applied before the restart.
    Config,
    /// The engines last reported. They may be out of date; fences protect against that.
    Engines,
}

impl StoredFile {
    /// The file's name in the data folder.
    pub fn file_name(self) -> &'static str {
        match self {
            StoredFile::Config => "config.json",
            StoredFile::Engines => "engines.json",
        }
    }
}

/// The contents of a router's data folder at its start.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The configuration to apply from the start.
    pub config: ConfigView,
    /// The engines to start with.
    pub engines: Vec<EngineObservation>,
}

impl StoredState {
    /// Decodes the files. A missing file counts as empty. An unreadable configuration is an error;
    /// an unreadable list of engines counts as empty.
    pub fn decode(config: Option<&[u8]>, engines: Option<&[u8]>) -> Result<Self, ConfigError> {
        let config = config.map_or(Ok(ConfigView::default()), ConfigView::decode)?;
        let engines = engines.and_then(|bytes| serde_json::from_slice(bytes).ok());
        Ok(Self {
            config,
            engines: engines.unwrap_or_default(),
        })
    }
}

/// An action for the owner of the core. Effects are carried out in order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Make these bytes durable before carrying out any later effect.
    Persist(StoredFile, Vec<u8>),
    /// Open a link to a control machine.
    Connect {
        /// The id of the new link.
        link: LinkId,
        /// Index of the control machine, counted from 0.
        peer: usize,
    },
    /// Close a link.
    Close(LinkId),
    /// Send a message over a link.
    Send(LinkId, Message),
    /// Return an outcome to the request's owner.
    Answer(RequestId, AdmitOutcome),
}

/// Counters since the start, and gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RouterMetrics {
    /// Requests received.
    pub requests: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests that failed after they may have run, or whose caller disconnected.
    pub failed: u64,
    /// Requests that were refused or failed without having run.
    pub refused: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Index lookups sent before placing a request.
    pub index_questions: u64,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines reported as cached.
    pub cached_tokens: u64,
    /// Tokens that were estimated to be cached and were not.
    pub overestimated_tokens: u64,
    /// Configuration updates refused as stale or unreadable, and stale tenant answers.
    pub stale_updates: u64,
    /// Messages sent to control machines.
    pub control_messages_sent: u64,
    /// Messages received from control machines.
    pub control_messages_received: u64,
    /// Requests currently open.
    pub open: u64,
    /// Requests currently waiting for an engine.
    pub queued: u64,
    /// The configuration revision applied.
    pub revision: u64,
    /// 1 while the last quorum confirmation is recent, else 0.
    pub control_fresh: u64,
}
