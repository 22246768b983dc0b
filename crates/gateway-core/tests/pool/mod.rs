//! A pool of simulated back ends behind several routers, on a virtual clock.
//!
//! A back end runs requests in steps: each step prefills up to one chunk of the prompts in its slots and generates one
//! token for each stream whose prompt is complete. Prefill therefore delays the other streams, as in the users' engines;
//! the constants are the figures of these engines.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    Admission, Arrival, Changes, Choice, ChoiceError, Document, EarlierAttempts, Entry,
    InstanceRecord, Lifecycle, LoadEntry, LoadedModel, ModelName, ModelPool, Outcome, Pool,
    PoolName, Prompt, PromptPart, RequestHead, RequestKind, Route, RouterCore, RouterParams, Share,
    WaitTicket,
};
use drumshore_wire::{Blob, List, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BACK_ENDS: u64 = 12;
const ROUTERS: usize = 8;
const SLOTS: u32 = 16;
/// Duration of a step without prefill.
const STEP_US: f64 = 5_230.0;
const PREFILL_TOKENS_PER_US: f64 = 0.0384;
const PREFILL_CHUNK_TOKENS: u32 = 4_096;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 6;
const TICK: Duration = Duration::from_millis(1);
/// Interval at which routers receive the other routers' loads, which are therefore up to this old.
const LOADS_INTERVAL: Duration = Duration::from_millis(250);
const GAP_TARGET: Duration = Duration::from_millis(600);
/// Interval at which routers decide about waiting requests.
const ADVANCE_INTERVAL_US: u64 = 20_000;
/// Part of the slots that the oracle fills; of several, the one with which the pool serves most in time.
const ORACLE_UTILIZATION: f64 = 0.9;
/// A refused caller retries once, after at most its deadline divided by this.
const LONGEST_WAIT_DIVISOR: u32 = 3;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub path: &'static str,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub priority: u8,
    pub target: Duration,
    pub deadline: Duration,
    /// Relative frequency among all requests.
    pub share: f64,
}

/// The users' requests with long prompts, whose shared prefix is cached.
pub const LONG: Kind = Kind {
    path: "/long/",
    prompt_tokens: 2_890,
    output_tokens: 54,
    priority: 1,
    target: Duration::from_millis(800),
    deadline: Duration::from_secs(5),
    share: 1.0,
};
/// The users' requests with short prompts.
pub const SHORT: Kind = Kind {
    path: "/short/",
    prompt_tokens: 628,
    output_tokens: 290,
    priority: 0,
    target: Duration::from_millis(600),
    deadline: Duration::from_secs(15),
    share: 1.0,
};

/// How routers treat the requests that the overload controller does not admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// They refuse them at once.
    Refuse,
    /// They let them wait, see `RouterCore::enter`.
    Wait,
    /// One queue before all routers, which knows all slots and lets a request in when one is free, in the order of
    /// the latest start; no more than can be in time.
    Oracle,
}

/// A simulation other than that of [`Simulation::new`].
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub routers: usize,
    pub policy: Policy,
}

/// A caller whose request waits.
#[derive(Clone, Copy, Debug)]
struct WaitingCaller {
    kind_number: usize,
    asked: Timestamp,
    entered: Timestamp,
    is_retry: bool,
}

/// What became of the requests that waited at routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    pub let_in: u32,
    pub refused: u32,
    pub longest: Duration,
    /// The largest number of requests that waited at one router.
    pub most_at_a_router: usize,
}

struct Request {
    kind: Kind,
    kind_number: usize,
    admission: Admission,
    prompt: Prompt,
    router: usize,
    /// Time of the caller's first attempt.
    asked: Timestamp,
    /// Time of its last attempt.
    entered: Timestamp,
    sent: Timestamp,
    choice: Choice,
    prompt_tokens_left: u32,
    output_tokens_left: u32,
    first: Option<Timestamp>,
    latest_event: Timestamp,
    longest_gap: Duration,
}

#[derive(Default)]
struct BackEnd {
    waiting: Vec<Request>,
    running: Vec<Request>,
    step_ends: Option<Timestamp>,
}

/// A scheduled retry of a refused caller: time, kind and time of the first attempt.
type Retry = Reverse<(u64, usize, u64)>;

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// First attempts of callers.
    pub asked: u32,
    pub in_time: u32,
    /// Answered in time counted from the retry, after a refusal.
    pub in_time_on_retry: u32,
    pub late: u32,
    /// Refused at the first attempt.
    pub refused_at_first: u32,
    /// Refused again at the retry.
    pub refused_again: u32,
}

impl Tally {
    /// Served in time, counted from the caller's last attempt.
    pub fn served_in_time(&self) -> u32 {
        self.in_time + self.in_time_on_retry
    }

    pub fn served(&self) -> u32 {
        self.served_in_time() + self.late
    }
}

pub struct Simulation {
    now: Timestamp,
    routers: Vec<RouterCore>,
    back_ends: Vec<BackEnd>,
    kinds: Vec<Kind>,
    random: ChaCha8Rng,
    retries: BinaryHeap<Retry>,
    loads_sent: Timestamp,
    /// By kind.
    tallies: Vec<Tally>,
    policy: Policy,
    waiting: BTreeMap<(usize, WaitTicket), WaitingCaller>,
    /// The queue of the oracle: by latest start.
    oracle: BTreeMap<(u64, u64), WaitingCaller>,
    waits: Waits,
    /// False while no leader tells routers of the others' loads.
    pub has_leader: bool,
}

impl Simulation {
    pub fn new(kinds: &[Kind], seed: u64) -> Self {
        let setup = Setup {
            routers: ROUTERS,
            policy: Policy::Refuse,
        };
        Self::with_setup(kinds, seed, setup)
    }

    pub fn with_setup(kinds: &[Kind], seed: u64, setup: Setup) -> Self {
        let routers =
            (0..setup.routers as u64).map(|router| new_router(kinds, seed * 100 + router));
        Self {
            now: Timestamp(1),
            routers: routers.collect(),
            back_ends: (0..BACK_ENDS).map(|_| BackEnd::default()).collect(),
            kinds: kinds.to_vec(),
            random: ChaCha8Rng::seed_from_u64(seed),
            retries: BinaryHeap::new(),
            loads_sent: Timestamp(1),
            tallies: vec![Tally::default(); kinds.len()],
            policy: setup.policy,
            waiting: BTreeMap::new(),
            oracle: BTreeMap::new(),
            waits: Waits::default(),
            has_leader: true,
        }
    }

    /// Number of requests that wait at routers.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns what became of waiting requests since the last call.
    pub fn take_waits(&mut self) -> Waits {
        std::mem::take(&mut self.waits)
    }

    /// The callers of a part of the waiting requests give up.
    pub fn disconnect(&mut self, part: f64) -> usize {
        let tickets: Vec<(usize, WaitTicket)> = self.waiting.keys().copied().collect();
        let leaving: Vec<_> = tickets
            .into_iter()
            .filter(|_| self.random.random::<f64>() < part)
            .collect();
        for (router, ticket) in &leaving {
            self.routers[*router].leave_queue(*ticket);
            self.waiting.remove(&(*router, *ticket));
        }
        leaving.len()
    }

    /// A router stops; returns how many waiting requests it refuses.
    pub fn stop_router(&mut self, router: usize) -> usize {
        let tickets = self.routers[router].stop_waiting();
        for ticket in &tickets {
            self.waiting.remove(&(router, *ticket));
        }
        tickets.len()
    }

    /// Number of requests that a router's core holds in its queues.
    pub fn queued_at(&self, router: usize) -> usize {
        let lengths = self.routers[router].waiting_requests();
        lengths.map(|(_, length)| length).sum()
    }

    /// Returns the outcomes of each kind since the last call.
    pub fn take_tallies(&mut self) -> Vec<Tally> {
        let fresh = vec![Tally::default(); self.kinds.len()];
        std::mem::replace(&mut self.tallies, fresh)
    }

    /// Callers send requests at this rate for this time.
    pub fn run(&mut self, requests_per_second: f64, time: Duration) {
        let end = self.now.plus(time);
        let chance = requests_per_second * TICK.as_secs_f64();
        while self.now < end {
            self.now = self.now.plus(TICK);
            self.send_loads();
            let mut due = chance;
            while due > 0.0 && self.random.random::<f64>() < due {
                let kind = self.sample_kind();
                self.tallies[kind].asked += 1;
                self.send_request(kind, self.now, false);
                due -= 1.0;
            }
            self.send_retries();
            self.advance_queues();
            for number in 0..self.back_ends.len() {
                self.step(number);
            }
        }
    }

    fn sample_kind(&mut self) -> usize {
        let all: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let mut sample = self.random.random::<f64>() * all;
        for (number, kind) in self.kinds.iter().enumerate() {
            sample -= kind.share;
            if sample <= 0.0 {
                return number;
            }
        }
        self.kinds.len() - 1
    }

    fn send_request(&mut self, kind_number: usize, asked: Timestamp, is_retry: bool) {
        let router = self.random.random_range(0..self.routers.len());
        let caller = WaitingCaller {
            kind_number,
            asked,
            entered: self.now,
            is_retry,
        };
        match self.policy {
            Policy::Refuse => self.choose(router, caller),
            Policy::Wait => self.enter(router, caller),
            Policy::Oracle => self.enter_oracle(caller),
        }
    }

    fn admit(&mut self, router: usize, kind: Kind) -> (Admission, Prompt) {
        let head = RequestHead {
            host: "host",
            path: kind.path,
            key: None,
            declared_tokens: None,
        };
        let routers = self.routers.len() as u16;
        let core = &mut self.routers[router];
        core.on_confirmed(self.now, 1, routers);
        let admission: Admission = core.admit(self.now, head).unwrap();
        (admission, prompt_of(kind, self.random.random()))
    }

    fn choose(&mut self, router: usize, caller: WaitingCaller) {
        let kind = self.kinds[caller.kind_number];
        let (admission, prompt) = self.admit(router, kind);
        let core = &mut self.routers[router];
        match core.choose(
            self.now,
            &admission,
            Some(&prompt),
            EarlierAttempts::default(),
        ) {
            Ok(choice) => self.start(router, caller, admission, prompt, choice),
            Err(error) => self.refuse(caller, error),
        }
    }

    fn choose_let_in(&mut self, router: usize, caller: WaitingCaller) {
        let kind = self.kinds[caller.kind_number];
        let (admission, prompt) = self.admit(router, kind);
        let core = &mut self.routers[router];
        let earlier = EarlierAttempts::default();
        let choice = core.choose_let_in(self.now, &admission, Some(&prompt), earlier);
        self.start(router, caller, admission, prompt, choice.unwrap());
    }

    fn enter(&mut self, router: usize, caller: WaitingCaller) {
        let kind = self.kinds[caller.kind_number];
        let (admission, prompt) = self.admit(router, kind);
        let arrival = Arrival {
            received: self.now,
            deadline: caller.asked.plus(kind.deadline),
            body_bytes: 1_000,
            fingerprint: None,
            may_wait: true,
        };
        let core = &mut self.routers[router];
        match core.enter(self.now, &admission, Some(&prompt), arrival) {
            Entry::LetIn => self.choose_let_in(router, caller),
            Entry::Refused(error, _) => self.refuse(caller, error),
            Entry::Waits(ticket, _) => {
                self.waiting.insert((router, ticket), caller);
                let waiting = self.queued_at(router);
                self.waits.most_at_a_router = self.waits.most_at_a_router.max(waiting);
            }
        }
        self.take_decisions(router);
    }

    fn take_decisions(&mut self, router: usize) {
        for decision in self.routers[router].take_wait_decisions() {
            let caller = self.waiting.remove(&(router, decision.ticket));
            let caller = caller.expect("a decision is about a waiting request, once");
            let waited = self.now.since(caller.entered);
            self.waits.longest = self.waits.longest.max(waited);
            match decision.refused {
                Some(error) => {
                    self.waits.refused += 1;
                    self.refuse(caller, error);
                }
                None => {
                    self.waits.let_in += 1;
                    self.choose_let_in(router, caller);
                }
            }
        }
    }

    fn advance_queues(&mut self) {
        if self.now.0 % ADVANCE_INTERVAL_US < TICK.as_micros() as u64 {
            for router in 0..self.routers.len() {
                self.routers[router].advance_queues(self.now);
                self.take_decisions(router);
            }
        }
        self.advance_oracle();
    }

    fn enter_oracle(&mut self, caller: WaitingCaller) {
        let kind = self.kinds[caller.kind_number];
        let latest = caller.asked.plus(kind.target);
        let urgency = u64::from(kind.priority);
        let key = (urgency << 48 | latest.0, self.random.random());
        self.oracle.insert(key, caller);
    }

    /// Lets requests in while a back end has a free slot; callers that can no longer be in time are refused for good.
    fn advance_oracle(&mut self) {
        let now = self.now;
        let kinds = &self.kinds;
        let tallies = &mut self.tallies;
        self.oracle.retain(|_, caller| {
            let is_hopeless = now >= caller.asked.plus(kinds[caller.kind_number].target / 2);
            tallies[caller.kind_number].refused_again += u32::from(is_hopeless);
            !is_hopeless
        });
        loop {
            let occupied: usize = self.back_ends.iter().map(BackEnd::occupied).sum();
            if occupied as f64 >= ORACLE_UTILIZATION * (BACK_ENDS * u64::from(SLOTS)) as f64 {
                return;
            }
            let Some((_, caller)) = self.oracle.pop_first() else {
                return;
            };
            let router = self.random.random_range(0..self.routers.len());
            self.choose_let_in(router, caller);
        }
    }

    fn start(
        &mut self,
        router: usize,
        caller: WaitingCaller,
        admission: Admission,
        prompt: Prompt,
        choice: Choice,
    ) {
        let kind = self.kinds[caller.kind_number];
        let number: usize = choice.instance.as_str()[3..].parse().unwrap();
        self.back_ends[number].waiting.push(Request {
            kind,
            kind_number: caller.kind_number,
            admission,
            prompt,
            router,
            asked: caller.asked,
            entered: caller.entered,
            sent: self.now,
            choice,
            prompt_tokens_left: kind.prompt_tokens,
            output_tokens_left: kind.output_tokens,
            first: None,
            latest_event: self.now,
            longest_gap: Duration::ZERO,
        });
    }

    fn refuse(&mut self, caller: WaitingCaller, error: ChoiceError) {
        let kind = self.kinds[caller.kind_number];
        let tally = &mut self.tallies[caller.kind_number];
        let wait = retry_after(error).unwrap_or_else(|| panic!("{error}"));
        if caller.is_retry {
            tally.refused_again += 1;
            return;
        }
        tally.refused_at_first += 1;
        let left = caller.asked.plus(kind.deadline).since(self.now);
        let at = self.now.plus(wait.min(left / LONGEST_WAIT_DIVISOR));
        self.retries
            .push(Reverse((at.0, caller.kind_number, caller.asked.0)));
    }

    fn send_retries(&mut self) {
        while let Some(Reverse((at, kind, asked))) = self.retries.peek().copied() {
            if at > self.now.0 {
                break;
            }
            self.retries.pop();
            self.send_request(kind, Timestamp(asked), true);
        }
    }

    /// Gives each router the sum of the others' loads, as the leader of the control machines does.
    fn send_loads(&mut self) {
        if self.now.since(self.loads_sent) < LOADS_INTERVAL {
            return;
        }
        self.loads_sent = self.now;
        if !self.has_leader {
            let routers = self.routers.iter_mut();
            routers.for_each(|router| router.set_others_loads(true, &[]));
            return;
        }
        let own: Vec<Vec<LoadEntry>> = self.routers.iter().map(RouterCore::own_loads).collect();
        for (number, router) in self.routers.iter_mut().enumerate() {
            let mut sums: BTreeMap<u32, LoadEntry> = Default::default();
            let others = own.iter().enumerate().filter(|(other, _)| *other != number);
            for entry in others.flat_map(|(_, entries)| entries) {
                let sum = sums.entry(entry.key).or_default();
                sum.key = entry.key;
                sum.pending += entry.pending;
                sum.in_flight += entry.in_flight;
            }
            let sums: Vec<LoadEntry> = sums.into_values().collect();
            router.set_others_loads(true, &sums);
        }
    }

    /// Completes a step whose time is over, and starts the next one.
    fn step(&mut self, number: usize) {
        let now = self.now;
        let back_end = &mut self.back_ends[number];
        if back_end.step_ends.is_some_and(|end| end > now) {
            return;
        }
        if back_end.step_ends.take().is_some() {
            for request in back_end.end_step(now, &mut self.routers) {
                finish(&request, now, &mut self.routers, &mut self.tallies);
            }
        }
        self.back_ends[number].begin_step(now);
    }
}

impl BackEnd {
    fn occupied(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Generates a token for each stream whose prompt is complete; returns the requests that are finished.
    fn end_step(&mut self, now: Timestamp, routers: &mut [RouterCore]) -> Vec<Request> {
        let streams = self
            .running
            .iter_mut()
            .filter(|request| request.prompt_tokens_left == 0);
        streams.for_each(|request| generate_token(request, now, routers));
        let running = std::mem::take(&mut self.running);
        let (ended, running) = running
            .into_iter()
            .partition(|request| request.output_tokens_left == 0);
        self.running = running;
        ended
    }

    fn begin_step(&mut self, now: Timestamp) {
        while self.running.len() < SLOTS as usize && !self.waiting.is_empty() {
            let places = 0..self.waiting.len();
            let most_urgent = places.min_by_key(|place| self.waiting[*place].kind.priority);
            let next = self.waiting.remove(most_urgent.unwrap());
            self.running.push(next);
        }
        if self.running.is_empty() {
            return;
        }
        let mut chunk_room = PREFILL_CHUNK_TOKENS;
        for request in &mut self.running {
            let prefilled = request.prompt_tokens_left.min(chunk_room);
            request.prompt_tokens_left -= prefilled;
            chunk_room -= prefilled;
        }
        let prefilled = f64::from(PREFILL_CHUNK_TOKENS - chunk_room);
        let length = STEP_US + prefilled / PREFILL_TOKENS_PER_US;
        self.step_ends = Some(now.plus(Duration::from_micros(length as u64)));
    }
}

fn generate_token(request: &mut Request, now: Timestamp, routers: &mut [RouterCore]) {
    let generated = request.kind.output_tokens - request.output_tokens_left;
    request.output_tokens_left -= 1;
    if request.first.is_none() {
        request.first = Some(now);
        request.latest_event = now;
        let took = now.since(request.sent);
        let target = request.kind.target;
        let router = &mut routers[request.router];
        router.answered(now, &request.choice, Some(took), target);
        router.record_time_to_answer(&request.admission, &request.prompt, took);
        return;
    }
    if generated.is_multiple_of(EVENT_TOKENS) {
        let gap = now.since(request.latest_event);
        request.longest_gap = request.longest_gap.max(gap);
        request.latest_event = now;
    }
}

fn finish(request: &Request, now: Timestamp, routers: &mut [RouterCore], tallies: &mut [Tally]) {
    let instance = &request.choice.instance;
    routers[request.router].finished(now, instance, request.sent, Outcome::Answered);
    let tally = &mut tallies[request.kind_number];
    let first = request.first.unwrap_or(now).since(request.asked);
    let from_retry = request.first.unwrap_or(now).since(request.entered);
    let has_long_gap = request.longest_gap > GAP_TARGET;
    if first <= request.kind.target && !has_long_gap {
        tally.in_time += 1;
    } else if request.entered != request.asked && from_retry <= request.kind.target && !has_long_gap
    {
        tally.in_time_on_retry += 1;
    } else {
        tally.late += 1;
    }
}

fn retry_after(error: ChoiceError) -> Option<Duration> {
    match error {
        ChoiceError::Overloaded(overload) => Some(overload.retry_after),
        _ => None,
    }
}

fn prompt_of(kind: Kind, id: u64) -> Prompt {
    Prompt {
        model: ModelName::new("model"),
        parts: vec![PromptPart {
            id: id.to_string(),
            tokens: kind.prompt_tokens,
        }],
        output: kind.output_tokens,
    }
}

fn new_router(kinds: &[Kind], seed: u64) -> RouterCore {
    let params = RouterParams {
        zone: "zone".to_owned(),
        key_lease: Duration::from_secs(4),
        absence_lease: Duration::from_secs(2),
        version_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
    };
    let mut router = RouterCore::new(params, seed);
    let instances: Vec<InstanceRecord> = (0..BACK_ENDS).map(record).collect();
    let changes = Changes {
        since: 0,
        revision: 1,
        configuration: List::new(vec![Blob::new(Vec::new())]),
        weights: List::new(Vec::new()),
        instances: List::new(instances),
        removed: List::new(Vec::new()),
        ..Changes::default()
    };
    let document = document(kinds);
    router
        .apply(Timestamp(1), changes, |_| Ok(document))
        .unwrap();
    router
}

fn record(number: u64) -> InstanceRecord {
    InstanceRecord {
        instance: Text::new(format!("be-{number}")),
        pool: Text::new("models"),
        address: Text::new(format!("10.0.0.{number}:80")),
        zone: Text::new("zone"),
        slots: SLOTS,
        lifecycle: Lifecycle::Ready,
        models: List::new(vec![LoadedModel {
            model: Text::new("model"),
            version: 1,
            loading: 0,
        }]),
        registered: number + 1,
        revision: 1,
    }
}

fn document(kinds: &[Kind]) -> Document {
    let routes = kinds.iter().map(|kind| Route {
        name: kind.path.to_owned(),
        host: "host".to_owned(),
        path_prefix: kind.path.to_owned(),
        kind: RequestKind::Stream,
        timeout: kind.deadline,
        target: kind.target,
        gap_target: Some(GAP_TARGET),
        priority: kind.priority,
        max_attempts: 1,
        public: true,
        shares: vec![Share {
            pool: PoolName::new("models"),
            weight: 1,
        }],
    });
    Document {
        version: 1,
        routes: routes.collect(),
        pools: vec![Pool {
            name: PoolName::new("models"),
            max_connections: 10_000,
            models: Some(ModelPool {
                slots: SLOTS,
                cache_tokens: 86_721,
                copies_runs: false,
                models: vec![ModelName::new("model")],
            }),
            store: None,
        }],
        ..Document::default()
    }
}
