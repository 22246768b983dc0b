//! Back ends that register themselves: what they say, and when their silence takes them out.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::Directory;
use drumshore_core::Timestamp;
use drumshore_wire::{List, Text};

use super::{ControlCore, Effect, Reply, Ticket};
use crate::{Command, InstanceId, Lifecycle, LoadPhase, LoadedModel, ModelName};

/// A back end whose address another incarnation has taken is gone after this silence.
const REPLACED_SILENCE: Duration = Duration::from_secs(4);
/// Any other back end, after this one; its next word brings it back.
const SILENCE: Duration = Duration::from_secs(15);

/// Between two reviews of all back ends for silent ones. Silence counts in seconds, and a review of 10,000 takes
/// some milliseconds, which no tick has to spare.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// What a back end says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its incarnation.
    pub instance: InstanceId,
    /// Its pool.
    pub pool: String,
    /// IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it leaves.
    pub lifecycle: Lifecycle,
    /// The weights it holds.
    pub models: Vec<(ModelName, u64)>,
}

impl<D: Directory> ControlCore<D> {
    /// Takes in a back end's word. The ticket is answered when a quorum knows whatever is new.
    pub fn on_heartbeat(&mut self, now: Timestamp, ticket: Ticket, heartbeat: &Heartbeat) {
        self.now = now;
        let name = heartbeat.instance.as_str();
        if self.state.is_removed(name) {
            self.effects.push(Effect::Reply(ticket, Reply::Accepted));
            return;
        }
        self.note_heard(name);
        let Some(record) = self.state.instance(name) else {
            self.register(ticket, heartbeat);
            return;
        };
        let leaves =
            heartbeat.lifecycle == Lifecycle::Draining && record.lifecycle == Lifecycle::Ready;
        if leaves {
            let instance = Text::new(name);
            self.propose(Some(ticket), Command::Drain { instance });
            return;
        }
        self.effects.push(Effect::Reply(ticket, Reply::Accepted));
        self.note_versions(heartbeat);
    }

    /// A back end may hold newer weights than the log says, when an order was carried out late.
    fn note_versions(&mut self, heartbeat: &Heartbeat) {
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

    /// Takes silent back ends out: soon when another incarnation has registered at their address,
    /// else after longer, for a back end that is cut off from control may still serve.
    pub(super) fn expire_instances(&mut self) {
        let now = self.now;
        if now.since(self.instances_reviewed) < REVIEW_INTERVAL {
            return;
        }
        self.instances_reviewed = now;
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        let mut heard_at: BTreeMap<&str, Timestamp> = BTreeMap::new();
        for record in self.state.instances() {
            let registered = latest.entry(record.address.as_str()).or_default();
            *registered = record.registered.max(*registered);
            let heard = self.heard.at_or_from(record.instance.as_str(), now);
            let last = heard_at.entry(record.address.as_str()).or_default();
            *last = heard.max(*last);
        }
        let beats = self.params.two_heartbeats();
        let mut replaced = Vec::new();
        let mut silent = Vec::new();
        for record in self.state.instances() {
            let name = record.instance.as_str();
            let silence = now.since(self.heard.at(name).unwrap_or(now));
            let others_silence = now.since(heard_at[record.address.as_str()]);
            let is_latest = latest.get(record.address.as_str()) == Some(&record.registered);
            // Of two incarnations at one address the one that is silent for longer while the other is heard has
            // ended, also when its registration is the later one: a cut may hold a heartbeat up until its
            // sender is long gone.
            let is_outlived = is_latest && silence > beats && others_silence < beats;
            if !is_latest && silence > REPLACED_SILENCE {
                replaced.push(record.instance.clone());
            } else if silence > SILENCE || is_outlived {
                silent.push(record.instance.clone());
            }
        }
        for instance in replaced {
            self.heard.forget(instance.as_str());
            self.propose(None, Command::Deregister { instance });
        }
        for instance in silent {
            self.heard.forget(instance.as_str());
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
