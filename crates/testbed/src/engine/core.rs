//! The mock engine in virtual time, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_control::{EngineOrder, EngineProbe};
use drumshore_core::{
    Epoch, Execution, Incarnation, RequestId, Revision, Timestamp, WeightsVersion,
};
use drumshore_guard::{enforced, Guard};
use drumshore_router::engine_api;
use drumshore_routing::{AnswerLoad, CacheReport, ReportWanted};

use super::cache::{BlockCache, BlockOrigin};
use super::timing::EngineTiming;
use super::types::{
    EngineCounters, EngineOutput, EngineParams, EngineRequest, Executed, Refusal, StreamSummary,
    Submission, Violation,
};

/// How long a finished stream stays resumable.
const STREAM_RETENTION: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Sequence {
    request: EngineRequest,
    cached_tokens: u32,
    prefill_remaining: u32,
    emitted: u32,
}

#[derive(Clone, Debug)]
struct Step {
    ends_at: Timestamp,
    /// Prompt tokens that the step computes for each running sequence, in the order of the batch.
    prefill: Vec<u32>,
}

#[derive(Clone, Debug)]
struct StreamState {
    emitted: u32,
    max_tokens: u32,
    cached_tokens: u32,
    prompt_tokens: u32,
    weights_version: WeightsVersion,
    finished_at: Option<Timestamp>,
}

/// An engine whose time advances only when its methods are called with a later time.
#[derive(Clone, Debug)]
pub struct EngineCore {
    params: EngineParams,
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    ordered_weights: Option<WeightsVersion>,
    load_ends_at: Option<Timestamp>,
    last_order: (Epoch, Revision),
    leaving: bool,
    cache: BlockCache,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    step: Option<Step>,
    streams: BTreeMap<RequestId, StreamState>,
    report: EngineProbe,
    report_at: Timestamp,
    counters: EngineCounters,
    executions: Vec<Executed>,
    violations: Vec<Violation>,
}

impl EngineCore {
    /// Creates a freshly started engine with an empty cache.
    pub fn new(params: EngineParams, incarnation: Incarnation) -> Self {
        let weights_version = params.weights_version;
        let report = EngineProbe {
            incarnation,
            model: params.model.clone(),
            weights_version,
            leaving: false,
            waiting_tokens: 0,
            running: 0,
            lag_ms: 0,
        };
        Self {
            cache: BlockCache::new(params.cache_blocks, incarnation),
            params,
            incarnation,
            weights_version,
            ordered_weights: None,
            load_ends_at: None,
            last_order: (Epoch(0), Revision(0)),
            leaving: false,
            waiting: Vec::new(),
            running: Vec::new(),
            step: None,
            streams: BTreeMap::new(),
            report,
            report_at: Timestamp(0),
            counters: EngineCounters::default(),
            executions: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Returns the settings.
    pub fn params(&self) -> &EngineParams {
        &self.params
    }

    /// Returns the timing model for modification.
    pub fn timing_mut(&mut self) -> &mut EngineTiming {
        &mut self.params.timing
    }

    /// Returns the identity of this start of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the loaded weights; 0 while weights are being loaded.
    pub fn weights_version(&self) -> WeightsVersion {
        self.weights_version
    }

    /// Returns the KV block cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Returns the number of requests that are queued or running.
    pub fn open(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Returns the number of prompt tokens that remain to be computed for all open requests.
    pub fn waiting_tokens(&self) -> u32 {
        let running = self
            .running
            .iter()
            .map(|sequence| sequence.prefill_remaining);
        let waiting = self.waiting.iter().map(|sequence| {
            let cached = self.cached_tokens(&sequence.request);
            sequence.request.prompt_tokens.saturating_sub(cached)
        });
        running.chain(waiting).sum()
    }

    /// Returns the number of sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many prompt tokens of a request are in the cache now.
    pub fn cached_tokens(&self, request: &EngineRequest) -> u32 {
        let blocks = self.cache.cached_prefix_blocks(&request.chain);
        let cached = blocks as u32 * self.params.block_tokens;
        // The last prompt token is always computed: its output is the first token of the answer.
        cached.min(request.prompt_tokens.saturating_sub(1))
    }

    /// Returns the report of cached blocks or of their changes.
    pub fn cache_report(&self, wanted: ReportWanted) -> CacheReport {
        self.cache.report(wanted)
    }

    /// Returns the requests that started to run since the last call, in order.
    pub fn take_executions(&mut self) -> Vec<Executed> {
        std::mem::take(&mut self.executions)
    }

    /// Returns the invariant violations since the last call.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.violations)
    }

    /// Queues a request by priority, or refuses it. A repeated id replaces the earlier request.
    pub fn submit(&mut self, request: EngineRequest, now: Timestamp) -> Submission {
        if let Some(refusal) = self.refusal(&request) {
            self.counters.refused += 1;
            return Submission::Refused(refusal);
        }
        if request
            .incarnation
            .is_some_and(|expected| expected != self.incarnation)
        {
            self.violations
                .push(Violation::OtherIncarnation(request.id));
        }
        self.cancel(request.id);
        let position = self
            .waiting
            .partition_point(|waiting| waiting.request.priority <= request.priority);
        let sequence = Sequence {
            request,
            cached_tokens: 0,
            prefill_remaining: 0,
            emitted: 0,
        };
        self.waiting.insert(position, sequence);
        self.start_step_when_idle(now);
        Submission::Accepted
    }

    /// Cancels a request and discards its stream.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|sequence| sequence.request.id != id);
        if let Some(position) = self
            .running
            .iter()
            .position(|sequence| sequence.request.id == id)
        {
            self.running.remove(position);
            if let Some(step) = &mut self.step {
                if position < step.prefill.len() {
                    step.prefill.remove(position);
                }
            }
        }
        self.streams.remove(&id);
    }

    /// Returns the state of a stream; `None` when the id is unknown or no longer retained.
    pub fn stream(&self, id: RequestId) -> Option<StreamSummary> {
        let waits = self
            .waiting
            .iter()
            .find(|sequence| sequence.request.id == id);
        if let Some(sequence) = waits {
            return Some(StreamSummary {
                emitted: 0,
                max_tokens: sequence.request.max_tokens,
                cached_tokens: 0,
                prompt_tokens: sequence.request.prompt_tokens,
                weights_version: self.weights_version,
            });
        }
        self.streams.get(&id).map(|stream| StreamSummary {
            emitted: stream.emitted,
            max_tokens: stream.max_tokens,
            cached_tokens: stream.cached_tokens,
            prompt_tokens: stream.prompt_tokens,
            weights_version: stream.weights_version,
        })
    }

    /// Applies an order of a control machine. Returns false when it is older than the last applied
    /// order.
    pub fn order(&mut self, order: &EngineOrder) -> bool {
        let fence = (order.epoch, order.revision);
        if fence < self.last_order {
            return false;
        }
        self.last_order = fence;
        let wanted = order.weights_version;
        if self.load_ends_at.is_none() {
            // Loading begins once no request is open, so requests accepted earlier finish with
            // the weights they were accepted for.
            self.ordered_weights = (wanted != self.weights_version).then_some(wanted);
        }
        true
    }

    /// Returns true when other weights are ordered and all earlier requests have ended.
    pub fn ready_to_load_weights(&self) -> bool {
        self.ordered_weights.is_some() && self.load_ends_at.is_none() && self.open() == 0
    }

    /// Begins to load the ordered weights, which takes `duration`.
    pub fn begin_load(&mut self, duration: Duration, now: Timestamp) {
        self.weights_version = WeightsVersion(0);
        self.load_ends_at = Some(now.plus(duration));
    }

    /// Refuses all new requests from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the status of the engine. Its load is refreshed only when it is older than the
    /// report lag. The weights are 0 while others are ordered or being loaded.
    pub fn probe(&mut self, now: Timestamp) -> EngineProbe {
        let lag = Duration::from_millis(self.params.timing.report_lag_ms);
        if now.since(self.report_at) >= lag {
            self.report_at = now;
            self.report.waiting_tokens = self.waiting_tokens();
            self.report.running = self.running.len() as u32;
        }
        let weights_version = match self.ordered_weights {
            Some(_) => WeightsVersion(0),
            None => self.weights_version,
        };
        EngineProbe {
            incarnation: self.incarnation,
            weights_version,
            leaving: self.leaving,
            lag_ms: now.since(self.report_at).as_millis() as u64,
            ..self.report.clone()
        }
    }

    /// Returns the time of the next internal event: the end of a step or of loading.
    pub fn next_event_at(&self) -> Option<Timestamp> {
        let step = self.step.as_ref().map(|step| step.ends_at);
        step.into_iter().chain(self.load_ends_at).min()
    }

    /// Advances the engine to `now`. Returns the tokens produced until then.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            self.finish_step(&step, &mut outputs);
            self.start_step(step.ends_at);
        }
        if self.load_ends_at.is_some_and(|at| at <= now) {
            self.load_ends_at = None;
            self.weights_version = self.ordered_weights.take().unwrap_or(self.weights_version);
        }
        self.streams.retain(|_, stream| {
            stream
                .finished_at
                .is_none_or(|at| now.since(at) < STREAM_RETENTION)
        });
        outputs
    }

    fn refusal(&self, request: &EngineRequest) -> Option<Refusal> {
        let refuse = |status, reason| {
            Some(Refusal {
                status,
                reason,
                execution: Execution::NotRun,
            })
        };
        if self.leaving {
            return refuse(503, engine_api::REFUSAL_LEAVING);
        }
        let other_incarnation = request
            .incarnation
            .is_some_and(|expected| expected != self.incarnation);
        if other_incarnation && enforced(Guard::IncarnationFence) {
            return refuse(412, engine_api::REFUSAL_FENCE);
        }
        let other_weights = request
            .weights_version
            .is_some_and(|expected| expected != self.weights_version);
        let weights_ordered = self.ordered_weights.is_some();
        if weights_ordered || (other_weights && enforced(Guard::WeightsFence)) {
            return refuse(412, engine_api::REFUSAL_FENCE);
        }
        if self.waiting.len() >= self.params.max_waiting {
            return refuse(503, engine_api::REFUSAL_FULL);
        }
        None
    }

    fn start_step_when_idle(&mut self, now: Timestamp) {
        if self.step.is_none() {
            self.start_step(now);
        }
    }

    fn start_step(&mut self, now: Timestamp) {
        while self.running.len() < self.params.max_running && !self.waiting.is_empty() {
            let sequence = self.waiting.remove(0);
            self.start_sequence(sequence);
        }
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.params.timing.prefill_chunk_tokens;
        let mut prefill = Vec::with_capacity(self.running.len());
        let mut decoding = 0;
        for sequence in &self.running {
            let tokens = sequence.prefill_remaining.min(budget);
            budget -= tokens;
            prefill.push(tokens);
            decoding += usize::from(sequence.prefill_remaining == 0);
        }
        let computed = self.params.timing.prefill_chunk_tokens - budget;
        let ends_at = now.plus(self.params.timing.step(decoding, computed));
        self.step = Some(Step { ends_at, prefill });
    }

    /// Adds a request from the queue to the batch. Its cached tokens are determined now, not when it
    /// was queued.
    fn start_sequence(&mut self, mut sequence: Sequence) {
        let request = &sequence.request;
        let cached = self.cached_tokens(request);
        self.check_origins(request, cached);
        let origin = self.origin(request);
        let cached_blocks = self.cache.cached_prefix_blocks(&request.chain);
        self.cache.store(&request.chain[..cached_blocks], origin);
        self.counters.executed += 1;
        self.counters.prompt_tokens += u64::from(request.prompt_tokens);
        self.counters.cached_tokens += u64::from(cached);
        self.executions.push(Executed {
            id: request.id,
            once: request.once.clone(),
        });
        self.streams.insert(
            request.id,
            StreamState {
                emitted: 0,
                max_tokens: request.max_tokens,
                cached_tokens: cached,
                prompt_tokens: request.prompt_tokens,
                weights_version: self.weights_version,
                finished_at: None,
            },
        );
        sequence.cached_tokens = cached;
        sequence.prefill_remaining = request.prompt_tokens.saturating_sub(cached).max(1);
        self.running.push(sequence);
    }

    fn check_origins(&mut self, request: &EngineRequest, cached: u32) {
        let blocks = (cached / self.params.block_tokens.max(1)) as usize;
        let mut broken = None;
        for origin in self.cache.origins(&request.chain, blocks) {
            if origin.tenant != request.tenant {
                broken = Some(Violation::OtherTenant(request.id));
            } else if origin.weights_version != self.weights_version {
                broken = Some(Violation::OtherWeights(request.id));
            }
        }
        self.violations.extend(broken);
    }

    fn origin(&self, request: &EngineRequest) -> BlockOrigin {
        BlockOrigin {
            tenant: request.tenant,
            weights_version: self.weights_version,
        }
    }

    fn finish_step(&mut self, step: &Step, outputs: &mut Vec<EngineOutput>) {
        let mut running = std::mem::take(&mut self.running);
        for (position, sequence) in running.iter_mut().enumerate() {
            // A sequence that joined the batch during the step is not part of the step.
            let Some(tokens) = step.prefill.get(position) else {
                continue;
            };
            if sequence.prefill_remaining > 0 {
                sequence.prefill_remaining -= tokens;
                if sequence.prefill_remaining > 0 {
                    continue;
                }
                let origin = self.origin(&sequence.request);
                self.cache.store(&sequence.request.chain, origin);
            }
            outputs.push(self.emit(sequence, step.ends_at));
        }
        running.retain(|sequence| sequence.emitted < sequence.request.max_tokens);
        self.running = running;
        let load = AnswerLoad {
            waiting_tokens: self.waiting_tokens(),
            running: self.running.len() as u32,
        };
        for output in outputs.iter_mut().filter(|output| output.index == 0) {
            output.load = Some(load);
        }
    }

    fn emit(&mut self, sequence: &mut Sequence, at: Timestamp) -> EngineOutput {
        let index = sequence.emitted;
        sequence.emitted += 1;
        let last = sequence.emitted >= sequence.request.max_tokens;
        let mut weights_version = self.weights_version;
        if let Some(stream) = self.streams.get_mut(&sequence.request.id) {
            stream.emitted = sequence.emitted;
            stream.finished_at = last.then_some(at);
            weights_version = stream.weights_version;
        }
        EngineOutput {
            id: sequence.request.id,
            at,
            index,
            last,
            cached_tokens: sequence.cached_tokens,
            load: None,
            weights_version,
        }
    }
}
