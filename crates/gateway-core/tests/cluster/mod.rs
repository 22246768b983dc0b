//! A simulated cluster of control machines on one virtual clock, with links that can be cut and disks that can be lost.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_consensus::{Membership, MemoryDirectory, ReplicaId, Role};
use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    address_of, bootstrap_id, Command, ConnectionId, ControlCore, ControlParams, Effect, Following,
    Heartbeat, InstanceId, Lifecycle, Message, ModelName, Order, Reply, RouterStatus,
    SoftwareVersion, Ticket,
};
use drumshore_wire::{Blob, Text};

/// Number of zones of the machines.
pub const ZONES: u8 = 5;

pub type Core = ControlCore<MemoryDirectory>;

/// A machine with its disk; `core` is `None` while it is down.
pub struct Machine {
    pub core: Option<Core>,
    pub disk: MemoryDirectory,
    pub replica: ReplicaId,
}

/// An order with the machine that sent it and the time.
#[derive(Clone, Debug)]
pub struct SentOrder {
    pub by: Ipv4Addr,
    pub at: Timestamp,
    pub order: Order,
}

pub struct Cluster {
    pub machines: BTreeMap<Ipv4Addr, Machine>,
    pub seeds: Vec<Ipv4Addr>,
    pub now: Timestamp,
    /// Machines cut off from all others; messages to and from them are lost.
    pub cut: BTreeSet<Ipv4Addr>,
    /// Pairs whose messages from the first to the second are lost.
    pub severed: BTreeSet<(Ipv4Addr, Ipv4Addr)>,
    /// Machines whose process is stopped; messages to them wait.
    pub frozen: BTreeSet<Ipv4Addr>,
    /// Delays of messages to and from a machine.
    pub delays: BTreeMap<Ipv4Addr, Duration>,
    pub replies: BTreeMap<Ticket, Reply>,
    pub to_routers: Vec<(Ipv4Addr, ConnectionId, Message)>,
    pub orders: Vec<SentOrder>,
    pub report_requests: Vec<(Ipv4Addr, InstanceId)>,
    pub sent_to_control: Vec<Message>,
    /// Messages to several routers, one entry for all receivers.
    pub shared_messages: Vec<Message>,
    pub news_refused: usize,
    in_flight: Vec<(Ipv4Addr, Ipv4Addr, Message)>,
    delayed_messages: Vec<(Timestamp, Ipv4Addr, Ipv4Addr, Message)>,
    params: ControlParams,
    next_ticket: u64,
    next_random_seed: u64,
}

pub fn address(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

impl Cluster {
    /// `founders` machines that start together, all of them seeds.
    pub fn new(founders: u8) -> Self {
        Self::with_params(founders, ControlParams::default())
    }

    pub fn with_params(founders: u8, params: ControlParams) -> Self {
        let seeds: Vec<Ipv4Addr> = (1..=founders).map(address).collect();
        let mut cluster = Self {
            machines: BTreeMap::new(),
            seeds: seeds.clone(),
            now: Timestamp(1),
            cut: BTreeSet::new(),
            severed: BTreeSet::new(),
            frozen: BTreeSet::new(),
            delays: BTreeMap::new(),
            delayed_messages: Vec::new(),
            replies: BTreeMap::new(),
            to_routers: Vec::new(),
            orders: Vec::new(),
            report_requests: Vec::new(),
            sent_to_control: Vec::new(),
            shared_messages: Vec::new(),
            news_refused: 0,
            in_flight: Vec::new(),
            params,
            next_ticket: 0,
            next_random_seed: 100,
        };
        for seed in seeds {
            cluster.add(seed, bootstrap_id(seed));
        }
        cluster
    }

    fn add(&mut self, at: Ipv4Addr, replica: ReplicaId) {
        let machine = Machine {
            core: None,
            disk: MemoryDirectory::new(),
            replica,
        };
        self.machines.insert(at, machine);
        self.start(at);
    }

    /// Starts a machine with an empty disk, which asks to join the cluster.
    pub fn join(&mut self, at: Ipv4Addr) {
        self.next_random_seed += 1;
        let replica = ReplicaId(bootstrap_id(at).0 | self.next_random_seed);
        self.add(at, replica);
    }

    pub fn start(&mut self, at: Ipv4Addr) {
        self.next_random_seed += 1;
        let founding = self.machines[&at].replica == bootstrap_id(at);
        let members = if founding {
            Membership::of_voters(self.seeds.iter().map(|seed| bootstrap_id(*seed)))
        } else {
            Membership::default()
        };
        let params = ControlParams {
            zone: self.zone_of(at),
            ..self.params.clone()
        };
        let machine = self.machines.get_mut(&at).unwrap();
        let core = Core::open(
            machine.disk.clone(),
            machine.replica,
            members,
            self.seeds.clone(),
            at.to_string(),
            params,
            self.next_random_seed,
        );
        machine.core = Some(core.unwrap());
    }

    pub fn kill(&mut self, at: Ipv4Addr) {
        self.machines.get_mut(&at).unwrap().core = None;
    }

    /// The machine loses its disk and returns under a new replica id.
    pub fn wipe(&mut self, at: Ipv4Addr) {
        self.machines.remove(&at);
        self.join(at);
    }

    /// A machine that is up and not frozen.
    pub fn running(&mut self, at: Ipv4Addr) -> Option<&mut Core> {
        let is_frozen = self.frozen.contains(&at);
        let machine = self.machines.get_mut(&at).filter(|_| !is_frozen);
        machine.and_then(|machine| machine.core.as_mut())
    }

    pub fn core(&mut self, at: Ipv4Addr) -> &mut Core {
        self.machines.get_mut(&at).unwrap().core.as_mut().unwrap()
    }

    pub fn leader(&self) -> Option<Ipv4Addr> {
        let leads = |machine: &Machine| {
            let core = machine.core.as_ref();
            core.is_some_and(|core| core.role() == Role::Leader)
        };
        let mut leaders = self.machines.iter().filter(|(_, machine)| leads(machine));
        leaders
            .find(|(at, _)| !self.cut.contains(at))
            .map(|(at, _)| *at)
    }

    /// Lets time pass in steps of one tick.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now.plus(duration);
        while self.now < end {
            self.now = self.now.plus(self.params.tick);
            let all: Vec<Ipv4Addr> = self.machines.keys().copied().collect();
            for at in all {
                let now = self.now;
                if let Some(core) = self.running(at) {
                    core.on_tick(now);
                }
            }
            self.deliver_delayed();
            self.settle();
        }
    }

    fn deliver_delayed(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .delayed_messages
            .extract_if(.., |item| item.0 <= now)
            .collect();
        for (_, from, to, message) in due {
            self.deliver(from, to, message);
        }
    }

    fn deliver(&mut self, from: Ipv4Addr, to: Ipv4Addr, message: Message) {
        if self.cut.contains(&from) || self.cut.contains(&to) || self.severed.contains(&(from, to))
        {
            return;
        }
        let now = self.now;
        if self.frozen.contains(&to) {
            self.delayed_messages.push((now, from, to, message));
            return;
        }
        let machine = self.machines.get_mut(&to);
        if let Some(core) = machine.and_then(|machine| machine.core.as_mut()) {
            core.on_control(now, message);
        }
    }

    /// Delivers messages until none is left.
    pub fn settle(&mut self) {
        loop {
            self.flush_all();
            let messages = std::mem::take(&mut self.in_flight);
            if messages.is_empty() {
                return;
            }
            for (from, to, message) in messages {
                let delays = [from, to].map(|at| self.delays.get(&at).copied());
                match delays.into_iter().flatten().max() {
                    Some(delay) => {
                        self.delayed_messages
                            .push((self.now.plus(delay), from, to, message))
                    }
                    None => self.deliver(from, to, message),
                }
            }
        }
    }

    fn flush_all(&mut self) {
        let all: Vec<Ipv4Addr> = self.machines.keys().copied().collect();
        for at in all {
            let mut effects = Vec::new();
            if let Some(core) = self.running(at) {
                core.flush(&mut |effect| effects.push(effect)).unwrap();
            }
            for effect in effects {
                self.carry_out(at, effect);
            }
        }
    }

    fn carry_out(&mut self, at: Ipv4Addr, effect: Effect) {
        match effect {
            Effect::ToControl(to, message) => {
                self.sent_to_control.push(message.clone());
                self.in_flight.push((at, to, message));
            }
            Effect::ToRouter(connection, message) => {
                self.to_routers.push((at, connection, message));
            }
            Effect::ToRouters(connections, message) => {
                self.shared_messages.push(message.clone());
                let sent = connections.into_iter();
                let sent = sent.map(|connection| (at, connection, message.clone()));
                self.to_routers.extend(sent);
            }
            Effect::Reply(ticket, reply) => {
                self.replies.insert(ticket, reply);
            }
            Effect::Order(order) => self.orders.push(SentOrder {
                by: at,
                at: self.now,
                order,
            }),
            Effect::RequestReport { instance, .. } => self.report_requests.push((at, instance)),
            Effect::NewsRefused => self.news_refused += 1,
            Effect::Applied { .. }
            | Effect::FingerprintSuspected { .. }
            | Effect::CrashReported(_)
            | Effect::AccountLevelsWithheld(_)
            | Effect::SpeedChanged(_)
            | Effect::LoadPlanned(_) => {}
        }
    }

    /// Machines are assigned to the zones in turn.
    pub fn zone_of(&self, at: Ipv4Addr) -> String {
        format!("zone-{}", at.octets()[3] % ZONES)
    }

    pub fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    pub fn submit(&mut self, at: Ipv4Addr, command: Command) -> Ticket {
        let (ticket, now) = (self.ticket(), self.now);
        self.core(at).submit(now, ticket, command);
        self.settle();
        ticket
    }

    pub fn configure(&mut self, at: Ipv4Addr, version: u64) -> Ticket {
        let body = Blob::new(format!("configuration {version}").into_bytes());
        self.submit(at, Command::Configure { version, body })
    }

    pub fn set_target_weights(&mut self, at: Ipv4Addr, version: u64) -> Ticket {
        let model = Text::new("model");
        self.submit(at, Command::SetTargetWeights { model, version })
    }

    pub fn read(&mut self, at: Ipv4Addr) -> Ticket {
        let (ticket, now) = (self.ticket(), self.now);
        self.core(at).read_configuration(now, ticket);
        self.settle();
        ticket
    }

    pub fn heartbeat(&mut self, at: Ipv4Addr, heartbeat: &Heartbeat) -> Ticket {
        let (ticket, now) = (self.ticket(), self.now);
        self.core(at).on_heartbeat(now, ticket, heartbeat);
        self.settle();
        ticket
    }

    pub fn link_router(&mut self, at: Ipv4Addr, connection: ConnectionId, address: &str) {
        let status = RouterStatus {
            address: Text::new(address),
            zone: Text::new("zone"),
            accepting: 1,
            is_serving: 1,
        };
        let now = self.now;
        let core = self.core(at);
        core.on_router(now, connection, Message::Router(status));
        core.on_router(now, connection, Message::Follow(Following::ChangesAndNews));
        self.settle();
    }

    pub fn voters(&self, at: Ipv4Addr) -> usize {
        self.machines[&at].core.as_ref().unwrap().controls().len()
    }
}

/// A back end that holds `version`.
pub fn back_end(number: u8, version: u64) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(&format!("i-{number}")),
        pool: "pool".to_owned(),
        address: format!("10.9.0.{number}:80"),
        zone: "zone".to_owned(),
        slots: 4,
        lifecycle: Lifecycle::Ready,
        models: vec![(ModelName::new("model"), version)],
        software: SoftwareVersion::default(),
        started_ms: 0,
    }
}

pub fn replica_address(replica: ReplicaId) -> Ipv4Addr {
    address_of(replica)
}
