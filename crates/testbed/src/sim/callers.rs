//! Callers of the simulated fleet: they ask, check what they get, and ask again.

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

use super::checks::Promise;
use super::engines::{once_key, CallNews, BLOCK_TOKENS, MODEL};
use super::world::{Event, Output, World};
use crate::engine::http::prompt_digest;
use crate::engine::stream::token;
use crate::workload::WorkloadRequest;

/// How long an engine may be silent.
const STALL: Duration = Duration::from_secs(5);

/// Pauses before a caller asks again.
const PAUSE: Duration = Duration::from_millis(400);

/// Share of prompts that another tenant has asked before.
const SHARED_PROMPTS: f64 = 0.15;

/// A restarted router has to place its first request within this time.
const SERVES_WITHIN: Duration = Duration::from_secs(2);

/// Weights that answers may come from.
const KNOWN_VERSIONS: u64 = 4;

/// What a caller wants.
pub(super) struct Ask {
    pub(super) request: WorkloadRequest,
    pub(super) prompt: Arc<PromptInput>,
    pub(super) digest: u64,
    pub(super) once: Option<IdempotencyKey>,
    pub(super) asked_at: Timestamp,
    streams: bool,
    deterministic: bool,
    router: Option<usize>,
    tries: u32,
    done: bool,
    answered: bool,
}

/// A try at it, beside a router.
pub(super) struct SimExchange {
    pub(super) ask: u64,
    router: usize,
    exchange: Exchange,
    id: Option<RequestId>,
    call: Option<u64>,
    tokens: Vec<String>,
    progress: u64,
}

/// What callers got, for the report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallerTotals {
    pub(super) asked: u64,
    pub(super) answered: u64,
    pub(super) refused: u64,
    pub(super) tries: u64,
}

impl World {
    /// The next caller asks; another one follows.
    pub(super) fn next_ask(&mut self) {
        let factor = if self.surge.until > self.now {
            self.surge.chance
        } else {
            1.0
        };
        let rate = self.plan.requests_per_second * factor;
        let gap = self.generator.next_gap(rate);
        let at = self.now.plus(Duration::from_secs_f64(gap));
        self.events.schedule(at, Event::NextAsk);
        self.new_ask(None);
    }

    /// Somebody asks, at any router, or a certain tenant at a certain router.
    pub(super) fn new_ask(&mut self, at: Option<(usize, usize)>) {
        let seconds = self.now.0 as f64 / 1e6 + self.hot_offset;
        let mut request = self.generator.next_request(seconds);
        self.next_ask_number += 1;
        let number = self.next_ask_number;
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
        let once = (request.once && at.is_none()).then(|| once_key(number));
        let ask = Ask {
            digest: prompt_digest(&prompt),
            prompt,
            once,
            asked_at: self.now,
            streams: self.random.random::<f64>() < 0.7,
            deterministic: self.random.random::<f64>() < 0.6,
            router: at.map(|(router, _)| router),
            tries: 0,
            done: false,
            answered: false,
            request,
        };
        self.asks.insert(number, ask);
        self.totals.asked += 1;
        self.try_ask(number);
    }

    /// Asks, for the first time or again.
    pub(super) fn try_ask(&mut self, number: u64) {
        const MAX_TRIES: u32 = 80;
        let any_router = self.random.random_range(0..self.routers.len());
        let Some(ask) = self.asks.get_mut(&number) else {
            return;
        };
        if ask.done || ask.tries >= MAX_TRIES {
            return;
        }
        ask.tries += 1;
        self.totals.tries += 1;
        let router = ask.router.unwrap_or(any_router);
        if self.routers[router].actor.is_none() {
            return self.try_again(number, PAUSE);
        }
        let params = ExchangeParams {
            streams: ask.streams,
            outlives_caller: ask.once.is_some(),
        };
        let admit = AdmitRequest {
            key_hash: Some(SecretKey::new(tenant_key(ask.request.tenant)).hash()),
            purpose: Purpose::Complete,
            model: ModelName::new(MODEL),
            adapter: None,
            prompt: Arc::clone(&ask.prompt),
            priority: Some(ask.request.priority),
            priority_class: None,
            deterministic: ask.deterministic,
            idempotency_key: ask.once.clone(),
            fingerprint: ask.digest,
        };
        self.next_exchange += 1;
        let key = self.next_exchange;
        let exchange = SimExchange {
            ask: number,
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

    fn try_again(&mut self, number: u64, pause: Duration) {
        let at = self.now.plus(pause);
        self.events.schedule(at, Event::TryAsk(number));
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

    /// The router decided.
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

    /// Something arrived over a connection.
    pub(super) fn on_call_news(&mut self, id: u64, news: CallNews) {
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
        let next = match news {
            CallNews::Head(head) => exchange.exchange.on_head(&head),
            CallNews::Bytes(bytes) => exchange.exchange.on_bytes(bytes.as_bytes(), &mut |event| {
                tokens.extend(text_of(event.data));
            }),
            CallNews::End(end) => exchange.exchange.on_end(end),
        };
        if let Some(first) = exchange.exchange.take_first_token() {
            let request = exchange.id.unwrap_or_default();
            if let Some(actor) = &self.routers[exchange.router].actor {
                call!([actor], first_token(request, first));
            }
        }
        self.drive(key, next);
    }

    /// An engine has been silent for as long as it may.
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
        self.events.schedule(self.now.plus(STALL), event);
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
                self.check_answer(&exchange, &answer.text, Promise::StreamOrder);
                self.finish_ask(exchange.ask);
            }
            Conclusion::Recorded(recorded) => {
                self.check_recorded(&exchange, &recorded.text);
                self.finish_ask(exchange.ask);
            }
            Conclusion::Failed(error) => self.on_failed(&exchange, id, &error),
            Conclusion::CallerGone => {
                if let Some(assignment) = exchange.exchange.assignment() {
                    self.cancel_at_engine(assignment);
                }
            }
        }
    }

    fn finish_ask(&mut self, number: u64) {
        if let Some(ask) = self.asks.get_mut(&number) {
            ask.done = true;
            ask.answered = true;
            self.totals.answered += 1;
        }
    }

    fn on_failed(&mut self, exchange: &SimExchange, id: RequestId, error: &RequestError) {
        self.trace.mark(self.now, error.code.as_str(), id.sequence);
        if error.execution == Execution::NotRun {
            self.totals.refused += 1;
            self.checks.on_not_run(id, self.now);
        }
        // What was passed on before a failure has to be a true beginning.
        if !exchange.tokens.is_empty() {
            self.check_beginning(exchange);
        }
        let Some(ask) = self.asks.get_mut(&exchange.ask) else {
            return;
        };
        if error.code == ErrorCode::NotRepeated {
            ask.done = true;
            return;
        }
        let pause = error.retry_after.unwrap_or(PAUSE).max(PAUSE);
        self.try_again(exchange.ask, pause);
    }

    /// A router's process ended: its callers' connections broke.
    pub(super) fn lose_exchanges_of(&mut self, router: usize) {
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
                self.check_beginning(&exchange);
                self.try_again(exchange.ask, PAUSE * 2);
            }
        }
        for call in &calls {
            self.calls.remove(call);
        }
        self.network.forget_channels(&calls);
    }

    pub(super) fn open_exchanges_of(&self, router: usize) -> usize {
        let of_router = |exchange: &&SimExchange| exchange.router == router;
        self.exchanges.values().filter(of_router).count()
    }

    fn check_answer(&mut self, exchange: &SimExchange, text: &str, promise: Promise) {
        let Some(ask) = self.asks.get(&exchange.ask) else {
            return;
        };
        let expected = ask.request.output_tokens;
        let right = (1..=KNOWN_VERSIONS).map(WeightsVersion).any(|version| {
            let whole: String = (0..expected)
                .map(|index| token(ask.digest, version, index))
                .collect();
            if ask.streams {
                exchange.tokens.concat() == whole
            } else {
                text == whole
            }
        });
        if !right {
            let detail = format!(
                "ask {} got {} of {expected} tokens, or not its own",
                exchange.ask,
                exchange.tokens.len()
            );
            self.fail(promise, detail);
        }
    }

    fn check_recorded(&mut self, exchange: &SimExchange, text: &str) {
        let Some(ask) = self.asks.get(&exchange.ask) else {
            return;
        };
        let expected = ask.request.output_tokens;
        let right = (1..=KNOWN_VERSIONS).map(WeightsVersion).any(|version| {
            let whole: String = (0..expected)
                .map(|index| token(ask.digest, version, index))
                .collect();
            text == whole
        });
        if !right {
            let detail = format!(
                "ask {} got a recorded answer that is not its own",
                exchange.ask
            );
            self.fail(Promise::OwnAnswer, detail);
        }
    }

    fn check_beginning(&mut self, exchange: &SimExchange) {
        let Some(ask) = self.asks.get(&exchange.ask) else {
            return;
        };
        // Without streaming nothing reaches a caller before the end.
        if !ask.streams {
            return;
        }
        let numbered = || exchange.tokens.iter().zip(0_u32..);
        let right = (1..=KNOWN_VERSIONS)
            .map(WeightsVersion)
            .any(|version| numbered().all(|(text, at)| *text == token(ask.digest, version, at)));
        if !right {
            let detail = format!("ask {} got tokens that are not its own", exchange.ask);
            self.fail(Promise::StreamOrder, detail);
        }
    }

    /// A router has restarted: a tenant that it has served before asks it at once.
    pub(super) fn test_restarted(&mut self, router: usize) {
        let Some(tenant) = self.tenant_known_to(router) else {
            self.routers[router].restarted_at = None;
            return;
        };
        self.new_ask(Some((router, tenant)));
        let generation = self.routers[router].generation;
        let at = self.now.plus(SERVES_WITHIN);
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
            let detail = format!("router {router} placed nothing in {SERVES_WITHIN:?}");
            self.fail(Promise::ServesAfterRestart, detail);
        }
    }

    /// At the end, everything that was asked in the calm has to be answered.
    pub(super) fn check_calm(&mut self) {
        const TO_ANSWER: Duration = Duration::from_secs(4);
        let from = self.plan.healed_at.plus(super::plan::RECOVERY);
        let to = Timestamp(self.plan.ends_at.0 - TO_ANSWER.as_micros() as u64);
        let unanswered: Vec<u64> = self
            .asks
            .iter()
            .filter(|(_, ask)| ask.asked_at >= from && ask.asked_at < to && !ask.answered)
            .map(|(number, _)| *number)
            .collect();
        if !unanswered.is_empty() {
            let count = unanswered.len();
            let detail = format!(
                "{count} asks of the calm unanswered, first {}",
                unanswered[0]
            );
            self.fail(Promise::Recovery, detail);
        }
        let answered = self
            .asks
            .values()
            .any(|ask| ask.asked_at >= from && ask.answered);
        if !answered {
            self.fail(Promise::Recovery, "nothing at all was answered in the calm");
        }
    }
}

/// The bearer key of a tenant.
pub(super) fn tenant_key(tenant: usize) -> String {
    format!("key-{tenant}")
}

/// The text of a token's event; none for the event that ends a stream.
fn text_of(data: &str) -> Option<String> {
    let document: serde_json::Value = serde_json::from_str(data).ok()?;
    let text = document.get("choices")?.get(0)?.get("text")?.as_str()?;
    Some(text.to_owned())
}
