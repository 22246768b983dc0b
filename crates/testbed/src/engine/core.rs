//! The engine in virtual time.

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

/// How long a finished stream can be resumed.
const STREAM_KEPT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Sequence {
    request: EngineRequest,
    cached_tokens: u32,
    to_prefill: u32,
    emitted: u32,
}

#[derive(Clone, Debug)]
struct Step {
    ends_at: Timestamp,
    /// Tokens computed of each running sequence's prompt, in their order.
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

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineCore {
    params: EngineParams,
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    ordered: Option<WeightsVersion>,
    load_ends_at: Option<Timestamp>,
    obeyed: (Epoch, Revision),
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
    /// An engine that has just started: empty, with a new incarnation.
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
            ordered: None,
            load_ends_at: None,
            obeyed: (Epoch(0), Revision(0)),
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

    /// Its settings.
    pub fn params(&self) -> &EngineParams {
        &self.params
    }

    /// Its settings, to change how long things take.
    pub fn timing_mut(&mut self) -> &mut EngineTiming {
        &mut self.params.timing
    }

    /// Its start.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The weights it holds; 0 while it loads.
    pub fn weights_version(&self) -> WeightsVersion {
        self.weights_version
    }

    /// Its block memory.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Counters.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Requests that wait or run.
    pub fn open(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Prompt tokens that are still to be computed.
    pub fn waiting_tokens(&self) -> u32 {
        let running = self.running.iter().map(|sequence| sequence.to_prefill);
        let waiting = self.waiting.iter().map(|sequence| {
            let cached = self.cached_tokens(&sequence.request);
            sequence.request.prompt_tokens.saturating_sub(cached)
        });
        running.chain(waiting).sum()
    }

    /// Sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Prompt tokens of a request that would be found now.
    pub fn cached_tokens(&self, request: &EngineRequest) -> u32 {
        let blocks = self.cache.leading(&request.chain);
        let cached = blocks as u32 * self.params.block_tokens;
        // At least one token is computed, to have something to continue from.
        cached.min(request.prompt_tokens.saturating_sub(1))
    }

    /// What its cache publishes.
    pub fn cache_report(&self, wanted: ReportWanted) -> CacheReport {
        self.cache.report(wanted)
    }

    /// Requests that began to run since the last call, in order.
    pub fn take_executions(&mut self) -> Vec<Executed> {
        std::mem::take(&mut self.executions)
    }

    /// Promises broken since the last call.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.violations)
    }

    /// Takes a request in, or refuses it.
    pub fn submit(&mut self, request: EngineRequest, now: Timestamp) -> Submission {
        if let Some(refusal) = self.refusal(&request) {
            self.counters.refused += 1;
            return Submission::Refused(refusal);
        }
        if request
            .incarnation
            .is_some_and(|meant| meant != self.incarnation)
        {
            self.violations.push(Violation::OtherIncarnation(request.id));
        }
        self.cancel(request.id);
        let position = self
            .waiting
            .partition_point(|waiting| waiting.request.priority <= request.priority);
        let sequence = Sequence {
            request,
            cached_tokens: 0,
            to_prefill: 0,
            emitted: 0,
        };
        self.waiting.insert(position, sequence);
        self.start_step_when_idle(now);
        Submission::Accepted
    }

    /// Forgets a request that nobody waits for.
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

    /// What is known of a stream; `None` when it is not known here.
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

    /// Takes an order; false when it is older than one obeyed before.
    pub fn order(&mut self, order: &EngineOrder) -> bool {
        let fence = (order.epoch, order.revision);
        if fence < self.obeyed {
            return false;
        }
        self.obeyed = fence;
        let wanted = order.weights_version;
        if self.load_ends_at.is_none() {
            // What was accepted before ends with the weights that it was accepted for.
            self.ordered = (wanted != self.weights_version).then_some(wanted);
        }
        true
    }

    /// True when loading waits to begin: what was running has ended.
    pub fn ready_to_load_weights(&self) -> bool {
        self.ordered.is_some() && self.load_ends_at.is_none() && self.open() == 0
    }

    /// Begins to load, for as long as it will take.
    pub fn begin_load(&mut self, takes: Duration, now: Timestamp) {
        self.weights_version = WeightsVersion(0);
        self.load_ends_at = Some(now.plus(takes));
    }

    /// From now on new work is refused.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The engine's own word, with the lag of its reports.
    pub fn probe(&mut self, now: Timestamp) -> EngineProbe {
        let lag = Duration::from_millis(self.params.timing.report_lag_ms);
        if now.since(self.report_at) >= lag {
            self.report_at = now;
            self.report.waiting_tokens = self.waiting_tokens();
            self.report.running = self.running.len() as u32;
        }
        let weights_version = match self.ordered {
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

    /// When something happens next.
    pub fn next_event_at(&self) -> Option<Timestamp> {
        let step = self.step.as_ref().map(|step| step.ends_at);
        step.into_iter().chain(self.load_ends_at).min()
    }

    /// Lets time pass, and gives the tokens that were produced.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            self.finish_step(&step, &mut outputs);
            self.start_step(step.ends_at);
        }
        if self.load_ends_at.is_some_and(|at| at <= now) {
            self.load_ends_at = None;
            self.weights_version = self.ordered.take().unwrap_or(self.weights_version);
        }
        self.streams.retain(|_, stream| {
            stream
                .finished_at
                .is_none_or(|at| now.since(at) < STREAM_KEPT)
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
        let other_start = request
            .incarnation
            .is_some_and(|meant| meant != self.incarnation);
        if other_start && enforced(Guard::IncarnationFence) {
            return refuse(412, engine_api::REFUSAL_FENCE);
        }
        let other_weights = request
            .weights_version
            .is_some_and(|meant| meant != self.weights_version);
        let loads = self.ordered.is_some();
        if loads || (other_weights && enforced(Guard::WeightsFence)) {
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
            self.begin(sequence);
        }
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.params.timing.prefill_chunk_tokens;
        let mut prefill = Vec::with_capacity(self.running.len());
        let mut decoding = 0;
        for sequence in &self.running {
            let tokens = sequence.to_prefill.min(budget);
            budget -= tokens;
            prefill.push(tokens);
            decoding += usize::from(sequence.to_prefill == 0);
        }
        let computed = self.params.timing.prefill_chunk_tokens - budget;
        let ends_at = now.plus(self.params.timing.step(decoding, computed));
        self.step = Some(Step { ends_at, prefill });
    }

    /// A request leaves the queue: now it runs, with what the cache holds now.
    fn begin(&mut self, mut sequence: Sequence) {
        let request = &sequence.request;
        let cached = self.cached_tokens(request);
        self.check_origins(request, cached);
        let origin = self.origin(request);
        let held = self.cache.leading(&request.chain);
        self.cache.store(&request.chain[..held], origin);
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
        sequence.to_prefill = request.prompt_tokens.saturating_sub(cached).max(1);
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
            // A sequence that joined during the step has no share in it.
            let Some(tokens) = step.prefill.get(position) else {
                continue;
            };
            if sequence.to_prefill > 0 {
                sequence.to_prefill -= tokens;
                if sequence.to_prefill > 0 {
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
