//! A pool of simulated back ends behind several routers, on a virtual clock.
//!
//! A back end runs requests in steps: each step prefills up to one chunk of the prompts in its slots and generates one
//! token for each stream whose prompt is complete. Prefill therefore delays the other streams, as in the users' engines;
//! the constants are the figures of these engines.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::back_end_speed::{CurveEntry, PrefillCurve, SpeedEntry, SpeedNews};
use drumshore_gateway_core::{
    Admission, Changes, Choice, ChoiceError, Document, EarlierAttempts, InstanceRecord, Lifecycle,
    LoadEntry, LoadedModel, ModelName, ModelPool, Outcome, Pool, PoolName, Prompt, PromptPart,
    RequestHead, RequestKind, Route, RouterCore, RouterParams, Share, SoftwareVersion,
};
use drumshore_wire::{Blob, List, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

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
/// A refused caller retries once, after at most its deadline divided by this.
const LONGEST_WAIT_DIVISOR: u32 = 3;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub path: &'static str,
    /// Median of the prompt's length.
    pub prompt_tokens: u32,
    /// Standard deviation of the logarithm of the prompt's length.
    pub spread: f64,
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
    spread: 0.0,
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
    spread: 0.0,
    output_tokens: 290,
    priority: 0,
    target: Duration::from_millis(600),
    deadline: Duration::from_secs(15),
    share: 1.0,
};

/// The back ends and routers of a simulation, and what routers are told.
#[derive(Clone, Debug)]
pub struct Layout {
    /// For each back end the time that it takes for a piece of work, relative to the constants above.
    pub time_factors: Vec<f64>,
    pub routers: usize,
    /// Time in microseconds for a pair of a prefilled token and a token before it.
    pub us_per_pair: f64,
    /// Age of the loads that routers receive, besides the interval.
    pub loads_age: Duration,
    /// Whether routers know the time factors and the prefill curve.
    pub speeds_are_known: bool,
    /// Whether routers receive the loads of others.
    pub loads_are_known: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            time_factors: vec![1.0; 12],
            routers: 8,
            us_per_pair: 0.0,
            loads_age: Duration::ZERO,
            speeds_are_known: false,
            loads_are_known: true,
        }
    }
}

impl Layout {
    fn speeds(&self) -> SpeedNews {
        let curve = PrefillCurve {
            latency: Duration::ZERO,
            us_per_token: 1.0 / PREFILL_TOKENS_PER_US,
            us_per_pair: self.us_per_pair,
        };
        let factors = self.time_factors.iter().enumerate();
        let entries = factors.map(|(number, factor)| {
            let key = LoadEntry::key_of(&format!("be-{number}"));
            SpeedEntry::new(key, *factor, Duration::ZERO)
        });
        SpeedNews {
            curves: List::new(vec![CurveEntry::new(&PoolName::new("models"), &curve)]),
            back_ends: List::new(entries.collect()),
            ..SpeedNews::default()
        }
    }
}

struct Request {
    kind: Kind,
    kind_number: usize,
    router: usize,
    /// Time of the caller's first attempt.
    asked: Timestamp,
    sent: Timestamp,
    choice: Choice,
    prompt_tokens: u32,
    prompt_tokens_left: u32,
    output_tokens_left: u32,
    first: Option<Timestamp>,
    latest_event: Timestamp,
    longest_gap: Duration,
}

#[derive(Default)]
struct BackEnd {
    time_factor: f64,
    us_per_pair: f64,
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
    layout: Layout,
    routers: Vec<RouterCore>,
    back_ends: Vec<BackEnd>,
    kinds: Vec<Kind>,
    random: ChaCha8Rng,
    retries: BinaryHeap<Retry>,
    loads_sent: Timestamp,
    /// Loads of all routers that are not received yet, with the time at which they are.
    loads_under_way: VecDeque<(Timestamp, Vec<Vec<LoadEntry>>)>,
    /// By kind.
    tallies: Vec<Tally>,
}

impl Simulation {
    #[allow(dead_code, reason = "not every test that uses this module")]
    pub fn new(kinds: &[Kind], seed: u64) -> Self {
        Self::with_layout(kinds, Layout::default(), seed)
    }

    pub fn with_layout(kinds: &[Kind], layout: Layout, seed: u64) -> Self {
        let routers = 0..layout.routers as u64;
        let routers = routers.map(|router| new_router(kinds, &layout, seed * 100 + router));
        let back_end = |factor: &f64| BackEnd {
            time_factor: *factor,
            us_per_pair: layout.us_per_pair,
            ..BackEnd::default()
        };
        Self {
            now: Timestamp(1),
            routers: routers.collect(),
            back_ends: layout.time_factors.iter().map(back_end).collect(),
            kinds: kinds.to_vec(),
            random: ChaCha8Rng::seed_from_u64(seed),
            retries: BinaryHeap::new(),
            loads_sent: Timestamp(1),
            loads_under_way: VecDeque::new(),
            layout,
            tallies: vec![Tally::default(); kinds.len()],
        }
    }

    /// Returns the outcomes of each kind since the last call.
    pub fn take_tallies(&mut self) -> Vec<Tally> {
        let fresh = vec![Tally::default(); self.kinds.len()];
        std::mem::replace(&mut self.tallies, fresh)
    }

    /// Changes the relative frequency of a kind.
    #[allow(dead_code, reason = "not every test that uses this module")]
    pub fn set_share(&mut self, kind: usize, share: f64) {
        self.kinds[kind].share = share;
    }

    /// Callers send requests at this rate for this time.
    pub fn run(&mut self, requests_per_second: f64, time: Duration) {
        let end = self.now.plus(time);
        let chance = requests_per_second * TICK.as_secs_f64();
        while self.now < end {
            self.now = self.now.plus(TICK);
            self.send_loads();
            self.receive_loads();
            let mut due = chance;
            while due > 0.0 && self.random.random::<f64>() < due {
                let kind = self.sample_kind();
                self.tallies[kind].asked += 1;
                self.send_request(kind, self.now, false);
                due -= 1.0;
            }
            self.send_retries();
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
        let kind = self.kinds[kind_number];
        let router = self.random.random_range(0..self.routers.len());
        let routers = self.routers.len() as u16;
        let now = self.now;
        let head = RequestHead {
            host: "host",
            path: kind.path,
            key: None,
            declared_tokens: None,
        };
        let core = &mut self.routers[router];
        core.on_confirmed(now, 1, routers);
        let admission: Admission = core.admit(now, head).unwrap();
        let tokens = prompt_tokens(kind, &mut self.random);
        let prompt = prompt_of(kind, tokens, self.random.random());
        match core.choose(now, &admission, Some(&prompt), EarlierAttempts::default()) {
            Ok(choice) => {
                let number: usize = choice.instance.as_str()[3..].parse().unwrap();
                self.back_ends[number].waiting.push(Request {
                    kind,
                    kind_number,
                    router,
                    asked,
                    sent: now,
                    choice,
                    prompt_tokens: tokens,
                    prompt_tokens_left: tokens,
                    output_tokens_left: kind.output_tokens,
                    first: None,
                    latest_event: now,
                    longest_gap: Duration::ZERO,
                });
            }
            Err(error) if is_retry => {
                assert!(retry_after(error).is_some(), "{error}");
                self.tallies[kind_number].refused_again += 1;
            }
            Err(error) => {
                self.tallies[kind_number].refused_at_first += 1;
                let wait = retry_after(error).unwrap_or_else(|| panic!("{error}"));
                let wait = wait.min(kind.deadline / LONGEST_WAIT_DIVISOR);
                let at = now.plus(wait);
                self.retries.push(Reverse((at.0, kind_number, asked.0)));
            }
        }
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
        let own: Vec<Vec<LoadEntry>> = self.routers.iter().map(RouterCore::own_loads).collect();
        let received = self.now.plus(self.layout.loads_age);
        if self.layout.loads_are_known {
            self.loads_under_way.push_back((received, own));
        }
    }

    fn receive_loads(&mut self) {
        let now = self.now;
        while self
            .loads_under_way
            .front()
            .is_some_and(|(at, _)| *at <= now)
        {
            let (_, own) = self.loads_under_way.pop_front().unwrap();
            let mut sums: BTreeMap<u32, LoadEntry> = BTreeMap::new();
            for entry in own.iter().flatten() {
                let sum = sums.entry(entry.key).or_default();
                sum.key = entry.key;
                sum.pending += entry.pending;
                sum.in_flight += entry.in_flight;
            }
            let sums: Vec<LoadEntry> = sums.into_values().collect();
            for (router, own) in self.routers.iter_mut().zip(&own) {
                router.set_others_loads(true, &LoadEntry::without(&sums, own));
            }
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
        let mut pairs = 0.0;
        for request in &mut self.running {
            let prefilled = request.prompt_tokens_left.min(chunk_room);
            let before = request.prompt_tokens - request.prompt_tokens_left;
            pairs += f64::from(prefilled) * (f64::from(before) + f64::from(prefilled) / 2.0);
            request.prompt_tokens_left -= prefilled;
            chunk_room -= prefilled;
        }
        let prefilled = f64::from(PREFILL_CHUNK_TOKENS - chunk_room);
        let prefill = prefilled / PREFILL_TOKENS_PER_US + pairs * self.us_per_pair;
        let length = (STEP_US + prefill) * self.time_factor;
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
        routers[request.router].answered(now, &request.choice, Some(took), target);
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
    let from_retry = request.first.unwrap_or(now).since(request.sent);
    let has_long_gap = request.longest_gap > GAP_TARGET;
    if first <= request.kind.target && !has_long_gap {
        tally.in_time += 1;
    } else if request.sent != request.asked && from_retry <= request.kind.target && !has_long_gap {
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

/// The length of a prompt, log-normally distributed.
fn prompt_tokens(kind: Kind, random: &mut ChaCha8Rng) -> u32 {
    if kind.spread == 0.0 {
        return kind.prompt_tokens;
    }
    let uniform: [f64; 2] = [1.0 - random.random::<f64>(), random.random()];
    let normal = (-2.0 * uniform[0].ln()).sqrt() * (std::f64::consts::TAU * uniform[1]).cos();
    (f64::from(kind.prompt_tokens) * (normal * kind.spread).exp()) as u32
}

fn prompt_of(kind: Kind, tokens: u32, id: u64) -> Prompt {
    Prompt {
        model: ModelName::new("model"),
        parts: vec![PromptPart {
            id: id.to_string(),
            tokens,
        }],
        output: kind.output_tokens,
    }
}

fn new_router(kinds: &[Kind], layout: &Layout, seed: u64) -> RouterCore {
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
    let instances: Vec<InstanceRecord> =
        (0..layout.time_factors.len() as u64).map(record).collect();
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
    if layout.speeds_are_known {
        router.on_back_end_speeds(Timestamp(1), &layout.speeds());
    }
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
        software: SoftwareVersion::default(),
        started_ms: 0,
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
                token_bytes: 0,
                link_megabits_per_second: 0,
                models: vec![ModelName::new("model")],
            }),
            store: None,
        }],
        ..Document::default()
    }
}
