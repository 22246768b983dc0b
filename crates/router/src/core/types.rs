//! What goes into and comes out of a router's core.

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

/// What a request is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// To run.
    #[default]
    Complete,
    /// To learn which models the tenant may use.
    ListModels,
}

/// A request that wants to run.
#[derive(Clone, Debug, Default)]
pub struct AdmitRequest {
    /// Hash of the key presented; `None` when none was.
    pub key_hash: Option<KeyHash>,
    /// What it is for.
    pub purpose: Purpose,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<PromptInput>,
    /// The priority asked for.
    pub priority: Option<Priority>,
    /// The priority class asked for; its word counts before `priority`.
    pub priority_class: Option<String>,
    /// True when the same request gives the same answer under the same weights.
    pub deterministic: bool,
    /// The caller's key, when the work may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of the body.
    pub fingerprint: u64,
}

/// An engine for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub request: RequestId,
    /// Counts the request's attempts from 1.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineName,
    /// Where it listens.
    pub address: String,
    /// The start it is believed to be; a fence.
    pub incarnation: Incarnation,
    /// The weights it must answer with; a fence.
    pub weights_version: WeightsVersion,
    /// The root of its prefix chain; nothing is shared across it.
    pub cache_salt: PrefixRoot,
    /// How urgent it is.
    pub priority: Priority,
    /// The caller's key, when the work may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The core's answer to a request or a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// Send it there.
    Assigned(Assignment),
    /// It ran before; this was the answer.
    Recorded(RecordedAnswer),
    /// The models that the tenant may use.
    Models(Vec<ModelName>),
    /// It is over.
    Refused(RequestError),
}

/// What a router keeps in its data folder, so that it serves at once after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredFile {
    /// The configuration applied. It must not be older than what was applied before the restart.
    Config,
    /// The engines last heard of. They may be out of date: fences protect from that.
    Engines,
}

impl StoredFile {
    /// Its name in the data folder.
    pub fn file_name(self) -> &'static str {
        match self {
            StoredFile::Config => "config.json",
            StoredFile::Engines => "engines.json",
        }
    }
}

/// What was in a router's data folder when it started.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The configuration to apply from the start.
    pub config: ConfigView,
    /// The engines to start with.
    pub engines: Vec<EngineObservation>,
}

impl StoredState {
    /// Reads the files back. One that is missing counts as empty, one that is unreadable is an
    /// error for the configuration, and nothing for the engines.
    pub fn decode(config: Option<&[u8]>, engines: Option<&[u8]>) -> Result<Self, ConfigError> {
        let config = config.map_or(Ok(ConfigView::default()), ConfigView::decode)?;
        let engines = engines.and_then(|bytes| serde_json::from_slice(bytes).ok());
        Ok(Self {
            config,
            engines: engines.unwrap_or_default(),
        })
    }
}

/// What the owner of the core has to do, in this order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Make these bytes last before any later effect.
    Persist(StoredFile, Vec<u8>),
    /// Open a link to a control machine.
    Connect {
        /// The link.
        link: LinkId,
        /// Which machine, counted from 0.
        peer: usize,
    },
    /// Close a link.
    Close(LinkId),
    /// Send a message over a link.
    Send(LinkId, Message),
    /// Tell a request's owner.
    Answer(RequestId, AdmitOutcome),
}

/// Counters since the start, and a few gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RouterMetrics {
    /// Requests that asked.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that ended otherwise.
    pub failed: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Requests before whose placement the index was asked.
    pub index_questions: u64,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: u64,
    /// Of these, tokens that engines had in their caches.
    pub cached_tokens: u64,
    /// Tokens believed cached that were not.
    pub overestimated_tokens: u64,
    /// Configuration updates refused because they were older than what is applied.
    pub stale_updates: u64,
    /// Messages sent to control machines.
    pub control_messages_sent: u64,
    /// Messages received from control machines.
    pub control_messages_received: u64,
    /// Requests open now.
    pub open: u64,
    /// Requests waiting for an engine now.
    pub queued: u64,
    /// The revision applied.
    pub revision: u64,
    /// 1 while a quorum's confirmation is recent.
    pub control_fresh: u64,
}
