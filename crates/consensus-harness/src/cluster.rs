//! A cluster of replicas on memory disks and a network that loses, repeats and reorders.

use std::collections::{BTreeMap, BTreeSet};

use drumshore_consensus::{
    Entry, EntryKind, Envelope, FolderIdentity, LogIndex, Membership, MemoryDirectory, Output,
    Params, Replica, ReplicaId, Role, Term,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What went wrong with one schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas lead in one term.
    TwoLeaders {
        /// The term.
        term: Term,
    },
    /// Two replicas applied different commands at one position.
    Diverged {
        /// The position.
        index: LogIndex,
    },
    /// A command that was acknowledged is gone.
    LostAcknowledged {
        /// The command.
        value: u64,
    },
    /// A read was confirmed at a position before what was acknowledged.
    StaleRead {
        /// Where it was confirmed.
        index: LogIndex,
        /// What had been acknowledged when it was asked.
        acknowledged: LogIndex,
    },
    /// An entry was counted as committed that could still be overwritten.
    CommittedByCounting {
        /// Its position.
        index: LogIndex,
    },
    /// A healed cluster commits nothing.
    NothingCommits,
}

/// One replica with its disk and its state machine.
pub struct Node {
    /// Its disk; it outlives the process.
    pub disk: MemoryDirectory,
    /// The running process.
    pub replica: Option<Replica<MemoryDirectory>>,
    /// The commands applied, by position.
    pub state: BTreeMap<u64, u64>,
    /// The last position applied.
    pub applied: LogIndex,
}

/// A cluster.
pub struct Cluster {
    /// Its replicas, by number.
    pub nodes: BTreeMap<u64, Node>,
    /// Messages under way.
    pub network: Vec<Envelope>,
    /// Pairs of sender and receiver whose messages are lost.
    pub cut: BTreeSet<(u64, u64)>,
    /// Decides all draws.
    pub random: ChaCha8Rng,
    /// The first rule seen broken.
    pub violation: Option<Violation>,
    /// Commands whose proposers have seen them committed.
    pub acknowledged: BTreeSet<u64>,
    acknowledged_index: LogIndex,
    reads: BTreeMap<u64, LogIndex>,
    chosen: BTreeMap<u64, u64>,
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
    /// A new cluster of voters 1, 2, 3 and so on.
    pub fn new(voters: u64, seed: u64) -> Self {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            network: Vec::new(),
            cut: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            violation: None,
            acknowledged: BTreeSet::new(),
            acknowledged_index: LogIndex(0),
            reads: BTreeMap::new(),
            chosen: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposed: BTreeMap::new(),
            next_value: 1,
            next_read: 1,
            voters: (1..=voters).collect(),
            starts: 0,
        };
        for id in 1..=voters {
            cluster.add_node(id);
            cluster.start_as_founder(id);
        }
        cluster
    }

    /// Adds a machine with an empty disk that does not run yet.
    pub fn add_node(&mut self, id: u64) {
        let node = Node {
            disk: MemoryDirectory::new(),
            replica: None,
            state: BTreeMap::new(),
            applied: LogIndex(0),
        };
        self.nodes.insert(id, node);
    }

    /// Starts a replica; on an empty disk it believes to be of the first voters.
    pub fn start_as_founder(&mut self, id: u64) {
        let voters = self.voters.iter().map(|id| ReplicaId(*id));
        self.start(id, Membership::of_voters(voters));
    }

    /// A replica without a membership: the way in which one that lost its disk comes back.
    pub fn start_blank(&mut self, id: u64) {
        self.start(id, Membership::default());
    }

    /// Starts a replica.
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
        node.replica = Some(replica.expect("a folder that was not damaged opens"));
        node.state.clear();
        node.applied = LogIndex(0);
        self.flush(id);
    }

    /// Ends a process; what was not synced is lost or torn.
    pub fn crash(&mut self, id: u64) {
        let torn = self.random.random_range(0..40);
        let node = self.nodes.get_mut(&id).expect("known node");
        node.replica = None;
        node.disk.crash(torn);
    }

    /// True while a replica runs.
    pub fn is_up(&self, id: u64) -> bool {
        self.nodes
            .get(&id)
            .is_some_and(|node| node.replica.is_some())
    }

    /// The leader of the highest term.
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

    /// A running replica.
    pub fn replica(&mut self, id: u64) -> &mut Replica<MemoryDirectory> {
        let node = self.nodes.get_mut(&id).expect("known node");
        node.replica.as_mut().expect("running node")
    }

    /// Loses all messages from and to a replica.
    pub fn cut_off(&mut self, id: u64) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    /// Lets a tick pass at a replica.
    pub fn tick(&mut self, id: u64) {
        if self.is_up(id) {
            self.replica(id).raft_mut().tick();
            self.flush(id);
        }
    }

    /// Delivers one message.
    pub fn deliver(&mut self, position: usize) {
        let message = self.network.swap_remove(position);
        let to = message.to.0;
        let blocked = self.cut.contains(&(message.from.0, to));
        if !blocked && self.is_up(to) {
            self.replica(to).raft_mut().step(message);
            self.flush(to);
        }
    }

    /// Proposes the next command to a replica; `None` when it does not lead.
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

    /// Asks a replica for a confirmed read.
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

    /// Lets a replica store a snapshot.
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

    /// Lets a replica store, send and apply.
    pub fn flush(&mut self, id: u64) {
        let node = self.nodes.get_mut(&id).expect("known node");
        let Some(replica) = node.replica.as_mut() else {
            return;
        };
        let network = &mut self.network;
        let output = replica
            .flush(&mut |message| network.push(message))
            .expect("memory disk works");
        self.note_leader(id);
        self.apply(id, output);
    }

    fn note_leader(&mut self, id: u64) {
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
        let chosen = *self.chosen.entry(entry.index.0).or_insert(value);
        if chosen != value {
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

    /// Runs without faults until `done`, at most `rounds` rounds; true when it came to be.
    pub fn settle(&mut self, rounds: usize, done: impl Fn(&Self) -> bool) -> bool {
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

    /// Runs without faults until there is a leader.
    pub fn settle_to_leader(&mut self) -> u64 {
        assert!(
            self.settle(400, |cluster| cluster.leader().is_some()),
            "no leader"
        );
        self.leader().expect("leader")
    }

    /// Proposes one value and waits until all running replicas have applied it.
    pub fn commit_one(&mut self) -> u64 {
        self.try_commit_one().expect("a healthy cluster commits")
    }

    fn try_commit_one(&mut self) -> Option<u64> {
        for _ in 0..50 {
            self.settle(400, |cluster| cluster.leader().is_some());
            let leader = self.leader()?;
            let Some(value) = self.propose(leader) else {
                // Leadership is being handed over: give it time.
                self.settle(5, |_| false);
                continue;
            };
            let everywhere = |cluster: &Self| cluster.is_everywhere(value);
            if self.settle(300, everywhere) {
                return Some(value);
            }
        }
        None
    }

    /// True when all running replicas have applied a command.
    pub fn is_everywhere(&self, value: u64) -> bool {
        let mut running = self.nodes.values().filter(|node| node.replica.is_some());
        running.all(|node| node.state.values().any(|applied| *applied == value))
    }

    /// Heals everything and checks that what was acknowledged is on every replica.
    pub fn heal_and_check(&mut self) -> Result<(), Violation> {
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            if !self.is_up(id) {
                self.start_as_founder(id);
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
            .find(|value| !self.is_everywhere(*value))
        {
            Some(value) => Err(Violation::LostAcknowledged { value }),
            None => Ok(()),
        }
    }

    /// One random step: mostly messages and ticks, sometimes a fault.
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
            990..=993 => self.toggle_cut(id),
            994..=998 => self.toggle_process(id),
            _ => self.random_transfer(id),
        }
    }

    fn random_delivery(&mut self) {
        if self.network.is_empty() {
            return;
        }
        // Mostly in order, as a connection would; sometimes from anywhere.
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

    fn toggle_cut(&mut self, id: u64) {
        if self.cut.is_empty() {
            self.cut_off(id);
        } else {
            self.cut.clear();
        }
    }

    fn toggle_process(&mut self, id: u64) {
        if self.is_up(id) {
            self.crash(id);
        } else {
            self.start_as_founder(id);
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

/// Runs one random schedule and heals; the violation found, if any.
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
