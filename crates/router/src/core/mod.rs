//! The core of the router: admission, queues, placement, retries and the control session.

mod control;
mod ledger;
mod lookups;
mod placement;
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
use lookups::Lookups;
use slots::Slots;
use tenants::UnknownKeys;

pub use types::{
    AdmitOutcome, AdmitRequest, Assignment, Effect, Purpose, RouterMetrics, StoredFile, StoredState,
};

/// Minimum interval between writes of the engine list.
const ENGINE_STORE_INTERVAL: Duration = Duration::from_secs(2);

/// Limits, timeouts and weights of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterParams {
    /// The router's name, which also selects its first control machine.
    pub name: RouterName,
    /// The zone that the router runs in.
    pub zone: ZoneName,
    /// Number of control machines.
    pub control_count: usize,
    /// Parameters of the engine scheduler.
    pub scheduler: SchedulerParams,
    /// Parameters of the estimate of the engines' caches.
    pub prefix_index: PrefixIndexParams,
    /// Limits on open requests.
    pub admission: AdmissionParams,
    /// Limits on retries.
    pub retry: RetryParams,
    /// Maximum number of requests that wait for an engine, for each model.
    pub queue_capacity: usize,
    /// How long a request may wait for an engine, unless its priority class sets a deadline.
    pub queue_timeout: Duration,
    /// Number of decision records kept.
    pub decision_entries: usize,
    /// A link to a control machine is closed if the machine did not confirm its view for this long.
    pub stale_after: Duration,
    /// Upper bound of the random delay before a link is reopened.
    pub max_reconnect_delay: Duration,
    /// How long a request waits for its tenant to be identified.
    pub tenant_query_timeout: Duration,
    /// How long a request waits for the ledger to grant its claim.
    pub claim_timeout: Duration,
    /// Interval at which the usage of tenants is reported.
    pub usage_interval: Duration,
    /// How long an engine is avoided after it failed a request.
    pub suspect_time: Duration,
    /// How long a request waits for the answer to an index lookup.
    pub index_timeout: Duration,
}

impl RouterParams {
    /// Default parameters for a router with this name and zone, and this number of control
    /// machines.
    pub fn new(name: RouterName, zone: ZoneName, control_count: usize) -> Self {
        Self {
            name,
            zone,
            control_count,
            scheduler: SchedulerParams::default(),
            prefix_index: PrefixIndexParams::default(),
            admission: AdmissionParams { max_open: 2_048 },
            retry: RetryParams::default(),
            queue_capacity: 4_096,
            queue_timeout: Duration::from_secs(10),
            decision_entries: 8_192,
            stale_after: Duration::from_secs(3),
            max_reconnect_delay: Duration::from_millis(500),
            tenant_query_timeout: Duration::from_secs(3),
            claim_timeout: Duration::from_secs(6),
            usage_interval: Duration::from_secs(1),
            suspect_time: Duration::from_secs(2),
            index_timeout: Duration::from_millis(30),
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
    admit_request: AdmitRequest,
    tenant: TenantName,
    weight: u32,
    priority: Priority,
    deadline: Timestamp,
    attempts: u32,
    excluded: Vec<EngineId>,
    /// Set once part of the answer was sent: only the same weights can continue it.
    pinned_weights: Option<WeightsVersion>,
    /// The most severe execution state of the failed attempts.
    execution: Execution,
    phase: Phase,
}

/// A router as a state machine without I/O and without a clock.
pub struct RouterCore {
    params: RouterParams,
    router_id: u64,
    next_sequence: u64,
    now: Timestamp,
    random: ChaCha8Rng,
    config: ConfigView,
    session: ControlSession,
    slots: Slots,
    lookups: Lookups,
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
    /// Creates a router from the contents of its data folder. `seed` must differ at every start.
    pub fn new(params: RouterParams, stored: StoredState, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let scheduler_random = ChaCha8Rng::from_rng(&mut random);
        let session_params = SessionParams {
            peer_count: params.control_count,
            stale_after: params.stale_after,
            max_reconnect_delay: params.max_reconnect_delay,
        };
        let scheduler = Scheduler::new(params.scheduler.clone(), scheduler_random);
        let mut placer = Placer::new(scheduler, params.prefix_index.clone());
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
            lookups: Lookups::default(),
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

    /// Sets the current time; an earlier time than the last one is ignored.
    pub fn set_now(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    /// Runs everything that is due. Must be called about ten times a second.
    pub fn on_tick(&mut self) {
        for action in self.session.on_tick(self.now, &mut self.random) {
            let effect = match action {
                SessionAction::Connect { link, peer } => Effect::Connect { link, peer },
                SessionAction::Close(link) => Effect::Close(link),
            };
            self.effects.push(effect);
        }
        self.expire_unconfirmed();
        self.expire_lookups();
        self.expire_queued();
        self.resend_outcomes();
        self.report_usage();
        self.store_engines();
        self.dispatch_queued();
    }

    /// Takes the effects to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.send_bookings();
        std::mem::take(&mut self.effects)
    }

    /// Refuses new requests from now on; open requests continue.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// True if no request is open and every outcome is stored.
    pub fn is_drained(&self) -> bool {
        self.active.is_empty() && self.outcomes.is_empty()
    }

    /// True if requests can be served: a configuration was applied and the router is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.config.is_blank() && !self.stopping
    }

    /// The decision record of a recent request.
    pub fn explain(&self, request: RequestId) -> Option<&DecisionRecord> {
        self.decisions.get(request)
    }

    /// All decision records kept, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.decisions.iter()
    }

    /// The configuration that the router applies.
    pub fn config(&self) -> &ConfigView {
        &self.config
    }

    /// All known engines.
    pub fn engines(&self) -> &EngineSet {
        self.placer.engines()
    }

    /// The current counters and gauges.
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
        let due = self.engines_stored_at.plus(ENGINE_STORE_INTERVAL);
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
        if let Some(link) = self.session.connected_link() {
            self.metrics.control_messages_sent += 1;
            self.effects.push(Effect::Send(link, message));
        }
    }
}
