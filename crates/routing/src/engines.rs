//! What is known of each engine: state, fences, load, speed, and how long it keeps blocks.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{
    EngineId, EngineName, Incarnation, PoolName, Timestamp, WeightsVersion, ZoneName,
};
use drumshore_guard::{enforced, Guard};
use serde::{Deserialize, Serialize};

/// The state of a back end, merged from all that is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Known, but not yet serving.
    Joining,
    /// Takes work.
    Ready,
    /// Failed lately; gets work only when nothing else is left.
    Suspect,
    /// Finishes what it has; gets nothing new.
    Leaving,
}

/// An engine as the control machines describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// Its name.
    pub name: EngineName,
    /// IP and port.
    pub address: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its pool.
    pub pool: PoolName,
    /// Its start.
    pub incarnation: Incarnation,
    /// The weights it holds.
    pub weights_version: WeightsVersion,
    /// Its state.
    pub state: EngineState,
}

/// How busy an engine said it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: u32,
    /// Sequences that are producing tokens.
    pub running: u32,
    /// When it was so, on the receiver's clock.
    pub at: Timestamp,
}

/// A request sent to an engine that has not produced its first token.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request: u64,
    tokens: u32,
    sent_at: Timestamp,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its compact identity.
    pub id: EngineId,
    /// What the control machines say of it.
    pub observation: EngineObservation,
    /// Its last load report.
    pub load: LoadReport,
    /// Until when this router avoids it after a failure of its own.
    pub suspect_until: Option<Timestamp>,
    /// How long the engine is seen to keep unused blocks.
    pub retention: Duration,
    /// Measured time to compute one prompt token, as a ratio to the expected one.
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

    /// True when new work may go to it at all.
    pub fn is_eligible(&self) -> bool {
        match self.observation.state {
            EngineState::Ready | EngineState::Suspect => true,
            EngineState::Leaving => !enforced(Guard::DrainExcluded),
            EngineState::Joining => false,
        }
    }

    /// True when it should only get work that nothing else can take.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.observation.state == EngineState::Suspect
            || self.suspect_until.is_some_and(|until| until > now)
    }

    /// Prompt tokens that wait: the last report, and what this router sent since.
    pub fn waiting_tokens(&self) -> u32 {
        let since = self
            .pending
            .iter()
            .filter(|pending| pending.sent_at >= self.load.at);
        let sent: u32 = since.map(|pending| pending.tokens).sum();
        self.load.waiting_tokens.saturating_add(sent)
    }

    /// Requests of this router that the engine holds.
    pub fn open_requests(&self) -> u32 {
        self.open
    }

    /// Sequences running there: the report, or this router's own when that is more.
    pub fn running(&self) -> u32 {
        self.load.running.max(self.open)
    }

    /// Prompt tokens of the request at hand that it holds, when that was shown.
    pub fn exact_cached_tokens(&self) -> u32 {
        self.exact_cached_tokens
    }

    /// Shows the engine as it is at this moment, for the oracle of measurements: what waits and
    /// runs there, and what it holds of the request that is placed next.
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
            // Everything that was sent up to now is in these figures.
            at: Timestamp(now.0 + 1),
        };
        self.suspect_until = None;
        self.exact_cached_tokens = cached_tokens;
    }

    /// A request was sent; `tokens` of its prompt are believed uncached.
    pub fn on_sent(&mut self, request: u64, tokens: u32, now: Timestamp) {
        self.open += 1;
        self.pending.push(Pending {
            request,
            tokens,
            sent_at: now,
        });
    }

    /// A request's first token arrived; returns how long it took, when it was pending.
    pub fn on_first_token(&mut self, request: u64, now: Timestamp) -> Option<Duration> {
        let position = self
            .pending
            .iter()
            .position(|pending| pending.request == request)?;
        Some(now.since(self.pending.swap_remove(position).sent_at))
    }

    /// A request ended, however it did.
    pub fn on_ended(&mut self, request: u64) {
        self.pending.retain(|pending| pending.request != request);
        self.open = self.open.saturating_sub(1);
    }

    /// A block that was unused for `age` turned out held or gone.
    pub fn observe_retention(&mut self, age: Duration, held: bool) {
        let current = self.retention.as_secs_f64();
        let age = age.as_secs_f64();
        let contradicts = (held && age > current) || (!held && age < current);
        if contradicts {
            let moved = current + RETENTION_GAIN * (age - current);
            self.retention = Duration::from_secs_f64(moved).clamp(MIN_RETENTION, MAX_RETENTION);
        }
    }

    /// Computing a prompt took `ratio` times what was expected.
    pub fn observe_slowness(&mut self, ratio: f64) {
        let moved = self.slowness + SLOWNESS_GAIN * (ratio - self.slowness);
        self.slowness = moved.clamp(1.0, MAX_SLOWNESS);
    }

    /// The chance that a block unused for `age` is still held: 1 up to half the retention,
    /// then falling in a straight line to 0 at one and a half.
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

/// All engines that a router knows, by identity. Decisions look at all engines of a pool, so they
/// lie one behind the other.
#[derive(Clone, Debug, Default)]
pub struct EngineSet {
    engines: Vec<Engine>,
    pools: BTreeMap<PoolName, Vec<usize>>,
}

impl EngineSet {
    /// Takes in what the control machines say of one engine.
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

    /// Forgets an engine that is gone.
    pub fn remove(&mut self, id: EngineId) {
        if let Ok(position) = self.position(id) {
            self.engines.remove(position);
            self.rebuild_pools();
        }
    }

    /// Forgets all engines not on the list.
    pub fn retain(&mut self, keep: impl Fn(EngineId) -> bool) {
        let before = self.engines.len();
        self.engines.retain(|engine| keep(engine.id));
        if self.engines.len() != before {
            self.rebuild_pools();
        }
    }

    /// One engine.
    pub fn get(&self, id: EngineId) -> Option<&Engine> {
        let position = self.position(id).ok()?;
        self.engines.get(position)
    }

    /// One engine, to be changed.
    pub fn get_mut(&mut self, id: EngineId) -> Option<&mut Engine> {
        let position = self.position(id).ok()?;
        self.engines.get_mut(position)
    }

    /// The engines of a pool, in the order of their identities.
    pub fn pool(&self, pool: &PoolName) -> impl Iterator<Item = &Engine> {
        let members = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        members
            .iter()
            .filter_map(|position| self.engines.get(*position))
    }

    /// All engines.
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
