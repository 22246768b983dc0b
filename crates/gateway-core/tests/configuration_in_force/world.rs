//! Control machines, routers, an operator and what fails, on one clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{ConnectionId, Message, Refusal, Reply, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::{address, Cluster, ZONES};
use crate::faults::{Fault, Kind};
use crate::router::{Sent, SimRouter};
use crate::touch::{connected, Held, APPLY, CONTACT, MOST_SKEW};

const TICK: Duration = Duration::from_millis(50);
/// Exchanges between two ticks that are not over by then go on without progress.
const MOST_ROUNDS: usize = 30;
/// Of a router, on all its links, in one second: pings, changes and what they lead to.
const MOST_MESSAGES_A_SECOND: usize = 60;
/// Before the first configuration.
const START: Duration = Duration::from_secs(2);

/// A change that an operator has sent and nobody has acknowledged.
struct Pending {
    version: u64,
    ticket: Ticket,
    at: Ipv4Addr,
    sent: Timestamp,
}

/// What all running routers, in touch or not, would say each 50 ms of a configuration that is due to be in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decisions {
    pub current: usize,
    pub by_older: usize,
    /// A route that was added is said not to exist.
    pub wrongly_missing: usize,
    pub refused: usize,
}

impl Decisions {
    pub fn add(&mut self, other: &Self) {
        self.current += other.current;
        self.by_older += other.by_older;
        self.wrongly_missing += other.wrongly_missing;
        self.refused += other.refused;
    }
}

/// What is known of a router for judging it.
#[derive(Default)]
struct Judged {
    /// It runs, and reaches all connected control machines in both directions.
    undisturbed: Held,
    served: u64,
    incarnation: u64,
    /// Versions that it has, and the last second's messages.
    has: u64,
    sent_before: usize,
}

pub struct World {
    pub cluster: Cluster,
    pub faults: Vec<Fault>,
    pub broken: Vec<String>,
    /// From the acknowledgement of a version until a router had it that was in touch all the while.
    pub delays: Vec<Duration>,
    pub decisions: Decisions,
    routers: Vec<SimRouter>,
    judged: Vec<Judged>,
    started: Timestamp,
    machines: Vec<Ipv4Addr>,
    cut: BTreeSet<(usize, Ipv4Addr, Direction)>,
    frozen: BTreeSet<usize>,
    killed: BTreeSet<usize>,
    /// What waits for a frozen process.
    for_routers: Vec<(usize, Ipv4Addr, ConnectionId, Message)>,
    for_machines: Vec<Sent>,
    /// Nothing has happened to the control machines.
    calm: Held,
    /// More than half of them run and reach each other.
    connected: Held,
    operator: ChaCha8Rng,
    pending: Option<Pending>,
    next_change: Timestamp,
    acknowledged: BTreeMap<u64, Timestamp>,
    version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Direction {
    ToMachine,
    ToRouter,
}

impl World {
    pub fn new(seed: u64, routers: usize, machines: u8) -> Self {
        let cluster = Cluster::new(machines);
        let machines: Vec<Ipv4Addr> = (1..=machines).map(address).collect();
        let sim = |number: usize| SimRouter::new(number, 0, zone_of(number), &machines);
        let now = cluster.now;
        Self {
            routers: (0..routers).map(sim).collect(),
            judged: (0..routers).map(|_| Judged::default()).collect(),
            cluster,
            faults: Vec::new(),
            broken: Vec::new(),
            delays: Vec::new(),
            decisions: Decisions::default(),
            started: now,
            machines,
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            killed: BTreeSet::new(),
            for_routers: Vec::new(),
            for_machines: Vec::new(),
            calm: Held::default(),
            connected: Held::default(),
            operator: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            pending: None,
            next_change: now.plus(START),
            acknowledged: BTreeMap::new(),
            version: 0,
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.started.plus(duration);
        while self.cluster.now < end {
            let disturbed = self.change_faults();
            self.cluster.run(TICK);
            self.exchange();
            self.operate();
            self.exchange();
            self.note_touch(disturbed);
            self.judge();
        }
    }

    /// Faults that begin or end now; true when one of them strikes control machines.
    fn change_faults(&mut self) -> bool {
        let before = self.cluster.now;
        let now = before.plus(TICK);
        let is_now = |at: Duration| {
            let at = self.started.plus(at);
            before < at && at <= now
        };
        let (mut begin, mut end) = (Vec::new(), Vec::new());
        for fault in &self.faults {
            if is_now(fault.from) {
                begin.push(fault.kind.clone());
            }
            if is_now(fault.until) {
                end.push(fault.kind.clone());
            }
        }
        let strikes_core = |kind: &Kind| {
            !matches!(
                kind,
                Kind::CutRouter { .. }
                    | Kind::IsolateRouter { .. }
                    | Kind::FreezeRouter(_)
                    | Kind::KillRouter(_)
            )
        };
        let disturbed = begin.iter().chain(&end).any(strikes_core);
        for kind in end {
            self.end(&kind);
        }
        for kind in begin {
            self.begin(&kind);
        }
        disturbed
    }

    fn begin(&mut self, kind: &Kind) {
        match kind {
            Kind::SplitCore(_) | Kind::IsolateCore(_) | Kind::MuteCore(_) | Kind::DeafenCore(_) => {
                let pairs = self.pairs_of(kind);
                self.cluster.severed.extend(pairs);
            }
            Kind::FreezeCore(machine) => {
                self.cluster.frozen.insert(address(*machine));
            }
            Kind::KillCore(machine) => {
                let at = address(*machine);
                self.cluster.kill(at);
                self.cluster.frozen.remove(&at);
                for router in 0..self.routers.len() {
                    if self.reaches(at, router) {
                        self.lose_link(router, at);
                    }
                }
            }
            Kind::CutRouter {
                router,
                machine,
                to_machine,
                to_router,
            } => {
                let at = address(*machine);
                if *to_machine {
                    self.cut.insert((*router, at, Direction::ToMachine));
                }
                if *to_router {
                    self.cut.insert((*router, at, Direction::ToRouter));
                }
            }
            Kind::IsolateRouter { router, machines } => {
                for machine in machines {
                    let at = address(*machine);
                    self.cut.insert((*router, at, Direction::ToMachine));
                    self.cut.insert((*router, at, Direction::ToRouter));
                }
            }
            Kind::FreezeRouter(router) => {
                self.frozen.insert(*router);
            }
            Kind::KillRouter(router) => {
                self.killed.insert(*router);
                self.frozen.remove(router);
                for at in self.routers[*router].linked() {
                    self.lose_link(*router, at);
                }
            }
        }
    }

    /// Faults of one kind that overlap end with the first; the draw makes up for it by their number.
    fn end(&mut self, kind: &Kind) {
        match kind {
            Kind::SplitCore(_) | Kind::IsolateCore(_) | Kind::MuteCore(_) | Kind::DeafenCore(_) => {
                for pair in self.pairs_of(kind) {
                    self.cluster.severed.remove(&pair);
                }
            }
            Kind::FreezeCore(machine) => {
                self.cluster.frozen.remove(&address(*machine));
            }
            Kind::KillCore(machine) => {
                let at = address(*machine);
                if self.cluster.machines[&at].core.is_none() {
                    self.cluster.start(at);
                }
            }
            Kind::CutRouter {
                router, machine, ..
            } => {
                let at = address(*machine);
                for direction in [Direction::ToMachine, Direction::ToRouter] {
                    self.cut.remove(&(*router, at, direction));
                }
            }
            Kind::IsolateRouter { router, machines } => {
                let is_cut = |at: &Ipv4Addr| machines.contains(&at.octets()[3]);
                self.cut
                    .retain(|(other, at, _)| other != router || !is_cut(at));
            }
            Kind::FreezeRouter(router) => {
                self.frozen.remove(router);
            }
            Kind::KillRouter(router) => {
                if self.killed.remove(router) {
                    let judged = &mut self.judged[*router];
                    judged.incarnation += 1;
                    judged.served = 0;
                    judged.has = 0;
                    judged.sent_before = 0;
                    let (zone, incarnation) = (zone_of(*router), judged.incarnation);
                    let machines = &self.machines;
                    self.routers[*router] = SimRouter::new(*router, incarnation, zone, machines);
                }
            }
        }
    }

    fn pairs_of(&self, kind: &Kind) -> Vec<(Ipv4Addr, Ipv4Addr)> {
        let number = |at: &Ipv4Addr| at.octets()[3];
        let all = self.machines.iter();
        let pairs = all.flat_map(|from| self.machines.iter().map(move |to| (*from, *to)));
        let is_severed = |(from, to): &(Ipv4Addr, Ipv4Addr)| {
            let (from, to) = (number(from), number(to));
            match kind {
                Kind::SplitCore(some) => some.contains(&from) != some.contains(&to),
                Kind::IsolateCore(some) => {
                    from != to && (some.contains(&from) || some.contains(&to))
                }
                Kind::MuteCore(one) => from == *one && to != *one,
                Kind::DeafenCore(one) => to == *one && from != *one,
                _ => false,
            }
        };
        pairs.filter(is_severed).collect()
    }

    fn lose_link(&mut self, router: usize, at: Ipv4Addr) {
        let now = self.cluster.now;
        self.routers[router].lose(now, at);
        self.end_lost_links(router);
    }

    fn end_lost_links(&mut self, router: usize) {
        for (at, connection) in std::mem::take(&mut self.routers[router].lost) {
            if let Some(core) = self.cluster.running(at) {
                core.on_router_gone(connection);
            }
        }
    }

    /// What a machine sends arrives at a router.
    fn reaches(&self, at: Ipv4Addr, router: usize) -> bool {
        !self.cut.contains(&(router, at, Direction::ToRouter))
    }

    /// What a router sends arrives at a machine.
    fn is_reached(&self, router: usize, at: Ipv4Addr) -> bool {
        !self.cut.contains(&(router, at, Direction::ToMachine))
    }

    /// Lets routers and machines talk until all is said.
    fn exchange(&mut self) {
        for _ in 0..MOST_ROUNDS {
            let delivered = self.deliver_to_routers();
            let sent = self.poll_routers();
            if !delivered && sent.is_empty() {
                return;
            }
            for message in sent {
                self.deliver_to_machine(message);
            }
            self.cluster.settle();
        }
        self.breaks("questions and answers go on without progress".to_owned());
    }

    fn deliver_to_routers(&mut self) -> bool {
        let waiting = std::mem::take(&mut self.for_routers);
        let sent = std::mem::take(&mut self.cluster.to_routers);
        let sent = sent
            .into_iter()
            .map(|(from, connection, message)| (router_of(connection), from, connection, message));
        let all: Vec<_> = waiting.into_iter().chain(sent).collect();
        let now = self.cluster.now;
        let mut delivered = false;
        for (router, from, connection, message) in all {
            if self.frozen.contains(&router) {
                self.for_routers.push((router, from, connection, message));
            } else if !self.killed.contains(&router) && self.reaches(from, router) {
                self.routers[router].receive(now, from, connection, message);
                delivered = true;
            }
        }
        delivered
    }

    fn poll_routers(&mut self) -> Vec<Sent> {
        let now = self.cluster.now;
        let mut all = std::mem::take(&mut self.for_machines);
        for router in 0..self.routers.len() {
            if self.frozen.contains(&router) || self.killed.contains(&router) {
                continue;
            }
            let cut = &self.cut;
            let machines = &self.cluster.machines;
            let reaches = |at: Ipv4Addr| {
                let directions = [Direction::ToMachine, Direction::ToRouter];
                let is_cut = directions
                    .iter()
                    .any(|way| cut.contains(&(router, at, *way)));
                !is_cut && machines[&at].core.is_some()
            };
            let dialled = self.routers[router].dial(now, reaches);
            let polled = self.routers[router].poll(now);
            let sent = dialled.into_iter().chain(polled);
            let sent: Vec<Sent> = sent
                .filter(|(to, ..)| self.is_reached(router, *to))
                .collect();
            all.extend(sent);
            self.end_lost_links(router);
        }
        let is_frozen = |(to, ..): &Sent| self.cluster.frozen.contains(to);
        let (waiting, arriving) = all.into_iter().partition(is_frozen);
        self.for_machines = waiting;
        arriving
    }

    fn deliver_to_machine(&mut self, (to, connection, message): Sent) {
        let now = self.cluster.now;
        let is_linked = self.routers[router_of(connection)].is_linked_by(to, connection);
        if let Some(core) = self.cluster.running(to).filter(|_| is_linked) {
            core.on_router(now, connection, message);
        }
    }

    /// An operator changes the configuration now and then, and asks one machine after the other.
    fn operate(&mut self) {
        let now = self.cluster.now;
        if let Some(pending) = &self.pending {
            let reply = self.cluster.replies.remove(&pending.ticket);
            let is_given_up = now.since(pending.sent) > Duration::from_secs(1);
            if reply == Some(Reply::Accepted) {
                self.acknowledged.insert(pending.version, now);
                self.pending = None;
                let pause = Duration::from_millis(self.operator.random_range(300..4_000));
                self.next_change = now.plus(pause);
            } else if reply.is_some() || is_given_up {
                let version = pending.version;
                let place = self.machines.iter().position(|at| *at == pending.at);
                let next = (place.unwrap_or_default() + 1) % self.machines.len();
                let next = self.machines[next];
                self.send_change(version, next);
            }
        } else if now >= self.next_change {
            self.version += 1;
            let first = self.operator.random_range(0..self.machines.len());
            self.send_change(self.version, self.machines[first]);
        }
    }

    fn send_change(&mut self, version: u64, at: Ipv4Addr) {
        let sent = self.cluster.now;
        let is_running = self.cluster.running(at).is_some();
        let ticket = match is_running {
            true => self.cluster.configure(at, version),
            false => self.cluster.ticket(),
        };
        self.pending = Some(Pending {
            version,
            ticket,
            at,
            sent,
        });
    }

    fn note_touch(&mut self, disturbed: bool) {
        let now = self.cluster.now;
        let cluster = &self.cluster;
        let runs =
            |at: Ipv4Addr| cluster.machines[&at].core.is_some() && !cluster.frozen.contains(&at);
        let reaches = |from, to| !cluster.severed.contains(&(from, to));
        let connected = connected(&self.machines, runs, reaches);
        let has_majority = 2 * connected.len() > self.machines.len();
        self.connected.note(now, has_majority);
        self.calm.note(now, !disturbed);
        if disturbed {
            self.calm = Held::default();
        }
        for router in 0..self.routers.len() {
            let runs = !self.frozen.contains(&router) && !self.killed.contains(&router);
            let reaches_all = connected
                .iter()
                .all(|at| self.reaches(*at, router) && self.is_reached(router, *at));
            let judged = &mut self.judged[router];
            judged.undisturbed.note(now, runs && reaches_all);
        }
    }

    fn judge(&mut self) {
        let now = self.cluster.now;
        let is_stable = self.calm.lasts(now, CONTACT) && self.connected.lasts(now, Duration::ZERO);
        for router in 0..self.routers.len() {
            if self.frozen.contains(&router) || self.killed.contains(&router) {
                continue;
            }
            self.count_decisions(router);
            self.judge_order(router);
            self.judge_pace(router);
            if self.judged[router].undisturbed.lasts(now, CONTACT) {
                self.judge_router(router, is_stable);
            }
        }
    }

    fn judge_router(&mut self, router: usize, is_stable: bool) {
        let now = self.cluster.now;
        let bound = if is_stable { APPLY } else { APPLY + MOST_SKEW };
        let connected_since = self.connected.since();
        let is_due = |at: Timestamp| {
            now.since(at) > bound && (is_stable || connected_since.is_some_and(|since| since <= at))
        };
        let due = self.acknowledged.iter().filter(|(_, at)| is_due(**at));
        let Some(required) = due.map(|(version, _)| *version).max() else {
            return;
        };
        let sim = &mut self.routers[router];
        let served = sim.serves_by(now);
        let host = sim.has_host_of(now, required);
        let is_old = served.as_ref().is_ok_and(|version| *version < required);
        if is_old || host == Err(Refusal::NoRoute) {
            let what = format!("served by {served:?}, host {host:?}, required {required}");
            self.breaks(format!(
                "router {router} in touch, stable {is_stable}: {what}"
            ));
        } else if is_stable && served.is_err() {
            self.breaks(format!(
                "router {router} in touch serves nobody: {served:?}"
            ));
        }
    }

    fn count_decisions(&mut self, router: usize) {
        let now = self.cluster.now;
        let due = self
            .acknowledged
            .iter()
            .filter(|(_, at)| now.since(**at) > APPLY);
        let Some(required) = due.map(|(version, _)| *version).max() else {
            return;
        };
        let served = self.routers[router].serves_by(now);
        let host = self.routers[router].has_host_of(now, required);
        let decisions = &mut self.decisions;
        match served {
            Ok(version) if version >= required => decisions.current += 1,
            Ok(_) => decisions.by_older += 1,
            Err(_) => decisions.refused += 1,
        }
        if host == Err(Refusal::NoRoute) {
            decisions.wrongly_missing += 1;
        }
    }

    /// What a router decides by never goes back, and how long changes took.
    fn judge_order(&mut self, router: usize) {
        let now = self.cluster.now;
        let Ok(version) = self.routers[router].serves_by(now) else {
            return;
        };
        let judged = &mut self.judged[router];
        let before = std::mem::replace(&mut judged.served, version);
        if version < before {
            self.breaks(format!(
                "router {router} went back from {before} to {version}"
            ));
            return;
        }
        let judged = &mut self.judged[router];
        let is_stable = self.calm.lasts(now, CONTACT);
        for version in judged.has + 1..=version {
            let Some(at) = self.acknowledged.get(&version) else {
                break;
            };
            judged.has = version;
            let was_in_touch = judged.undisturbed.lasts(now, CONTACT + now.since(*at));
            if is_stable && was_in_touch {
                self.delays.push(now.since(*at));
            }
        }
    }

    fn judge_pace(&mut self, router: usize) {
        let elapsed = self.cluster.now.since(self.started).as_millis();
        if !elapsed.is_multiple_of(1_000) {
            return;
        }
        let sent = self.routers[router].sent;
        let before = std::mem::replace(&mut self.judged[router].sent_before, sent);
        if sent.saturating_sub(before) > MOST_MESSAGES_A_SECOND {
            let count = sent - before;
            self.breaks(format!("router {router} sent {count} messages in a second"));
        }
    }

    fn breaks(&mut self, what: String) {
        let at = self.cluster.now.since(self.started);
        self.broken.push(format!("{at:?}: {what}"));
    }
}

fn zone_of(router: usize) -> String {
    format!("zone-{}", router % usize::from(ZONES))
}

fn router_of(connection: ConnectionId) -> usize {
    (connection.0 >> 32) as usize
}
