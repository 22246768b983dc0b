//! A router's view of each engine: state, incarnation and weights version, load, speed, and how
//! long its cache keeps unused blocks.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{
    EngineId, EngineName, Incarnation, PoolName, Timestamp, WeightsVersion, ZoneName,
};
use drumshore_guard::{enforced, Guard};
use serde::{Deserialize, Serialize};

/// The state of an engine, as combined from all reports about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Known, but not ready to serve yet.
    Joining,
    /// Accepts requests.
    Ready,
    /// Failed recently; receives requests only if no other engine can take them.
    Suspect,
    /// Finishes its open requests and receives no new ones.
    Leaving,
}

/// An engine as described by the control machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// The unique name of the engine.
    pub name: EngineName,
    /// IP address and port.
    pub address: String,
    /// The zone that the engine runs in.
    pub zone: ZoneName,
    /// The pool of engines that it belongs to.
    pub pool: PoolName,
    /// Identifies the current run of the engine process; changes at a restart.
    pub incarnation: Incarnation,
    /// The version of the weights that it has loaded.
    pub weights_version: WeightsVersion,
    /// The state according to the control machines.
    pub state: EngineState,
}

/// The load that an engine reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens in the queue, not computed yet.
    pub waiting_tokens: u32,
    /// Sequences that are producing tokens.
    pub running: u32,
    /// The time that the report describes, on the receiver's clock.
    pub at: Timestamp,
}

/// A request that was sent to an engine and has not produced its first token yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request: u64,
    tokens: u32,
    sent_at: Timestamp,
}

/// A router's view of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Compact identifier, derived from the name.
    pub id: EngineId,
    /// The last description from the control machines.
    pub observation: EngineObservation,
    /// The most recent load report.
    pub load: LoadReport,
    /// This router avoids the engine until this time, because a request of its own failed there.
    pub suspect_until: Option<Timestamp>,
    /// Estimated time that the engine's cache keeps an unused block.
    pub retention: Duration,
    /// Measured time to compute a prompt token divided by the expected time, at least 1.
    pub slowness: f64,
    pending: Vec<Pending>,
    open: u32,
    exact_cached_tokens: u32,
}

const INITIAL_RETENTION: Duration = Duration::from_secs(120);
const MIN_RETENTION: Duration = Duration::from_secs(1);
const MAX_RETENTION: Duration = Duration::from_secs(3_600);
const RETENTION_GAIN: f64 = 0.2;
const SLOWNESS_GAIN: f64 = 0.1;
const MAX_SLOWNESS: f64 = 20.0;

impl Engine {
    fn new(observation: EngineObservation) -> Self {
        Self {
            id: observation.name.id(),
            observation,
            load: LoadReport::default(),
            suspect_until: None,
            retention: INITIAL_RETENTION,
            slowness: 1.0,
            pending: Vec::new(),
            open: 0,
            exact_cached_tokens: 0,
        }
    }

    /// True if the engine may receive new requests.
    pub fn is_eligible(&self) -> bool {
        match self.observation.state {
            EngineState::Ready | EngineState::Suspect => true,
            EngineState::Leaving => !enforced(Guard::DrainExcluded),
            EngineState::Joining => false,
        }
    }

    /// True if the engine should only receive requests that no other engine can take.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.observation.state == EngineState::Suspect
            || self.suspect_until.is_some_and(|until| until > now)
    }

    /// Estimated prompt tokens in the queue: those of the last load report plus those that this
    /// router has sent since.
    pub fn waiting_tokens(&self) -> u32 {
        let since = self
            .pending
            .iter()
            .filter(|pending| pending.sent_at >= self.load.at);
        let sent: u32 = since.map(|pending| pending.tokens).sum();
        self.load.waiting_tokens.saturating_add(sent)
    }

    /// Number of open requests that this router has at the engine.
    pub fn open_requests(&self) -> u32 {
        self.open
    }

    /// Estimated number of running sequences: the reported number, or this router's own open
    /// requests if there are more of them.
    pub fn running(&self) -> u32 {
        self.load.running.max(self.open)
    }

    /// Cached prompt tokens of the request to be placed next, as set by
    /// [`Engine::set_exact_state`]; 0 otherwise.
    pub fn exact_cached_tokens(&self) -> u32 {
        self.exact_cached_tokens
    }

    /// Sets the true queue and running sequences of the engine, and the cached tokens of the
    /// request to be placed next. Benchmarks use it to compare policies with
    /// [`crate::Policy::Exact`], which has perfect knowledge.
    pub fn set_exact_state(
        &mut self,
        waiting_tokens: u32,
        running: u32,
        cached_tokens: u32,
        now: Timestamp,
    ) {
        self.load = LoadReport {
            waiting_tokens,
            running,
            // These figures include every request sent up to and including `now`.
            at: Timestamp(now.0 + 1),
        };
        self.suspect_until = None;
        self.exact_cached_tokens = cached_tokens;
    }

    /// Records a request sent to the engine; `tokens` of its prompt are not expected in the cache.
    pub fn on_sent(&mut self, request: u64, tokens: u32, now: Timestamp) {
        self.open += 1;
        self.pending.push(Pending {
            request,
            tokens,
            sent_at: now,
        });
    }

    /// Records the first token of a request. Returns the time since the request was sent, or `None`
    /// if the request was not pending.
    pub fn on_first_token(&mut self, request: u64, now: Timestamp) -> Option<Duration> {
        let position = self
            .pending
            .iter()
            .position(|pending| pending.request == request)?;
        Some(now.since(self.pending.swap_remove(position).sent_at))
    }

    /// Records the end of a request, successful or not.
    pub fn on_ended(&mut self, request: u64) {
        self.pending.retain(|pending| pending.request != request);
        self.open = self.open.saturating_sub(1);
    }

    /// Updates the retention estimate with a block that was unused for `age` and was found cached
    /// (`held`) or evicted.
    pub fn observe_retention(&mut self, age: Duration, held: bool) {
        let current = self.retention.as_secs_f64();
        let age = age.as_secs_f64();
        let contradicts = (held && age > current) || (!held && age < current);
        if contradicts {
            let moved = current + RETENTION_GAIN * (age - current);
            self.retention = Duration::from_secs_f64(moved).clamp(MIN_RETENTION, MAX_RETENTION);
        }
    }

    /// Updates the slowness estimate with a prompt whose computation took `ratio` times as long as
    /// expected.
    pub fn observe_slowness(&mut self, ratio: f64) {
        let moved = self.slowness + SLOWNESS_GAIN * (ratio - self.slowness);
        self.slowness = moved.clamp(1.0, MAX_SLOWNESS);
    }

    /// Estimated probability that a block unused for `age` is still cached: 1 up to half the
    /// retention, then decreasing linearly to 0 at one and a half times the retention.
    pub fn hold_probability(&self, age: Duration) -> f64 {
        let share = age.as_secs_f64() / self.retention.as_secs_f64();
        (1.5 - share).clamp(0.0, 1.0)
    }

    fn observe(&mut self, observation: EngineObservation) {
        if observation.incarnation != self.observation.incarnation {
            *self = Engine {
                open: self.open,
                ..Engine::new(observation)
            };
        } else {
            self.observation = observation;
        }
    }
}

/// All engines that a router knows, sorted by identifier. They are stored contiguously because a
/// decision iterates over all engines of a pool.
#[derive(Clone, Debug, Default)]
pub struct EngineSet {
    engines: Vec<Engine>,
    pools: BTreeMap<PoolName, Vec<usize>>,
}

impl EngineSet {
    /// Adds or updates an engine. A new incarnation resets all estimates about it, but not the
    /// number of open requests.
    pub fn observe(&mut self, observation: EngineObservation) {
        match self.position(observation.name.id()) {
            Ok(position) => {
                let engine = &mut self.engines[position];
                let moved = engine.observation.pool != observation.pool;
                engine.observe(observation);
                if moved {
                    self.rebuild_pools();
                }
            }
            Err(position) => {
                self.engines.insert(position, Engine::new(observation));
                self.rebuild_pools();
            }
        }
    }

    /// Removes an engine that no longer exists.
    pub fn remove(&mut self, id: EngineId) {
        if let Ok(position) = self.position(id) {
            self.engines.remove(position);
            self.rebuild_pools();
        }
    }

    /// Removes all engines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(EngineId) -> bool) {
        let before = self.engines.len();
        self.engines.retain(|engine| keep(engine.id));
        if self.engines.len() != before {
            self.rebuild_pools();
        }
    }

    /// Looks up an engine.
    pub fn get(&self, id: EngineId) -> Option<&Engine> {
        let position = self.position(id).ok()?;
        self.engines.get(position)
    }

    /// Looks up an engine for updates.
    pub fn get_mut(&mut self, id: EngineId) -> Option<&mut Engine> {
        let position = self.position(id).ok()?;
        self.engines.get_mut(position)
    }

    /// The engines of a pool, ordered by identifier.
    pub fn pool(&self, pool: &PoolName) -> impl Iterator<Item = &Engine> {
        let members = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        members
            .iter()
            .filter_map(|position| self.engines.get(*position))
    }

    /// All engines, ordered by identifier.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    fn position(&self, id: EngineId) -> Result<usize, usize> {
        self.engines.binary_search_by_key(&id, |engine| engine.id)
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for (position, engine) in self.engines.iter().enumerate() {
            self.pools
                .entry(engine.observation.pool.clone())
                .or_default()
                .push(position);
        }
    }
}
