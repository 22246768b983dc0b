//! Control machines of the simulated fleet, their disks, and their calls to the platform and to
//! engines.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use drumshore_consensus::{
    FolderIdentity, Membership, MembershipChange, MemoryDirectory, ReplicaId,
};
use drumshore_control::{
    ControlActor, ControlCore, ControlOutputs, ControlParams, Effect, EngineOrder, EngineProbe,
    OperatorRequest, ProbeFailed,
};
use drumshore_core::{EngineName, Timestamp};
use drumshore_routing::CacheReport;
use drumshore_wire::Message;
use rand::Rng;
use stakker::{actor, call, ret_nop, ActorOwn, Fwd};

use super::cluster::{Event, Output, SimCluster};
use super::network::Node;
use super::operators::{ReplyTarget, SenderPosition};

/// Tick interval of a control machine whose clock does not drift.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a control machine polls the platform and the engines.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time until a probe of an unresponsive engine fails.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between the requests for the steps of a replacement.
const REPLACEMENT_STEP_INTERVAL: Duration = Duration::from_millis(700);

/// Maximum clock drift of a control machine in either direction, in parts per 1,000.
const DRIFT_PER_MILLE: u64 = 20;

/// Upper bound of the difference between control machines' wall clocks, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 3_000;

pub(super) struct ControlHost {
    pub(super) id: ReplicaId,
    pub(super) actor: Option<ActorOwn<ControlActor<MemoryDirectory>>>,
    /// Number of starts; events for earlier starts are ignored.
    pub(super) generation: u64,
    directory: MemoryDirectory,
    /// A copy of the disk that operators can restore.
    backup: Option<MemoryDirectory>,
    offset_ms: u64,
    tick: Duration,
    pub(super) next_ticket: u64,
}

/// A machine that is being replaced, and the number of steps done.
#[derive(Clone, Copy, Debug)]
pub(super) struct Replacement {
    pub(super) control: usize,
    pub(super) old: ReplicaId,
    pub(super) new: ReplicaId,
    pub(super) step: usize,
}

impl ControlHost {
    pub(super) fn new(id: ReplicaId) -> Self {
        Self {
            id,
            actor: None,
            generation: 0,
            directory: MemoryDirectory::new(),
            backup: None,
            offset_ms: 0,
            tick: TICK_INTERVAL,
            next_ticket: 0,
        }
    }
}

impl SimCluster {
    /// Starts a control machine from its disk. With `bootstrap`, an empty disk is initialized with
    /// the membership of a new cluster; otherwise a machine with an empty disk waits to be added.
    pub(super) fn start_control(&mut self, control: usize, bootstrap: bool) {
        let seed = self.random_u64();
        let drift = self
            .random
            .random_range(1_000 - DRIFT_PER_MILLE..=1_000 + DRIFT_PER_MILLE);
        let offset_ms = self.random.random_range(0..CLOCK_OFFSET_MS);
        let ids: Vec<ReplicaId> = self.controls.iter().map(|host| host.id).collect();
        let host = &mut self.controls[control];
        let identity = FolderIdentity {
            cluster: "sim".to_owned(),
            replica: host.id,
        };
        let membership = if bootstrap {
            Membership::of_voters(ids)
        } else {
            Membership::default()
        };
        let params = ControlParams {
            snapshot_entries: SNAPSHOT_ENTRIES,
            ..ControlParams::default()
        };
        let opened = ControlCore::open(host.directory.clone(), &identity, membership, params, seed);
        let core = match opened {
            Ok(core) => core,
            Err(error) => {
                return self.note(format!("control {control} cannot start: {error}"));
            }
        };
        host.generation += 1;
        host.offset_ms = offset_ms;
        host.tick = TICK_INTERVAL * drift as u32 / 1_000;
        let (generation, tick) = (host.generation, host.tick);
        let outputs = outputs(control, generation, offset_ms, &self.clock_ms, &self.outbox);
        let actor = actor!(
            self.stakker,
            <ControlActor<MemoryDirectory>>::init(core, outputs, tick),
            ret_nop!()
        );
        self.controls[control].actor = Some(actor);
        let poll = Event::Poll {
            control,
            generation,
        };
        self.events.schedule(self.now, poll);
        self.note(format!("control {control} starts"));
    }

    /// Terminates a control machine's process at once. Writes that were not synced are lost, or a
    /// part of them remains.
    pub(super) fn crash_control(&mut self, control: usize) {
        let torn = self.random.random_range(0..200);
        let host = &mut self.controls[control];
        if host.actor.take().is_none() {
            return;
        }
        host.directory.crash(torn);
        self.note(format!("control {control} terminates"));
        let at = self.now.plus(Duration::from_millis(1));
        let ended: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.control == control)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.events.schedule(at, Event::LinkReset(id));
        }
    }

    /// Wipes the disk of a control machine, which restarts under its old replica number.
    pub(super) fn wipe_control(&mut self, control: usize) {
        self.crash_control(control);
        self.controls[control].directory.wipe();
        // Reproduces an operating error: the machine is started as if the cluster were new.
        let at = self.now.plus(Duration::from_millis(300));
        self.events.schedule(at, Event::StartControl(control, true));
    }

    /// Copies the disks of all control machines for a later restore.
    pub(super) fn back_up_controls(&mut self) {
        for host in &mut self.controls {
            host.backup = Some(copy_of(&host.directory));
        }
    }

    /// Crashes all control machines and restarts them from the copies of their disks.
    pub(super) fn restore_controls(&mut self) {
        for control in 0..self.controls.len() {
            self.crash_control(control);
            let host = &mut self.controls[control];
            if let Some(backup) = &host.backup {
                host.directory = copy_of(backup);
            }
            let at = self.now.plus(Duration::from_millis(200));
            self.events
                .schedule(at, Event::StartControl(control, false));
        }
        self.note("control machines are restored from older copies");
    }

    /// Replaces a control machine whose disk is lost by one with an empty disk and a new replica
    /// number, and schedules the membership changes.
    pub(super) fn replace_control(&mut self, control: usize) {
        self.crash_control(control);
        let old = self.controls[control].id;
        self.next_replica += 1;
        let new = ReplicaId(self.next_replica);
        let host = &mut self.controls[control];
        host.id = new;
        host.directory = MemoryDirectory::new();
        self.start_control(control, false);
        self.replacements.push(Replacement {
            control,
            old,
            new,
            step: 0,
        });
        let at = self.now.plus(REPLACEMENT_STEP_INTERVAL);
        let index = self.replacements.len() - 1;
        self.events.schedule(at, Event::ReplacementStep(index));
    }

    /// Requests the next step from every machine, because only the leader can execute it. The old
    /// replica is removed before the new one votes, so that a lost replica does not count towards
    /// the majority that is needed.
    pub(super) fn replacement_step(&mut self, index: usize) {
        let Replacement { old, new, step, .. } = self.replacements[index];
        let change = match step {
            0 => MembershipChange::Remove(old),
            1 => MembershipChange::AddLearner(new),
            2 => MembershipChange::Promote(new),
            _ => return,
        };
        for control in 0..self.controls.len() {
            self.send_operator_request(
                control,
                OperatorRequest::ChangeMembers(change),
                ReplyTarget::Replacement(index),
            );
        }
        let at = self.now.plus(REPLACEMENT_STEP_INTERVAL);
        self.events.schedule(at, Event::ReplacementStep(index));
    }

    /// Handles a control machine's reply to a step of a replacement.
    pub(super) fn on_replacement_reply(&mut self, index: usize, result: Result<(), String>) {
        let replacement = &mut self.replacements[index];
        let done = match &result {
            Ok(()) => true,
            // An earlier request executed the step, and its reply was lost.
            Err(reason) => {
                (replacement.step == 0 && reason.contains("is not a member"))
                    || (replacement.step == 1 && reason.contains("is a member already"))
            }
        };
        if done {
            replacement.step += 1;
            let (control, step) = (replacement.control, replacement.step);
            self.note(format!(
                "replacement of control {control}: step {step} done"
            ));
        }
    }

    pub(super) fn on_control_effect(&mut self, control: usize, generation: u64, effect: Effect) {
        if self.controls[control].generation != generation {
            return;
        }
        match effect {
            Effect::ToControl(to, message) => self.send_to_control(control, to, message),
            Effect::ToRouter(connection, message) => {
                self.control_sends(control, connection, message);
            }
            Effect::Reply(ticket, reply) => self.on_reply(control, ticket, reply),
            Effect::Order { engine, order, .. } => self.send_order(control, &engine, order),
        }
    }

    fn send_to_control(&mut self, from: usize, to: ReplicaId, message: Message) {
        let Some(target) = self.controls.iter().position(|host| host.id == to) else {
            return;
        };
        let nodes = (Node::Control(from), Node::Control(target));
        if self.network.is_cut(nodes.0, nodes.1, self.now) {
            return;
        }
        let loss = self.network.loss;
        let lossy = loss.until > self.now;
        if lossy && self.random.random::<f64>() < loss.chance {
            return;
        }
        let from_id = self.controls[from].id;
        let copies = 1 + usize::from(lossy && self.random.random::<f64>() < loss.chance);
        for _ in 0..copies {
            let mut delay = self.network.delay(nodes.0, nodes.1, &mut self.random);
            if lossy && self.random.random::<f64>() < loss.chance {
                delay += Duration::from_millis(self.random.random_range(0..300));
            }
            let event = Event::ControlToControl {
                from: from_id,
                to: target,
                message: message.clone(),
            };
            self.events.schedule(self.now.plus(delay), event);
        }
    }

    pub(super) fn deliver_control(&mut self, from: ReplicaId, to: usize, message: Message) {
        self.trace.mark(self.now, "control to control", to as u64);
        if let Some(actor) = &self.controls[to].actor {
            call!([actor], control_message(from, message));
        }
    }

    /// Passes the platform's list to a control machine, and probes each engine it knows.
    pub(super) fn poll(&mut self, control: usize, generation: u64) {
        let host = &self.controls[control];
        if host.generation != generation {
            return;
        }
        let Some(actor) = &host.actor else {
            return;
        };
        let machines = self.platform.list(Duration::from_micros(self.now.0));
        call!([actor], machines(machines));
        let known = actor.query(&mut self.stakker, |actor, _| {
            let engines = actor.core().fleet().iter();
            engines.map(|(name, _)| name.clone()).collect::<Vec<_>>()
        });
        for name in known.unwrap_or_default() {
            self.send_probe(control, generation, name);
        }
        let poll = Event::Poll {
            control,
            generation,
        };
        self.events.schedule(self.now.plus(POLL_INTERVAL), poll);
    }

    fn send_probe(&mut self, control: usize, generation: u64, name: EngineName) {
        let Some(engine) = self.engine_named(&name) else {
            return;
        };
        let nodes = (Node::Control(control), Node::Engine(engine));
        let unresponsive = self.network.is_cut_either_way(nodes.0, nodes.1, self.now)
            || self.engines[engine].is_frozen(self.now);
        let round_trip = self.network.delay(nodes.0, nodes.1, &mut self.random) * 2;
        let (result, after) = if unresponsive {
            (Err(ProbeFailed), PROBE_TIMEOUT)
        } else {
            (self.probe_engine(engine), round_trip)
        };
        let report = match &result {
            Ok(_) => self.report_cache(control, engine, &name),
            Err(ProbeFailed) => None,
        };
        let event = Event::ProbeAnswer {
            control,
            generation,
            name,
            result,
            report,
        };
        self.events.schedule(self.now.plus(after), event);
    }

    /// The cache report of an engine with what the control machine lacks; `None` if the machine
    /// does not index this engine.
    fn report_cache(
        &mut self,
        control: usize,
        engine: usize,
        name: &EngineName,
    ) -> Option<CacheReport> {
        let actor = self.controls[control].actor.as_ref()?;
        let wanted = actor.query(&mut self.stakker, |actor, _| {
            actor.core().report_wanted(name)
        });
        let core = self.engines[engine].core.as_ref()?;
        Some(core.cache_report(wanted.flatten()?))
    }

    pub(super) fn on_cache_report(
        &mut self,
        control: usize,
        generation: u64,
        name: &EngineName,
        report: Option<CacheReport>,
    ) {
        let host = &self.controls[control];
        if let Some((actor, report)) = host.actor.as_ref().zip(report) {
            if host.generation == generation {
                call!([actor], cache_report(name.clone(), report));
            }
        }
    }

    pub(super) fn on_probe_answer(
        &mut self,
        control: usize,
        generation: u64,
        name: EngineName,
        result: Result<EngineProbe, ProbeFailed>,
    ) {
        let host = &self.controls[control];
        if host.generation != generation {
            return;
        }
        if let Some(actor) = &host.actor {
            call!([actor], probe(name, result));
        }
    }

    fn send_order(&mut self, control: usize, name: &EngineName, order: EngineOrder) {
        let Some(engine) = self.engine_named(name) else {
            return;
        };
        let nodes = (Node::Control(control), Node::Engine(engine));
        if self.network.is_cut(nodes.0, nodes.1, self.now) {
            return;
        }
        let mut delay = self.network.delay(nodes.0, nodes.1, &mut self.random);
        if self.late_orders.until > self.now {
            delay += self.late_orders.by;
        }
        let sender_position = self.position_of_sender(control);
        let event = Event::Order {
            engine,
            order,
            sender_position,
        };
        self.events.schedule(self.now.plus(delay), event);
    }
}

impl SimCluster {
    /// Term and revision of a control machine, independent of the fence it writes into its orders.
    fn position_of_sender(&mut self, control: usize) -> SenderPosition {
        let Some(actor) = &self.controls[control].actor else {
            return (0, 0);
        };
        let sender_position = actor.query(&mut self.stakker, |actor, _| {
            let status = actor.core().status();
            (status.term, status.revision.0)
        });
        sender_position.unwrap_or((0, 0))
    }
}

/// Log entries between snapshots; small, so that short runs take snapshots too.
const SNAPSHOT_ENTRIES: u64 = 40;

/// An additional delay `by` that applies to messages until a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ExtraDelay {
    pub(super) by: Duration,
    pub(super) until: Timestamp,
}

fn copy_of(directory: &MemoryDirectory) -> MemoryDirectory {
    directory.copy()
}

fn outputs(
    control: usize,
    generation: u64,
    offset_ms: u64,
    clock_ms: &Rc<RefCell<u64>>,
    outbox: &Rc<RefCell<Vec<Output>>>,
) -> ControlOutputs {
    let clock_ms = Rc::clone(clock_ms);
    let (effects, failures) = (Rc::clone(outbox), Rc::clone(outbox));
    ControlOutputs {
        effect: Fwd::new(move |effect| {
            effects.borrow_mut().push(Output::Control {
                control,
                generation,
                effect,
            });
        }),
        disk_failed: Fwd::new(move |_| {
            failures.borrow_mut().push(Output::DiskFailed {
                control,
                generation,
            });
        }),
        unix_ms: Box::new(move || *clock_ms.borrow() + offset_ms),
    }
}
