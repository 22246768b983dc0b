//! Records of placement decisions with the data that they were based on, for `explain` and traces.

use std::collections::{BTreeMap, VecDeque};

use drumshore_core::{
    EngineName, Incarnation, ModelName, RequestError, RequestId, TenantName, Timestamp,
    WeightsVersion,
};
use serde::{Deserialize, Serialize};

use crate::EngineState;

/// One engine that the scheduler considered. The fields hold what the router knew at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The name of the engine.
    pub engine: EngineName,
    /// The last known incarnation.
    pub incarnation: Incarnation,
    /// The last known weights version.
    pub weights_version: WeightsVersion,
    /// The last known state.
    pub state: EngineState,
    /// Prompt tokens of the request expected in the engine's cache.
    pub expected_cached_tokens: u32,
    /// Estimated prompt tokens in the engine's queue.
    pub waiting_tokens: u32,
    /// Estimated number of sequences that the engine runs.
    pub running: u32,
    /// The age of the engine's load report, in milliseconds.
    pub load_age_ms: u64,
    /// The expected cost: microseconds to the first token, with weights and penalties. The engine
    /// with the lowest cost is chosen.
    pub cost_us: u64,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The time of the decision, in microseconds of the router's clock.
    pub at: Timestamp,
    /// The chosen engine; `None` if no engine could take the request.
    pub chosen: Option<EngineName>,
    /// Why this engine was chosen.
    pub reason: String,
    /// The best candidates, best first.
    pub candidates: Vec<CandidateRecord>,
    /// Engines excluded because an earlier attempt failed there.
    pub excluded: Vec<EngineName>,
    /// Prompt tokens that the engine reported as cached.
    pub cached_tokens: Option<u32>,
    /// The error of a failed attempt.
    #[serde(rename = "verdict")]
    pub error: Option<RequestError>,
}

/// All attempts at one request and their outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The identifier of the request.
    pub request: RequestId,
    /// The tenant that sent the request.
    pub tenant: TenantName,
    /// The requested model.
    pub model: ModelName,
    /// The configuration revision that the router used.
    pub revision: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// True if the request must not be sent again once it may have run.
    pub non_repeatable: bool,
    /// The attempts in chronological order.
    pub attempts: Vec<AttemptRecord>,
    /// The error that the caller received; `None` while the request runs or after a complete
    /// answer.
    #[serde(rename = "verdict")]
    pub error: Option<RequestError>,
    /// True if the caller received a complete answer.
    pub answered: bool,
}

/// The most recent decision records of a router, in bounded memory.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    capacity: usize,
    order: VecDeque<RequestId>,
    records: BTreeMap<RequestId, DecisionRecord>,
}

impl DecisionLog {
    /// Creates a log that keeps the records of `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            order: VecDeque::new(),
            records: BTreeMap::new(),
        }
    }

    /// Adds the record of a new request and removes the oldest one if the log is full.
    pub fn open(&mut self, record: DecisionRecord) {
        if self.order.len() >= self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
        self.order.push_back(record.request);
        self.records.insert(record.request, record);
    }

    /// The record of a request, for updates.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut DecisionRecord> {
        self.records.get_mut(&request)
    }

    /// The record of a request, if it is still kept.
    pub fn get(&self, request: RequestId) -> Option<&DecisionRecord> {
        self.records.get(&request)
    }

    /// The kept records, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.order
            .iter()
            .filter_map(|request| self.records.get(request))
    }
}
