//! Callers of the simulated fleet: they send requests, check the answers and retry failures.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use drumshore_core::{
    ErrorCode, Execution, IdempotencyKey, ModelName, RequestError, RequestId, SecretKey, Timestamp,
    WeightsVersion,
};
use drumshore_router::{
    AdmitOutcome, AdmitRequest, AttemptFailure, Conclusion, Exchange, ExchangeParams, Next,
    PromptInput, Purpose, UpstreamEnd,
};
use rand::Rng;
use stakker::{call, Ret};

use super::checks::Invariant;
use super::cluster::{Event, Output, SimCluster};
use super::engines::{idempotency_key_of, CallEvent, BLOCK_TOKENS, MODEL};
use crate::engine::http::prompt_digest;
use crate::engine::stream::token;
use crate::workload::WorkloadRequest;

/// Time without data from an engine after which an attempt fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest time before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Fraction of requests with the prompt blocks of the previous request, whose tenant may differ.
const SHARED_PROMPTS: f64 = 0.15;

/// Time within which a restarted router has to place its first request.
const FIRST_PLACEMENT_LIMIT: Duration = Duration::from_secs(2);

/// Answers may come from weights versions 1 to this one.
const KNOWN_VERSIONS: u64 = 4;

/// A request of a caller, retried until it is answered.
pub(super) struct CallerRequest {
    pub(super) workload_request: WorkloadRequest,
    pub(super) prompt: Arc<PromptInput>,
    pub(super) digest: u64,
    pub(super) idempotency_key: Option<IdempotencyKey>,
    pub(super) created_at: Timestamp,
    streams: bool,
    deterministic: bool,
    /// The only router it may be sent to; any router if `None`.
    router: Option<usize>,
    tries: u32,
    done: bool,
    answered: bool,
}

/// An attempt of a caller request at one router.
pub(super) struct SimExchange {
    pub(super) caller_request: u64,
    router: usize,
    exchange: Exchange,
    id: Option<RequestId>,
    call: Option<u64>,
    tokens: Vec<String>,
    /// Number of events received, to detect a stalled engine.
    progress: u64,
}

/// Counts of requests and outcomes, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallerTotals {
    pub(super) asked: u64,
    pub(super) answered: u64,
    pub(super) refused: u64,
    pub(super) tries: u64,
}

impl SimCluster {
    /// Adds a caller request, and schedules the next arrival.
    pub(super) fn next_arrival(&mut self) {
        let factor = if self.surge.until > self.now {
            self.surge.chance
        } else {
            1.0
        };
        let rate = self.plan.requests_per_second * factor;
        let gap = self.generator.next_gap(rate);
        let at = self.now.plus(Duration::from_secs_f64(gap));
        self.events.schedule(at, Event::NextArrival);
        self.add_caller_request(None);
    }

    /// Creates a request and sends it to a random router; with `at`, a pair of router and tenant,
    /// to that router on behalf of that tenant.
    pub(super) fn add_caller_request(&mut self, at: Option<(usize, usize)>) {
        let seconds = self.now.0 as f64 / 1e6 + self.hot_offset;
        let mut request = self.generator.next_request(seconds);
        self.next_caller_request += 1;
        let number = self.next_caller_request;
        if self.random.random::<f64>() < SHARED_PROMPTS {
            if let Some(blocks) = &self.last_blocks {
                request.blocks.clone_from(blocks);
            }
        }
        self.last_blocks = Some(request.blocks.clone());
        let prompt = Arc::new(PromptInput::Tokens(request.tokens(BLOCK_TOKENS)));
        if let Some((_, tenant)) = at {
            request.tenant = tenant;
        }
        let idempotency_key = (request.once && at.is_none()).then(|| idempotency_key_of(number));
        let caller_request = CallerRequest {
            digest: prompt_digest(&prompt),
            prompt,
            idempotency_key,
            created_at: self.now,
            streams: self.random.random::<f64>() < 0.7,
            deterministic: self.random.random::<f64>() < 0.6,
            router: at.map(|(router, _)| router),
            tries: 0,
            done: false,
            answered: false,
            workload_request: request,
        };
        self.caller_requests.insert(number, caller_request);
        self.totals.asked += 1;
        self.send_caller_request(number);
    }

    /// Sends a request to a router, for the first time or as a retry.
    pub(super) fn send_caller_request(&mut self, number: u64) {
        const MAX_TRIES: u32 = 80;
        let any_router = self.random.random_range(0..self.routers.len());
        let Some(caller_request) = self.caller_requests.get_mut(&number) else {
            return;
        };
        if caller_request.done || caller_request.tries >= MAX_TRIES {
            return;
        }
        caller_request.tries += 1;
        self.totals.tries += 1;
        let router = caller_request.router.unwrap_or(any_router);
        if self.routers[router].actor.is_none() {
            return self.schedule_retry(number, RETRY_DELAY);
        }
        let params = ExchangeParams {
            streams: caller_request.streams,
            outlives_caller: caller_request.idempotency_key.is_some(),
        };
        let admit = AdmitRequest {
            key_hash: Some(
                SecretKey::new(tenant_key(caller_request.workload_request.tenant)).hash(),
            ),
            purpose: Purpose::Complete,
            model: ModelName::new(MODEL),
            adapter: None,
            prompt: Arc::clone(&caller_request.prompt),
            priority: Some(caller_request.workload_request.priority),
            priority_class: None,
            deterministic: caller_request.deterministic,
            idempotency_key: caller_request.idempotency_key.clone(),
            fingerprint: caller_request.digest,
        };
        self.next_exchange += 1;
        let key = self.next_exchange;
        let exchange = SimExchange {
            caller_request: number,
            router,
            exchange: Exchange::new(params),
            id: None,
            call: None,
            tokens: Vec::new(),
            progress: 0,
        };
        self.exchanges.insert(key, exchange);
        let ret = self.admitted(key);
        if let Some(actor) = &self.routers[router].actor {
            call!([actor], admit(admit, ret));
        }
    }

    fn schedule_retry(&mut self, number: u64, delay: Duration) {
        let at = self.now.plus(delay);
        self.events.schedule(at, Event::SendCallerRequest(number));
    }

    fn admitted(&self, exchange: u64) -> Ret<(RequestId, AdmitOutcome)> {
        let outbox = Rc::clone(&self.outbox);
        Ret::new(move |admitted| {
            if let Some((id, outcome)) = admitted {
                outbox.borrow_mut().push(Output::Admitted {
                    exchange,
                    id,
                    outcome,
                });
            }
        })
    }

    /// Handles a router's decision on an admission or on a failed attempt.
    pub(super) fn on_admitted(&mut self, key: u64, id: RequestId, outcome: AdmitOutcome) {
        if let AdmitOutcome::Assigned(assignment) = &outcome {
            self.trace
                .mark(self.now, assignment.engine.as_str(), id.sequence);
        }
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        exchange.id = Some(id);
        if matches!(outcome, AdmitOutcome::Assigned(_)) {
            let router = exchange.router;
            self.routers[router].restarted_at = None;
        }
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let next = exchange.exchange.on_outcome(outcome);
        self.drive(key, next);
    }

    /// Handles data or an end that arrives from an engine.
    pub(super) fn on_call_event(&mut self, id: u64, call_event: CallEvent) {
        let Some(key) = self.calls.get(&id).map(|call| call.exchange) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            self.calls.remove(&id);
            return;
        };
        if exchange.call != Some(id) {
            return;
        }
        exchange.progress += 1;
        let tokens = &mut exchange.tokens;
        let next = match call_event {
            CallEvent::Head(head) => exchange.exchange.on_head(&head),
            CallEvent::Bytes(bytes) => exchange.exchange.on_bytes(bytes.as_bytes(), &mut |event| {
                tokens.extend(text_of(event.data));
            }),
            CallEvent::End(end) => exchange.exchange.on_end(end),
        };
        if let Some(first) = exchange.exchange.take_first_token() {
            let request = exchange.id.unwrap_or_default();
            if let Some(actor) = &self.routers[exchange.router].actor {
                call!([actor], first_token(request, first));
            }
        }
        self.drive(key, next);
    }

    /// Fails the attempt if nothing has arrived from its engine since the timeout was set.
    pub(super) fn on_stall(&mut self, key: u64, call: u64, progress: u64) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if exchange.call != Some(call) {
            return;
        }
        if exchange.progress != progress {
            let progress = exchange.progress;
            return self.watch_stall(key, call, progress);
        }
        let next = exchange.exchange.on_end(UpstreamEnd::Stalled);
        self.drive(key, next);
    }

    fn watch_stall(&mut self, key: u64, call: u64, progress: u64) {
        let event = Event::Stall {
            exchange: key,
            call,
            progress,
        };
        self.events.schedule(self.now.plus(STALL_TIMEOUT), event);
    }

    fn drive(&mut self, key: u64, next: Next) {
        match next {
            Next::Read => {}
            Next::Call(call) => {
                let Some(exchange) = self.exchanges.get_mut(&key) else {
                    return;
                };
                if let Some(old) = exchange.call.take() {
                    self.calls.remove(&old);
                }
                let (router, progress) = (exchange.router, exchange.progress);
                self.open_call(key, router, call);
                let call = self.next_call;
                if let Some(exchange) = self.exchanges.get_mut(&key) {
                    exchange.call = Some(call);
                }
                self.watch_stall(key, call, progress);
            }
            Next::Report(failure) => self.report_failure(key, failure),
            Next::Finish(conclusion) => self.conclude(key, conclusion),
        }
    }

    fn report_failure(&mut self, key: u64, failure: AttemptFailure) {
        let ret = self.admitted(key);
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if let Some(old) = exchange.call.take() {
            self.calls.remove(&old);
        }
        let id = exchange.id.unwrap_or_default();
        if let Some(actor) = &self.routers[exchange.router].actor {
            call!([actor], attempt_failed(id, failure, ret));
        }
    }

    fn conclude(&mut self, key: u64, conclusion: Conclusion) {
        let Some(exchange) = self.exchanges.remove(&key) else {
            return;
        };
        if let Some(call) = exchange.call {
            self.calls.remove(&call);
        }
        let id = exchange.id.unwrap_or_default();
        let answer = exchange.exchange.answer().clone();
        if let Some(actor) = &self.routers[exchange.router].actor {
            call!([actor], finished(id, conclusion.clone(), answer.clone()));
        }
        match conclusion {
            Conclusion::Answered => {
                self.check_answer(&exchange, &answer.text, Invariant::StreamOrder);
                self.finish_caller_request(exchange.caller_request);
            }
            Conclusion::Recorded(recorded) => {
                self.check_recorded(&exchange, &recorded.text);
                self.finish_caller_request(exchange.caller_request);
            }
            Conclusion::Failed(verdict) => self.on_failed(&exchange, id, &verdict),
            Conclusion::CallerGone => {
                if let Some(assignment) = exchange.exchange.assignment() {
                    self.cancel_at_engine(assignment);
                }
            }
        }
    }

    fn finish_caller_request(&mut self, number: u64) {
        if let Some(caller_request) = self.caller_requests.get_mut(&number) {
            caller_request.done = true;
            caller_request.answered = true;
            self.totals.answered += 1;
        }
    }

    fn on_failed(&mut self, exchange: &SimExchange, id: RequestId, verdict: &RequestError) {
        self.trace
            .mark(self.now, verdict.code.as_str(), id.sequence);
        if verdict.execution == Execution::NotRun {
            self.totals.refused += 1;
            self.checks.on_not_run(id, self.now);
        }
        // The part of the answer that was passed on before the failure has to be correct.
        if !exchange.tokens.is_empty() {
            self.check_partial_stream(exchange);
        }
        let Some(caller_request) = self.caller_requests.get_mut(&exchange.caller_request) else {
            return;
        };
        if verdict.code == ErrorCode::NotRepeated {
            caller_request.done = true;
            return;
        }
        let delay = verdict.retry_after.unwrap_or(RETRY_DELAY).max(RETRY_DELAY);
        self.schedule_retry(exchange.caller_request, delay);
    }

    /// Drops the exchanges of a router whose process has terminated; their callers retry.
    pub(super) fn drop_exchanges_of(&mut self, router: usize) {
        let lost: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.router == router)
            .map(|(key, _)| *key)
            .collect();
        let mut calls = BTreeSet::new();
        for key in lost {
            if let Some(exchange) = self.exchanges.remove(&key) {
                calls.extend(exchange.call);
                self.check_partial_stream(&exchange);
                self.schedule_retry(exchange.caller_request, RETRY_DELAY * 2);
            }
        }
        for call in &calls {
            self.calls.remove(call);
        }
        self.network.remove_channels(&calls);
    }

    pub(super) fn open_exchanges_of(&self, router: usize) -> usize {
        let of_router = |exchange: &&SimExchange| exchange.router == router;
        self.exchanges.values().filter(of_router).count()
    }

    fn check_answer(&mut self, exchange: &SimExchange, text: &str, invariant: Invariant) {
        let Some(caller_request) = self.caller_requests.get(&exchange.caller_request) else {
            return;
        };
        let expected = caller_request.workload_request.output_tokens;
        let correct = (1..=KNOWN_VERSIONS).map(WeightsVersion).any(|version| {
            let full_text: String = (0..expected)
                .map(|index| token(caller_request.digest, version, index))
                .collect();
            if caller_request.streams {
                exchange.tokens.concat() == full_text
            } else {
                text == full_text
            }
        });
        if !correct {
            let detail = format!(
                "caller request {} got {} of {expected} tokens, or tokens of another answer",
                exchange.caller_request,
                exchange.tokens.len()
            );
            self.fail(invariant, detail);
        }
    }

    fn check_recorded(&mut self, exchange: &SimExchange, text: &str) {
        let Some(caller_request) = self.caller_requests.get(&exchange.caller_request) else {
            return;
        };
        let expected = caller_request.workload_request.output_tokens;
        let correct = (1..=KNOWN_VERSIONS).map(WeightsVersion).any(|version| {
            let full_text: String = (0..expected)
                .map(|index| token(caller_request.digest, version, index))
                .collect();
            text == full_text
        });
        if !correct {
            let detail = format!(
                "caller request {} got a recorded answer that is not its own",
                exchange.caller_request
            );
            self.fail(Invariant::OwnAnswer, detail);
        }
    }

    fn check_partial_stream(&mut self, exchange: &SimExchange) {
        let Some(caller_request) = self.caller_requests.get(&exchange.caller_request) else {
            return;
        };
        // Without streaming a caller receives nothing before the end.
        if !caller_request.streams {
            return;
        }
        let numbered = || exchange.tokens.iter().zip(0_u32..);
        let correct = (1..=KNOWN_VERSIONS).map(WeightsVersion).any(|version| {
            numbered().all(|(text, at)| *text == token(caller_request.digest, version, at))
        });
        if !correct {
            let detail = format!(
                "caller request {} got tokens that are not its own",
                exchange.caller_request
            );
            self.fail(Invariant::StreamOrder, detail);
        }
    }

    /// Sends a request to a restarted router at once, on behalf of a tenant in its stored
    /// configuration, and schedules a check that it was placed.
    pub(super) fn probe_restarted_router(&mut self, router: usize) {
        let Some(tenant) = self.tenant_known_to(router) else {
            self.routers[router].restarted_at = None;
            return;
        };
        self.add_caller_request(Some((router, tenant)));
        let generation = self.routers[router].generation;
        let at = self.now.plus(FIRST_PLACEMENT_LIMIT);
        let event = Event::CheckRestarted { router, generation };
        self.events.schedule(at, event);
    }

    fn tenant_known_to(&mut self, router: usize) -> Option<usize> {
        let actor = self.routers[router].actor.as_ref()?;
        let known = actor.query(&mut self.stakker, |actor, _| {
            let tenants = actor.core().config().tenants();
            tenants.collect::<Vec<_>>()
        })?;
        let name = known.first()?;
        name.as_str().strip_prefix("tenant-")?.parse().ok()
    }

    pub(super) fn check_restarted(&mut self, router: usize, generation: u64) {
        let host = &self.routers[router];
        let overloaded = self.surge.until > self.now;
        if host.generation != generation || host.actor.is_none() || overloaded {
            return;
        }
        if host.restarted_at.is_some() {
            let detail =
                format!("router {router} placed no request within {FIRST_PLACEMENT_LIMIT:?}");
            self.fail(Invariant::ServesAfterRestart, detail);
        }
    }

    /// Checks at the end that all requests of the steady period were answered, except those of the
    /// last 4 seconds.
    pub(super) fn check_steady_period(&mut self) {
        const TO_ANSWER: Duration = Duration::from_secs(4);
        let from = self.plan.healed_at.plus(super::plan::RECOVERY);
        let to = Timestamp(self.plan.ends_at.0 - TO_ANSWER.as_micros() as u64);
        let unanswered: Vec<u64> = self
            .caller_requests
            .iter()
            .filter(|(_, caller_request)| {
                caller_request.created_at >= from
                    && caller_request.created_at < to
                    && !caller_request.answered
            })
            .map(|(number, _)| *number)
            .collect();
        if !unanswered.is_empty() {
            let count = unanswered.len();
            let detail = format!(
                "{count} caller requests of the steady period were not answered, the first is {}",
                unanswered[0]
            );
            self.fail(Invariant::Recovery, detail);
        }
        let answered = self
            .caller_requests
            .values()
            .any(|caller_request| caller_request.created_at >= from && caller_request.answered);
        if !answered {
            self.fail(
                Invariant::Recovery,
                "no caller request of the steady period was answered",
            );
        }
    }
}

/// The API key of a tenant.
pub(super) fn tenant_key(tenant: usize) -> String {
    format!("key-{tenant}")
}

/// Text of a token event; `None` for the event that ends a stream.
fn text_of(data: &str) -> Option<String> {
    let document: serde_json::Value = serde_json::from_str(data).ok()?;
    let text = document.get("choices")?.get(0)?.get("text")?.as_str()?;
    Some(text.to_owned())
}
