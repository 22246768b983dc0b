//! A whole fleet on one virtual clock: real control machines, routers that only follow and ask, back ends that
//! only register and speak. Counts what control machines send, by kind and by whether it crosses zones.

mod cluster;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use cluster::{address, back_end, Cluster, ZONES};
use drumshore_gateway_core::{
    ConnectionId, Following, Heartbeat, InstanceId, LoadEntry, Message, Position, RouterStatus,
};
use drumshore_wire::{List, Text};
use rstest::rstest;

const TICK: Duration = Duration::from_millis(50);
/// Before the payload of each frame.
const FRAME_BYTES: usize = 16;
const CONTROL_MACHINES: u8 = 10;
/// Back ends that register in each tick, in hundredths of all: the fleet is there after five seconds.
const REGISTER_EACH_TICK: usize = 100;
/// Between two heartbeats of a back end.
const HEARTBEAT_TICKS: usize = 60;
/// Between two questions of a router on one link.
const PING_TICKS: usize = 40;

/// A router that takes in changes and nothing else.
struct HollowRouter {
    zone: String,
    position: Position,
    back_ends: BTreeSet<String>,
    /// The revision that it asked for and was not answered about.
    asked: bool,
}

/// Bytes by kind of message.
#[derive(Default)]
struct Sent {
    in_zone: BTreeMap<&'static str, usize>,
    across: BTreeMap<&'static str, usize>,
    /// The most that one machine sent of all kinds.
    by_machine: BTreeMap<Ipv4Addr, usize>,
}

struct Fleet {
    cluster: Cluster,
    routers: Vec<HollowRouter>,
    back_ends: usize,
    ticks: usize,
    sent: Sent,
    to_control: usize,
}

fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Changes(_) => "changes",
        Message::Announce(_) => "announce",
        Message::LoadsOfAll { .. } => "loads",
        Message::Pong { .. } => "pong",
        _ => "others",
    }
}

fn numbered(number: usize) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(&format!("i-{number:08x}")),
        address: format!("10.9.{}.{}:80", number / 200, number % 200),
        ..back_end(1, 1)
    }
}

impl Fleet {
    fn new(routers: usize, back_ends: usize) -> Self {
        let mut cluster = Cluster::new(CONTROL_MACHINES);
        cluster.run(Duration::from_secs(3));
        let routers = (0..routers).map(|number| HollowRouter {
            zone: format!("zone-{}", number % usize::from(ZONES)),
            position: Position::default(),
            back_ends: BTreeSet::new(),
            asked: false,
        });
        let mut fleet = Self {
            cluster,
            routers: routers.collect(),
            back_ends,
            ticks: 0,
            sent: Sent::default(),
            to_control: 0,
        };
        fleet.link_all();
        fleet
    }

    /// Control machines that are up.
    fn machines(&self) -> Vec<Ipv4Addr> {
        let all = (1..=CONTROL_MACHINES).map(address);
        all.filter(|at| self.cluster.machines[at].core.is_some())
            .collect()
    }

    /// Back ends call one machine after the other until one is up.
    fn machine_for(&self, number: usize) -> Ipv4Addr {
        let machines = self.machines();
        machines[number % machines.len()]
    }

    /// Every router is linked to every machine and follows those of its zone.
    fn link_all(&mut self) {
        let now = self.cluster.now;
        for at in self.machines() {
            let zone = self.cluster.zone_of(at);
            for (number, router) in self.routers.iter().enumerate() {
                let status = RouterStatus {
                    address: Text::new(format!("10.1.0.{number}:80")),
                    zone: Text::new(router.zone.as_str()),
                    accepting: 1,
                    has_view: 1,
                };
                let connection = ConnectionId(number as u64);
                let is_first = at.octets()[3] <= ZONES;
                let following = match (router.zone == zone, is_first) {
                    (true, true) => Following::ChangesAndNews,
                    (true, false) => Following::Changes,
                    (false, _) => Following::Nothing,
                };
                let core = self.cluster.core(at);
                core.on_router(now, connection, Message::Router(status));
                core.on_router(now, connection, Message::Follow(following));
            }
        }
    }

    /// One tick of everything: back ends register and speak, routers ask.
    fn step(&mut self) {
        self.ticks += 1;
        let each_tick = self.back_ends / REGISTER_EACH_TICK;
        let first = (self.ticks - 1) * each_tick;
        let registering = first..(first + each_tick).min(self.back_ends);
        let known = first.min(self.back_ends);
        let speaking =
            (0..known).filter(|number| number % HEARTBEAT_TICKS == self.ticks % HEARTBEAT_TICKS);
        for number in registering.chain(speaking) {
            let at = self.machine_for(number);
            let (now, ticket) = (self.cluster.now, self.cluster.ticket());
            let core = self.cluster.core(at);
            core.on_heartbeat(now, ticket, &numbered(number));
        }
        self.ask();
        self.cluster.run(TICK);
        let between = self.cluster.sent_to_control.drain(..);
        self.to_control += between.map(|message| message.encode().len()).sum::<usize>();
        self.deliver();
    }

    fn ask(&mut self) {
        let now = self.cluster.now;
        for at in self.machines() {
            let turn = usize::from(at.octets()[3]) * PING_TICKS / usize::from(CONTROL_MACHINES);
            let core = self.cluster.core(at);
            for number in 0..self.routers.len() {
                let connection = ConnectionId(number as u64);
                if self.ticks % PING_TICKS == (turn + number) % PING_TICKS {
                    let sequence = self.ticks as u64;
                    core.on_router(now, connection, Message::Ping { sequence });
                }
                let key = LoadEntry::key_of(&format!("i-{:08x}", (number + self.ticks) % 500));
                let load = LoadEntry {
                    key,
                    pending: 9,
                    in_flight: 1,
                };
                if self.ticks.is_multiple_of(4) {
                    core.on_router(now, connection, Message::Loads(List::new(vec![load])));
                }
            }
        }
    }

    /// Hands routers what they were sent, and control machines what they ask, until nothing is left.
    fn deliver(&mut self) {
        loop {
            let messages = std::mem::take(&mut self.cluster.to_routers);
            if messages.is_empty() {
                return;
            }
            for (at, connection, message) in messages {
                let zone = self.cluster.zone_of(at);
                let router = &mut self.routers[connection.0 as usize];
                self.sent.count(at, zone == router.zone, &message);
                let is_up = self.cluster.machines[&at].core.is_some();
                if let Some(question) = router.take_in(message).filter(|_| is_up) {
                    let now = self.cluster.now;
                    self.cluster.core(at).on_router(now, connection, question);
                }
            }
            self.cluster.settle();
        }
    }

    fn lacking(&self) -> usize {
        let lacks = |router: &&HollowRouter| router.back_ends.len() < self.back_ends;
        self.routers.iter().filter(lacks).count()
    }

    /// Until every router has every back end.
    fn register_all(&mut self) -> usize {
        while self.ticks < 1_000 && self.lacking() > 0 {
            self.step();
        }
        self.ticks
    }
}

impl Sent {
    fn count(&mut self, at: Ipv4Addr, is_in_zone: bool, message: &Message) {
        let bytes = message.encode().len() + FRAME_BYTES;
        let by_kind = if is_in_zone {
            &mut self.in_zone
        } else {
            &mut self.across
        };
        *by_kind.entry(kind_of(message)).or_default() += bytes;
        *self.by_machine.entry(at).or_default() += bytes;
    }

    fn across(&self, kind: &str) -> usize {
        self.across.get(kind).copied().unwrap_or(0)
    }
}

impl HollowRouter {
    fn take_in(&mut self, message: Message) -> Option<Message> {
        let announced = match message {
            Message::Announce(announcement) => announcement.revision,
            Message::Changes(changes) => {
                self.asked = false;
                if changes.revision > self.position.held {
                    if changes.since == 0 {
                        self.position.source_revision = changes.newest;
                    }
                    self.position.held = changes.revision;
                    let names = changes.instances.items.iter();
                    let names = names.map(|record| record.instance.as_str().to_owned());
                    self.back_ends.extend(names);
                }
                changes.newest
            }
            _ => return None,
        };
        if announced <= self.position.held || std::mem::replace(&mut self.asked, true) {
            return None;
        }
        let Position {
            held,
            source_revision,
        } = self.position;
        Some(Message::Fetch {
            since: held,
            source_revision,
        })
    }
}

/// Each of 985 routers took the state from any of ten machines: 2.1 GB crossed zones while 9,998 back ends
/// registered. Now the log crosses zones once for each machine, and routers' changes never do.
#[rstest]
#[case::small(50, 500)]
#[case::twice_as_large(100, 1_000)]
fn registrations_cross_zones_for_control_machines_and_not_for_routers(
    #[case] routers: usize,
    #[case] back_ends: usize,
) {
    let mut fleet = Fleet::new(routers, back_ends);
    let ticks = fleet.register_all();
    assert_eq!(fleet.lacking(), 0);
    assert!(
        ticks <= REGISTER_EACH_TICK + 4,
        "{ticks} ticks to the last router"
    );
    assert_eq!(fleet.sent.across("changes"), 0);
    assert_eq!(fleet.sent.across("announce"), 0);
    let record_bytes = 128;
    let needed = routers * back_ends * record_bytes;
    let sent = fleet.sent.in_zone["changes"];
    assert!(sent < 2 * needed, "{sent} bytes of changes for {needed}");
}

/// Each zone has two machines, so one that is lost costs a zone nothing but an election.
#[test]
fn a_fleet_that_registers_while_its_leader_is_lost_reaches_every_router() {
    let mut fleet = Fleet::new(50, 500);
    for _ in 0..REGISTER_EACH_TICK / 2 {
        fleet.step();
    }
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.kill(leader);
    let ticks = fleet.register_all();
    assert_eq!(fleet.lacking(), 0);
    assert!(ticks < REGISTER_EACH_TICK + 100, "{ticks} ticks");
    assert_eq!(fleet.sent.across("changes"), 0);
    let new_leader = fleet.cluster.leader().unwrap();
    assert_ne!(new_leader, leader);
    let entries = fleet.cluster.core(new_leader).log_length();
    assert!(entries < 700, "{entries} for 500 back ends");
}

#[test]
#[ignore = "prints figures for docs/CAPACITY.md; asserts nothing"]
fn figures_at_twice_the_fleet() {
    for (routers, back_ends) in [(500, 5_000), (1_000, 10_000), (2_000, 20_000)] {
        let mut fleet = Fleet::new(routers, back_ends);
        let ticks = fleet.register_all();
        let leader = fleet.cluster.leader().unwrap();
        let busiest = fleet.sent.by_machine.values().max().unwrap();
        println!("{routers} routers, {back_ends} back ends: {ticks} ticks");
        println!("  in zone {:?}", fleet.sent.in_zone);
        println!(
            "  across {:?}, between control machines {}",
            fleet.sent.across, fleet.to_control
        );
        println!(
            "  busiest machine {busiest}, log {}",
            fleet.cluster.core(leader).log_length()
        );
    }
}
