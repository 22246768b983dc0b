//! A simulated cluster: replicas with in-memory disks and a network that loses, duplicates and
//! reorders messages.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_consensus::{
    Entry, EntryKind, Envelope, FolderIdentity, LogIndex, Membership, MemoryDirectory, Output,
    Params, Replica, ReplicaId, Role, Term,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A safety or liveness violation found in one schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas were leader in the same term.
    TwoLeaders {
        /// The term.
        term: Term,
    },
    /// Two replicas applied different commands at the same position.
    Diverged {
        /// The position.
        index: LogIndex,
    },
    /// An acknowledged command is missing on a replica.
    LostAcknowledged {
        /// The command.
        value: u64,
    },
    /// A read was confirmed at a position before a command that had been acknowledged.
    StaleRead {
        /// The position at which it was confirmed.
        index: LogIndex,
        /// The last position acknowledged when the read was requested.
        acknowledged: LogIndex,
    },
    /// An entry that could still be overwritten was committed by counting replicas.
    CommittedByCounting {
        /// Its position.
        index: LogIndex,
    },
    /// The cluster commits no command after all faults are healed.
    NothingCommits,
}

/// One simulated machine: a replica with its disk and state machine.
pub struct Node {
    /// The disk. It keeps its synced content when the replica stops.
    pub disk: MemoryDirectory,
    /// The replica; `None` while it is stopped.
    pub replica: Option<Replica<MemoryDirectory>>,
    /// The applied commands, by log position.
    pub state: BTreeMap<u64, u64>,
    /// The last applied position.
    pub applied: LogIndex,
}

/// A simulated cluster with fault injection and invariant checks.
pub struct Cluster {
    /// The machines, by replica number.
    pub nodes: BTreeMap<u64, Node>,
    /// Messages in flight.
    pub network: Vec<Envelope>,
    /// Pairs of sender and receiver whose messages are dropped.
    pub blocked_links: BTreeSet<(u64, u64)>,
    /// The source of all random choices.
    pub random: ChaCha8Rng,
    /// The first violation found.
    pub violation: Option<Violation>,
    /// Commands that their proposer has applied.
    pub acknowledged: BTreeSet<u64>,
    acknowledged_index: LogIndex,
    reads: BTreeMap<u64, LogIndex>,
    committed_values: BTreeMap<u64, u64>,
    leaders: BTreeMap<Term, ReplicaId>,
    proposed: BTreeMap<u64, u64>,
    next_value: u64,
    next_read: u64,
    voters: Vec<u64>,
    starts: u64,
}

fn encode_state(state: &BTreeMap<u64, u64>) -> Vec<u8> {
    let words = state.iter().flat_map(|(index, value)| [*index, *value]);
    words.flat_map(u64::to_le_bytes).collect()
}

fn decode_state(bytes: &[u8]) -> BTreeMap<u64, u64> {
    let words: Vec<u64> = bytes
        .chunks_exact(8)
        .map(|word| u64::from_le_bytes(word.try_into().expect("eight bytes")))
        .collect();
    words
        .chunks_exact(2)
        .map(|pair| (pair[0], pair[1]))
        .collect()
}

impl Cluster {
    /// Starts a cluster whose voters are numbered from 1.
    pub fn new(voters: u64, seed: u64) -> Self {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            network: Vec::new(),
            blocked_links: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            violation: None,
            acknowledged: BTreeSet::new(),
            acknowledged_index: LogIndex(0),
            reads: BTreeMap::new(),
            committed_values: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposed: BTreeMap::new(),
            next_value: 1,
            next_read: 1,
            voters: (1..=voters).collect(),
            starts: 0,
        };
        for id in 1..=voters {
            cluster.add_node(id);
            cluster.start_as_initial_voter(id);
        }
        cluster
    }

    /// Adds a stopped machine with an empty disk.
    pub fn add_node(&mut self, id: u64) {
        let node = Node {
            disk: MemoryDirectory::new(),
            replica: None,
            state: BTreeMap::new(),
            applied: LogIndex(0),
        };
        self.nodes.insert(id, node);
    }

    /// Starts a replica. On an empty disk it starts with the initial voters as its membership.
    pub fn start_as_initial_voter(&mut self, id: u64) {
        let voters = self.voters.iter().map(|id| ReplicaId(*id));
        self.start(id, Membership::of_voters(voters));
    }

    /// Starts a replica that has no membership on an empty disk, as a replacement for a replica
    /// with a lost disk must start.
    pub fn start_without_membership(&mut self, id: u64) {
        self.start(id, Membership::default());
    }

    /// Starts a replica; `membership` is used only if its disk is empty.
    pub fn start(&mut self, id: u64, membership: Membership) {
        self.starts += 1;
        let seed = self.random.random();
        let node = self.nodes.get_mut(&id).expect("known node");
        let identity = FolderIdentity {
            cluster: "test".to_owned(),
            replica: ReplicaId(id),
        };
        let params = Params {
            chunk_bytes: 64,
            batch_bytes: 64,
            ..Params::default()
        };
        let replica = Replica::open(node.disk.clone(), &identity, membership, params, seed);
        node.replica = Some(replica.expect("an undamaged data folder opens"));
        node.state.clear();
        node.applied = LogIndex(0);
        self.flush(id);
    }

    /// Stops a replica. Its unsynced bytes are lost, or leave a torn write of random length.
    pub fn crash(&mut self, id: u64) {
        let torn = self.random.random_range(0..40);
        let node = self.nodes.get_mut(&id).expect("known node");
        node.replica = None;
        node.disk.crash(torn);
    }

    /// True while a replica is running.
    pub fn is_up(&self, id: u64) -> bool {
        self.nodes
            .get(&id)
            .is_some_and(|node| node.replica.is_some())
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<u64> {
        let leading = self.nodes.iter().filter(|(_, node)| {
            node.replica
                .as_ref()
                .is_some_and(|replica| replica.raft().role() == Role::Leader)
        });
        let term = |node: &Node| node.replica.as_ref().map(|replica| replica.raft().term());
        leading
            .max_by_key(|(_, node)| term(node))
            .map(|(id, _)| *id)
    }

    /// The replica with this number. Panics if it is not running.
    pub fn replica(&mut self, id: u64) -> &mut Replica<MemoryDirectory> {
        let node = self.nodes.get_mut(&id).expect("known node");
        node.replica.as_mut().expect("running node")
    }

    /// Drops all messages from and to a replica until `blocked_links` is cleared.
    pub fn isolate(&mut self, id: u64) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            self.blocked_links.insert((id, other));
            self.blocked_links.insert((other, id));
        }
    }

    /// Advances a replica by one tick, if it is running.
    pub fn tick(&mut self, id: u64) {
        if self.is_up(id) {
            self.replica(id).raft_mut().tick();
            self.flush(id);
        }
    }

    /// Takes the message at `position` from the network and delivers it, unless its link is blocked
    /// or its receiver is stopped.
    pub fn deliver(&mut self, position: usize) {
        let message = self.network.swap_remove(position);
        let to = message.to.0;
        let blocked = self.blocked_links.contains(&(message.from.0, to));
        if !blocked && self.is_up(to) {
            self.replica(to).raft_mut().step(message);
            self.flush(to);
        }
    }

    /// Proposes the next command to a replica; `None` if the replica is not the leader.
    pub fn propose(&mut self, id: u64) -> Option<u64> {
        if !self.is_up(id) {
            return None;
        }
        let value = self.next_value;
        self.next_value += 1;
        let accepted = self
            .replica(id)
            .raft_mut()
            .propose(value.to_le_bytes().to_vec())
            .is_ok();
        if accepted {
            self.proposed.insert(value, id);
        }
        self.flush(id);
        accepted.then_some(value)
    }

    /// Requests a linearizable read from a replica.
    pub fn read(&mut self, id: u64) {
        if !self.is_up(id) {
            return;
        }
        let context = self.next_read;
        self.next_read += 1;
        self.reads.insert(context, self.acknowledged_index);
        let _ = self.replica(id).raft_mut().read_index(context);
        self.flush(id);
    }

    /// Stores a snapshot of a replica's state machine and compacts its log.
    pub fn compact(&mut self, id: u64) {
        if !self.is_up(id) {
            return;
        }
        let node = self.nodes.get_mut(&id).expect("known node");
        let data = encode_state(&node.state);
        let applied = node.applied;
        let replica = node.replica.as_mut().expect("running node");
        replica.compact(applied, data).expect("memory disk works");
    }

    /// Does a replica's pending work and checks the result for violations.
    pub fn flush(&mut self, id: u64) {
        let node = self.nodes.get_mut(&id).expect("known node");
        let Some(replica) = node.replica.as_mut() else {
            return;
        };
        let network = &mut self.network;
        let output = replica
            .flush(&mut |message| network.push(message))
            .expect("memory disk works");
        self.record_leader(id);
        self.apply(id, output);
    }

    fn record_leader(&mut self, id: u64) {
        let raft = self.replica(id).raft();
        if raft.role() != Role::Leader {
            return;
        }
        let term = raft.term();
        let known = *self.leaders.entry(term).or_insert(ReplicaId(id));
        if known != ReplicaId(id) {
            self.violation = self
                .violation
                .take()
                .or(Some(Violation::TwoLeaders { term }));
        }
    }

    fn apply(&mut self, id: u64, output: Output) {
        let node = self.nodes.get_mut(&id).expect("known node");
        if let Some(snapshot) = output.snapshot {
            node.state = decode_state(&snapshot.data);
            node.applied = snapshot.index;
        }
        for entry in output.committed {
            self.apply_entry(id, &entry);
        }
        for read in output.reads {
            self.check_read(read.context, read.index);
        }
    }

    fn apply_entry(&mut self, id: u64, entry: &Entry) {
        let node = self.nodes.get_mut(&id).expect("known node");
        node.applied = entry.index;
        let value = match entry.kind {
            EntryKind::Command => {
                u64::from_le_bytes(entry.data.as_slice().try_into().expect("eight bytes"))
            }
            EntryKind::Barrier | EntryKind::Membership => 0,
        };
        if value > 0 {
            node.state.insert(entry.index.0, value);
        }
        let committed_value = *self.committed_values.entry(entry.index.0).or_insert(value);
        if committed_value != value {
            let diverged = Violation::Diverged { index: entry.index };
            self.violation = self.violation.take().or(Some(diverged));
        }
        if self.proposed.get(&value) == Some(&id) {
            self.acknowledged.insert(value);
            self.acknowledged_index = self.acknowledged_index.max(entry.index);
        }
    }

    fn check_read(&mut self, context: u64, index: LogIndex) {
        let Some(acknowledged) = self.reads.remove(&context) else {
            return;
        };
        if index < acknowledged {
            let stale = Violation::StaleRead {
                index,
                acknowledged,
            };
            self.violation = self.violation.take().or(Some(stale));
        }
    }

    /// Runs without new faults until `done` holds, for at most `rounds` rounds; returns whether it
    /// holds.
    pub fn run_until(&mut self, rounds: usize, done: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..rounds {
            if done(self) {
                return true;
            }
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            ids.into_iter().for_each(|id| self.tick(id));
            for _ in 0..self.network.len() {
                if !self.network.is_empty() {
                    self.deliver(0);
                }
            }
        }
        done(self)
    }

    /// Runs without new faults until there is a leader, and returns its number.
    pub fn run_until_leader(&mut self) -> u64 {
        assert!(
            self.run_until(400, |cluster| cluster.leader().is_some()),
            "no leader"
        );
        self.leader().expect("leader")
    }

    /// Commits one command and runs until all running replicas have applied it.
    pub fn commit_one(&mut self) -> u64 {
        self.try_commit_one().expect("a healthy cluster commits")
    }

    fn try_commit_one(&mut self) -> Option<u64> {
        for _ in 0..50 {
            self.run_until(400, |cluster| cluster.leader().is_some());
            let leader = self.leader()?;
            let Some(value) = self.propose(leader) else {
                // A leadership transfer is in progress; run on before the next attempt.
                self.run_until(5, |_| false);
                continue;
            };
            let everywhere = |cluster: &Self| cluster.is_applied_everywhere(value);
            if self.run_until(300, everywhere) {
                return Some(value);
            }
        }
        None
    }

    /// True when all running replicas have applied a command.
    pub fn is_applied_everywhere(&self, value: u64) -> bool {
        let mut running = self.nodes.values().filter(|node| node.replica.is_some());
        running.all(|node| node.state.values().any(|applied| *applied == value))
    }

    /// Clears all faults, restarts stopped replicas and checks that every replica has applied all
    /// acknowledged commands.
    pub fn heal_and_check(&mut self) -> Result<(), Violation> {
        self.blocked_links.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            if !self.is_up(id) {
                self.start_as_initial_voter(id);
            }
        }
        let committed = self
            .violation
            .is_none()
            .then(|| self.try_commit_one())
            .flatten();
        if self.violation.is_none() && committed.is_none() {
            return Err(Violation::NothingCommits);
        }
        if let Some(violation) = self.violation.clone() {
            return Err(violation);
        }
        let acknowledged: Vec<u64> = self.acknowledged.iter().copied().collect();
        match acknowledged
            .into_iter()
            .find(|value| !self.is_applied_everywhere(*value))
        {
            Some(value) => Err(Violation::LostAcknowledged { value }),
            None => Ok(()),
        }
    }

    /// Takes one random step: mostly a message or a tick, sometimes a fault.
    pub fn random_step(&mut self) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        let id = *ids.choose(&mut self.random).expect("nodes");
        match self.random.random_range(0..1_000) {
            0..=749 => self.random_delivery(),
            750..=889 => self.tick(id),
            890..=949 => {
                self.propose(id);
            }
            950..=969 => self.read(id),
            970..=989 => self.compact(id),
            990..=993 => self.toggle_isolation(id),
            994..=998 => self.toggle_process(id),
            _ => self.random_transfer(id),
        }
    }

    fn random_delivery(&mut self) {
        if self.network.is_empty() {
            return;
        }
        // Mostly in order, as over one connection; sometimes reordered.
        let anywhere = self.random.random_bool(0.2);
        let position = if anywhere {
            self.random.random_range(0..self.network.len())
        } else {
            0
        };
        match self.random.random_range(0..20) {
            0 => {
                self.network.swap_remove(position);
            }
            1 => {
                let copy = self.network[position].clone();
                self.network.push(copy);
            }
            _ => self.deliver(position),
        }
    }

    fn toggle_isolation(&mut self, id: u64) {
        if self.blocked_links.is_empty() {
            self.isolate(id);
        } else {
            self.blocked_links.clear();
        }
    }

    fn toggle_process(&mut self, id: u64) {
        if self.is_up(id) {
            self.crash(id);
        } else {
            self.start_as_initial_voter(id);
        }
    }

    fn random_transfer(&mut self, to: u64) {
        if let Some(leader) = self.leader() {
            self.replica(leader)
                .raft_mut()
                .transfer_leadership(ReplicaId(to));
            self.flush(leader);
        }
    }
}

/// Runs one random schedule, heals the cluster and checks it. Returns the number of acknowledged
/// commands, or the first violation.
pub fn run_schedule(voters: u64, seed: u64, steps: usize) -> Result<usize, Violation> {
    let mut cluster = Cluster::new(voters, seed);
    for _ in 0..steps {
        cluster.random_step();
        if let Some(violation) = cluster.violation.clone() {
            return Err(violation);
        }
    }
    cluster.heal_and_check()?;
    Ok(cluster.acknowledged.len())
}
