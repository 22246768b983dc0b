//! Applies the faults of a plan to the simulated cluster.

use std::time::Duration;

use drumshore_core::RolloutState;

use super::cluster::{Event, SimCluster};
use super::network::{Loss, Node};
use super::operators::DesiredChange;
use super::plan::Fault;
use crate::sim::controls::ExtraDelay;

/// Time between the platform's announcement that a machine leaves and its removal.
const REMOVAL_DELAY: Duration = Duration::from_secs(9);

/// Retry interval for removing a machine that still has open requests.
const REMOVAL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl SimCluster {
    pub(super) fn apply_fault(&mut self, number: usize) {
        let fault = self.plan.faults[number].fault.clone();
        self.note(format!("FAULT {fault}"));
        match fault {
            Fault::EngineCrash { engine, away } => {
                self.crash_engine(engine);
                self.schedule_after(away, Event::StartEngine(engine));
            }
            Fault::EngineSlow { engine, factor } => self.slow_engine(engine, factor),
            Fault::EngineFreeze { engine, lasting } => {
                self.engines[engine].frozen_until = self.now.plus(lasting);
            }
            Fault::EngineLeaves { engine } => self.engine_leaves(engine),
            Fault::EngineVaries { engine } => self.engines[engine].varies = true,
            Fault::RouterIsolated { router, lasting } => self.isolate_router(router, lasting),
            Fault::EngineDrained { engine } => {
                let name = self.engines[engine].name.clone();
                self.start_operation(DesiredChange::Drain(name));
            }
            Fault::RouterCrash { router, away } => {
                self.crash_router(router);
                self.schedule_after(away, Event::StartRouter(router));
            }
            Fault::RouterStop { router } => self.stop_router(router),
            Fault::ControlCrash { control, away } => {
                self.crash_control(control);
                self.schedule_after(away, Event::StartControl(control, false));
            }
            Fault::ControlReplaced { control } => self.replace_control(control),
            Fault::ControlWiped { control } => self.wipe_control(control),
            Fault::ControlsRestored => {
                self.restored = true;
                self.restore_controls();
            }
            Fault::ControlIsolated { control, lasting } => self.isolate_control(control, lasting),
            Fault::ZoneCut { zone, lasting } => self.cut_zone(zone, lasting),
            Fault::OneWayCut { from, to, lasting } => {
                let until = self.now.plus(lasting);
                self.network
                    .cut(Node::Control(from), Node::Control(to), until);
            }
            Fault::LossyNetwork { chance, lasting } => {
                self.network.loss = self.chance(chance, lasting);
            }
            Fault::FlakyStreams { chance, lasting } => self.flaky = self.chance(chance, lasting),
            Fault::DisorderedStreams { chance, lasting } => {
                self.disordered = self.chance(chance, lasting);
            }
            Fault::LateRequests { by, lasting } => {
                let until = self.now.plus(lasting);
                self.late_requests = ExtraDelay { by, until };
            }
            Fault::LateOrders { by, lasting } => {
                let until = self.now.plus(lasting);
                self.late_orders = ExtraDelay { by, until };
            }
            Fault::Surge { factor, lasting } => self.surge = self.chance(factor, lasting),
            Fault::HotShift => self.hot_offset += self.plan.workload.hot_shift_seconds,
            Fault::RolloutStarts => {
                self.start_operation(DesiredChange::Rollout(RolloutState::Running))
            }
            Fault::RolloutRollsBack => {
                self.start_operation(DesiredChange::Rollout(RolloutState::RolledBack))
            }
        }
    }

    fn schedule_after(&mut self, after: Duration, event: Event) {
        self.events.schedule(self.now.plus(after), event);
    }

    fn chance(&self, chance: f64, lasting: Duration) -> Loss {
        Loss {
            chance,
            until: self.now.plus(lasting),
        }
    }

    fn slow_engine(&mut self, engine: usize, factor: f64) {
        let host = &mut self.engines[engine];
        host.params.timing.slowdown = factor;
        if let Some(core) = &mut host.core {
            core.timing_mut().slowdown = factor;
        }
    }

    fn engine_leaves(&mut self, engine: usize) {
        let now = Duration::from_micros(self.now.0);
        let name = self.engines[engine].name.clone();
        self.platform.leave(&name, now);
        // Control machines can learn of it from the platform's list at the earliest, which lags by
        // one second.
        let shown = self.now.plus(Duration::from_secs(1));
        self.engines[engine].leaving_since.get_or_insert(shown);
        self.schedule_after(REMOVAL_DELAY, Event::RemoveEngine(engine));
    }

    /// Removes a machine that leaves from the platform as soon as it has no open requests.
    pub(super) fn remove_engine(&mut self, engine: usize) {
        let idle = self.engines[engine]
            .core
            .as_ref()
            .is_none_or(|core| core.open() == 0);
        if !idle {
            return self.schedule_after(REMOVAL_RETRY_INTERVAL, Event::RemoveEngine(engine));
        }
        let now = Duration::from_micros(self.now.0);
        let name = self.engines[engine].name.clone();
        self.crash_engine(engine);
        self.platform.remove(&name, now);
    }

    fn isolate_control(&mut self, control: usize, lasting: Duration) {
        let until = self.now.plus(lasting);
        for other in (0..self.controls.len()).filter(|other| *other != control) {
            let pair = (Node::Control(control), Node::Control(other));
            self.network.cut(pair.0, pair.1, until);
            self.network.cut(pair.1, pair.0, until);
        }
    }

    fn isolate_router(&mut self, router: usize, lasting: Duration) {
        let until = self.now.plus(lasting);
        for control in 0..self.controls.len() {
            let pair = (Node::Router(router), Node::Control(control));
            self.network.cut(pair.0, pair.1, until);
            self.network.cut(pair.1, pair.0, until);
        }
    }

    fn cut_zone(&mut self, zone: usize, lasting: Duration) {
        let until = self.now.plus(lasting);
        let zones = self.plan.zones;
        let nodes = self.all_nodes();
        for inside in nodes.iter().filter(|node| node.zone(zones) == zone) {
            for outside in nodes.iter().filter(|node| node.zone(zones) != zone) {
                self.network.cut(*inside, *outside, until);
                self.network.cut(*outside, *inside, until);
            }
        }
    }

    fn all_nodes(&self) -> Vec<Node> {
        let routers = (0..self.plan.routers).map(Node::Router);
        let controls = (0..self.plan.controls).map(Node::Control);
        let engines = (0..self.plan.engines).map(Node::Engine);
        routers.chain(controls).chain(engines).collect()
    }

    /// Records which routers are degraded now. A router is healthy while it is not stopping and is
    /// linked to a control machine that reaches a majority, and a majority of them does.
    pub(super) fn update_degraded_routers(&mut self) {
        let majority = self.controls.len() / 2 + 1;
        let reaches_majority: Vec<bool> = (0..self.controls.len())
            .map(|control| self.reachable_from(control) >= majority)
            .collect();
        let quorum = reaches_majority
            .iter()
            .filter(|reaches_majority| **reaches_majority)
            .count()
            >= majority;
        for router in 0..self.routers.len() {
            let linked = self.links.values().any(|link| {
                let nodes = (Node::Router(router), Node::Control(link.control));
                link.router == router
                    && !link.broken
                    && self.link_is_alive(link)
                    && reaches_majority[link.control]
                    && !self.network.is_cut_either_way(nodes.0, nodes.1, self.now)
            });
            let stopping = self.routers[router].stopping;
            if !linked || !quorum || stopping {
                self.routers[router].degraded_at = self.now;
            }
        }
    }

    /// Number of running control machines that this one can exchange messages with, itself
    /// included; 0 if it does not run.
    fn reachable_from(&self, control: usize) -> usize {
        let runs = |host: usize| self.controls[host].actor.is_some();
        if !runs(control) {
            return 0;
        }
        (0..self.controls.len())
            .filter(|other| runs(*other))
            .filter(|other| {
                let pair = (Node::Control(control), Node::Control(*other));
                *other == control || !self.network.is_cut_either_way(pair.0, pair.1, self.now)
            })
            .count()
    }
}
