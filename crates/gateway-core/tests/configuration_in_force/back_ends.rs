//! Simulated back ends that register, send heartbeats and leave, each time at any control machine.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{Command, Heartbeat, InstanceId, Lifecycle, Reply, Ticket};
use drumshore_wire::Text;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::{back_end, Cluster};

const MAX_BACK_ENDS: usize = 6;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// A report without an answer is repeated at the next machine after this time.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// One in so many heartbeats arrives a second time, later.
const DUPLICATE_RATIO: u32 = 8;
const MAX_DUPLICATE_DELAY_MS: u64 = 5_000;
const MAX_START_GAP_MS: u64 = 2_000;
const MAX_LIFETIME_MS: u64 = 9_000;

/// How a back end reports that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    Drains,
    Deregisters,
}

struct BackEnd {
    heartbeat: Heartbeat,
    leaves_at: Timestamp,
    leave: Leave,
    next_report: Timestamp,
    /// The report that waits for an answer, and when it was sent.
    pending: Option<(Ticket, Timestamp)>,
    machine: usize,
}

pub struct BackEnds {
    random: ChaCha8Rng,
    count: u8,
    next_start: Timestamp,
    running: Vec<BackEnd>,
    /// Heartbeats that are delivered again at a later time.
    duplicates: Vec<(Timestamp, Heartbeat)>,
    /// When the leave of each back end was acknowledged.
    acknowledged: BTreeMap<InstanceId, Timestamp>,
}

impl BackEnds {
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed ^ 0x1eaf),
            count: 0,
            next_start: Timestamp::default(),
            running: Vec::new(),
            duplicates: Vec::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    /// Back ends whose leave was acknowledged more than `bound` ago.
    pub fn left_before(
        &self,
        now: Timestamp,
        bound: Duration,
    ) -> impl Iterator<Item = &InstanceId> {
        let left = self.acknowledged.iter();
        let left = left.filter(move |(_, at)| now.since(**at) > bound);
        left.map(|(instance, _)| instance)
    }

    pub fn run(&mut self, cluster: &mut Cluster, machines: &[Ipv4Addr]) {
        self.start_next(cluster.now, machines);
        self.deliver_duplicates(cluster, machines);
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|back_end| !self.run_one(back_end, cluster, machines));
        self.running = running;
    }

    fn start_next(&mut self, now: Timestamp, machines: &[Ipv4Addr]) {
        if now < self.next_start || self.running.len() >= MAX_BACK_ENDS || self.count == u8::MAX {
            return;
        }
        self.count += 1;
        let lifetime = Duration::from_millis(self.random.random_range(0..MAX_LIFETIME_MS));
        let leaves = [Leave::Drains, Leave::Deregisters];
        self.running.push(BackEnd {
            heartbeat: back_end(self.count, 1),
            leaves_at: now.plus(lifetime),
            leave: leaves[self.random.random_range(0..leaves.len())],
            next_report: now,
            pending: None,
            machine: self.random.random_range(0..machines.len()),
        });
        let gap = Duration::from_millis(self.random.random_range(0..MAX_START_GAP_MS));
        self.next_start = now.plus(gap);
    }

    fn deliver_duplicates(&mut self, cluster: &mut Cluster, machines: &[Ipv4Addr]) {
        let now = cluster.now;
        let due: Vec<_> = self
            .duplicates
            .extract_if(.., |item| item.0 <= now)
            .collect();
        for (_, heartbeat) in due {
            let at = machines[self.random.random_range(0..machines.len())];
            if cluster.running(at).is_some() {
                cluster.heartbeat(at, &heartbeat);
            }
        }
    }

    /// Returns true once the leave of the back end is acknowledged.
    fn run_one(
        &mut self,
        back_end: &mut BackEnd,
        cluster: &mut Cluster,
        machines: &[Ipv4Addr],
    ) -> bool {
        let now = cluster.now;
        let is_leaving = back_end.heartbeat.lifecycle == Lifecycle::Draining;
        if let Some((ticket, sent)) = back_end.pending {
            let reply = cluster.replies.remove(&ticket);
            if reply == Some(Reply::Accepted) {
                back_end.pending = None;
                back_end.next_report = now.plus(HEARTBEAT_INTERVAL);
                if is_leaving {
                    let instance = back_end.heartbeat.instance.clone();
                    self.acknowledged.insert(instance, now);
                    return true;
                }
            } else if reply.is_some() || now.since(sent) > REPORT_TIMEOUT {
                back_end.pending = None;
                back_end.next_report = now;
                back_end.machine = (back_end.machine + 1) % machines.len();
            }
        }
        if now >= back_end.leaves_at && !is_leaving {
            back_end.heartbeat.lifecycle = Lifecycle::Draining;
            back_end.next_report = now;
            back_end.pending = None;
            back_end.machine = self.random.random_range(0..machines.len());
        }
        if back_end.pending.is_none() && now >= back_end.next_report {
            self.report(back_end, cluster, machines[back_end.machine]);
        }
        false
    }

    fn report(&mut self, back_end: &mut BackEnd, cluster: &mut Cluster, at: Ipv4Addr) {
        let now = cluster.now;
        let heartbeat = &back_end.heartbeat;
        let is_leaving = heartbeat.lifecycle == Lifecycle::Draining;
        if !is_leaving && self.random.random_ratio(1, DUPLICATE_RATIO) {
            let delay = Duration::from_millis(self.random.random_range(0..MAX_DUPLICATE_DELAY_MS));
            self.duplicates.push((now.plus(delay), heartbeat.clone()));
        }
        let ticket = match cluster.running(at) {
            None => cluster.ticket(),
            Some(_) if is_leaving && back_end.leave == Leave::Deregisters => {
                let instance = Text::new(heartbeat.instance.as_str());
                cluster.submit(at, Command::Deregister { instance })
            }
            Some(_) => cluster.heartbeat(at, heartbeat),
        };
        back_end.pending = Some((ticket, now));
    }
}
