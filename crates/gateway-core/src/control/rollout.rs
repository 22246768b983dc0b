//! The leader brings back ends to the weights that were named, a few at a time.
//!
//! Routers are told first, so that no request meets a back end that is loading. Orders carry the
//! leader's term as fencing token and the number of orders that the back end is expected to have
//! taken, so that a late copy of an order changes nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;

use super::order::{Order, OrderId, OrderOutcome, Report};
use super::pending_loads::{pending_loads, Load};
use super::reads::Waiting;
use super::{ControlCore, Effect};
use crate::{Command, InstanceId, InstanceRecord, LoadPhase, ModelName};

/// A pool is loaded in about so many rounds.
pub(super) const ROUNDS: usize = 4;
/// At least so many of a pool load at once.
const LEAST_AT_ONCE: usize = 2;
/// The first look at a back end that took an order.
const FIRST_LOOK: Duration = Duration::from_millis(650);
/// Between later looks.
const NEXT_LOOK: Duration = Duration::from_millis(150);
/// An order that had no effect by then is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(1_500);
/// A back end that said nothing for so long is passed over until it is heard again.
const INSTANCE_SILENCE: Duration = Duration::from_secs(4);
/// An order is only given while a quorum has confirmed this leader so lately.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Routers are told; the order follows.
    Noticed { at: Timestamp },
    /// The order is on its way.
    Ordered { at: Timestamp, id: OrderId },
    /// It is being done, or may be.
    Loading { ordered: Timestamp, look: Timestamp },
    /// The back end was asked.
    Asked { ordered: Timestamp, at: Timestamp },
}

/// Loads under way, as this leader knows them.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    steps: BTreeMap<String, Step>,
    orders_taken: BTreeMap<String, u64>,
    expected_at_order: BTreeMap<String, u64>,
    next_order: u64,
    /// The term in which a back end said that a newer leader has given it orders.
    fenced_in_term: Option<u64>,
}

impl<D: Directory> ControlCore<D> {
    /// Takes in what came of an order.
    pub fn on_order_outcome(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        id: OrderId,
        outcome: OrderOutcome,
    ) {
        self.now = now;
        let name = instance.as_str();
        let Some(Step::Ordered { at, id: current }) = self.rollouts.steps.get(name).copied() else {
            return;
        };
        if current != id {
            return;
        }
        if outcome == OrderOutcome::Gone {
            self.on_instance_gone(name);
        }
        if outcome == OrderOutcome::Fenced {
            self.on_fenced();
        }
        let (ordered, look) = match outcome {
            OrderOutcome::Taken => (at, at.plus(FIRST_LOOK)),
            OrderOutcome::Holds => (at, now),
            // The report tells whether it was taken; if not, it is given again at once.
            OrderOutcome::Conflict | OrderOutcome::Unknown => (Timestamp::default(), now),
            OrderOutcome::Fenced | OrderOutcome::Gone => (at, now.plus(ORDER_AGAIN)),
        };
        let step = Step::Loading { ordered, look };
        self.rollouts.steps.insert(name.to_owned(), step);
    }

    /// A newer leader has given orders: what this one orders in its term is refused from now on.
    fn on_fenced(&mut self) {
        self.rollouts.fenced_in_term = Some(self.term());
        self.step_down();
    }

    /// Another incarnation answered at its address. When that one has registered, the word of a
    /// back end that is no more is all that is left of it.
    fn on_instance_gone(&mut self, name: &str) {
        let Some(record) = self.state.instance(name) else {
            return;
        };
        let replaced = self
            .state
            .instances()
            .any(|other| other.address == record.address && other.registered > record.registered);
        if replaced {
            let instance = record.instance.clone();
            self.propose(None, Command::Deregister { instance });
        }
    }

    /// Takes in a back end's report, or that there was none.
    pub fn on_report(&mut self, now: Timestamp, instance: &InstanceId, report: Option<&Report>) {
        self.now = now;
        let name = instance.as_str().to_owned();
        let Some(Step::Asked { ordered, .. }) = self.rollouts.steps.get(&name).copied() else {
            return;
        };
        let again = Step::Loading {
            ordered,
            look: now.plus(NEXT_LOOK),
        };
        self.rollouts.steps.insert(name.clone(), again);
        let Some(report) = report else {
            return;
        };
        self.rollouts
            .orders_taken
            .insert(name.clone(), report.orders_taken);
        if report.busy {
            return;
        }
        self.conclude(&name, report, ordered);
    }

    pub(super) fn drive_rollouts(&mut self) {
        let loads = pending_loads(&self.state);
        if loads.is_empty() {
            self.rollouts.steps.clear();
            return;
        }
        self.queue_read(Waiting::Leader);
        self.forget_finished_steps();
        let heard: Vec<Load> = loads
            .into_iter()
            .filter(|load| self.is_instance_heard(&load.instance))
            .collect();
        if self.may_order() && self.is_time_to_load(&heard) {
            self.start_loads(&heard);
        }
        for load in heard {
            let record = self.state.instance(&load.instance);
            if record.is_some_and(InstanceRecord::is_loading) {
                self.drive_load(load);
            }
        }
    }

    /// A machine that was cut off or paused must notice before it gives an order.
    fn may_order(&self) -> bool {
        let now = self.now;
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < CONFIRMED_WITHIN);
        let fenced = self.rollouts.fenced_in_term == Some(self.term());
        self.role() == Role::Leader && confirmed && !fenced
    }

    fn is_free_of_others_orders(&self, instance: &str) -> bool {
        let lease = self.params.order_lease;
        self.order_leases.is_free(self.now, lease, instance)
    }

    /// A step belongs to a load that is under way, or that was proposed just now.
    fn forget_finished_steps(&mut self) {
        let now = self.now;
        let state = &self.state;
        self.order_leases.forget_gone(state);
        self.rollouts.steps.retain(|name, step| {
            let record = state.instance(name);
            let loading = record.is_some_and(InstanceRecord::is_loading);
            let proposed = matches!(step, Step::Noticed { at } if now.since(*at) < ORDER_AGAIN);
            loading || proposed
        });
    }

    fn start_loads(&mut self, loads: &[Load]) {
        let mut by_pool: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for record in self.state.instances() {
            if !self.is_instance_heard(record.instance.as_str()) {
                continue;
            }
            let counts = by_pool.entry(record.pool.as_str().to_owned()).or_default();
            counts.0 += 1;
            counts.1 += usize::from(record.is_loading());
        }
        for load in loads {
            let Some(record) = self.state.instance(&load.instance) else {
                continue;
            };
            let Some((all, busy)) = by_pool.get_mut(record.pool.as_str()) else {
                continue;
            };
            let at_once = all.div_ceil(ROUNDS).max(LEAST_AT_ONCE);
            let proposed = self.rollouts.steps.contains_key(&load.instance)
                || !self.is_free_of_others_orders(&load.instance);
            if record.is_loading() || proposed || *busy >= at_once {
                continue;
            }
            *busy += 1;
            let step = Step::Noticed { at: self.now };
            self.rollouts.steps.insert(load.instance.clone(), step);
            self.propose_load(load, LoadPhase::Started);
        }
    }

    /// A back end that stopped talking holds up nobody else's load.
    pub(super) fn is_instance_heard(&self, instance: &str) -> bool {
        let heard = self.heard.at(instance);
        heard.is_some_and(|at| self.now.since(at) < INSTANCE_SILENCE)
    }

    fn drive_load(&mut self, load: Load) {
        let now = self.now;
        let fresh = Step::Loading {
            ordered: Timestamp::default(),
            look: now,
        };
        let step = *self
            .rollouts
            .steps
            .entry(load.instance.clone())
            .or_insert(fresh);
        match step {
            Step::Noticed { at }
                if now.since(at) >= self.params.load_notice
                    && self.may_order()
                    && self.is_free_of_others_orders(&load.instance) =>
            {
                self.give_order(load);
            }
            Step::Ordered { at, .. } if now.since(at) >= ORDER_AGAIN => {
                let look = Step::Loading {
                    ordered: at,
                    look: now,
                };
                self.rollouts.steps.insert(load.instance, look);
            }
            Step::Loading { ordered, look } if look <= now => self.ask(load, ordered),
            Step::Asked { ordered, at } if now.since(at) >= ORDER_AGAIN => self.ask(load, ordered),
            _ => {}
        }
    }

    fn ask(&mut self, load: Load, ordered: Timestamp) {
        let step = Step::Asked {
            ordered,
            at: self.now,
        };
        self.rollouts.steps.insert(load.instance.clone(), step);
        self.effects.push(Effect::Ask {
            instance: InstanceId::new(&load.instance),
            address: load.address,
        });
    }

    fn give_order(&mut self, load: Load) {
        self.rollouts.next_order += 1;
        let id = OrderId(self.rollouts.next_order);
        let expected = self.rollouts.orders_taken.get(&load.instance);
        let expected_orders = expected.copied().unwrap_or(0);
        self.rollouts
            .expected_at_order
            .insert(load.instance.clone(), expected_orders);
        let order = Order {
            id,
            instance: InstanceId::new(&load.instance),
            address: load.address,
            model: ModelName::new(&load.model),
            version: load.version,
            holder: self.holder.clone(),
            fencing_token: self.term(),
            expected_orders,
        };
        let step = Step::Ordered { at: self.now, id };
        self.rollouts.steps.insert(load.instance, step);
        self.effects.push(Effect::Order(order));
    }

    fn conclude(&mut self, name: &str, report: &Report, ordered: Timestamp) {
        let Some(record) = self.state.instance(name).cloned() else {
            return;
        };
        for loaded in &record.models.items {
            let held = report
                .models
                .iter()
                .find(|(model, _)| model.as_str() == loaded.model.as_str())
                .map_or(0, |(_, version)| *version);
            let load = Load {
                instance: name.to_owned(),
                address: record.address.as_str().to_owned(),
                model: loaded.model.as_str().to_owned(),
                held,
                version: held,
            };
            if loaded.loading != 0 && held > loaded.version {
                self.rollouts.steps.remove(name);
                self.propose_load(&load, LoadPhase::Finished);
            } else if loaded.loading != 0 && self.now.since(ordered) >= ORDER_AGAIN {
                let step = Step::Noticed {
                    at: Timestamp::default(),
                };
                self.rollouts.steps.insert(name.to_owned(), step);
            }
        }
    }

    /// A load that a heartbeat told of has ended without a report.
    pub(super) fn on_load_finished(&mut self, instance: &str) {
        let expected = self.rollouts.expected_at_order.remove(instance);
        if let Some(expected) = expected {
            let taken = self
                .rollouts
                .orders_taken
                .entry(instance.to_owned())
                .or_default();
            *taken = (*taken).max(expected + 1);
        }
    }

    fn propose_load(&mut self, load: &Load, phase: LoadPhase) {
        let command = Command::Load {
            instance: load.instance.as_str().into(),
            model: load.model.as_str().into(),
            version: load.version,
            phase,
        };
        self.propose(None, command);
    }
}
