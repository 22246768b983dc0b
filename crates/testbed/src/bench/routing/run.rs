//! Runs one policy over the requests generated from one seed.

use std::time::{Duration, Instant};

use drumshore_core::{
    EngineId, EngineName, Incarnation, ModelName, PoolName, Priority, RequestId, TenantName,
    Timestamp, WeightsVersion, ZoneName,
};
use drumshore_routing::recorder::{PlaceEvent, TraceEvent, TraceLine};
use drumshore_routing::{
    AnswerReport, Decision, EngineState, Indexer, IndexerParams, LookupAnswer, Placement, Placer,
    Policy, PrefixChain, PrefixIndexParams, PrefixRoot, RoutingRequest, Scheduler, SchedulerParams,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::control::{ids, Report, POLL_INTERVAL};
use super::{name, PolicyReport, RoutingBench};
use crate::engine::{EngineCore, EngineOutput, EngineParams, EngineRequest, Submission};
use crate::load::{histogram, Percentiles};
use crate::workload::{WorkloadGenerator, WorkloadRequest};

const MODEL: &str = "m";
pub(super) const POOL: &str = "p";
pub(super) const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// Delay until routers learn of the crash or restart of an engine.
const RESTART_DETECTION_DELAY: Duration = Duration::from_millis(700);

/// Time between the crash of an engine and its restart.
const ENGINE_DOWNTIME: Duration = Duration::from_secs(3);

/// Recompute weight of the oracle, independent of that of the product policy. Its tail latency is
/// lowest with this value.
const ORACLE_RECOMPUTE_WEIGHT: f64 = 1.5;

/// Delay until a failed request is placed again.
const RETRY_DELAY: Duration = Duration::from_millis(2);

/// Requests that arrive earlier only warm the caches and are not measured.
const WARM_UP: Duration = Duration::from_secs(40);

pub(super) struct Job {
    request: WorkloadRequest,
    pub(super) chain: PrefixChain,
    pub(super) router: usize,
    asked_at: Timestamp,
    excluded: Vec<EngineId>,
    /// Answers of the index, kept until the request is placed.
    pub(super) answers: Option<Vec<LookupAnswer>>,
    /// True when the index has answered a lookup and its booking is still to be sent.
    pub(super) booking_pending: bool,
    placement: Option<Placement>,
}

/// State of a running simulation.
pub(super) struct Bench {
    pub(super) params: RoutingBench,
    policy: Policy,
    pub(super) now: Timestamp,
    random: ChaCha8Rng,
    pub(super) engines: Vec<Option<EngineCore>>,
    pub(super) ids: Vec<EngineId>,
    /// State of each engine as last reported to the routers.
    pub(super) states: Vec<EngineState>,
    pub(super) placers: Vec<Placer>,
    /// One prefix index per control machine.
    pub(super) indexers: Vec<Indexer>,
    pub(super) jobs: FxHashMap<u64, Job>,
    pub(super) retries: Vec<(Timestamp, u64)>,
    pub(super) reports: Vec<(Timestamp, Report)>,
    next_job: u64,
    next_incarnation: u64,
    first_token: Histogram<u64>,
    requests: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    pub(super) control_bytes: u64,
    pub(super) index_traffic_bytes: u64,
    decisions: u64,
    deciding: Duration,
    /// Input of the placer of [`RECORDED_ROUTER`], when a trace is recorded.
    trace: Option<Vec<TraceLine>>,
}

/// Number of the router whose input is recorded.
pub(super) const RECORDED_ROUTER: usize = 0;

impl Bench {
    pub(super) fn new(
        params: RoutingBench,
        policy: Policy,
        seed: u64,
        trace: Option<Vec<TraceLine>>,
    ) -> Self {
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
                PrefixIndexParams::default(),
            )
        });
        let mut bench = Self {
            policy,
            now: Timestamp(0),
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: (0..params.engines).map(|_| None).collect(),
            ids: ids(params.engines),
            states: vec![EngineState::Joining; params.engines],
            indexers: vec![Indexer::new(IndexerParams::default()); params.control_machines],
            placers: placers.collect(),
            jobs: FxHashMap::default(),
            retries: Vec::new(),
            reports: Vec::new(),
            next_job: 0,
            next_incarnation: 0,
            first_token: histogram(),
            requests: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            control_bytes: 0,
            index_traffic_bytes: 0,
            decisions: 0,
            deciding: Duration::ZERO,
            trace,
            params,
        };
        bench.record(
            RECORDED_ROUTER,
            TraceEvent::Start {
                params: scheduler,
                seed: router_seed(seed, RECORDED_ROUTER),
            },
        );
        for engine in 0..bench.params.engines {
            let incarnation = bench.start_engine(engine);
            bench.observe_engine(engine, incarnation, EngineState::Ready);
        }
        bench
    }

    pub(super) fn record(&mut self, router: usize, event: TraceEvent) {
        let at = self.now;
        if let Some(trace) = self.trace.as_mut().filter(|_| router == RECORDED_ROUTER) {
            trace.push(TraceLine { at, event });
        }
    }

    pub(super) fn run(mut self, seed: u64) -> (PolicyReport, Vec<TraceLine>) {
        let mut generator = WorkloadGenerator::new(self.params.profile.workload(), seed);
        let end = Timestamp(0).plus(self.params.duration);
        let rate = self.params.requests_per_second;
        let seconds = |at: Timestamp| at.0 as f64 / 1e6;
        let after = |at: Timestamp, gap: f64| at.plus(Duration::from_secs_f64(gap));
        let mut next_request_at = after(self.now, generator.next_gap(rate));
        let mut next_poll = self.now.plus(POLL_INTERVAL);
        let mut next_crash = self.now.plus(self.params.crash_every);
        let mut restart: Option<(Timestamp, usize)> = None;
        loop {
            let at = self.next_at(&[next_request_at, next_poll, next_crash], restart);
            if at > end {
                let trace = self.trace.take().unwrap_or_default();
                return (self.report(), trace);
            }
            self.now = at;
            self.advance_engines();
            self.deliver_reports();
            self.place_retries();
            if next_request_at <= at {
                let request = generator.next_request(seconds(at));
                self.start_request(request);
                next_request_at = after(at, generator.next_gap(rate));
            }
            if next_poll <= at {
                self.poll_engines();
                next_poll = at.plus(POLL_INTERVAL);
            }
            if next_crash <= at {
                let engine = self.random.random_range(0..self.params.engines);
                self.crash(engine);
                restart = Some((at.plus(ENGINE_DOWNTIME), engine));
                next_crash = at.plus(self.params.crash_every);
            }
            if let Some((_, engine)) = restart.take_if(|(due, _)| *due <= at) {
                let incarnation = self.start_engine(engine);
                let report = Report::Start(engine, incarnation, EngineState::Ready);
                self.reports
                    .push((at.plus(RESTART_DETECTION_DELAY), report));
            }
        }
    }

    fn next_at(&self, due: &[Timestamp], restart: Option<(Timestamp, usize)>) -> Timestamp {
        let engines = self.engines.iter().flatten();
        let engines = engines.filter_map(EngineCore::next_event_at);
        let reports = self.reports.iter().map(|(at, _)| *at);
        let retries = self.retries.iter().map(|(at, _)| *at);
        let restart = restart.map(|(at, _)| at);
        let next = due
            .iter()
            .copied()
            .chain(engines)
            .chain(reports)
            .chain(retries)
            .chain(restart)
            .min();
        next.unwrap_or(Timestamp(u64::MAX)).max(self.now)
    }

    fn start_engine(&mut self, engine: usize) -> Incarnation {
        self.next_incarnation += 1;
        let incarnation = Incarnation(self.next_incarnation);
        let params = EngineParams {
            name: EngineName::new(format!("engine-{engine}")),
            model: ModelName::new(MODEL),
            cache_blocks: self.params.cache_blocks,
            ..EngineParams::default()
        };
        self.engines[engine] = Some(EngineCore::new(params, incarnation));
        incarnation
    }

    /// Crashes an engine. Its requests are retried on other engines.
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
        self.reports
            .push((self.now.plus(RESTART_DETECTION_DELAY), report));
    }

    fn fail(&mut self, number: u64) {
        const AVOID_DURATION: Duration = Duration::from_secs(2);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if let Some(placement) = job.placement.take() {
            job.excluded.push(placement.engine);
            let until = self.now.plus(AVOID_DURATION);
            let router = job.router;
            self.placers[router].on_failed(&placement, Some(until));
            let event = TraceEvent::Failed {
                request: number,
                avoided_until: Some(until),
            };
            self.record(router, event);
        }
        self.retries.push((self.now.plus(RETRY_DELAY), number));
    }

    fn place_retries(&mut self) {
        let now = self.now;
        let (due, later) = self.retries.drain(..).partition(|(at, _)| *at <= now);
        self.retries = later;
        let due: Vec<(Timestamp, u64)> = due;
        for (_, number) in due {
            self.place(number);
        }
    }

    fn start_request(&mut self, request: WorkloadRequest) {
        let tenant = TenantName::new(format!("tenant-{}", request.tenant));
        let root = PrefixRoot::new(&tenant, &ModelName::new(MODEL), WEIGHTS, None);
        let block_tokens = EngineParams::default().block_tokens;
        self.next_job += 1;
        let job = Job {
            chain: request.chain(root, block_tokens),
            router: self.random.random_range(0..self.params.routers),
            asked_at: self.now,
            excluded: Vec::new(),
            answers: None,
            booking_pending: false,
            placement: None,
            request,
        };
        self.jobs.insert(self.next_job, job);
        self.place(self.next_job);
    }

    fn place(&mut self, number: u64) {
        if self.policy == Policy::Exact {
            self.set_exact_states(number);
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let may_look_up = job.answers.is_none();
        let zone = zone(job.router, self.params.zones);
        let routing = RoutingRequest {
            pool: &PoolName::new(POOL),
            weights_version: WEIGHTS,
            chain: &job.chain,
            goal: self.params.profile.goal(),
            zone: &zone,
            excluded: &job.excluded,
            index_answer: None,
            may_look_up,
        };
        let placer = &mut self.placers[job.router];
        let started = Instant::now();
        let decision = match &job.answers {
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
            may_look_up,
            answers: job.answers.clone(),
        });
        self.record(router, event);
        match decision {
            Ok(Decision::Placed(placement, _)) => self.submit(number, placement),
            Ok(Decision::Lookup(_)) => self.query_index(number),
            Err(_) => {
                if let Some(job) = self.jobs.get_mut(&number) {
                    job.excluded.clear();
                }
                let at = self.now.plus(Duration::from_millis(50));
                self.retries.push((at, number));
            }
        }
    }

    /// Returns true when the policy sends lookups to the index.
    pub(super) fn uses_index(&self) -> bool {
        self.policy == Policy::Product
    }

    fn submit(&mut self, number: u64, placement: Placement) {
        self.book_at_index(number, &placement);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let position = self.ids.iter().position(|id| *id == placement.engine);
        let incarnation = placement.incarnation;
        job.answers = None;
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

    /// Gives the router of a request the current queue of every engine and the exact number of
    /// prompt tokens that each has cached for the request.
    fn set_exact_states(&mut self, number: u64) {
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
                    engine.set_exact_state(
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
        let mut first_token_report = None;
        if output.index == 0 {
            let placer = &mut self.placers[job.router];
            let report = AnswerReport {
                cached_tokens: Some(output.cached_tokens),
                load: output.load,
            };
            placer.on_first_token(placement, report, output.at);
            first_token_report = Some((job.router, report));
            if job.asked_at >= Timestamp(0).plus(WARM_UP) {
                let latency = output.at.since(job.asked_at).as_micros() as u64;
                self.first_token.saturating_record(latency.max(1));
                self.requests += 1;
                self.prompt_tokens += u64::from(job.chain.prompt_tokens());
                self.cached_tokens += u64::from(output.cached_tokens);
            }
        }
        if let Some((router, report)) = first_token_report {
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

    fn report(self) -> PolicyReport {
        let counted = self.prompt_tokens.max(1) as f64;
        let indexed = self.index_traffic_bytes as f64 / self.params.routers as f64;
        let bytes = self.control_bytes as f64 + indexed;
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

/// Returns the zone of an engine or router.
pub(super) fn zone(number: usize, zones: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % zones))
}
