//! The fleet of engines (back ends). The state of each engine is merged from the platform's
//! machine list, which lags behind, from the engine's probe responses and probe failures, and from
//! the drain requests of operators.
//!
//! The most conservative source wins: an engine is leaving as soon as one source reports it, and is
//! ready only if no source reports otherwise.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_core::{
    EngineId, EngineName, Epoch, Incarnation, ModelName, PoolName, Revision, Timestamp,
    WeightsVersion, ZoneName,
};
use drumshore_wire::{
    EngineEntry, EngineLoad, EngineStateCode, Text, AGE_UNIT_MS, WAITING_UNIT_TOKENS,
};
use serde::{Deserialize, Serialize};

/// The state of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine is running.
    Live,
    /// The platform is going to remove the machine.
    Leaving,
}

/// One entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The engine that runs on the machine.
    pub name: EngineName,
    /// IP address and port of the engine.
    pub address: String,
    /// The zone of the machine, named `region/zone` if it belongs to a region.
    pub zone: ZoneName,
    /// The pool that the engine belongs to.
    pub pool: PoolName,
    /// The state that the platform reports.
    pub state: MachineState,
}

/// An engine's response to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProbe {
    /// Identifies the start of the engine; changes when it restarts.
    pub incarnation: Incarnation,
    /// The model that the engine serves.
    pub model: ModelName,
    /// The version of the weights that are loaded; 0 while loading.
    pub weights_version: WeightsVersion,
    /// True if the engine is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Prompt tokens that are queued for computation.
    pub waiting_tokens: u32,
    /// Sequences that are generating tokens.
    pub running: u32,
    /// The age of these figures, in milliseconds.
    pub lag_ms: u64,
}

/// The engine did not respond to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeFailed;

/// An order of the leader to an engine to load weights. An engine refuses an order whose epoch and
/// revision, compared in this order, are lower than those of an order it has carried out. This
/// protects it from the orders of a partitioned former leader and from delayed orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The term of the leader that sent the order.
    pub epoch: Epoch,
    /// The revision of the resources that the order was derived from.
    pub revision: Revision,
    /// The model to load.
    pub model: ModelName,
    /// The version of the weights to load.
    pub weights_version: WeightsVersion,
}

/// Consecutive probe failures after which an engine is suspect.
const SUSPECT_AFTER: u32 = 2;

/// Time after which an unresponsive engine is removed if the platform does not list it.
const GONE_AFTER_UNLISTED: Duration = Duration::from_secs(5);

/// Time after which an unresponsive engine is removed although the platform still lists it.
const GONE_AFTER_LISTED: Duration = Duration::from_secs(600);

/// An engine as this control machine sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The engine's entry in the platform's list.
    pub record: MachineRecord,
    /// The last successful probe; `None` before the first.
    pub probe: Option<EngineProbe>,
    /// The state merged from all sources.
    pub state: EngineStateCode,
    /// Which source decided the state, for operators.
    pub reason: &'static str,
    id: EngineId,
    slot: u16,
    listed: bool,
    draining: bool,
    failures: u32,
    failing_since: Option<Timestamp>,
    change_count: u64,
}

impl EngineView {
    /// The compact identity, the same on every control machine.
    pub fn id(&self) -> EngineId {
        self.id
    }

    /// The number that stands for the engine in messages between this control machine and its
    /// routers. Slots differ between control machines.
    pub fn slot(&self) -> u16 {
        self.slot
    }

    fn weights_version(&self) -> Option<WeightsVersion> {
        self.probe.as_ref().map(|probe| probe.weights_version)
    }
}

/// All engines that this control machine tracks.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: BTreeMap<EngineName, EngineView>,
    by_slot: BTreeMap<u16, EngineName>,
    by_id: BTreeMap<EngineId, EngineName>,
    gone: Vec<(u64, EngineEntry)>,
    draining: BTreeSet<EngineName>,
    change_count: u64,
    next_slot: u16,
}

/// Removed engines that are kept for [`Fleet::entries_after`].
const MAX_GONE_ENTRIES: usize = 1_024;

impl Fleet {
    /// Number of changes so far. A router is sent the engines that changed since the count at its
    /// last update.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// All engines, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineName, &EngineView)> {
        self.engines.iter()
    }

    /// The engine with this name.
    pub fn get(&self, name: &EngineName) -> Option<&EngineView> {
        self.engines.get(name)
    }

    /// The engine with this slot.
    pub fn get_by_slot(&self, slot: u16) -> Option<&EngineView> {
        self.get(self.by_slot.get(&slot)?)
    }

    /// The engine with this compact identity.
    pub fn get_by_id(&self, id: EngineId) -> Option<&EngineView> {
        self.get(self.by_id.get(&id)?)
    }

    /// The ready engines of the same pool and with the same weights as `like`, which is included
    /// itself if it is ready.
    pub fn peers_of<'f>(&'f self, engine: &'f EngineView) -> impl Iterator<Item = EngineId> + 'f {
        let weights_version = engine.weights_version();
        self.engines
            .values()
            .filter(move |view| {
                view.state == EngineStateCode::Ready
                    && view.record.pool == engine.record.pool
                    && view.weights_version() == weights_version
            })
            .map(|view| view.id)
    }

    /// Updates the fleet from the platform's machine list.
    pub fn on_machines(&mut self, machines: &[MachineRecord], now: Timestamp) {
        for view in self.engines.values_mut() {
            view.listed = false;
        }
        for machine in machines {
            self.on_machine(machine);
        }
        self.remove_gone(now);
        self.update_all_states();
    }

    /// Records the result of a probe of an engine.
    pub fn on_probe(
        &mut self,
        name: &EngineName,
        result: Result<EngineProbe, ProbeFailed>,
        now: Timestamp,
    ) {
        let Some(view) = self.engines.get_mut(name) else {
            return;
        };
        let before = identity(view.probe.as_ref());
        match result {
            Ok(probe) => {
                view.failures = 0;
                view.failing_since = None;
                view.probe = Some(probe);
            }
            Err(ProbeFailed) => {
                view.failures += 1;
                view.failing_since.get_or_insert(now);
            }
        }
        if identity(view.probe.as_ref()) != before {
            self.change_count += 1;
            view.change_count = self.change_count;
        }
        // Only this engine is updated: with 1,900 engines, thousands of probe results arrive per
        // second.
        update_state(view, &mut self.change_count);
        if view.failing_since.is_some() {
            self.remove_gone(now);
        }
    }

    /// Sets the engines that operators are draining.
    pub fn set_draining(&mut self, draining: BTreeSet<EngineName>) {
        self.draining = draining;
        self.update_all_states();
    }

    /// The engines that changed after this change count, including engines that were removed.
    pub fn entries_after(&self, change_count: u64) -> Vec<EngineEntry> {
        let gone = self
            .gone
            .iter()
            .filter(|(at, _)| *at > change_count)
            .map(|(_, entry)| entry.clone());
        let current = self
            .engines
            .values()
            .filter(|view| view.change_count > change_count)
            .map(entry);
        gone.chain(current).collect()
    }

    /// All engines, as entries for routers.
    pub fn entries(&self) -> Vec<EngineEntry> {
        self.engines.values().map(entry).collect()
    }

    /// The loads that the engines of a region reported; of all regions if `region` is empty.
    pub fn loads(&self, region: &str) -> Vec<EngineLoad> {
        let of_region =
            |view: &&EngineView| region.is_empty() || view.record.zone.region() == region;
        self.engines
            .values()
            .filter(of_region)
            .filter_map(load)
            .collect()
    }

    fn on_machine(&mut self, machine: &MachineRecord) {
        match self.engines.get_mut(&machine.name) {
            Some(view) => {
                view.listed = true;
                if view.record != *machine {
                    view.record = machine.clone();
                    self.change_count += 1;
                    view.change_count = self.change_count;
                }
            }
            None => {
                self.change_count += 1;
                self.next_slot = self.next_slot.wrapping_add(1);
                let view = EngineView {
                    record: machine.clone(),
                    probe: None,
                    state: EngineStateCode::Joining,
                    reason: "no answer yet",
                    id: machine.name.id(),
                    slot: self.next_slot,
                    listed: true,
                    draining: false,
                    failures: 0,
                    failing_since: None,
                    change_count: self.change_count,
                };
                self.by_slot.insert(view.slot, machine.name.clone());
                self.by_id.insert(view.id, machine.name.clone());
                self.engines.insert(machine.name.clone(), view);
            }
        }
    }

    fn update_all_states(&mut self) {
        for (name, view) in &mut self.engines {
            view.draining = self.draining.contains(name);
            update_state(view, &mut self.change_count);
        }
    }

    /// Removes engines that have been unresponsive for too long. An engine that responds is kept
    /// even if it is not listed, because the list lags behind.
    fn remove_gone(&mut self, now: Timestamp) {
        let is_gone = |view: &EngineView| {
            let limit = if view.listed {
                GONE_AFTER_LISTED
            } else {
                GONE_AFTER_UNLISTED
            };
            view.failing_since
                .is_some_and(|since| now.since(since) >= limit)
        };
        let names: Vec<EngineName> = self
            .engines
            .iter()
            .filter(|(_, view)| is_gone(view))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if let Some(view) = self.engines.remove(&name) {
                self.by_slot.remove(&view.slot);
                self.by_id.remove(&view.id);
                self.change_count += 1;
                let entry = EngineEntry {
                    state: EngineStateCode::Gone,
                    ..entry(&view)
                };
                self.gone.push((self.change_count, entry));
            }
        }
        if self.gone.len() > MAX_GONE_ENTRIES {
            self.gone.remove(0);
        }
    }
}

fn identity(probe: Option<&EngineProbe>) -> Option<(Incarnation, WeightsVersion)> {
    probe.map(|probe| (probe.incarnation, probe.weights_version))
}

fn update_state(view: &mut EngineView, change_count: &mut u64) {
    let (state, reason) = merged_state(view);
    view.reason = reason;
    if view.state != state {
        *change_count += 1;
        view.state = state;
        view.change_count = *change_count;
    }
}

fn merged_state(view: &EngineView) -> (EngineStateCode, &'static str) {
    if view.record.state == MachineState::Leaving {
        return (EngineStateCode::Leaving, "the platform says it leaves");
    }
    if view.draining {
        return (EngineStateCode::Leaving, "an operator drains it");
    }
    let Some(probe) = &view.probe else {
        return (EngineStateCode::Joining, "no answer yet");
    };
    if probe.leaving {
        return (EngineStateCode::Leaving, "the engine says it leaves");
    }
    if view.failures >= SUSPECT_AFTER {
        return (EngineStateCode::Suspect, "it does not answer");
    }
    if probe.weights_version == WeightsVersion(0) {
        return (EngineStateCode::Joining, "it loads weights");
    }
    (EngineStateCode::Ready, "it answers")
}

fn entry(view: &EngineView) -> EngineEntry {
    let probe = view.probe.as_ref();
    EngineEntry {
        name: Text::new(view.record.name.as_str()),
        address: Text::new(view.record.address.as_str()),
        zone: Text::new(view.record.zone.as_str()),
        pool: Text::new(view.record.pool.as_str()),
        incarnation: probe.map_or(0, |probe| probe.incarnation.0),
        weights_version: probe.map_or(0, |probe| probe.weights_version.0),
        state: view.state,
        slot: view.slot,
    }
}

fn load(view: &EngineView) -> Option<EngineLoad> {
    let probe = view.probe.as_ref()?;
    let waiting = probe.waiting_tokens.div_ceil(WAITING_UNIT_TOKENS);
    Some(EngineLoad {
        slot: view.slot,
        waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
        running: u8::try_from(probe.running).unwrap_or(u8::MAX),
        age: u8::try_from(probe.lag_ms / AGE_UNIT_MS).unwrap_or(u8::MAX),
    })
}
