//! What was decided and what was believed at that moment, kept for `explain` and for traces.

use std::collections::{BTreeMap, VecDeque};

use drumshore_core::{
    EngineName, Incarnation, ModelName, RequestError, RequestId, TenantName, Timestamp,
    WeightsVersion,
};
use serde::{Deserialize, Serialize};

use crate::EngineState;

/// One engine that was considered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Its name.
    pub engine: EngineName,
    /// The incarnation believed.
    pub incarnation: Incarnation,
    /// The weights believed.
    pub weights_version: WeightsVersion,
    /// The state believed.
    pub state: EngineState,
    /// Prompt tokens expected in its cache.
    pub expected_cached_tokens: u32,
    /// Prompt tokens believed to wait there.
    pub waiting_tokens: u32,
    /// Sequences believed to run there.
    pub running: u32,
    /// The age of the load report, in milliseconds.
    pub load_age_ms: u64,
    /// The cost, in microseconds to the first token; the lowest wins.
    pub cost_us: u64,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// When it was decided, in microseconds of the router's clock.
    pub at: Timestamp,
    /// The engine chosen, when there was one.
    pub chosen: Option<EngineName>,
    /// Why this one.
    pub reason: String,
    /// The best candidates, best first.
    pub candidates: Vec<CandidateRecord>,
    /// Engines that were excluded because an earlier attempt failed there.
    pub excluded: Vec<EngineName>,
    /// Prompt tokens that the engine reported as cached.
    pub cached_tokens: Option<u32>,
    /// How the attempt failed, when it did.
    pub verdict: Option<RequestError>,
}

/// The story of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub tenant: TenantName,
    /// What it asked for.
    pub model: ModelName,
    /// The configuration revision in force.
    pub revision: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// True when it may not be repeated.
    pub non_repeatable: bool,
    /// The attempts, first to last.
    pub attempts: Vec<AttemptRecord>,
    /// How it ended: `None` while it runs or when it was answered whole.
    pub verdict: Option<RequestError>,
    /// True when the caller got a whole answer.
    pub answered: bool,
}

/// The last decisions of a router, bounded.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    capacity: usize,
    order: VecDeque<RequestId>,
    records: BTreeMap<RequestId, DecisionRecord>,
}

impl DecisionLog {
    /// A log for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            order: VecDeque::new(),
            records: BTreeMap::new(),
        }
    }

    /// Starts the story of a request; the oldest one is forgotten when the log is full.
    pub fn open(&mut self, record: DecisionRecord) {
        if self.order.len() >= self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
        self.order.push_back(record.request);
        self.records.insert(record.request, record);
    }

    /// The story of a request, to be continued.
    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut DecisionRecord> {
        self.records.get_mut(&request)
    }

    /// The story of a request.
    pub fn get(&self, request: RequestId) -> Option<&DecisionRecord> {
        self.records.get(&request)
    }

    /// The stories kept, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.order
            .iter()
            .filter_map(|request| self.records.get(request))
    }
}
