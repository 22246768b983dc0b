//! The same requests under every policy, on a virtual clock.
//!
//! Several routers, each with its own [`Placer`], send to engines in virtual time. What routers
//! know of engines is late: loads are reported once a second and are older than that, a new
//! start of an engine is learned after a delay. The oracle alone sees every cache and queue at
//! once.

use std::time::{Duration, Instant};

use drumshore_core::{
    EngineId, EngineName, Incarnation, ModelName, PoolName, Priority, RequestId, TenantName,
    Timestamp, WeightsVersion, ZoneName,
};
use drumshore_router::engine_api::LookupRequest;
use drumshore_routing::recorder::{PlaceEvent, TraceEvent, TraceLine};
use drumshore_routing::{
    AnswerLoad, AnswerReport, BeliefParams, Decision, EngineObservation, EngineState, LoadReport,
    LookupAnswer, Placement, Placer, Policy, PrefixChain, PrefixRoot, RoutingRequest, Scheduler,
    SchedulerParams,
};
use drumshore_wire::frame::encode_frame;
use drumshore_wire::{EngineLoad, List, LoadUpdate, Message};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::engine::{EngineCore, EngineOutput, EngineParams, EngineRequest, Submission};
use crate::load::{histogram, Percentiles};
use crate::workload::{Profile, WorkloadGenerator, WorkloadRequest};

const MODEL: &str = "m";
const POOL: &str = "p";
const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// How often routers hear loads, and how old these are then: the control machines' periods.
const LOAD_EVERY: Duration = Duration::from_millis(500);
const LOAD_AGE: Duration = Duration::from_millis(350);

/// How long routers do not know of an engine's new start.
const RESTART_UNKNOWN: Duration = Duration::from_millis(700);

/// How long an engine that crashed is away.
const AWAY: Duration = Duration::from_secs(3);

/// The oracle's own weight, whatever the product's: the one at which its tail is shortest.
const ORACLE_RECOMPUTE_WEIGHT: f64 = 1.5;

/// How long it takes to ask a few engines what they hold.
const LOOKUP_TIME: Duration = Duration::from_millis(2);

/// Bytes of a question's and its answer's HTTP heads and of the answer's body.
const LOOKUP_OVERHEAD_BYTES: u64 = 350;

/// A request that was refused is placed again after this long.
const REPLACE_AFTER: Duration = Duration::from_millis(2);

/// Requests before this time warm the caches and are not counted.
const WARM_UP: Duration = Duration::from_secs(40);

/// All policies, baselines first; [`Policy::Exact`] is the oracle, which sees every engine's cache
/// and queue at once.
pub const POLICIES: [Policy; 6] = [
    Policy::RoundRobin,
    Policy::LeastLoaded,
    Policy::OwnBelief,
    Policy::Rendezvous,
    Policy::Product,
    Policy::Exact,
];

fn name(policy: Policy) -> &'static str {
    match policy {
        Policy::RoundRobin => "round-robin",
        Policy::LeastLoaded => "least-loaded",
        Policy::OwnBelief => "own-belief",
        Policy::Rendezvous => "rendezvous",
        Policy::Product => "product",
        Policy::Exact => "oracle",
    }
}

/// A fleet and its callers.
#[derive(Clone, Debug)]
pub struct RoutingBench {
    /// Whose callers ask.
    pub profile: Profile,
    /// Engines.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Zones.
    pub zones: usize,
    /// Requests a second, over all routers.
    pub requests_per_second: f64,
    /// Blocks an engine holds.
    pub cache_blocks: usize,
    /// How long requests are made.
    pub duration: Duration,
    /// An engine crashes this often.
    pub crash_every: Duration,
    /// Weights of the scheduler.
    pub scheduler: SchedulerParams,
}

impl RoutingBench {
    /// A user's fleet, at the brief's sizes, with a working set of three times the caches.
    pub fn of(profile: Profile) -> Self {
        let base = Self {
            profile,
            engines: 12,
            routers: 6,
            zones: 3,
            requests_per_second: 110.0,
            cache_blocks: 440,
            duration: Duration::from_secs(240),
            crash_every: Duration::from_secs(45),
            scheduler: SchedulerParams::default(),
        };
        match profile {
            Profile::Surtidor => base,
            Profile::SoharQuay => Self {
                engines: 20,
                routers: 8,
                zones: 4,
                requests_per_second: 24.0,
                cache_blocks: 660,
                ..base
            },
        }
    }
}

/// What came of a policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// The policy.
    pub policy: &'static str,
    /// Requests counted.
    pub requests: u64,
    /// Cached share of their prompt tokens.
    pub prefix_hit_rate: f64,
    /// From asking to the first token.
    pub ttft_ms: Percentiles,
    /// Prompt tokens computed.
    pub recomputed_tokens: u64,
    /// Bytes of load reports to, and of lookups by, one router.
    pub control_bytes_per_second_per_node: f64,
    /// Time of one decision on this machine.
    pub decision_ns: f64,
}

struct Job {
    request: WorkloadRequest,
    chain: PrefixChain,
    router: usize,
    asked_at: Timestamp,
    excluded: Vec<EngineId>,
    looked_up: Option<Vec<LookupAnswer>>,
    placement: Option<Placement>,
}

/// What a router will be told.
enum Report {
    Load(usize, LoadReport),
    Start(usize, Incarnation, EngineState),
}

struct Bench {
    params: RoutingBench,
    policy: Policy,
    now: Timestamp,
    random: ChaCha8Rng,
    engines: Vec<Option<EngineCore>>,
    ids: Vec<EngineId>,
    placers: Vec<Placer>,
    jobs: FxHashMap<u64, Job>,
    retries: Vec<(Timestamp, u64)>,
    reports: Vec<(Timestamp, Report)>,
    next_job: u64,
    next_start: u64,
    first_token: Histogram<u64>,
    requests: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    control_bytes: u64,
    lookup_bytes: u64,
    decisions: u64,
    deciding: Duration,
    /// What the first router's placer is told, when that is wanted.
    trace: Option<Vec<TraceLine>>,
}

/// The router that is recorded.
const RECORDED: usize = 0;

/// Runs one policy over the requests of a seed.
pub fn run_policy(params: &RoutingBench, policy: Policy, seed: u64) -> PolicyReport {
    Bench::new(params.clone(), policy, seed, None).run(seed).0
}

/// Runs the product and gives what its first router was told and asked.
pub fn record_trace(params: &RoutingBench, seed: u64) -> Vec<TraceLine> {
    let bench = Bench::new(params.clone(), Policy::Product, seed, Some(Vec::new()));
    bench.run(seed).1
}

impl Bench {
    fn new(params: RoutingBench, policy: Policy, seed: u64, trace: Option<Vec<TraceLine>>) -> Self {
        let names: Vec<EngineName> = (0..params.engines)
            .map(|number| EngineName::new(format!("engine-{number}")))
            .collect();
        let scheduler = SchedulerParams {
            policy,
            routers: params.routers as f64,
            ..params.scheduler.clone()
        };
        let scheduler = match policy {
            Policy::Exact => SchedulerParams {
                recompute_weight: ORACLE_RECOMPUTE_WEIGHT,
                reuse_recompute_weight: ORACLE_RECOMPUTE_WEIGHT,
                ..scheduler
            },
            _ => scheduler,
        };
        let placers = (0..params.routers).map(|router| {
            let random = ChaCha8Rng::seed_from_u64(router_seed(seed, router));
            Placer::new(
                Scheduler::new(scheduler.clone(), random),
                BeliefParams::default(),
            )
        });
        let mut bench = Self {
            policy,
            now: Timestamp(0),
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: (0..params.engines).map(|_| None).collect(),
            ids: names.iter().map(EngineName::id).collect(),
            placers: placers.collect(),
            jobs: FxHashMap::default(),
            retries: Vec::new(),
            reports: Vec::new(),
            next_job: 0,
            next_start: 0,
            first_token: histogram(),
            requests: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            control_bytes: 0,
            lookup_bytes: 0,
            decisions: 0,
            deciding: Duration::ZERO,
            trace,
            params,
        };
        bench.record(
            RECORDED,
            TraceEvent::Start {
                params: scheduler,
                seed: router_seed(seed, RECORDED),
            },
        );
        for engine in 0..bench.params.engines {
            let incarnation = bench.start_engine(engine);
            bench.tell(engine, incarnation, EngineState::Ready);
        }
        bench
    }

    fn record(&mut self, router: usize, event: TraceEvent) {
        let at = self.now;
        if let Some(trace) = self.trace.as_mut().filter(|_| router == RECORDED) {
            trace.push(TraceLine { at, event });
        }
    }

    fn run(mut self, seed: u64) -> (PolicyReport, Vec<TraceLine>) {
        let mut generator = WorkloadGenerator::new(self.params.profile.workload(), seed);
        let end = Timestamp(0).plus(self.params.duration);
        let rate = self.params.requests_per_second;
        let seconds = |at: Timestamp| at.0 as f64 / 1e6;
        let after = |at: Timestamp, gap: f64| at.plus(Duration::from_secs_f64(gap));
        let mut next_ask = after(self.now, generator.next_gap(rate));
        let mut next_load = self.now.plus(LOAD_EVERY);
        let mut next_crash = self.now.plus(self.params.crash_every);
        let mut returns: Option<(Timestamp, usize)> = None;
        loop {
            let at = self.next_at(&[next_ask, next_load, next_crash], returns);
            if at > end {
                let trace = self.trace.take().unwrap_or_default();
                return (self.report(), trace);
            }
            self.now = at;
            self.advance_engines();
            self.take_reports();
            self.place_again();
            if next_ask <= at {
                let request = generator.next_request(seconds(at));
                self.ask(request);
                next_ask = after(at, generator.next_gap(rate));
            }
            if next_load <= at {
                self.publish_loads();
                next_load = at.plus(LOAD_EVERY);
            }
            if next_crash <= at {
                let engine = self.random.random_range(0..self.params.engines);
                self.crash(engine);
                returns = Some((at.plus(AWAY), engine));
                next_crash = at.plus(self.params.crash_every);
            }
            if let Some((_, engine)) = returns.take_if(|(due, _)| *due <= at) {
                let incarnation = self.start_engine(engine);
                let report = Report::Start(engine, incarnation, EngineState::Ready);
                self.reports.push((at.plus(RESTART_UNKNOWN), report));
            }
        }
    }

    fn next_at(&self, due: &[Timestamp], returns: Option<(Timestamp, usize)>) -> Timestamp {
        let engines = self.engines.iter().flatten();
        let engines = engines.filter_map(EngineCore::next_event_at);
        let reports = self.reports.iter().map(|(at, _)| *at);
        let retries = self.retries.iter().map(|(at, _)| *at);
        let returns = returns.map(|(at, _)| at);
        let next = due
            .iter()
            .copied()
            .chain(engines)
            .chain(reports)
            .chain(retries)
            .chain(returns)
            .min();
        next.unwrap_or(Timestamp(u64::MAX)).max(self.now)
    }

    fn start_engine(&mut self, engine: usize) -> Incarnation {
        self.next_start += 1;
        let incarnation = Incarnation(self.next_start);
        let params = EngineParams {
            name: EngineName::new(format!("engine-{engine}")),
            model: ModelName::new(MODEL),
            cache_blocks: self.params.cache_blocks,
            ..EngineParams::default()
        };
        self.engines[engine] = Some(EngineCore::new(params, incarnation));
        incarnation
    }

    /// What was running is asked again elsewhere, as by the router's retries.
    fn crash(&mut self, engine: usize) {
        self.engines[engine] = None;
        let id = self.ids[engine];
        let mut lost: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                let placed = job.placement.as_ref();
                placed.is_some_and(|placement| placement.engine == id)
            })
            .map(|(number, _)| *number)
            .collect();
        lost.sort_unstable();
        for number in lost {
            self.fail(number);
        }
        let report = Report::Start(engine, Incarnation(0), EngineState::Suspect);
        self.reports.push((self.now.plus(RESTART_UNKNOWN), report));
    }

    fn fail(&mut self, number: u64) {
        const AVOIDED: Duration = Duration::from_secs(2);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let Some(placement) = job.placement.take() {
            job.excluded.push(placement.engine);
            let until = self.now.plus(AVOIDED);
            let router = job.router;
            self.placers[router].on_failed(&placement, Some(until));
            let event = TraceEvent::Failed {
                request: number,
                avoided_until: Some(until),
            };
            self.record(router, event);
        }
        self.retries.push((self.now.plus(REPLACE_AFTER), number));
    }

    fn place_again(&mut self) {
        let now = self.now;
        let (due, later) = self.retries.drain(..).partition(|(at, _)| *at <= now);
        self.retries = later;
        let due: Vec<(Timestamp, u64)> = due;
        for (_, number) in due {
            self.place(number);
        }
    }

    fn ask(&mut self, request: WorkloadRequest) {
        let tenant = TenantName::new(format!("tenant-{}", request.tenant));
        let root = PrefixRoot::new(&tenant, &ModelName::new(MODEL), WEIGHTS, None);
        let block_tokens = EngineParams::default().block_tokens;
        self.next_job += 1;
        let job = Job {
            chain: request.chain(root, block_tokens),
            router: self.random.random_range(0..self.params.routers),
            asked_at: self.now,
            excluded: Vec::new(),
            looked_up: None,
            placement: None,
            request,
        };
        self.jobs.insert(self.next_job, job);
        self.place(self.next_job);
    }

    fn place(&mut self, number: u64) {
        if self.policy == Policy::Exact {
            self.show_oracle(number);
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let zone = zone(job.router, self.params.zones);
        let routing = RoutingRequest {
            pool: &PoolName::new(POOL),
            weights_version: WEIGHTS,
            chain: &job.chain,
            goal: self.params.profile.goal(),
            zone: &zone,
            excluded: &job.excluded,
            known: None,
        };
        let placer = &mut self.placers[job.router];
        let started = Instant::now();
        let decision = match &job.looked_up {
            Some(answers) => placer
                .place_informed(number, &routing, answers, self.now)
                .map(|(placement, choice)| Decision::Placed(placement, choice)),
            None => placer.place(number, &routing, self.now),
        };
        self.deciding += started.elapsed();
        self.decisions += 1;
        let router = job.router;
        let event = TraceEvent::Place(PlaceEvent {
            request: number,
            pool: routing.pool.clone(),
            weights_version: WEIGHTS,
            hashes: job.chain.hashes().to_vec(),
            block_tokens: job.chain.block_tokens(),
            prompt_tokens: job.chain.prompt_tokens(),
            goal: routing.goal,
            zone: zone.clone(),
            excluded: job.excluded.clone(),
            answers: job.looked_up.clone(),
        });
        self.record(router, event);
        match decision {
            Ok(Decision::Placed(placement, _)) => self.submit(number, placement),
            Ok(Decision::LookUp(engines)) => self.look_up(number, &engines),
            Err(_) => {
                if let Some(job) = self.jobs.get_mut(&number) {
                    job.excluded.clear();
                }
                let at = self.now.plus(Duration::from_millis(50));
                self.retries.push((at, number));
            }
        }
    }

    /// Engines answer by what they hold now; the request is placed a little later.
    fn look_up(&mut self, number: u64, engines: &[EngineId]) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let request = LookupRequest::of(&job.chain);
        let bytes = serde_json::to_vec(&request).map_or(0, |body| body.len() as u64);
        let block_tokens = job.chain.block_tokens();
        let mut answers = Vec::new();
        for (position, id) in self.ids.iter().enumerate() {
            let core = self.engines[position].as_ref();
            if let Some(core) = core.filter(|_| engines.contains(id)) {
                let reply = core.look_up(&request);
                self.lookup_bytes += bytes + LOOKUP_OVERHEAD_BYTES;
                answers.push(LookupAnswer {
                    engine: *id,
                    cached_tokens: reply.blocks * block_tokens,
                    load: AnswerLoad {
                        waiting_tokens: reply.waiting_tokens,
                        running: reply.running,
                    },
                });
            }
        }
        job.looked_up = Some(answers);
        self.retries.push((self.now.plus(LOOKUP_TIME), number));
    }

    fn submit(&mut self, number: u64, placement: Placement) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let position = self.ids.iter().position(|id| *id == placement.engine);
        let incarnation = placement.incarnation;
        job.looked_up = None;
        job.placement = Some(placement);
        let request = EngineRequest {
            id: RequestId {
                router: 1,
                sequence: number,
            },
            incarnation: Some(incarnation),
            weights_version: Some(WEIGHTS),
            priority: Priority::Standard,
            chain: job.chain.hashes().to_vec(),
            prompt_tokens: job.chain.prompt_tokens(),
            max_tokens: job.request.output_tokens,
            tenant: job.request.tenant as u64,
            once: None,
        };
        let now = self.now;
        let engine = position.and_then(|position| self.engines[position].as_mut());
        let accepted =
            engine.is_some_and(|engine| engine.submit(request, now) == Submission::Accepted);
        if !accepted {
            self.fail(number);
        }
    }

    /// Shows the request's router every queue as it is, and through beliefs what each engine
    /// holds of this very prompt.
    fn show_oracle(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let (router, chain) = (job.router, job.chain.clone());
        let probe = EngineRequest {
            id: RequestId::default(),
            incarnation: None,
            weights_version: None,
            priority: Priority::Standard,
            chain: chain.hashes().to_vec(),
            prompt_tokens: chain.prompt_tokens(),
            max_tokens: 1,
            tenant: 0,
            once: None,
        };
        let placer = &mut self.placers[router];
        for (position, core) in self.engines.iter().enumerate() {
            let id = self.ids[position];
            let Some(engine) = placer.engines_mut().get_mut(id) else {
                continue;
            };
            match core {
                Some(core) => {
                    engine.observation.state = EngineState::Ready;
                    engine.observation.incarnation = core.incarnation();
                    engine.show_exactly(
                        core.waiting_tokens(),
                        core.running() as u32,
                        core.cached_tokens(&probe),
                        self.now,
                    );
                }
                None => engine.observation.state = EngineState::Joining,
            }
        }
    }

    fn advance_engines(&mut self) {
        for position in 0..self.engines.len() {
            let Some(core) = self.engines[position].as_mut() else {
                continue;
            };
            if core.next_event_at().is_none_or(|at| at > self.now) {
                continue;
            }
            for output in core.advance(self.now) {
                self.on_output(&output);
            }
            if let Some(core) = self.engines[position].as_mut() {
                core.take_executions();
            }
        }
    }

    fn on_output(&mut self, output: &EngineOutput) {
        let number = output.id.sequence;
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let Some(placement) = &job.placement else {
            return;
        };
        let mut told = None;
        if output.index == 0 {
            let placer = &mut self.placers[job.router];
            let report = AnswerReport {
                cached_tokens: Some(output.cached_tokens),
                load: output.load,
            };
            placer.on_first_token(placement, report, output.at);
            told = Some((job.router, report));
            if job.asked_at >= Timestamp(0).plus(WARM_UP) {
                let took = output.at.since(job.asked_at).as_micros() as u64;
                self.first_token.saturating_record(took.max(1));
                self.requests += 1;
                self.prompt_tokens += u64::from(job.chain.prompt_tokens());
                self.cached_tokens += u64::from(output.cached_tokens);
            }
        }
        if let Some((router, report)) = told {
            let event = TraceEvent::FirstToken {
                request: number,
                report,
            };
            self.record(router, event);
        }
        if output.last {
            if let Some(job) = self.jobs.remove(&number) {
                if let Some(placement) = &job.placement {
                    self.placers[job.router].on_ended(placement);
                    self.record(job.router, TraceEvent::Ended { request: number });
                }
            }
        }
    }

    /// Loads as they are now arrive later, and are old when they arrive.
    fn publish_loads(&mut self) {
        let mut loads = Vec::new();
        for (position, core) in self.engines.iter().enumerate() {
            let Some(core) = core else {
                continue;
            };
            let load = LoadReport {
                waiting_tokens: core.waiting_tokens(),
                running: core.running() as u32,
                at: self.now,
            };
            loads.push(EngineLoad {
                slot: position as u16,
                waiting: (load.waiting_tokens / 256) as u16,
                running: load.running as u8,
                age: (LOAD_AGE.as_millis() / 100) as u8,
            });
            let at = self.now.plus(LOAD_AGE);
            self.reports.push((at, Report::Load(position, load)));
        }
        let update = Message::Loads(LoadUpdate {
            loads: List::new(loads),
        });
        self.control_bytes += encode_frame(&update).map_or(0, |frame| frame.len() as u64);
    }

    fn take_reports(&mut self) {
        let now = self.now;
        let (due, later) = self.reports.drain(..).partition(|(at, _)| *at <= now);
        self.reports = later;
        let due: Vec<(Timestamp, Report)> = due;
        for (_, report) in due {
            match report {
                Report::Load(position, load) => {
                    for placer in &mut self.placers {
                        if let Some(engine) = placer.engines_mut().get_mut(self.ids[position]) {
                            engine.load = load;
                        }
                    }
                    let engine = self.ids[position];
                    let report = load;
                    self.record(RECORDED, TraceEvent::Load { engine, report });
                }
                Report::Start(position, incarnation, state) => {
                    self.tell(position, incarnation, state);
                }
            }
        }
    }

    fn tell(&mut self, engine: usize, incarnation: Incarnation, state: EngineState) {
        let observation = EngineObservation {
            name: EngineName::new(format!("engine-{engine}")),
            address: String::new(),
            zone: zone(engine, self.params.zones),
            pool: PoolName::new(POOL),
            incarnation,
            weights_version: WEIGHTS,
            state,
        };
        for placer in &mut self.placers {
            placer.engines_mut().observe(observation.clone());
        }
        self.record(RECORDED, TraceEvent::Engine { observation });
    }

    fn report(self) -> PolicyReport {
        let counted = self.prompt_tokens.max(1) as f64;
        let looked_up = self.lookup_bytes as f64 / self.params.routers as f64;
        let bytes = self.control_bytes as f64 + looked_up;
        PolicyReport {
            policy: name(self.policy),
            requests: self.requests,
            prefix_hit_rate: self.cached_tokens as f64 / counted,
            ttft_ms: Percentiles::of(&self.first_token),
            recomputed_tokens: self.prompt_tokens - self.cached_tokens,
            control_bytes_per_second_per_node: bytes / self.params.duration.as_secs_f64(),
            decision_ns: self.deciding.as_nanos() as f64 / self.decisions.max(1) as f64,
        }
    }
}

fn router_seed(seed: u64, router: usize) -> u64 {
    seed ^ (router as u64 + 1) << 32
}

fn zone(number: usize, zones: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % zones))
}
