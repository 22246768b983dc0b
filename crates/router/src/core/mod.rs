//! The router's decisions.

mod control;
mod ledger;
mod lookups;
mod placement;
mod requests;
mod tenants;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use drumshore_core::{
    AdapterName, EngineId, EngineName, Execution, IdempotencyKey, Incarnation, KeyHash, ModelName,
    Priority, RequestId, RouterName, TenantName, Timestamp, Verdict, WeightsVersion, ZoneName,
};
use drumshore_routing::{
    Admission, AdmissionParams, AnswerLoad, BeliefParams, DecisionLog, DecisionRecord,
    EngineObservation, EngineSet, FairQueue, LookupAnswer, Placement, Placer, PrefixRoot,
    RetryBudget, RetryParams, Scheduler, SchedulerParams,
};
use drumshore_wire::Message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::RecordedAnswer;
use crate::completion::PromptInput;
use crate::config::{ConfigError, ConfigView};
use crate::engine_api::{LookupReply, LookupRequest};
use crate::session::{ControlSession, LinkId, SessionAction, SessionParams};

use ledger::PendingOutcome;
use lookups::LookupBudget;
use tenants::UnknownKeys;

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
    pub belief: BeliefParams,
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
    /// Requests a second for which engines are asked before they are placed, at most. It bounds
    /// the traffic: a lookup of three engines is about 1 KB.
    pub lookups_per_second: f64,
    /// How long a request waits for the answers.
    pub lookup_patience: Duration,
}

impl RouterParams {
    /// Usual bounds for a router of this name and zone.
    pub fn new(name: RouterName, zone: ZoneName, controls: usize) -> Self {
        Self {
            name,
            zone,
            controls,
            scheduler: SchedulerParams::default(),
            belief: BeliefParams::default(),
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
            lookups_per_second: 8.0,
            lookup_patience: Duration::from_millis(30),
        }
    }
}

/// What a request is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// To run.
    #[default]
    Complete,
    /// To learn which models the tenant may use.
    ListModels,
}

/// A request that wants to run.
#[derive(Clone, Debug, Default)]
pub struct AdmitRequest {
    /// Hash of the key presented; `None` when none was.
    pub key_hash: Option<KeyHash>,
    /// What it is for.
    pub purpose: Purpose,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<PromptInput>,
    /// The priority asked for.
    pub priority: Option<Priority>,
    /// The priority class asked for; its word counts before `priority`.
    pub priority_class: Option<String>,
    /// True when the same request gives the same answer under the same weights.
    pub deterministic: bool,
    /// The caller's key, when the work may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of the body.
    pub fingerprint: u64,
}

/// An engine for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The request.
    pub request: RequestId,
    /// Counts the request's attempts from 1.
    pub attempt: u32,
    /// The engine.
    pub engine: EngineName,
    /// Where it listens.
    pub address: String,
    /// The start it is believed to be; a fence.
    pub incarnation: Incarnation,
    /// The weights it must answer with; a fence.
    pub weights_version: WeightsVersion,
    /// The root of its prefix chain; nothing is shared across it.
    pub cache_salt: PrefixRoot,
    /// How urgent it is.
    pub priority: Priority,
    /// The caller's key, when the work may not be repeated.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// What to ask engines before a request is placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Whom to ask.
    pub targets: Vec<LookupTarget>,
    /// What to ask.
    pub request: LookupRequest,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// How long to wait for the answers.
    pub patience: Duration,
}

/// An engine to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupTarget {
    /// The engine.
    pub engine: EngineId,
    /// Its name.
    pub name: EngineName,
    /// Where it listens.
    pub address: String,
}

impl Lookup {
    /// An engine's reply as the core takes it.
    pub fn answer(&self, engine: EngineId, reply: &LookupReply) -> LookupAnswer {
        LookupAnswer {
            engine,
            cached_tokens: reply.blocks * self.block_tokens,
            load: AnswerLoad {
                waiting_tokens: reply.waiting_tokens,
                running: reply.running,
            },
        }
    }
}

/// The core's answer to a request or a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// Send it there.
    Assigned(Assignment),
    /// It ran before; this was the answer.
    Recorded(RecordedAnswer),
    /// The models that the tenant may use.
    Models(Vec<ModelName>),
    /// Ask these engines first, and hand their answers in.
    LookUp(Lookup),
    /// It is over.
    Refused(Verdict),
}

/// What a router keeps in its data folder, so that it serves at once after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoredFile {
    /// The configuration applied. It must not be older than what was applied before the restart.
    Config,
    /// The engines last heard of. They may be out of date: fences protect from that.
    Engines,
}

impl StoredFile {
    /// Its name in the data folder.
    pub fn file_name(self) -> &'static str {
        match self {
            StoredFile::Config => "config.json",
            StoredFile::Engines => "engines.json",
        }
    }
}

/// What was in a router's data folder when it started.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The configuration to apply from the start.
    pub config: ConfigView,
    /// The engines to start with.
    pub engines: Vec<EngineObservation>,
}

impl StoredState {
    /// Reads the files back. One that is missing counts as empty, one that is unreadable is an
    /// error for the configuration, and nothing for the engines.
    pub fn decode(config: Option<&[u8]>, engines: Option<&[u8]>) -> Result<Self, ConfigError> {
        let config = config.map_or(Ok(ConfigView::default()), ConfigView::decode)?;
        let engines = engines.and_then(|bytes| serde_json::from_slice(bytes).ok());
        Ok(Self {
            config,
            engines: engines.unwrap_or_default(),
        })
    }
}

/// What the owner of the core has to do, in this order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Make these bytes last before any later effect.
    Persist(StoredFile, Vec<u8>),
    /// Open a link to a control machine.
    Connect {
        /// The link.
        link: LinkId,
        /// Which machine, counted from 0.
        peer: usize,
    },
    /// Close a link.
    Close(LinkId),
    /// Send a message over a link.
    Send(LinkId, Message),
    /// Tell a request's owner.
    Answer(RequestId, AdmitOutcome),
}

/// Counters since the start, and a few gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RouterMetrics {
    /// Requests that asked.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests that ended otherwise.
    pub failed: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Requests before whose placement engines were asked.
    pub lookups: u64,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: u64,
    /// Of these, tokens that engines had in their caches.
    pub cached_tokens: u64,
    /// Tokens believed cached that were not.
    pub overestimated_tokens: u64,
    /// Configuration updates refused because they were older than what is applied.
    pub stale_updates: u64,
    /// Messages sent to control machines.
    pub control_messages_sent: u64,
    /// Messages received from control machines.
    pub control_messages_received: u64,
    /// Requests open now.
    pub open: u64,
    /// Requests waiting for an engine now.
    pub queued: u64,
    /// The revision applied.
    pub revision: u64,
    /// 1 while a quorum's confirmation is recent.
    pub control_fresh: u64,
}

#[derive(Clone, Debug)]
enum Phase {
    AwaitingTenant { until: Timestamp },
    AwaitingClaim { until: Timestamp },
    LookingUp { until: Timestamp },
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
    slots: BTreeMap<u16, EngineId>,
    placer: Placer,
    admission: Admission,
    retry: RetryBudget,
    queues: BTreeMap<ModelName, FairQueue<RequestId>>,
    active: BTreeMap<RequestId, ActiveRequest>,
    unknown_keys: UnknownKeys,
    outcomes: BTreeMap<u64, PendingOutcome>,
    allotted: BTreeSet<TenantName>,
    lookups: LookupBudget,
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
            slots: BTreeMap::new(),
            placer,
            admission: Admission::new(params.admission.clone()),
            retry: RetryBudget::new(params.retry.clone()),
            queues: BTreeMap::new(),
            active: BTreeMap::new(),
            unknown_keys: UnknownKeys::default(),
            outcomes: BTreeMap::new(),
            allotted: BTreeSet::new(),
            lookups: LookupBudget::new(params.lookups_per_second),
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
        self.expire_lookups();
        self.expire_queued();
        self.resend_outcomes();
        self.report_usage();
        self.store_engines();
        self.pump();
    }

    /// What there is to do, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
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
