//! Engines of the simulated fleet, and routers' connections to them.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_control::{EngineOrder, EngineProbe, MachineRecord, MachineState, ProbeFailed};
use drumshore_core::{
    EngineName, IdempotencyKey, Incarnation, ModelName, RequestId, Timestamp, WeightsVersion,
};
use drumshore_router::{Assignment, CompletionKind, UpstreamCall, UpstreamEnd, UpstreamHead};
use drumshore_routing::{AnswerReport, PrefixChain};
use rand::Rng;

use super::checks::{Invariant, LEAVING_LIMIT};
use super::cluster::{Event, SimCluster};
use super::network::Node;
use crate::engine::stream::{done_event, token, token_event, EventContext};
use crate::engine::{
    EngineCore, EngineOutput, EngineParams, EngineRequest, EngineTiming, Submission, Violation,
};

/// Tokens per cache block.
pub(super) const BLOCK_TOKENS: u32 = 16;

/// 25 times the default of [`EngineTiming`], so that prefill takes a noticeable time although
/// simulated prompts are short.
pub(super) const PREFILL_US_PER_TOKEN: f64 = 500.0;

/// Name of the model that all engines serve.
pub(super) const MODEL: &str = "m";

/// Name of the pool that all engines belong to.
pub(super) const POOL: &str = "p";

/// Time until a connection attempt to an unreachable engine fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a peer notices that a process has terminated.
const RESET_DELAY: Duration = Duration::from_millis(1);

pub(super) struct EngineHost {
    pub(super) name: EngineName,
    pub(super) core: Option<EngineCore>,
    pub(super) params: EngineParams,
    /// Number of starts.
    pub(super) generation: u64,
    pub(super) frozen_until: Timestamp,
    /// When routers and control machines could first learn that it leaves.
    pub(super) leaving_since: Option<Timestamp>,
    /// It generates other tokens than the other engines for the same prompt.
    pub(super) varies: bool,
    /// The greatest position that the sender of an executed order really had, regardless of the
    /// fence in the order.
    newest_executed_order: (u64, u64),
    /// Calls that receive the tokens of each running request.
    readers: BTreeMap<RequestId, Vec<u64>>,
    /// Digests of the requests' prompts, from which tokens are derived.
    digests: BTreeMap<RequestId, u64>,
}

/// A connection from a router to an engine.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) exchange: u64,
    pub(super) router: usize,
    pub(super) engine: usize,
    /// Start of the engine that received the request; 0 until it has arrived.
    engine_generation: u64,
    head_sent: bool,
    broken: bool,
}

/// Data or an end that arrives at a router over a connection to an engine.
#[derive(Clone, Debug)]
pub(super) enum CallEvent {
    Head(UpstreamHead),
    Bytes(String),
    End(UpstreamEnd),
}

impl EngineHost {
    pub(super) fn new(number: usize, cache_blocks: usize) -> Self {
        let name = EngineName::new(format!("engine-{number}"));
        let params = EngineParams {
            name: name.clone(),
            model: ModelName::new(MODEL),
            weights_version: WeightsVersion(1),
            block_tokens: BLOCK_TOKENS,
            cache_blocks,
            max_running: 16,
            max_waiting: 32,
            timing: EngineTiming {
                prefill_us_per_token: PREFILL_US_PER_TOKEN,
                prefill_chunk_tokens: 64,
                weight_load_seconds: 1.0,
                ..EngineTiming::default()
            },
        };
        Self {
            name,
            core: None,
            params,
            generation: 0,
            frozen_until: Timestamp(0),
            leaving_since: None,
            varies: false,
            newest_executed_order: (0, 0),
            readers: BTreeMap::new(),
            digests: BTreeMap::new(),
        }
    }

    pub(super) fn is_frozen(&self, now: Timestamp) -> bool {
        self.frozen_until > now
    }

    pub(super) fn next_event_at(&self) -> Option<Timestamp> {
        let next = self.core.as_ref()?.next_event_at()?;
        Some(next.max(self.frozen_until))
    }
}

impl SimCluster {
    pub(super) fn start_engine(&mut self, engine: usize) {
        let incarnation = Incarnation(self.random_u64() >> 16);
        let host = &mut self.engines[engine];
        host.generation += 1;
        host.core = Some(EngineCore::new(host.params.clone(), incarnation));
        host.readers.clear();
        host.digests.clear();
        host.newest_executed_order = (0, 0);
        let record = MachineRecord {
            name: host.name.clone(),
            address: format!("{engine}"),
            zone: format!("zone-{}", Node::Engine(engine).zone(self.plan.zones))
                .as_str()
                .into(),
            pool: POOL.into(),
            state: MachineState::Live,
        };
        if host.leaving_since.is_none() {
            self.platform.put(record, Duration::from_micros(self.now.0));
        }
        self.note(format!("engine {engine} starts with an empty cache"));
    }

    pub(super) fn crash_engine(&mut self, engine: usize) {
        if self.engines[engine].core.take().is_none() {
            return;
        }
        self.note(format!("engine {engine} terminates"));
        let ended: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.engine == engine)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.send_call_event(id, CallEvent::End(UpstreamEnd::Ended), RESET_DELAY);
        }
    }

    pub(super) fn engine_named(&self, name: &EngineName) -> Option<usize> {
        self.engines.iter().position(|host| host.name == *name)
    }

    pub(super) fn probe_engine(&mut self, engine: usize) -> Result<EngineProbe, ProbeFailed> {
        let now = self.now;
        let core = self.engines[engine].core.as_mut().ok_or(ProbeFailed)?;
        Ok(core.probe(now))
    }

    /// Opens a connection to the assigned engine and sends the request.
    pub(super) fn open_call(&mut self, exchange: u64, router: usize, call: UpstreamCall) {
        let assignment = match &call {
            UpstreamCall::Start(assignment) | UpstreamCall::Resume { assignment, .. } => assignment,
        };
        let Some(engine) = self.engine_named(&assignment.engine) else {
            return;
        };
        self.next_call += 1;
        let id = self.next_call;
        self.calls.insert(
            id,
            Call {
                exchange,
                router,
                engine,
                engine_generation: 0,
                head_sent: false,
                broken: false,
            },
        );
        let nodes = (Node::Router(router), Node::Engine(engine));
        if self.network.is_cut_either_way(nodes.0, nodes.1, self.now) {
            let end = CallEvent::End(UpstreamEnd::NotConnected);
            return self.schedule_call_event(id, end, self.now.plus(CONNECT_TIMEOUT));
        }
        let mut delay = self.network.delay(nodes.0, nodes.1, &mut self.random) * 3;
        let late = self.late_requests.until > self.now;
        if late && self.random.random::<f64>() < 0.3 {
            // The connection attempt itself is delayed, so the request may reach the next start of
            // the engine.
            delay += self.late_requests.by;
        } else if self.engines[engine].core.is_none() {
            let end = CallEvent::End(UpstreamEnd::NotConnected);
            return self.schedule_call_event(id, end, self.now.plus(delay));
        }
        let at = self.now.plus(delay);
        self.events.schedule(at, Event::EngineReceives { id, call });
    }

    /// Handles a request that reaches its engine. A frozen engine receives it when it resumes.
    pub(super) fn engine_receives(&mut self, id: u64, call: UpstreamCall) {
        let Some(known) = self.calls.get(&id) else {
            return;
        };
        let (engine, router) = (known.engine, known.router);
        let host = &self.engines[engine];
        if host.is_frozen(self.now) {
            let at = host.frozen_until;
            return self.events.schedule(at, Event::EngineReceives { id, call });
        }
        let generation = host.generation;
        if host.core.is_none() {
            let end = CallEvent::End(UpstreamEnd::NotConnected);
            return self.send_call_event(id, end, RESET_DELAY);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.engine_generation = generation;
        }
        match call {
            UpstreamCall::Start(assignment) => self.engine_starts(id, engine, router, &assignment),
            UpstreamCall::Resume {
                assignment,
                last_event,
            } => self.engine_resumes(id, engine, &assignment, last_event),
        }
    }

    fn engine_starts(&mut self, id: u64, engine: usize, router: usize, assignment: &Assignment) {
        let Some(request) = self.engine_request(id, assignment) else {
            return;
        };
        let digest = self.digest_of_call(id);
        let now = self.now;
        let host = &mut self.engines[engine];
        let Some(core) = host.core.as_mut() else {
            return;
        };
        match core.submit(request, now) {
            Submission::Accepted => {
                host.readers.insert(assignment.request, vec![id]);
                host.digests.insert(assignment.request, digest);
                self.check_leaving(engine, router, assignment);
            }
            Submission::Refused(refusal) => {
                let head = UpstreamHead {
                    status: refusal.status,
                    execution: Some(refusal.execution),
                    refusal: Some(refusal.reason.to_owned()),
                    ..UpstreamHead::default()
                };
                self.send_call_event(id, CallEvent::Head(head), Duration::ZERO);
            }
        }
        self.update_engine(engine);
    }

    fn engine_request(&self, id: u64, assignment: &Assignment) -> Option<EngineRequest> {
        let exchange = self.exchanges.get(&self.calls.get(&id)?.exchange)?;
        let caller_request = self.caller_requests.get(&exchange.caller_request)?;
        let prompt = caller_request.prompt.as_prompt();
        let chain = PrefixChain::new(assignment.cache_salt, prompt, BLOCK_TOKENS);
        Some(EngineRequest {
            id: assignment.request,
            incarnation: Some(assignment.incarnation),
            weights_version: Some(assignment.weights_version),
            priority: assignment.priority,
            prompt_tokens: chain.prompt_tokens(),
            chain: chain.hashes().to_vec(),
            max_tokens: caller_request.workload_request.output_tokens,
            tenant: caller_request.workload_request.tenant as u64 + 1,
            once: caller_request.idempotency_key.clone(),
        })
    }

    /// Checks a request that an engine accepted while it leaves. This is a violation if the router
    /// was healthy for long enough to learn of it and requests are not being delayed.
    fn check_leaving(&mut self, engine: usize, router: usize, assignment: &Assignment) {
        let limit = LEAVING_LIMIT;
        let Some(since) = self.engines[engine].leaving_since else {
            return;
        };
        let healthy = self.now.since(self.routers[router].degraded_at) > limit * 2;
        let late = self.late_requests.until.plus(self.late_requests.by) > self.now;
        if self.now > since.plus(limit) && healthy && !late {
            let detail = format!(
                "engine {engine} has been leaving since {:.1} s and accepted request {}",
                since.0 as f64 / 1e6,
                assignment.request
            );
            self.fail(Invariant::LeavingIdle, detail);
        }
    }

    fn engine_resumes(
        &mut self,
        id: u64,
        engine: usize,
        assignment: &Assignment,
        last_event: Option<u64>,
    ) {
        let host = &mut self.engines[engine];
        let Some(core) = &host.core else {
            return;
        };
        let known = core
            .stream(assignment.request)
            .filter(|_| core.incarnation() == assignment.incarnation);
        let Some(summary) = known else {
            let head = UpstreamHead {
                status: 404,
                ..UpstreamHead::default()
            };
            return self.send_call_event(id, CallEvent::Head(head), Duration::ZERO);
        };
        host.readers.entry(assignment.request).or_default().push(id);
        let from = last_event.map_or(0, |event| event as u32 + 1);
        for index in from..summary.emitted {
            let output = EngineOutput {
                id: assignment.request,
                at: self.now,
                index,
                last: index + 1 == summary.max_tokens,
                cached_tokens: summary.cached_tokens,
                load: None,
                weights_version: summary.weights_version,
            };
            self.send_output(engine, id, &output);
        }
        if from >= summary.max_tokens {
            let report = AnswerReport {
                cached_tokens: Some(summary.cached_tokens),
                load: None,
            };
            self.send_head(id, report);
            self.send_call_event(id, CallEvent::Bytes(done_event()), Duration::ZERO);
        }
    }

    pub(super) fn deliver_order(
        &mut self,
        engine: usize,
        order: &EngineOrder,
        sender_position: (u64, u64),
    ) {
        let host = &mut self.engines[engine];
        let Some(core) = host.core.as_mut() else {
            return;
        };
        if !core.order(order) {
            return;
        }
        let before = host.newest_executed_order;
        host.newest_executed_order = before.max(sender_position);
        let version = order.weights_version;
        self.note(format!(
            "engine {engine} executes an order to load weights version {version}"
        ));
        if sender_position < before {
            let detail = format!(
                "engine {engine} executed {sender_position:?} after {before:?} (term, revision)"
            );
            self.fail(Invariant::OrderFenced, detail);
        }
        self.update_engine(engine);
    }

    /// Advances every engine that has an event due.
    pub(super) fn advance_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let due = self.engines[engine]
                .next_event_at()
                .is_some_and(|at| at <= self.now);
            if due {
                self.advance_engine(engine);
            }
        }
    }

    fn advance_engine(&mut self, engine: usize) {
        let now = self.now;
        let host = &mut self.engines[engine];
        let Some(core) = host.core.as_mut() else {
            return;
        };
        for output in core.advance(now) {
            let readers = self.engines[engine].readers.get(&output.id).cloned();
            for reader in readers.unwrap_or_default() {
                self.send_output(engine, reader, &output);
            }
            if output.last {
                self.engines[engine].readers.remove(&output.id);
            }
        }
        self.update_engine(engine);
    }

    /// Passes an engine's executions and violations to the checkers, and starts loading weights if
    /// the engine is ready to.
    fn update_engine(&mut self, engine: usize) {
        let now = self.now;
        let Some(core) = self.engines[engine].core.as_mut() else {
            return;
        };
        let executions = core.take_executions();
        let violations = core.take_violations();
        if core.ready_to_load_weights() {
            let loading = self.platform.begin_load(Duration::from_micros(now.0));
            let takes = core.params().timing.weight_load(loading);
            core.begin_load(takes, now);
        }
        for executed in executions {
            self.trace.mark(now, "executed", executed.id.sequence);
            self.checks
                .on_execution(executed.id, executed.once.as_ref(), now);
        }
        for violation in violations {
            let detail = match violation {
                Violation::OtherTenant(id) => format!("{id} used another tenant's block"),
                Violation::OtherWeights(id) => {
                    format!("{id} used a block computed with other weights")
                }
                Violation::OtherIncarnation(id) => {
                    format!("{id} was meant for another start of the engine")
                }
            };
            self.fail(Invariant::CacheTrust, detail);
        }
    }

    fn send_output(&mut self, engine: usize, id: u64, output: &EngineOutput) {
        let report = AnswerReport {
            cached_tokens: Some(output.cached_tokens),
            load: output.load,
        };
        self.send_head(id, report);
        let host = &self.engines[engine];
        let digest = host.digests.get(&output.id).copied().unwrap_or(0);
        let text = token(digest, apparent_version(host, output), output.index);
        let request = output.id.to_string();
        let context = EventContext {
            kind: CompletionKind::Text,
            request: &request,
            prompt_tokens: 0,
            cached_tokens: output.cached_tokens,
        };
        let mut event = token_event(&context, output.index, &text, output.last);
        if output.last {
            event += &done_event();
        }
        let disordered = self.disordered.until > self.now;
        let sample: f64 = self.random.random();
        if disordered && sample < self.disordered.chance && !output.last {
            return;
        }
        self.send_call_event(id, CallEvent::Bytes(event.clone()), Duration::ZERO);
        if disordered && sample > 1.0 - self.disordered.chance {
            self.send_call_event(id, CallEvent::Bytes(event), Duration::ZERO);
        }
        let flaky = self.flaky.until > self.now;
        if flaky && self.random.random::<f64>() < self.flaky.chance {
            self.send_call_event(id, CallEvent::End(UpstreamEnd::Ended), Duration::ZERO);
            if let Some(call) = self.calls.get_mut(&id) {
                call.broken = true;
            }
        }
    }

    fn send_head(&mut self, id: u64, report: AnswerReport) {
        let first = self
            .calls
            .get_mut(&id)
            .is_some_and(|call| !std::mem::replace(&mut call.head_sent, true));
        if first {
            let head = UpstreamHead {
                status: 200,
                report,
                ..UpstreamHead::default()
            };
            self.send_call_event(id, CallEvent::Head(head), Duration::ZERO);
        }
    }

    /// Sends data over a connection, ordered after what was sent before. A cut breaks the
    /// connection permanently.
    fn send_call_event(&mut self, id: u64, call_event: CallEvent, extra: Duration) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let nodes = (Node::Engine(call.engine), Node::Router(call.router));
        if self.network.is_cut(nodes.0, nodes.1, self.now) {
            call.broken = true;
        }
        if call.broken {
            return;
        }
        let delay = self.network.delay(nodes.0, nodes.1, &mut self.random) + extra;
        let channel = (nodes.0, nodes.1, id);
        let at = self.network.ordered_arrival(channel, self.now.plus(delay));
        self.schedule_call_event(id, call_event, at);
    }

    fn schedule_call_event(&mut self, id: u64, call_event: CallEvent, at: Timestamp) {
        self.events
            .schedule(at, Event::RouterReceives { id, call_event });
    }

    fn digest_of_call(&self, id: u64) -> u64 {
        let caller_request = self
            .calls
            .get(&id)
            .and_then(|call| self.exchanges.get(&call.exchange))
            .and_then(|exchange| self.caller_requests.get(&exchange.caller_request));
        caller_request.map_or(0, |caller_request| caller_request.digest)
    }

    /// Cancels a request at the engine that it is assigned to.
    pub(super) fn cancel_at_engine(&mut self, assignment: &Assignment) {
        if let Some(engine) = self.engine_named(&assignment.engine) {
            if let Some(core) = self.engines[engine].core.as_mut() {
                core.cancel(assignment.request);
            }
        }
    }
}

/// The weights version from which tokens are derived. For an engine that varies this is one that no
/// engine loads, so its tokens differ from those of the other engines.
fn apparent_version(host: &EngineHost, output: &EngineOutput) -> WeightsVersion {
    const VARIATION: u64 = 2;
    let version = output.weights_version.0;
    WeightsVersion(if host.varies {
        version + VARIATION
    } else {
        version
    })
}

/// The idempotency key of the caller request with this number.
pub(super) fn idempotency_key_of(number: u64) -> IdempotencyKey {
    IdempotencyKey::new(format!("once-{number}"))
}
