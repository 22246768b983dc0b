//! Rollout of weights: the leader has back ends load the target version, a few at a time.
//!
//! Routers are notified first, so that no request reaches a back end that is loading. Orders carry
//! the leader's term as fencing token and the number of orders that the back end is expected to
//! have accepted, so that a delayed copy of an order has no effect.

mod durations;
mod pace;
mod pending;
mod sequence;
mod starts;

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;

use super::order::{BackEndReport, Order, OrderId, OrderOutcome};
use super::reads::Reader;
use super::{ControlCore, Effect};
use crate::{Command, InstanceId, InstanceRecord, LoadEntry, LoadPhase, ModelName};

use durations::LoadDurations;
use pending::{pending_weight_loads, WeightLoad};
use starts::OrderPlaces;

/// Delay between an accepted order and the first query of the back end.
const FIRST_QUERY_DELAY: Duration = Duration::from_millis(650);
/// Interval between later queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// An order or query without effect is repeated after this time.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// A back end without a heartbeat for this long is skipped until it sends one.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Orders are sent only if a quorum has confirmed this leader within this time.
const CONFIRMATION_TTL: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Routers are being notified; the order follows.
    Announced { at: Timestamp },
    /// The order is sent; its outcome is pending.
    Ordered { at: Timestamp, id: OrderId },
    /// The back end carries the order out, or may do so; it is queried at `next_query`.
    Loading {
        ordered_at: Timestamp,
        next_query: Timestamp,
    },
    /// A query is sent; the report is pending.
    Queried {
        ordered_at: Timestamp,
        at: Timestamp,
    },
}

/// Progress of weight loads, as this leader knows it.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    steps: BTreeMap<String, Step>,
    orders_taken: BTreeMap<String, u64>,
    expected_at_order: BTreeMap<String, u64>,
    next_order: u64,
    durations: LoadDurations,
    /// The term in which a back end reported orders of a newer leader.
    fenced_in_term: Option<u64>,
}

impl<D: Directory> ControlCore<D> {
    /// Processes the outcome of an order.
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
        if outcome != OrderOutcome::Taken {
            self.rollouts.durations.forget(name);
        }
        if outcome == OrderOutcome::Gone {
            self.on_instance_gone(name);
        }
        if outcome == OrderOutcome::Fenced {
            self.on_fenced();
        }
        let (ordered_at, next_query) = match outcome {
            OrderOutcome::Taken => (at, at.plus(FIRST_QUERY_DELAY)),
            OrderOutcome::Holds => (at, now),
            // The next report shows whether the order was accepted. The default timestamp allows an
            // order that was not accepted to be repeated at once.
            OrderOutcome::Conflict | OrderOutcome::Unknown => (Timestamp::default(), now),
            OrderOutcome::Fenced | OrderOutcome::Gone => (at, now.plus(ORDER_RETRY_INTERVAL)),
        };
        let step = Step::Loading {
            ordered_at,
            next_query,
        };
        self.rollouts.steps.insert(name.to_owned(), step);
    }

    /// A newer leader has sent orders: back ends reject all further orders of this term.
    fn on_fenced(&mut self) {
        self.rollouts.fenced_in_term = Some(self.term());
        self.step_down();
    }

    /// Another incarnation answers at the address of a back end. Once that incarnation has
    /// registered, the old one exists only as a record, which is removed.
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

    /// Processes a back end's report; `None` if the query failed.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        report: Option<&BackEndReport>,
    ) {
        self.now = now;
        let name = instance.as_str().to_owned();
        let Some(Step::Queried { ordered_at, .. }) = self.rollouts.steps.get(&name).copied() else {
            return;
        };
        let next_step = Step::Loading {
            ordered_at,
            next_query: now.plus(QUERY_INTERVAL),
        };
        self.rollouts.steps.insert(name.clone(), next_step);
        let Some(report) = report else {
            return;
        };
        self.rollouts
            .orders_taken
            .insert(name.clone(), report.orders_taken);
        if report.busy {
            return;
        }
        self.evaluate_report(&name, report, ordered_at);
    }

    pub(super) fn advance_rollouts(&mut self) {
        let loads = pending_weight_loads(&self.state);
        if loads.is_empty() {
            self.rollouts.steps.clear();
            return;
        }
        self.queue_read_request(Reader::Leader);
        self.remove_finished_steps();
        let responsive: Vec<WeightLoad> = loads
            .into_iter()
            .filter(|load| self.is_instance_responsive(&load.instance))
            .collect();
        if self.may_order() {
            self.start_weight_loads(&responsive);
        }
        let mut places = self.order_places();
        for load in responsive {
            let record = self.state.instance(&load.instance);
            if record.is_some_and(InstanceRecord::is_loading) {
                self.advance_weight_load(load, &mut places);
            }
        }
    }

    /// Whether this machine may send orders: a machine that was partitioned or paused has to detect
    /// that first.
    fn may_order(&self) -> bool {
        let now = self.now;
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < CONFIRMATION_TTL);
        let fenced = self.rollouts.fenced_in_term == Some(self.term());
        self.role() == Role::Leader && confirmed && !fenced
    }

    fn is_order_lease_free(&self, instance: &str) -> bool {
        let lease = self.params.order_lease;
        self.order_leases.is_free(self.now, lease, instance)
    }

    /// Keeps steps of back ends that are loading and of loads that were proposed recently.
    fn remove_finished_steps(&mut self) {
        let now = self.now;
        let state = &self.state;
        self.order_leases.forget_removed(state);
        self.rollouts.steps.retain(|name, step| {
            let record = state.instance(name);
            let loading = record.is_some_and(InstanceRecord::is_loading);
            let proposed =
                matches!(step, Step::Announced { at } if now.since(*at) < ORDER_RETRY_INTERVAL);
            loading || proposed
        });
    }

    /// Whether a back end has sent a heartbeat recently and routers have not reported it as unresponsive since. An
    /// unresponsive one does not delay the loads of others.
    pub(super) fn is_instance_responsive(&self, instance: &str) -> bool {
        let last_heartbeat = self.heartbeat_times.last(instance);
        let key = LoadEntry::key_of(instance);
        last_heartbeat.is_some_and(|at| {
            self.now.since(at) < INSTANCE_TIMEOUT && !self.suspects.is_pending(key, at)
        })
    }

    fn advance_weight_load(&mut self, load: WeightLoad, places: &mut OrderPlaces) {
        let now = self.now;
        let initial = Step::Loading {
            ordered_at: Timestamp::default(),
            next_query: now,
        };
        let step = *self
            .rollouts
            .steps
            .entry(load.instance.clone())
            .or_insert(initial);
        match step {
            Step::Announced { at }
                if now.since(at) >= self.params.load_order_delay
                    && self.may_order()
                    && self.is_order_lease_free(&load.instance) =>
            {
                if let Some(concurrent) = self.take_order_place(places, &load.instance) {
                    self.send_order(load, concurrent);
                }
            }
            Step::Ordered { at, .. } if now.since(at) >= ORDER_RETRY_INTERVAL => {
                let step = Step::Loading {
                    ordered_at: at,
                    next_query: now,
                };
                self.rollouts.steps.insert(load.instance, step);
            }
            Step::Loading {
                ordered_at,
                next_query,
            } if next_query <= now => self.query_back_end(load, ordered_at),
            Step::Queried { ordered_at, at } if now.since(at) >= ORDER_RETRY_INTERVAL => {
                self.query_back_end(load, ordered_at)
            }
            _ => {}
        }
    }

    fn query_back_end(&mut self, load: WeightLoad, ordered_at: Timestamp) {
        let step = Step::Queried {
            ordered_at,
            at: self.now,
        };
        self.rollouts.steps.insert(load.instance.clone(), step);
        self.effects.push(Effect::RequestReport {
            instance: InstanceId::new(&load.instance),
            address: load.address,
        });
    }

    /// `concurrent` loads of the pool are in progress with this one.
    fn send_order(&mut self, load: WeightLoad, concurrent: usize) {
        let durations = &mut self.rollouts.durations;
        durations.on_ordered(&load.instance, self.now, concurrent);
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

    fn evaluate_report(&mut self, name: &str, report: &BackEndReport, ordered_at: Timestamp) {
        let Some(record) = self.state.instance(name).cloned() else {
            return;
        };
        for loaded in &record.models.items {
            let held = report
                .models
                .iter()
                .find(|(model, _)| model.as_str() == loaded.model.as_str())
                .map_or(0, |(_, version)| *version);
            let load = WeightLoad {
                instance: name.to_owned(),
                address: record.address.as_str().to_owned(),
                model: loaded.model.as_str().to_owned(),
                held,
                version: held,
            };
            if loaded.loading != 0 && held > loaded.version {
                self.rollouts.steps.remove(name);
                self.propose_load(&load, LoadPhase::Finished);
            } else if loaded.loading != 0 && self.now.since(ordered_at) >= ORDER_RETRY_INTERVAL {
                let step = Step::Announced {
                    at: Timestamp::default(),
                };
                self.rollouts.steps.insert(name.to_owned(), step);
            }
        }
    }

    /// Counts the order of a finished load as accepted: the end of a load that was learned from a
    /// heartbeat comes without a report.
    pub(super) fn on_load_finished(&mut self, instance: &str) {
        if let Some(record) = self.state.instance(instance) {
            let pool = record.pool.as_str();
            let durations = &mut self.rollouts.durations;
            durations.on_finished(self.now, pool, instance);
        }
        let expected = self.rollouts.expected_at_order.remove(instance);
        if let Some(expected) = expected {
            let accepted = self
                .rollouts
                .orders_taken
                .entry(instance.to_owned())
                .or_default();
            *accepted = (*accepted).max(expected + 1);
        }
    }

    fn propose_load(&mut self, load: &WeightLoad, phase: LoadPhase) {
        let command = Command::Load {
            instance: load.instance.as_str().into(),
            model: load.model.as_str().into(),
            version: load.version,
            phase,
        };
        self.propose(None, command);
    }
}
