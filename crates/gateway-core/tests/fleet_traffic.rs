//! Traffic of control machines in a large fleet, on one virtual clock. Control machines are real; routers are stubs that
//! only follow and fetch changes, and back ends only register and send heartbeats. Counts the bytes that control
//! machines send to routers, by kind of message and by whether they cross zones.

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
/// Size of the header before the payload of each frame.
const FRAME_BYTES: usize = 16;
const CONTROL_MACHINES: u8 = 10;
/// In each tick one hundredth of all back ends registers, so the fleet is complete after five seconds.
const REGISTRATION_TICKS: usize = 100;
/// Interval between two heartbeats of a back end.
const HEARTBEAT_TICKS: usize = 60;
/// Interval between two pings of a router on one link.
const PING_TICKS: usize = 40;

/// A router that applies changes and does nothing else.
struct StubRouter {
    zone: String,
    position: Position,
    back_ends: BTreeSet<String>,
    /// A fetch was sent and has not been answered.
    is_fetch_pending: bool,
}

/// Bytes sent to routers, by kind of message.
#[derive(Default)]
struct SentBytes {
    in_zone: BTreeMap<&'static str, usize>,
    cross_zone: BTreeMap<&'static str, usize>,
    /// Bytes of all kinds together, by sending machine.
    by_machine: BTreeMap<Ipv4Addr, usize>,
}

struct Fleet {
    cluster: Cluster,
    routers: Vec<StubRouter>,
    back_ends: usize,
    ticks: usize,
    sent: SentBytes,
    control_bytes: usize,
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

fn numbered_back_end(number: usize) -> Heartbeat {
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
        let routers = (0..routers).map(|number| StubRouter {
            zone: format!("zone-{}", number % usize::from(ZONES)),
            position: Position::default(),
            back_ends: BTreeSet::new(),
            is_fetch_pending: false,
        });
        let mut fleet = Self {
            cluster,
            routers: routers.collect(),
            back_ends,
            ticks: 0,
            sent: SentBytes::default(),
            control_bytes: 0,
        };
        fleet.link_all();
        fleet
    }

    /// Addresses of the control machines that are up.
    fn machines(&self) -> Vec<Ipv4Addr> {
        let all = (1..=CONTROL_MACHINES).map(address);
        all.filter(|at| self.cluster.machines[at].core.is_some())
            .collect()
    }

    /// The control machine that a back end registers with, distributed over those that are up.
    fn machine_for(&self, number: usize) -> Ipv4Addr {
        let machines = self.machines();
        machines[number % machines.len()]
    }

    /// Connects every router to every machine; routers follow the machines of their zone.
    fn link_all(&mut self) {
        let now = self.cluster.now;
        for at in self.machines() {
            let zone = self.cluster.zone_of(at);
            for (number, router) in self.routers.iter().enumerate() {
                let status = RouterStatus {
                    address: Text::new(format!("10.1.0.{number}:80")),
                    zone: Text::new(router.zone.as_str()),
                    accepting: 1,
                    is_serving: 1,
                };
                let connection = ConnectionId(number as u64);
                let is_first_of_zone = at.octets()[3] <= ZONES;
                let following = match (router.zone == zone, is_first_of_zone) {
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

    /// Runs one tick: back ends register and send heartbeats, routers send pings, loads and fetches.
    fn step(&mut self) {
        self.ticks += 1;
        let per_tick = self.back_ends / REGISTRATION_TICKS;
        let first = (self.ticks - 1) * per_tick;
        let registering = first..(first + per_tick).min(self.back_ends);
        let registered = first.min(self.back_ends);
        let sending_heartbeats = (0..registered)
            .filter(|number| number % HEARTBEAT_TICKS == self.ticks % HEARTBEAT_TICKS);
        for number in registering.chain(sending_heartbeats) {
            let at = self.machine_for(number);
            let (now, ticket) = (self.cluster.now, self.cluster.ticket());
            let core = self.cluster.core(at);
            core.on_heartbeat(now, ticket, &numbered_back_end(number));
        }
        self.send_router_messages();
        self.cluster.run(TICK);
        let control_messages = self.cluster.sent_to_control.drain(..);
        self.control_bytes += control_messages
            .map(|message| message.encode().len())
            .sum::<usize>();
        self.deliver();
    }

    fn send_router_messages(&mut self) {
        let now = self.cluster.now;
        for at in self.machines() {
            let tick_offset =
                usize::from(at.octets()[3]) * PING_TICKS / usize::from(CONTROL_MACHINES);
            let core = self.cluster.core(at);
            for number in 0..self.routers.len() {
                let connection = ConnectionId(number as u64);
                if self.ticks % PING_TICKS == (tick_offset + number) % PING_TICKS {
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

    /// Delivers messages to routers and their fetches to control machines until none is left.
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
                if let Some(fetch) = router.handle_message(message).filter(|_| is_up) {
                    let now = self.cluster.now;
                    self.cluster.core(at).on_router(now, connection, fetch);
                }
            }
            self.cluster.settle();
        }
    }

    fn incomplete_routers(&self) -> usize {
        let is_incomplete = |router: &&StubRouter| router.back_ends.len() < self.back_ends;
        self.routers.iter().filter(is_incomplete).count()
    }

    /// Runs until every router has every back end; returns the number of ticks.
    fn register_all(&mut self) -> usize {
        while self.ticks < 1_000 && self.incomplete_routers() > 0 {
            self.step();
        }
        self.ticks
    }
}

impl SentBytes {
    fn count(&mut self, at: Ipv4Addr, is_in_zone: bool, message: &Message) {
        let bytes = message.encode().len() + FRAME_BYTES;
        let by_kind = if is_in_zone {
            &mut self.in_zone
        } else {
            &mut self.cross_zone
        };
        *by_kind.entry(kind_of(message)).or_default() += bytes;
        *self.by_machine.entry(at).or_default() += bytes;
    }

    fn cross_zone(&self, kind: &str) -> usize {
        self.cross_zone.get(kind).copied().unwrap_or(0)
    }
}

impl StubRouter {
    fn handle_message(&mut self, message: Message) -> Option<Message> {
        let announced = match message {
            Message::Announce(announcement) => announcement.revision,
            Message::Changes(changes) => {
                self.is_fetch_pending = false;
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
        if announced <= self.position.held || std::mem::replace(&mut self.is_fetch_pending, true) {
            return None;
        }
        let Position {
            held,
            source_revision,
        } = self.position;
        Some(Message::Fetch {
            since: held,
            source_revision,
            configuration: None,
        })
    }
}

/// Guards against routers that fetch the state from control machines of other zones: with 985 routers and ten machines,
/// 2.1 GB crossed zones while 9,998 back ends registered. The log crosses zones once for each machine, and changes for
/// routers never do.
#[rstest]
#[case::small(50, 500)]
#[case::twice_as_large(100, 1_000)]
fn registrations_cross_zones_only_between_control_machines(
    #[case] routers: usize,
    #[case] back_ends: usize,
) {
    let mut fleet = Fleet::new(routers, back_ends);
    let ticks = fleet.register_all();
    assert_eq!(fleet.incomplete_routers(), 0);
    assert!(
        ticks <= REGISTRATION_TICKS + 4,
        "{ticks} ticks until the last router was complete"
    );
    assert_eq!(fleet.sent.cross_zone("changes"), 0);
    assert_eq!(fleet.sent.cross_zone("announce"), 0);
    let record_bytes = 128;
    let total_record_bytes = routers * back_ends * record_bytes;
    let sent = fleet.sent.in_zone["changes"];
    assert!(
        sent < 2 * total_record_bytes,
        "{sent} bytes of changes for {total_record_bytes} bytes of records"
    );
}

/// Each zone has two control machines, so the loss of one costs it no more than the time of an election.
#[test]
fn registrations_reach_every_router_when_the_leader_fails_meanwhile() {
    let mut fleet = Fleet::new(50, 500);
    for _ in 0..REGISTRATION_TICKS / 2 {
        fleet.step();
    }
    let leader = fleet.cluster.leader().unwrap();
    fleet.cluster.kill(leader);
    let ticks = fleet.register_all();
    assert_eq!(fleet.incomplete_routers(), 0);
    assert!(ticks < REGISTRATION_TICKS + 100, "{ticks} ticks");
    assert_eq!(fleet.sent.cross_zone("changes"), 0);
    let new_leader = fleet.cluster.leader().unwrap();
    assert_ne!(new_leader, leader);
    let entries = fleet.cluster.core(new_leader).log_length();
    assert!(entries < 700, "{entries} log entries for 500 back ends");
}

#[test]
#[ignore = "prints figures for docs/CAPACITY.md; asserts nothing"]
fn figures_by_fleet_size() {
    for (routers, back_ends) in [(500, 5_000), (1_000, 10_000), (2_000, 20_000)] {
        let mut fleet = Fleet::new(routers, back_ends);
        let ticks = fleet.register_all();
        let leader = fleet.cluster.leader().unwrap();
        let busiest = fleet.sent.by_machine.values().max().unwrap();
        println!("{routers} routers, {back_ends} back ends: {ticks} ticks");
        println!("  in zone {:?}", fleet.sent.in_zone);
        println!(
            "  across zones {:?}, between control machines {}",
            fleet.sent.cross_zone, fleet.control_bytes
        );
        println!(
            "  busiest machine {busiest} bytes, log length {}",
            fleet.cluster.core(leader).log_length()
        );
    }
}
