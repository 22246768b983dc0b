//! One control machine: the replicated log, what it replicates, and everybody who asks.

mod accounts;
mod directory;
mod fetches;
mod heard;
mod holders;
mod instances;
mod load_timing;
mod loads;
mod members;
mod news;
mod order;
mod order_lease;
mod params;
mod pending_loads;
mod proposals;
mod quarantine;
mod reads;
mod refusing;
mod rollout;
mod routers;
mod stored;
mod suspects;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_consensus::{
    Directory, EntryKind, Envelope, FolderIdentity, LogIndex, Membership, Output, Replica,
    ReplicaError, ReplicaId, Role,
};
use drumshore_core::Timestamp;
use drumshore_wire::Blob;

use crate::{
    Command, FingerprintKey, InstanceId, LoadPhase, Message, Proposal, ReplicatedState,
    RequestFingerprint,
};

pub use instances::Heartbeat;
pub use members::{address_of, bootstrap_id};
pub use order::{Order, OrderId, OrderOutcome, Report};
pub use params::ControlParams;
pub use stored::StoreNews;

use accounts::TenantAccounts;
use fetches::Fetches;
use heard::Heard;
use holders::HolderNews;
use loads::LoadNews;
use members::Joiners;
use order_lease::OrderLeases;
use proposals::PendingProposals;
use quarantine::SuspectedWork;
use reads::Reads;
use refusing::Refusing;
use rollout::Rollouts;
use routers::{Announcements, Routers};
use stored::Stores;
use suspects::Suspects;

/// A caller that waits for a [`Reply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A router's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A quorum has it on disk.
    Accepted,
    /// The newest configuration, confirmed by a quorum; `None` before the first one.
    Configuration(Option<Vec<u8>>),
    /// Nobody can say yet; ask another machine, or later.
    Unavailable,
}

/// What is to be sent, and to whom.
#[derive(Clone, Debug)]
pub enum Effect {
    /// A message to another control machine.
    ToControl(Ipv4Addr, Message),
    /// A message to a router.
    ToRouter(ConnectionId, Message),
    /// The same message to several routers; it is to be encoded once.
    ToRouters(Vec<ConnectionId>, Message),
    /// An answer.
    Reply(Ticket, Reply),
    /// The state changed, for logs. A configuration comes without its body.
    Applied {
        /// The position in the log.
        position: u64,
        /// What changed it.
        command: Command,
    },
    /// Another back end ended under work, for logs.
    FingerprintSuspected {
        /// The work.
        fingerprint: RequestFingerprint,
        /// Moments at which back ends ended under it.
        crashes: u32,
    },
    /// Another machine sent something for routers that is not passed on, for logs.
    NewsRefused,
    /// An order to a back end; its outcome goes to [`ControlCore::on_order_outcome`].
    Order(Order),
    /// A question to a back end; its answer goes to [`ControlCore::on_report`].
    Ask {
        /// The back end.
        instance: InstanceId,
        /// Where it listens.
        address: String,
    },
}

/// A control machine.
pub struct ControlCore<D> {
    params: ControlParams,
    holder: String,
    replica: Replica<D>,
    state: ReplicatedState,
    applied: LogIndex,
    snapshot_at: LogIndex,
    /// Size of the last snapshot.
    snapshot_bytes: usize,
    /// Of commands that were applied after it.
    bytes_since_snapshot: usize,
    seeds: Vec<Ipv4Addr>,
    joiners: Joiners,
    proposals: PendingProposals,
    reads: Reads,
    routers: Routers,
    announcements: Announcements,
    fetches: Fetches,
    rollouts: Rollouts,
    order_leases: OrderLeases,
    stores: Stores,
    holder_news: HolderNews,
    load_news: LoadNews,
    suspects: Suspects,
    refusing: Refusing,
    suspected_work: SuspectedWork,
    tenant_accounts: TenantAccounts,
    /// Proposed when the state has none.
    drawn_work_key: FingerprintKey,
    work_key_proposed_at: Option<Timestamp>,
    /// When weights were named, by revision; those from before this start count from the start.
    named_at: BTreeMap<u64, Timestamp>,
    heard: Heard,
    instances_reviewed: Timestamp,
    leads_since: Option<Timestamp>,
    /// When this leader asked the question that a quorum answered last.
    confirmed_at: Option<Timestamp>,
    leaderless_since: Option<Timestamp>,
    now: Timestamp,
    effects: Vec<Effect>,
}

impl<D: Directory> ControlCore<D> {
    /// Opens a control machine. `seed` has to differ at each start; `holder` names this machine
    /// in its orders; `members` counts only in a new folder.
    pub fn open(
        directory: D,
        replica: ReplicaId,
        members: Membership,
        seeds: Vec<Ipv4Addr>,
        holder: String,
        params: ControlParams,
        seed: u64,
    ) -> Result<Self, ReplicaError> {
        let identity = FolderIdentity {
            cluster: "gateway".to_owned(),
            replica,
        };
        let consensus = params.consensus.clone();
        let replica = Replica::open(directory, &identity, members, consensus, seed)?;
        Ok(Self {
            proposals: PendingProposals::new(seed, params.patience),
            params,
            holder,
            replica,
            state: ReplicatedState::default(),
            applied: LogIndex(0),
            snapshot_at: LogIndex(0),
            snapshot_bytes: 0,
            bytes_since_snapshot: 0,
            seeds,
            joiners: Joiners::default(),
            reads: Reads::default(),
            routers: Routers::default(),
            announcements: Announcements::default(),
            fetches: Fetches::default(),
            rollouts: Rollouts::default(),
            order_leases: OrderLeases::default(),
            stores: Stores::default(),
            holder_news: HolderNews::default(),
            load_news: LoadNews::default(),
            suspects: Suspects::default(),
            refusing: Refusing::default(),
            suspected_work: SuspectedWork::default(),
            tenant_accounts: TenantAccounts::default(),
            drawn_work_key: FingerprintKey::generate(seed),
            work_key_proposed_at: None,
            named_at: BTreeMap::new(),
            heard: Heard::default(),
            instances_reviewed: Timestamp::default(),
            leads_since: None,
            confirmed_at: None,
            leaderless_since: None,
            now: Timestamp::default(),
            effects: Vec::new(),
        })
    }

    /// The replicated state, as far as it is applied here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// What this machine is in the replicated log.
    pub fn role(&self) -> Role {
        self.replica.raft().role()
    }

    /// The latest term seen.
    pub fn term(&self) -> u64 {
        self.replica.raft().term().0
    }

    /// Entries that the log has had, those in snapshots among them.
    pub fn log_length(&self) -> u64 {
        self.replica.raft().last_index().0
    }

    /// Size of the last snapshot; 0 before the first one.
    pub fn last_snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// The address of the leader, when known.
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.replica.raft().leader().map(address_of)
    }

    /// The addresses of all members and seeds.
    pub fn controls(&self) -> Vec<Ipv4Addr> {
        let members = self.replica.raft().membership().members();
        let mut known: Vec<Ipv4Addr> = members.iter().map(|item| address_of(item.id)).collect();
        if known.is_empty() {
            known.clone_from(&self.seeds);
        }
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Takes in seeds that changed.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Lets one tick of the replication clock pass. [`ControlCore::flush`] must follow.
    pub fn on_tick(&mut self, now: Timestamp) {
        self.now = now;
        self.replica.raft_mut().tick();
        self.note_leadership();
        self.resend_proposals();
        self.tell_heard();
        self.tick_reads();
        self.ask_to_join();
        self.routers.note_silent(now);
        self.announce_if_owed();
        self.expire_suspicions();
        self.review_verdicts();
        self.share_suspicions();
        if self.role() == Role::Leader {
            self.propose_work_key();
            self.change_members();
            self.expire_instances();
            self.drive_rollouts();
            self.share_loads();
            self.share_stored();
            self.share_holders();
            self.share_accounts();
            self.notify_again_of_suspects();
        }
    }

    /// Takes in a message of another control machine.
    pub fn on_control(&mut self, now: Timestamp, message: Message) {
        self.now = now;
        match message {
            Message::Consensus(blob) => {
                if let Ok(envelope) = Envelope::decode(&blob.bytes) {
                    self.replica.raft_mut().step(envelope);
                }
            }
            Message::Propose(proposals) => self.on_proposals(proposals.items),
            Message::Join(replica) => self.on_join(replica),
            Message::Heard(keys) => self.on_heard(&keys.items),
            Message::News(news) => self.on_news(&news),
            _ => {}
        }
    }

    /// Proposes a command; the ticket is answered once it is committed and applied here.
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, command: Command) {
        self.now = now;
        self.propose(Some(ticket), command);
    }

    /// Asks for the newest configuration.
    pub fn read_configuration(&mut self, now: Timestamp, ticket: Ticket) {
        self.now = now;
        self.queue_read(reads::Waiting::Operator(ticket));
    }

    /// Hands leadership to a replica that is up to date, before a planned end.
    pub fn step_down(&mut self) {
        let raft = self.replica.raft();
        let membership = raft.membership();
        let best = raft
            .replication()
            .filter(|(id, _)| membership.is_voter(*id))
            .max_by_key(|(_, matched)| *matched);
        if let Some((successor, _)) = best {
            self.replica.raft_mut().transfer_leadership(successor);
        }
    }

    /// Does all that is due and hands out what to send, in order. Must run after each batch of
    /// calls; everything that gathered in between shares one sync of the disk.
    pub fn flush(&mut self, sink: &mut dyn FnMut(Effect)) -> Result<(), ReplicaError> {
        self.start_reads();
        self.send_proposals();
        self.answer_fetches();
        let mut send = |envelope: Envelope| {
            let to = address_of(envelope.to);
            sink(Effect::ToControl(
                to,
                Message::Consensus(Blob::new(envelope.encode())),
            ));
        };
        let output = self.replica.flush(&mut send)?;
        self.apply(output);
        self.serve_confirmed_reads();
        self.effects.drain(..).for_each(sink);
        self.snapshot_if_due()
    }

    fn apply(&mut self, output: Output) {
        let before = self.state.revision();
        if let Some(snapshot) = output.snapshot {
            if let Some(state) = ReplicatedState::decode(&snapshot.data) {
                self.state = state;
                self.note_orders_before_snapshot();
            }
            self.applied = snapshot.index;
            self.snapshot_at = snapshot.index;
            self.snapshot_bytes = snapshot.data.len();
            self.bytes_since_snapshot = 0;
            self.accept_registered();
        }
        for entry in output.committed {
            self.applied = entry.index;
            self.bytes_since_snapshot += entry.data.len();
            let by_other = self.role() != Role::Leader || entry.term.0 < self.term();
            // The bytes of a membership, with the random numbers of disks, may read as a command.
            let is_command = entry.kind == EntryKind::Command;
            let proposal = is_command.then(|| Proposal::decode(&entry.data)).flatten();
            if let Some(proposal) = proposal {
                let changed = self.state.apply(entry.index.0, &proposal.command);
                if let (Command::Load { instance, .. }, true) = (&proposal.command, by_other) {
                    self.note_order_of_others(instance.as_str());
                }
                if changed {
                    self.note_applied(entry.index.0, proposal.command);
                }
                self.answer_proposal(proposal.id);
            }
        }
        self.reads.on_confirmed(output.reads);
        if self.state.revision() != before {
            self.announce();
        }
    }

    fn note_applied(&mut self, position: u64, mut command: Command) {
        match &mut command {
            Command::Configure { body, .. } => body.bytes.clear(),
            Command::SetTargetWeights { .. } => {
                self.named_at.insert(position, self.now);
            }
            Command::Load {
                instance,
                phase: LoadPhase::Finished,
                ..
            } => self.on_load_finished(instance.as_str()),
            Command::Register { instance, .. } => self.on_registered(instance.as_str()),
            Command::Deregister { instance } | Command::Expire { instance } => {
                self.heard.forget(instance.as_str());
            }
            Command::Quarantine { fingerprint } => self.on_quarantined(*fingerprint),
            Command::Release { fingerprint } => self.on_released(*fingerprint),
            _ => {}
        }
        self.effects.push(Effect::Applied { position, command });
    }

    /// Routers identify work under one key, which has to outlast every process.
    fn propose_work_key(&mut self) {
        let proposed_at = self.work_key_proposed_at;
        let is_pending = proposed_at.is_some_and(|at| self.now.since(at) < self.params.patience);
        if self.state.fingerprint_key().is_none() && !is_pending {
            self.work_key_proposed_at = Some(self.now);
            let key = self.drawn_work_key.clone();
            self.propose(None, Command::SetFingerprintKey { key });
        }
    }

    fn weights_age(&self, revision: u64) -> Duration {
        let named = self.named_at.get(&revision).copied().unwrap_or_default();
        self.now.since(named)
    }

    fn weights_age_ms(&self, revision: u64) -> u32 {
        u32::try_from(self.weights_age(revision).as_millis()).unwrap_or(u32::MAX)
    }

    /// A snapshot writes the whole state, and a replica that lacks an entry of the log before it is sent all of
    /// it. So the log grows to the size of the state first: however large that is, snapshots write no more than
    /// the log does, and a replica that lags by less than that is sent entries. With one each 400 entries,
    /// 10,000 back ends that register and load weights write a state of up to 1.3 MB 75 times (worked out).
    fn snapshot_if_due(&mut self) -> Result<(), ReplicaError> {
        let has_entries = self.applied.0 >= self.snapshot_at.0 + self.params.snapshot_entries;
        if !has_entries || self.bytes_since_snapshot < self.snapshot_bytes {
            return Ok(());
        }
        let data = self.state.encode();
        self.snapshot_at = self.applied;
        self.snapshot_bytes = data.len();
        self.bytes_since_snapshot = 0;
        self.replica.compact(self.applied, data)
    }

    fn note_leadership(&mut self) {
        if self.role() == Role::Leader {
            if self.leads_since.is_none() {
                self.leads_since = Some(self.now);
                self.heard = Heard::default();
                self.instances_reviewed = Timestamp::default();
                self.rollouts = Rollouts::default();
                self.note_orders_under_way();
                self.forget_stores();
                self.holder_news = HolderNews::default();
                self.load_news = LoadNews::default();
                self.suspects = Suspects::default();
                self.tenant_accounts.forget();
            }
        } else {
            self.leads_since = None;
            self.confirmed_at = None;
        }
    }
}
