//! Registration of back ends by heartbeats, and their removal when heartbeats stop.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::{List, Text};

use super::{ControlCore, Effect, Reply, Ticket};
use crate::{Command, InstanceId, Lifecycle, LoadPhase, LoadedModel, ModelName, SoftwareVersion};

/// A back end whose address another incarnation has taken over is removed after this time without a
/// heartbeat.
const REPLACED_INSTANCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Any other back end is removed after this time; its next heartbeat registers it again.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between checks of all back ends. Timeouts are a matter of seconds, and a check of
/// 10,000 back ends takes some milliseconds, too long for every tick.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Status that a back end reports periodically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifies the incarnation.
    pub instance: InstanceId,
    /// Name of its pool.
    pub pool: String,
    /// Where it listens, IP:PORT.
    pub address: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Number of requests it serves concurrently.
    pub slots: u32,
    /// Whether it is ready or draining.
    pub lifecycle: Lifecycle,
    /// Models and the versions of their weights.
    pub models: Vec<(ModelName, u64)>,
    /// The version of the software that it runs.
    pub software: SoftwareVersion,
    /// When it started, in Unix milliseconds of its own clock; 0 if it does not say.
    pub started_ms: u64,
}

impl<D: Directory> ControlCore<D> {
    /// Processes a heartbeat. If it changes the replicated state, the ticket is answered once a
    /// quorum has committed the change.
    pub fn on_heartbeat(&mut self, now: Timestamp, ticket: Ticket, heartbeat: &Heartbeat) {
        self.now = now;
        let name = heartbeat.instance.as_str();
        if self.state.is_removed(name) {
            self.effects.push(Effect::Reply(ticket, Reply::Accepted));
            return;
        }
        self.record_heartbeat(name);
        let Some(record) = self.state.instance(name) else {
            let is_proposed = self.register(ticket, heartbeat);
            if is_proposed {
                self.propose_software_version(heartbeat);
            }
            return;
        };
        let is_leaving =
            heartbeat.lifecycle == Lifecycle::Draining && record.lifecycle == Lifecycle::Ready;
        if is_leaving {
            // `Command::Drain` has no effect on a back end that expires before the command is committed.
            self.propose(Some(ticket), registration(heartbeat));
            return;
        }
        let is_changed = record.is_superseded_by(&heartbeat.software, heartbeat.started_ms);
        if self.software_to_repeat.remove(name) || is_changed {
            self.propose_software_version(heartbeat);
        }
        self.effects.push(Effect::Reply(ticket, Reply::Accepted));
        self.propose_newer_versions(heartbeat);
    }

    /// Sets whether another control machine runs a build without software versions of back ends. Such a machine writes
    /// snapshots without them, so they are proposed again once it has been upgraded.
    pub fn set_earlier_build_present(&mut self, is_present: bool) {
        let was_present = std::mem::replace(&mut self.earlier_build_present, is_present);
        if was_present && !is_present {
            let instances = self.state.instances();
            let declared = instances.filter(|record| record.software.is_declared());
            let names = declared.map(|record| record.instance.as_str().to_owned());
            self.software_to_repeat = names.collect();
        }
    }

    /// Proposes the software version of a back end and the start of its process. A version that is no longer declared
    /// stays, and with it the start.
    fn propose_software_version(&mut self, heartbeat: &Heartbeat) {
        if !heartbeat.software.is_declared() {
            return;
        }
        let command = Command::SetSoftwareVersion {
            instance: Text::new(heartbeat.instance.as_str()),
            software: heartbeat.software.clone(),
            started_ms: heartbeat.started_ms,
        };
        self.propose(None, command);
    }

    /// Proposes weights that are newer than the replicated state says: an order may have been
    /// carried out late.
    fn propose_newer_versions(&mut self, heartbeat: &Heartbeat) {
        let name = heartbeat.instance.as_str();
        let Some(record) = self.state.instance(name) else {
            return;
        };
        let newer: Vec<(ModelName, u64)> = heartbeat
            .models
            .iter()
            .filter(|(model, version)| {
                let loaded = record.model(model.as_str());
                loaded.is_some_and(|loaded| loaded.version < *version && loaded.loading <= *version)
            })
            .cloned()
            .collect();
        for (model, version) in newer {
            let command = Command::Load {
                instance: Text::new(name),
                model: Text::new(model.as_str()),
                version,
                phase: LoadPhase::Finished,
            };
            self.propose(None, command);
        }
    }

    /// Removes back ends without heartbeats: early if another incarnation has registered at their
    /// address, otherwise late, because a back end that cannot reach the control machines may still
    /// serve requests.
    pub(super) fn expire_instances(&mut self) {
        let now = self.now;
        if now.since(self.instances_reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.instances_reviewed_at = now;
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        let mut last_heartbeat_at: BTreeMap<&str, Timestamp> = BTreeMap::new();
        for record in self.state.instances() {
            let registered = latest.entry(record.address.as_str()).or_default();
            *registered = record.registered.max(*registered);
            let last_heartbeat = self
                .heartbeat_times
                .last_or_insert(record.instance.as_str(), now);
            let last = last_heartbeat_at
                .entry(record.address.as_str())
                .or_default();
            *last = last_heartbeat.max(*last);
        }
        let two_heartbeats = self.params.heartbeat_timeout();
        let mut replaced = Vec::new();
        let mut unresponsive = Vec::new();
        for record in self.state.instances() {
            let name = record.instance.as_str();
            let silence = now.since(self.heartbeat_times.last(name).unwrap_or(now));
            let silence_at_address = now.since(last_heartbeat_at[record.address.as_str()]);
            let is_latest = latest.get(record.address.as_str()) == Some(&record.registered);
            // Of two incarnations at one address, the one that sends no heartbeats while the other
            // does has stopped, even if it registered later: a network partition may delay a
            // heartbeat until after its sender has stopped.
            let is_superseded =
                is_latest && silence > two_heartbeats && silence_at_address < two_heartbeats;
            if !is_latest && silence > REPLACED_INSTANCE_TIMEOUT {
                replaced.push(record.instance.clone());
            } else if silence > INSTANCE_TIMEOUT || is_superseded {
                unresponsive.push(record.instance.clone());
            }
        }
        for instance in replaced {
            self.heartbeat_times.forget(instance.as_str());
            self.propose(None, Command::Deregister { instance });
        }
        for instance in unresponsive {
            self.heartbeat_times.forget(instance.as_str());
            self.propose(None, Command::Expire { instance });
        }
    }
}

pub(super) fn registration(heartbeat: &Heartbeat) -> Command {
    let models = heartbeat.models.iter().map(|(model, version)| LoadedModel {
        model: Text::new(model.as_str()),
        version: *version,
        loading: 0,
    });
    Command::Register {
        instance: Text::new(heartbeat.instance.as_str()),
        pool: Text::new(heartbeat.pool.as_str()),
        address: Text::new(heartbeat.address.as_str()),
        zone: Text::new(heartbeat.zone.as_str()),
        slots: heartbeat.slots,
        draining: u8::from(heartbeat.lifecycle == Lifecycle::Draining),
        models: List::new(models.collect()),
    }
}
