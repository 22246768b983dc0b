//! Simulation of control machines, routers and an operator with injected faults, on one clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{ConnectionId, Message, Refusal, Reply, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::back_ends::BackEnds;
use crate::cluster::{address, Cluster, ZONES};
use crate::connectivity::{connected, HeldSince, APPLY_BOUND, DISTURBED_ALLOWANCE, MIN_CONNECTED};
use crate::faults::{Fault, FaultKind};
use crate::router::{Sent, SimRouter, ABSENCE_LEASE};

const TICK: Duration = Duration::from_millis(50);
/// Message exchange between two ticks that takes more rounds counts as a loop without progress.
const MAX_ROUNDS: usize = 30;
/// Messages that a router may send on all its links in one second: pings, fetches of changes and what follows from them.
const MAX_MESSAGES_PER_SECOND: usize = 60;
/// Time until the operator sends the first configuration.
const FIRST_CHANGE_DELAY: Duration = Duration::from_secs(2);

/// A change that the operator has sent and no machine has acknowledged.
struct Pending {
    version: u64,
    ticket: Ticket,
    at: Ipv4Addr,
    sent: Timestamp,
}

/// Counts, each 50 ms, how every running router, connected or not, decides on a configuration that should be in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decisions {
    pub current: usize,
    pub outdated: usize,
    /// The router answers that a route does not exist, although it was added.
    pub wrongly_missing: usize,
    pub refused: usize,
    /// The router admits requests by a view that was not confirmed within the bound.
    pub unsure: usize,
    /// The router may send requests to a back end that left longer than the bound ago.
    pub left_usable: usize,
}

impl Decisions {
    pub fn add(&mut self, other: &Self) {
        self.current += other.current;
        self.outdated += other.outdated;
        self.wrongly_missing += other.wrongly_missing;
        self.refused += other.refused;
        self.unsure += other.unsure;
        self.left_usable += other.left_usable;
    }
}

/// State of the checks of one router.
#[derive(Default)]
struct RouterChecks {
    /// The router runs, and exchanges messages with all connected control machines in both directions.
    undisturbed: HeldSince,
    /// Version in force at the last check.
    served: u64,
    incarnation: u64,
    /// All versions up to this one are applied.
    highest_applied: u64,
    /// Messages sent up to the last check of the rate.
    sent_before: usize,
}

pub struct Simulation {
    pub cluster: Cluster,
    pub faults: Vec<Fault>,
    pub violations: Vec<String>,
    /// Times from the acknowledgement of a version until it was in force at a router that was connected throughout.
    pub delays: Vec<Duration>,
    pub decisions: Decisions,
    back_ends: BackEnds,
    routers: Vec<SimRouter>,
    checks: Vec<RouterChecks>,
    started: Timestamp,
    machines: Vec<Ipv4Addr>,
    cut: BTreeSet<(usize, Ipv4Addr, Direction)>,
    frozen: BTreeSet<usize>,
    killed: BTreeSet<usize>,
    /// Messages that wait for a frozen process.
    queued_for_routers: Vec<(usize, Ipv4Addr, ConnectionId, Message)>,
    queued_for_machines: Vec<Sent>,
    /// No fault of control machines has begun or ended.
    controls_undisturbed: HeldSince,
    /// More than half of the control machines run and reach each other.
    connected: HeldSince,
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

impl Simulation {
    pub fn new(seed: u64, routers: usize, machines: u8) -> Self {
        let cluster = Cluster::new(machines);
        let machines: Vec<Ipv4Addr> = (1..=machines).map(address).collect();
        let sim = |number: usize| SimRouter::new(number, 0, zone_of(number), &machines);
        let now = cluster.now;
        Self {
            routers: (0..routers).map(sim).collect(),
            checks: (0..routers).map(|_| RouterChecks::default()).collect(),
            cluster,
            faults: Vec::new(),
            violations: Vec::new(),
            delays: Vec::new(),
            decisions: Decisions::default(),
            back_ends: BackEnds::new(seed),
            started: now,
            machines,
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            killed: BTreeSet::new(),
            queued_for_routers: Vec::new(),
            queued_for_machines: Vec::new(),
            controls_undisturbed: HeldSince::default(),
            connected: HeldSince::default(),
            operator: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            pending: None,
            next_change: now.plus(FIRST_CHANGE_DELAY),
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
            self.run_operator();
            self.back_ends.run(&mut self.cluster, &self.machines);
            self.exchange();
            self.update_connectivity(disturbed);
            self.check();
        }
    }

    /// Begins and ends the faults that are due; returns whether one of them affects control machines.
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
        let affects_controls = |kind: &FaultKind| {
            !matches!(
                kind,
                FaultKind::CutRouter { .. }
                    | FaultKind::IsolateRouter { .. }
                    | FaultKind::FreezeRouter(_)
                    | FaultKind::KillRouter(_)
            )
        };
        let disturbed = begin.iter().chain(&end).any(affects_controls);
        for kind in end {
            self.end(&kind);
        }
        for kind in begin {
            self.begin(&kind);
        }
        disturbed
    }

    fn begin(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::PartitionControls(_)
            | FaultKind::IsolateControls(_)
            | FaultKind::DropSentByControl(_)
            | FaultKind::DropSentToControl(_) => {
                let pairs = self.pairs_of(kind);
                self.cluster.severed.extend(pairs);
            }
            FaultKind::FreezeControl(machine) => {
                self.cluster.frozen.insert(address(*machine));
            }
            FaultKind::KillControl(machine) => {
                let at = address(*machine);
                self.cluster.kill(at);
                self.cluster.frozen.remove(&at);
                for router in 0..self.routers.len() {
                    if self.reaches(at, router) {
                        self.lose_link(router, at);
                    }
                }
            }
            FaultKind::CutRouter {
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
            FaultKind::IsolateRouter { router, machines } => {
                for machine in machines {
                    let at = address(*machine);
                    self.cut.insert((*router, at, Direction::ToMachine));
                    self.cut.insert((*router, at, Direction::ToRouter));
                }
            }
            FaultKind::FreezeRouter(router) => {
                self.frozen.insert(*router);
            }
            FaultKind::KillRouter(router) => {
                self.killed.insert(*router);
                self.frozen.remove(router);
                for at in self.routers[*router].linked() {
                    self.lose_link(*router, at);
                }
            }
        }
    }

    /// Overlapping faults of one kind end with the first of them. The random schedule has enough faults to make up for it.
    fn end(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::PartitionControls(_)
            | FaultKind::IsolateControls(_)
            | FaultKind::DropSentByControl(_)
            | FaultKind::DropSentToControl(_) => {
                for pair in self.pairs_of(kind) {
                    self.cluster.severed.remove(&pair);
                }
            }
            FaultKind::FreezeControl(machine) => {
                self.cluster.frozen.remove(&address(*machine));
            }
            FaultKind::KillControl(machine) => {
                let at = address(*machine);
                if self.cluster.machines[&at].core.is_none() {
                    self.cluster.start(at);
                }
            }
            FaultKind::CutRouter {
                router, machine, ..
            } => {
                let at = address(*machine);
                for direction in [Direction::ToMachine, Direction::ToRouter] {
                    self.cut.remove(&(*router, at, direction));
                }
            }
            FaultKind::IsolateRouter { router, machines } => {
                let is_cut = |at: &Ipv4Addr| machines.contains(&at.octets()[3]);
                self.cut
                    .retain(|(other, at, _)| other != router || !is_cut(at));
            }
            FaultKind::FreezeRouter(router) => {
                self.frozen.remove(router);
            }
            FaultKind::KillRouter(router) => {
                if self.killed.remove(router) {
                    let checks = &mut self.checks[*router];
                    checks.incarnation += 1;
                    checks.served = 0;
                    checks.highest_applied = 0;
                    checks.sent_before = 0;
                    let (zone, incarnation) = (zone_of(*router), checks.incarnation);
                    let machines = &self.machines;
                    self.routers[*router] = SimRouter::new(*router, incarnation, zone, machines);
                }
            }
        }
    }

    fn pairs_of(&self, kind: &FaultKind) -> Vec<(Ipv4Addr, Ipv4Addr)> {
        let number = |at: &Ipv4Addr| at.octets()[3];
        let all = self.machines.iter();
        let pairs = all.flat_map(|from| self.machines.iter().map(move |to| (*from, *to)));
        let is_severed = |(from, to): &(Ipv4Addr, Ipv4Addr)| {
            let (from, to) = (number(from), number(to));
            match kind {
                FaultKind::PartitionControls(some) => some.contains(&from) != some.contains(&to),
                FaultKind::IsolateControls(some) => {
                    from != to && (some.contains(&from) || some.contains(&to))
                }
                FaultKind::DropSentByControl(one) => from == *one && to != *one,
                FaultKind::DropSentToControl(one) => to == *one && from != *one,
                _ => false,
            }
        };
        pairs.filter(is_severed).collect()
    }

    fn lose_link(&mut self, router: usize, at: Ipv4Addr) {
        let now = self.cluster.now;
        self.routers[router].drop_link(now, at);
        self.end_lost_links(router);
    }

    fn end_lost_links(&mut self, router: usize) {
        for (at, connection) in std::mem::take(&mut self.routers[router].lost) {
            if let Some(core) = self.cluster.running(at) {
                core.on_router_gone(connection);
            }
        }
    }

    /// Messages of a machine arrive at a router.
    fn reaches(&self, at: Ipv4Addr, router: usize) -> bool {
        !self.cut.contains(&(router, at, Direction::ToRouter))
    }

    /// Messages of a router arrive at a machine.
    fn can_send_to_machine(&self, router: usize, at: Ipv4Addr) -> bool {
        !self.cut.contains(&(router, at, Direction::ToMachine))
    }

    /// Delivers messages between routers and machines until none is left.
    fn exchange(&mut self) {
        for _ in 0..MAX_ROUNDS {
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
        self.add_violation("message exchange goes on without progress".to_owned());
    }

    fn deliver_to_routers(&mut self) -> bool {
        let waiting = std::mem::take(&mut self.queued_for_routers);
        let sent = std::mem::take(&mut self.cluster.to_routers);
        let sent = sent
            .into_iter()
            .map(|(from, connection, message)| (router_of(connection), from, connection, message));
        let all: Vec<_> = waiting.into_iter().chain(sent).collect();
        let now = self.cluster.now;
        let mut delivered = false;
        for (router, from, connection, message) in all {
            if self.frozen.contains(&router) {
                self.queued_for_routers
                    .push((router, from, connection, message));
            } else if !self.killed.contains(&router) && self.reaches(from, router) {
                self.routers[router].receive(now, from, connection, message);
                delivered = true;
            }
        }
        delivered
    }

    fn poll_routers(&mut self) -> Vec<Sent> {
        let now = self.cluster.now;
        let mut all = std::mem::take(&mut self.queued_for_machines);
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
                    .any(|blocked| cut.contains(&(router, at, *blocked)));
                !is_cut && machines[&at].core.is_some()
            };
            let dialled = self.routers[router].dial(now, reaches);
            let polled = self.routers[router].poll(now);
            let sent = dialled.into_iter().chain(polled);
            let sent: Vec<Sent> = sent
                .filter(|(to, ..)| self.can_send_to_machine(router, *to))
                .collect();
            all.extend(sent);
            self.end_lost_links(router);
        }
        let is_frozen = |(to, ..): &Sent| self.cluster.frozen.contains(to);
        let (waiting, arriving) = all.into_iter().partition(is_frozen);
        self.queued_for_machines = waiting;
        arriving
    }

    fn deliver_to_machine(&mut self, (to, connection, message): Sent) {
        let now = self.cluster.now;
        let is_linked = self.routers[router_of(connection)].is_linked_by(to, connection);
        if let Some(core) = self.cluster.running(to).filter(|_| is_linked) {
            core.on_router(now, connection, message);
        }
    }

    /// Sends a new configuration at random intervals, and retries at one machine after the other until it is acknowledged.
    fn run_operator(&mut self) {
        let now = self.cluster.now;
        if let Some(pending) = &self.pending {
            let reply = self.cluster.replies.remove(&pending.ticket);
            let is_given_up = now.since(pending.sent) > Duration::from_secs(1);
            if reply == Some(Reply::Accepted) {
                self.acknowledged.insert(pending.version, now);
                self.pending = None;
                let delay = Duration::from_millis(self.operator.random_range(300..4_000));
                self.next_change = now.plus(delay);
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

    fn update_connectivity(&mut self, disturbed: bool) {
        let now = self.cluster.now;
        let cluster = &self.cluster;
        let runs =
            |at: Ipv4Addr| cluster.machines[&at].core.is_some() && !cluster.frozen.contains(&at);
        let reaches = |from, to| !cluster.severed.contains(&(from, to));
        let connected = connected(&self.machines, runs, reaches);
        let has_majority = 2 * connected.len() > self.machines.len();
        self.connected.update(now, has_majority);
        self.controls_undisturbed.update(now, !disturbed);
        if disturbed {
            self.controls_undisturbed = HeldSince::default();
        }
        for router in 0..self.routers.len() {
            let runs = !self.frozen.contains(&router) && !self.killed.contains(&router);
            let reaches_all = connected
                .iter()
                .all(|at| self.reaches(*at, router) && self.can_send_to_machine(router, *at));
            let checks = &mut self.checks[router];
            checks.undisturbed.update(now, runs && reaches_all);
        }
    }

    fn check(&mut self) {
        let now = self.cluster.now;
        let is_stable = self.controls_undisturbed.lasts(now, MIN_CONNECTED)
            && self.connected.lasts(now, Duration::ZERO);
        for router in 0..self.routers.len() {
            if self.frozen.contains(&router) || self.killed.contains(&router) {
                continue;
            }
            self.count_decisions(router);
            self.check_order(router);
            self.check_message_rate(router);
            if self.checks[router].undisturbed.lasts(now, MIN_CONNECTED) {
                self.check_router(router, is_stable);
                self.check_leaves(router, is_stable);
            }
        }
    }

    fn check_router(&mut self, router: usize, is_stable: bool) {
        let now = self.cluster.now;
        let bound = if is_stable {
            APPLY_BOUND
        } else {
            APPLY_BOUND + DISTURBED_ALLOWANCE
        };
        let connected_since = self.connected.since();
        let is_due = |at: Timestamp| {
            now.since(at) > bound && (is_stable || connected_since.is_some_and(|since| since <= at))
        };
        let due = self.acknowledged.iter().filter(|(_, at)| is_due(**at));
        let Some(required) = due.map(|(version, _)| *version).max() else {
            return;
        };
        let sim = &mut self.routers[router];
        let served = sim.served_version(now);
        let host = sim.resolve_host_of(now, required);
        let is_old = served.as_ref().is_ok_and(|version| *version < required);
        if is_old || host == Err(Refusal::NoRoute) {
            let what = format!("served by {served:?}, host {host:?}, required {required}");
            self.add_violation(format!(
                "connected router {router}, stable {is_stable}: {what}"
            ));
        } else if is_stable && served.is_err() {
            self.add_violation(format!(
                "connected router {router} serves no requests: {served:?}"
            ));
        }
    }

    /// Checks that a connected router sends nothing to back ends that left, while control machines are stable.
    fn check_leaves(&mut self, router: usize, is_stable: bool) {
        if !is_stable {
            return;
        }
        let now = self.cluster.now;
        let core = &self.routers[router].core;
        let mut left = self.back_ends.left_before(now, APPLY_BOUND);
        let used = left.find(|instance| core.allows_requests(now, instance));
        let violation = used.map(|instance| {
            format!("connected router {router} sends requests to {instance}, which left")
        });
        drop(left);
        if let Some(violation) = violation {
            self.add_violation(violation);
        }
    }

    fn count_decisions(&mut self, router: usize) {
        let now = self.cluster.now;
        let due = self
            .acknowledged
            .iter()
            .filter(|(_, at)| now.since(**at) > APPLY_BOUND);
        let Some(required) = due.map(|(version, _)| *version).max() else {
            return;
        };
        let served = self.routers[router].served_version(now);
        let host = self.routers[router].resolve_host_of(now, required);
        let core = &self.routers[router].core;
        let is_unsure = core.view_age(now).is_none_or(|age| age >= ABSENCE_LEASE);
        let mut left = self.back_ends.left_before(now, APPLY_BOUND);
        let uses_left = left.any(|instance| core.allows_requests(now, instance));
        let decisions = &mut self.decisions;
        decisions.unsure += usize::from(served.is_ok() && is_unsure);
        decisions.left_usable += usize::from(served.is_ok() && uses_left);
        match served {
            Ok(version) if version >= required => decisions.current += 1,
            Ok(_) => decisions.outdated += 1,
            Err(_) => decisions.refused += 1,
        }
        if host == Err(Refusal::NoRoute) {
            decisions.wrongly_missing += 1;
        }
    }

    /// Checks that the version in force at a router never decreases, and records the delays of changes.
    fn check_order(&mut self, router: usize) {
        let now = self.cluster.now;
        let Ok(version) = self.routers[router].served_version(now) else {
            return;
        };
        let checks = &mut self.checks[router];
        let before = std::mem::replace(&mut checks.served, version);
        if version < before {
            self.add_violation(format!(
                "router {router} went back from {before} to {version}"
            ));
            return;
        }
        let checks = &mut self.checks[router];
        let is_stable = self.controls_undisturbed.lasts(now, MIN_CONNECTED);
        for version in checks.highest_applied + 1..=version {
            let Some(at) = self.acknowledged.get(&version) else {
                break;
            };
            checks.highest_applied = version;
            let was_connected = checks
                .undisturbed
                .lasts(now, MIN_CONNECTED + now.since(*at));
            if is_stable && was_connected {
                self.delays.push(now.since(*at));
            }
        }
    }

    fn check_message_rate(&mut self, router: usize) {
        let elapsed = self.cluster.now.since(self.started).as_millis();
        if !elapsed.is_multiple_of(1_000) {
            return;
        }
        let sent = self.routers[router].sent;
        let before = std::mem::replace(&mut self.checks[router].sent_before, sent);
        if sent.saturating_sub(before) > MAX_MESSAGES_PER_SECOND {
            let count = sent - before;
            self.add_violation(format!("router {router} sent {count} messages in a second"));
        }
    }

    fn add_violation(&mut self, what: String) {
        let at = self.cluster.now.since(self.started);
        self.violations.push(format!("{at:?}: {what}"));
    }
}

fn zone_of(router: usize) -> String {
    format!("zone-{}", router % usize::from(ZONES))
}

fn router_of(connection: ConnectionId) -> usize {
    (connection.0 >> 32) as usize
}
