//! The engines: one state per back end, merged from the platform's lagging list, the engine's own
//! word, failed probes and operators' orders.
//!
//! The cautious sign wins: whoever says that an engine leaves is believed at once, and an engine
//! becomes ready only when nothing speaks against it.

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

/// What the platform says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The engine on it.
    pub name: EngineName,
    /// IP and port.
    pub address: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its pool.
    pub pool: PoolName,
    /// What the platform says.
    pub state: MachineState,
}

/// An engine's answer to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProbe {
    /// Its start.
    pub incarnation: Incarnation,
    /// The model it holds.
    pub model: ModelName,
    /// The weights it holds; 0 while it loads.
    pub weights_version: WeightsVersion,
    /// True when it wants no new work.
    pub leaving: bool,
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: u32,
    /// Sequences that are producing tokens.
    pub running: u32,
    /// The age of these figures, in milliseconds.
    pub lag_ms: u64,
}

/// The engine gave no answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeFailed;

/// An order of the leader to an engine. The engine refuses one whose epoch and revision, taken
/// in this order, are older than those of an order that it has obeyed: so a leader that was cut
/// off harms nothing, and neither does an order that was held up on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The leader's term.
    pub epoch: Epoch,
    /// The revision of the resources from which the order follows.
    pub revision: Revision,
    /// The model to load.
    pub model: ModelName,
    /// Its version.
    pub weights_version: WeightsVersion,
}

/// Failed probes in a row after which an engine is suspect.
const SUSPECT_AFTER: u32 = 2;

/// How long an engine that does not answer and is not on the list is kept.
const GONE_AFTER_UNLISTED: Duration = Duration::from_secs(5);

/// How long an engine that does not answer is kept although the list has it.
const GONE_AFTER_LISTED: Duration = Duration::from_secs(600);

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// What the platform says.
    pub record: MachineRecord,
    /// Its last answer.
    pub probe: Option<EngineProbe>,
    /// Its state, from all that is known.
    pub state: EngineStateCode,
    /// What decided the state.
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
    /// Its compact identity.
    pub fn id(&self) -> EngineId {
        self.id
    }

    /// What stands for it in messages to routers of this machine.
    pub fn slot(&self) -> u16 {
        self.slot
    }

    fn weights_version(&self) -> Option<WeightsVersion> {
        self.probe.as_ref().map(|probe| probe.weights_version)
    }
}

/// All engines.
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

const MAX_GONE_ENTRIES: usize = 1_024;

impl Fleet {
    /// Counts the changes; routers are told what changed after the count they have.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// The engines, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineName, &EngineView)> {
        self.engines.iter()
    }

    /// One engine.
    pub fn get(&self, name: &EngineName) -> Option<&EngineView> {
        self.engines.get(name)
    }

    /// The engine that a slot stands for.
    pub fn get_by_slot(&self, slot: u16) -> Option<&EngineView> {
        self.get(self.by_slot.get(&slot)?)
    }

    /// The engine of an identity.
    pub fn get_by_id(&self, id: EngineId) -> Option<&EngineView> {
        self.get(self.by_id.get(&id)?)
    }

    /// The engines that take work of the same pool with the same weights, the one given included.
    pub fn peers_of<'f>(&'f self, like: &'f EngineView) -> impl Iterator<Item = EngineId> + 'f {
        let weights_version = like.weights_version();
        self.engines
            .values()
            .filter(move |view| {
                view.state == EngineStateCode::Ready
                    && view.record.pool == like.record.pool
                    && view.weights_version() == weights_version
            })
            .map(|view| view.id)
    }

    /// Takes in the platform's list.
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

    /// Takes in an engine's answer, or that there was none.
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
        // Only this engine: with 1,900 engines there are thousands of answers a second.
        update_state(view, &mut self.change_count);
        if view.failing_since.is_some() {
            self.remove_gone(now);
        }
    }

    /// Takes in which engines operators want to be empty.
    pub fn set_draining(&mut self, draining: BTreeSet<EngineName>) {
        self.draining = draining;
        self.update_all_states();
    }

    /// Engines that changed after a count, those that are gone included.
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

    /// All engines.
    pub fn entries(&self) -> Vec<EngineEntry> {
        self.engines.values().map(entry).collect()
    }

    /// How busy the engines of a region said they are; of all regions when it is empty.
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

    /// An engine that does not answer is gone when the list says so too; the list alone lags.
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
