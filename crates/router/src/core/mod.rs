//! The router's decisions.

mod control;
mod ledger;
mod placement;
mod questions;
mod requests;
mod slots;
mod tenants;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_core::{
    EngineId, Execution, ModelName, Priority, RequestId, RouterName, TenantName, Timestamp,
    WeightsVersion, ZoneName,
};
use drumshore_routing::{
    Admission, AdmissionParams, DecisionLog, DecisionRecord, EngineObservation, EngineSet,
    FairQueue, Placement, Placer, PrefixIndexParams, RetryBudget, RetryParams, Scheduler,
    SchedulerParams,
};
use drumshore_wire::Message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::ConfigView;
use crate::session::{ControlSession, SessionAction, SessionParams};

use ledger::PendingOutcome;
use questions::Questions;
use slots::Slots;
use tenants::UnknownKeys;

pub use types::{
    AdmitOutcome, AdmitRequest, Assignment, Effect, Purpose, RouterMetrics, StoredFile, StoredState,
};

/// The engine list is written at most this often.
const ENGINES_STORED_EVERY: Duration = Duration::from_secs(2);

/// Bounds, periods and weights of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterParams {
    /// The router's name.
    pub name: RouterName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Control machines to choose from.
    pub controls: usize,
    /// How engines are chosen.
    pub scheduler: SchedulerParams,
    /// What is remembered of their caches.
    pub belief: PrefixIndexParams,
    /// What may be open.
    pub admission: AdmissionParams,
    /// What may be tried again.
    pub retry: RetryParams,
    /// Requests that may wait for an engine, for each model.
    pub queue_capacity: usize,
    /// How long a request may wait for an engine when its class says nothing else.
    pub queue_timeout: Duration,
    /// Decisions kept.
    pub decision_entries: usize,
    /// A link to a control machine is left when it did not confirm its view for this long.
    pub stale_after: Duration,
    /// The longest pause before a new link.
    pub max_reconnect_pause: Duration,
    /// How long a request waits until its tenant is known.
    pub tenant_patience: Duration,
    /// How long a request waits for its claim.
    pub claim_patience: Duration,
    /// How often use is reported.
    pub usage_interval: Duration,
    /// An engine that failed a request is avoided for this long.
    pub suspect_time: Duration,
    /// How long a request waits for an answer of the index.
    pub index_patience: Duration,
}

impl RouterParams {
    /// Usual bounds for a router of this name and zone.
    pub fn new(name: RouterName, zone: ZoneName, controls: usize) -> Self {
        Self {
            name,
            zone,
            controls,
            scheduler: SchedulerParams::default(),
            belief: PrefixIndexParams::default(),
            admission: AdmissionParams { max_open: 2_048 },
            retry: RetryParams::default(),
            queue_capacity: 4_096,
            queue_timeout: Duration::from_secs(10),
            decision_entries: 8_192,
            stale_after: Duration::from_secs(3),
            max_reconnect_pause: Duration::from_millis(500),
            tenant_patience: Duration::from_secs(3),
            claim_patience: Duration::from_secs(6),
            usage_interval: Duration::from_secs(1),
            suspect_time: Duration::from_secs(2),
            index_patience: Duration::from_millis(30),
        }
    }
}

#[derive(Clone, Debug)]
enum Phase {
    AwaitingTenant { until: Timestamp },
    AwaitingClaim { until: Timestamp },
    AwaitingIndex { ticket: u32, until: Timestamp },
    Queued,
    Running(Placement),
}

#[derive(Clone, Debug)]
struct ActiveRequest {
    ask: AdmitRequest,
    tenant: TenantName,
    weight: u32,
    priority: Priority,
    deadline: Timestamp,
    attempts: u32,
    excluded: Vec<EngineId>,
    /// Once a part of the answer was passed on, only the same weights can continue it.
    pinned_weights: Option<WeightsVersion>,
    /// The worst that any attempt has left behind.
    execution: Execution,
    phase: Phase,
}

/// A router without I/O.
pub struct RouterCore {
    params: RouterParams,
    router_id: u64,
    next_sequence: u64,
    now: Timestamp,
    random: ChaCha8Rng,
    config: ConfigView,
    session: ControlSession,
    slots: Slots,
    questions: Questions,
    placer: Placer,
    admission: Admission,
    retry: RetryBudget,
    queues: BTreeMap<ModelName, FairQueue<RequestId>>,
    active: BTreeMap<RequestId, ActiveRequest>,
    unknown_keys: UnknownKeys,
    outcomes: BTreeMap<u64, PendingOutcome>,
    allotted: BTreeSet<TenantName>,
    decisions: DecisionLog,
    metrics: RouterMetrics,
    last_fresh: Option<Timestamp>,
    usage_due: Timestamp,
    engines_changed: bool,
    engines_stored_at: Timestamp,
    stopping: bool,
    effects: Vec<Effect>,
}

impl RouterCore {
    /// A router that starts from what its data folder holds. `seed` must differ at each start.
    pub fn new(params: RouterParams, stored: StoredState, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let scheduler_random = ChaCha8Rng::from_rng(&mut random);
        let session_params = SessionParams {
            peers: params.controls,
            stale_after: params.stale_after,
            max_pause: params.max_reconnect_pause,
        };
        let scheduler = Scheduler::new(params.scheduler.clone(), scheduler_random);
        let mut placer = Placer::new(scheduler, params.belief.clone());
        for observation in stored.engines {
            placer.engines_mut().observe(observation);
        }
        let first_peer = xxh3_64(params.name.as_str().as_bytes()) as usize;
        Self {
            router_id: rand::RngCore::next_u64(&mut random),
            next_sequence: 0,
            now: Timestamp(0),
            random,
            config: stored.config,
            session: ControlSession::new(session_params, first_peer),
            slots: Slots::default(),
            questions: Questions::default(),
            placer,
            admission: Admission::new(params.admission.clone()),
            retry: RetryBudget::new(params.retry.clone()),
            queues: BTreeMap::new(),
            active: BTreeMap::new(),
            unknown_keys: UnknownKeys::default(),
            outcomes: BTreeMap::new(),
            allotted: BTreeSet::new(),
            decisions: DecisionLog::new(params.decision_entries),
            metrics: RouterMetrics::default(),
            last_fresh: None,
            usage_due: Timestamp(0),
            engines_changed: false,
            engines_stored_at: Timestamp(0),
            stopping: false,
            effects: Vec::new(),
            params,
        }
    }

    /// Sets the time; it must not go back.
    pub fn set_now(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    /// Lets time pass. To be called about ten times a second.
    pub fn on_tick(&mut self) {
        for action in self.session.on_tick(self.now, &mut self.random) {
            let effect = match action {
                SessionAction::Connect { link, peer } => Effect::Connect { link, peer },
                SessionAction::Close(link) => Effect::Close(link),
            };
            self.effects.push(effect);
        }
        self.expire_waiting();
        self.expire_questions();
        self.expire_queued();
        self.resend_outcomes();
        self.report_usage();
        self.store_engines();
        self.pump();
    }

    /// What there is to do, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.send_bookings();
        std::mem::take(&mut self.effects)
    }

    /// From now on nothing new is taken; what is open goes on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// True when nothing is open and every outcome is stored.
    pub fn is_drained(&self) -> bool {
        self.active.is_empty() && self.outcomes.is_empty()
    }

    /// True when requests can be served: some configuration was applied and no stop is under way.
    pub fn is_ready(&self) -> bool {
        !self.config.is_blank() && !self.stopping
    }

    /// The story of a recent request.
    pub fn explain(&self, request: RequestId) -> Option<&DecisionRecord> {
        self.decisions.get(request)
    }

    /// The stories kept, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.decisions.iter()
    }

    /// The configuration applied.
    pub fn config(&self) -> &ConfigView {
        &self.config
    }

    /// The engines known.
    pub fn engines(&self) -> &EngineSet {
        self.placer.engines()
    }

    /// Counters and gauges.
    pub fn metrics(&self) -> RouterMetrics {
        let recent = self.params.stale_after;
        let fresh = self
            .last_fresh
            .is_some_and(|at| self.now.since(at) <= recent);
        RouterMetrics {
            open: self.active.len() as u64,
            queued: self.queues.values().map(|queue| queue.len() as u64).sum(),
            revision: self.config.floor().0,
            control_fresh: u64::from(fresh),
            ..self.metrics
        }
    }

    fn store_config(&mut self) {
        let bytes = self.config.encode();
        self.effects
            .push(Effect::Persist(StoredFile::Config, bytes));
    }

    fn store_engines(&mut self) {
        let due = self.engines_stored_at.plus(ENGINES_STORED_EVERY);
        if !self.engines_changed || self.now < due {
            return;
        }
        self.engines_changed = false;
        self.engines_stored_at = self.now;
        let engines: Vec<&EngineObservation> = self
            .engines()
            .iter()
            .map(|engine| &engine.observation)
            .collect();
        if let Ok(bytes) = serde_json::to_vec(&engines) {
            self.effects
                .push(Effect::Persist(StoredFile::Engines, bytes));
        }
    }

    fn answer(&mut self, request: RequestId, outcome: AdmitOutcome) {
        self.effects.push(Effect::Answer(request, outcome));
    }

    fn send(&mut self, message: Message) {
        if let Some(link) = self.session.up() {
            self.metrics.control_messages_sent += 1;
            self.effects.push(Effect::Send(link, message));
        }
    }
}
