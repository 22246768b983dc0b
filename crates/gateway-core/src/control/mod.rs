//! A control machine: the replicated log, the state that it replicates, and the links to routers,
//! back ends, operators and other control machines.

mod accounts;
mod back_end_speeds;
mod configuration_patches;
mod departures;
mod directory;
mod effect;
mod fetches;
mod heartbeat_times;
mod holders;
mod instances;
mod loads;
mod members;
mod news;
mod order;
mod order_lease;
mod params;
mod proposals;
mod quarantine;
mod reads;
mod refusing;
mod rollout;
mod routers;
mod stored;
mod suspects;
mod tenant_demand;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use drumshore_consensus::{
    Directory, EntryKind, Envelope, FolderIdentity, LogIndex, Membership, Output, Replica,
    ReplicaError, ReplicaId, Role,
};
use drumshore_core::Timestamp;
use drumshore_wire::Blob;

use crate::back_end_speed::{SpeedChange, SpeedLearner};
use crate::{Command, FingerprintKey, LoadPhase, Message, Proposal, ReplicatedState};

pub use effect::{CrashReported, Effect};
pub use instances::Heartbeat;
pub use members::{address_of, bootstrap_id};
pub use order::{BackEndReport, LoadPlan, LoadReason, Order, OrderId, OrderOutcome};
pub use params::ControlParams;
pub use stored::StoreUpdate;

use accounts::TenantAccounts;
use back_end_speeds::SpeedBroadcast;
use configuration_patches::ConfigurationPatches;
use departures::HeldSince;
use fetches::Fetches;
use heartbeat_times::HeartbeatTimes;
use holders::HolderQueue;
use loads::LoadBroadcast;
use members::JoinRequests;
use order_lease::OrderLeases;
use proposals::PendingProposals;
use quarantine::SuspectedFingerprints;
use reads::Reads;
use refusing::Refusing;
use rollout::Rollouts;
use routers::{Announcements, Routers};
use stored::Stores;
use suspects::Suspects;
use tenant_demand::TenantDemands;

/// Identifies a caller that waits for a [`Reply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies a router's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A quorum has stored the command on disk and this machine has applied it, or the call changes
    /// nothing.
    Accepted,
    /// The newest configuration, confirmed by a quorum; `None` before the first one.
    Configuration(Option<Vec<u8>>),
    /// No quorum answered in time; the caller should retry later or ask another machine.
    Unavailable,
}

/// State machine of a control machine, without I/O except for the replicated log.
pub struct ControlCore<D> {
    params: ControlParams,
    holder: String,
    replica: Replica<D>,
    state: ReplicatedState,
    applied: LogIndex,
    snapshot_at: LogIndex,
    /// Size of the last snapshot.
    snapshot_bytes: usize,
    /// The last entry in the log when this process started.
    logged_at_start: LogIndex,
    /// Size of the commands applied since the last snapshot.
    bytes_since_snapshot: usize,
    seeds: Vec<Ipv4Addr>,
    join_requests: JoinRequests,
    proposals: PendingProposals,
    reads: Reads,
    routers: Routers,
    announcements: Announcements,
    fetches: Fetches,
    configuration_patches: ConfigurationPatches,
    rollouts: Rollouts,
    order_leases: OrderLeases,
    stores: Stores,
    holder_queue: HolderQueue,
    load_broadcast: LoadBroadcast,
    speeds: SpeedLearner,
    speed_broadcast: SpeedBroadcast,
    suspects: Suspects,
    refusing: Refusing,
    suspected_fingerprints: SuspectedFingerprints,
    tenant_accounts: TenantAccounts,
    tenant_demands: TenantDemands,
    /// Proposed if the replicated state has no key for request fingerprints.
    generated_fingerprint_key: FingerprintKey,
    fingerprint_key_proposed_at: Option<Timestamp>,
    /// When target versions of weights were set, by revision; those set before this process
    /// started count from its start.
    target_weights_set_at: BTreeMap<u64, Timestamp>,
    heartbeat_times: HeartbeatTimes,
    instances_reviewed_at: Timestamp,
    leader_since: Option<Timestamp>,
    /// Start of the last read round of this leader that a quorum confirmed.
    confirmed_at: Option<Timestamp>,
    leaderless_since: Option<Timestamp>,
    now: Timestamp,
    effects: Vec<Effect>,
    /// Whether another control machine runs a build that skips [`Command::SetSoftwareVersion`].
    earlier_build_present: bool,
    /// Back ends whose software version is to be proposed again with their next heartbeat.
    software_to_repeat: BTreeSet<String>,
    /// What left up to this revision is forgotten next.
    departures_held: Option<HeldSince>,
}

impl<D: Directory> ControlCore<D> {
    /// Opens the replicated log in `directory`. `seed` must differ at each start; `holder` names
    /// this machine in its orders; `members` is used only if the directory is new.
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
            logged_at_start: replica.raft().last_index(),
            proposals: PendingProposals::new(seed, params.reply_timeout),
            params,
            holder,
            replica,
            state: ReplicatedState::default(),
            applied: LogIndex(0),
            snapshot_at: LogIndex(0),
            snapshot_bytes: 0,
            bytes_since_snapshot: 0,
            seeds,
            join_requests: JoinRequests::default(),
            reads: Reads::default(),
            routers: Routers::default(),
            announcements: Announcements::default(),
            fetches: Fetches::default(),
            configuration_patches: ConfigurationPatches::default(),
            rollouts: Rollouts::default(),
            order_leases: OrderLeases::default(),
            stores: Stores::default(),
            holder_queue: HolderQueue::default(),
            load_broadcast: LoadBroadcast::default(),
            speeds: SpeedLearner::default(),
            speed_broadcast: SpeedBroadcast::default(),
            suspects: Suspects::default(),
            refusing: Refusing::default(),
            suspected_fingerprints: SuspectedFingerprints::default(),
            tenant_accounts: TenantAccounts::default(),
            tenant_demands: TenantDemands::default(),
            generated_fingerprint_key: FingerprintKey::generate(seed),
            fingerprint_key_proposed_at: None,
            target_weights_set_at: BTreeMap::new(),
            heartbeat_times: HeartbeatTimes::default(),
            instances_reviewed_at: Timestamp::default(),
            leader_since: None,
            confirmed_at: None,
            leaderless_since: None,
            now: Timestamp::default(),
            effects: Vec::new(),
            earlier_build_present: false,
            software_to_repeat: BTreeSet::new(),
            departures_held: None,
        })
    }

    /// The replicated state, as far as this machine has applied it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Role of this machine in the replicated log.
    pub fn role(&self) -> Role {
        self.replica.raft().role()
    }

    /// Latest term that this machine has seen.
    pub fn term(&self) -> u64 {
        self.replica.raft().term().0
    }

    /// Index of the last log entry; counts entries that snapshots have replaced.
    pub fn log_length(&self) -> u64 {
        self.replica.raft().last_index().0
    }

    /// Size of the last snapshot in bytes; 0 before the first one.
    pub fn last_snapshot_bytes(&self) -> usize {
        self.snapshot_bytes
    }

    /// Address of the leader, if known.
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.replica.raft().leader().map(address_of)
    }

    /// Addresses of all control machines that are members; of the seeds while no member is known.
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

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Advances the replication clock by one tick. [`ControlCore::flush`] must follow.
    pub fn on_tick(&mut self, now: Timestamp) {
        self.now = now;
        self.replica.raft_mut().tick();
        self.update_leadership();
        self.resend_proposals();
        self.forward_heartbeats();
        self.expire_reads();
        self.request_to_join();
        self.routers.update_unresponsive(now);
        self.announce_if_pending();
        self.expire_suspicions();
        self.propose_quarantines();
        self.review_quarantines();
        self.broadcast_suspicions();
        self.forget_departures();
        if self.role() == Role::Leader {
            self.propose_fingerprint_key();
            self.change_members();
            self.expire_instances();
            self.advance_rollouts();
            self.broadcast_loads();
            self.broadcast_speeds();
            self.broadcast_store_changes();
            self.broadcast_holders();
            self.send_account_levels();
            self.broadcast_tenant_demands();
            self.renotify_of_suspects();
        }
    }

    /// Processes a message of another control machine.
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
            Message::ForwardedHeartbeats(keys) => self.on_forwarded_heartbeats(&keys.items),
            Message::News(news) => self.on_news(&news),
            _ => {}
        }
    }

    /// Proposes a command; the ticket is answered once the command is committed and applied here.
    pub fn submit(&mut self, now: Timestamp, ticket: Ticket, command: Command) {
        self.now = now;
        self.propose(Some(ticket), command);
    }

    /// Reads the newest configuration; the ticket is answered once a quorum has confirmed the read.
    pub fn read_configuration(&mut self, now: Timestamp, ticket: Ticket) {
        self.now = now;
        self.queue_read_request(reads::Reader::Operator(ticket));
    }

    /// Transfers leadership to the voter with the longest matching log, before a planned stop.
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

    /// Performs all work that is due and passes the effects to `sink`, in order. Must be called
    /// after each batch of calls; all changes of the batch share one disk sync.
    pub fn flush(&mut self, sink: &mut dyn FnMut(Effect)) -> Result<(), ReplicaError> {
        self.start_read_round();
        self.send_proposals();
        self.serve_fetches();
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
                self.record_orders_before_snapshot();
            }
            self.applied = snapshot.index;
            self.snapshot_at = snapshot.index;
            self.snapshot_bytes = snapshot.data.len();
            self.bytes_since_snapshot = 0;
            self.reply_to_registered();
        }
        for entry in output.committed {
            self.applied = entry.index;
            self.bytes_since_snapshot += entry.data.len();
            let by_other = self.role() != Role::Leader || entry.term.0 < self.term();
            // The bytes of a membership entry, which include random disk identifiers, may happen to
            // decode as a command.
            let is_command = entry.kind == EntryKind::Command;
            let proposal = is_command.then(|| Proposal::decode(&entry.data)).flatten();
            if let Some(proposal) = proposal {
                let changed = self.state.apply(entry.index.0, &proposal.command);
                if let (Command::Load { instance, .. }, true) = (&proposal.command, by_other) {
                    self.record_foreign_order(instance.as_str());
                }
                if changed {
                    self.on_applied(entry.index.0, proposal.command);
                }
                self.complete_proposal(proposal.id);
            }
        }
        self.reads.on_confirmed(output.reads);
        if self.state.revision() != before {
            self.announce();
        }
    }

    fn on_applied(&mut self, position: u64, mut command: Command) {
        match &mut command {
            Command::Configure { body, .. } => {
                self.configuration_patches.note(&body.bytes);
                body.bytes.clear();
            }
            Command::SetTargetWeights { .. } => {
                self.target_weights_set_at.insert(position, self.now);
            }
            Command::Load {
                instance,
                phase: LoadPhase::Finished,
                ..
            } => self.on_load_finished(instance.as_str()),
            Command::Register { instance, .. } => self.on_registered(instance.as_str()),
            Command::Deregister { instance } | Command::Expire { instance } => {
                self.heartbeat_times.forget(instance.as_str());
            }
            Command::SetSoftwareVersion { instance, .. } => {
                self.believe_reports_on(instance.as_str())
            }
            Command::Quarantine { fingerprint } => self.on_quarantined(position, *fingerprint),
            Command::Release { fingerprint } => self.on_released(*fingerprint),
            _ => {}
        }
        self.effects.push(Effect::Applied { position, command });
    }

    /// Proposes the key under which routers compute request fingerprints. It must survive restarts
    /// of all processes, so it is replicated.
    fn propose_fingerprint_key(&mut self) {
        let proposed_at = self.fingerprint_key_proposed_at;
        let is_pending =
            proposed_at.is_some_and(|at| self.now.since(at) < self.params.reply_timeout);
        if self.state.fingerprint_key().is_none() && !is_pending {
            self.fingerprint_key_proposed_at = Some(self.now);
            let key = self.generated_fingerprint_key.clone();
            self.propose(None, Command::SetFingerprintKey { key });
        }
    }

    /// Writes a snapshot when it is due. A snapshot writes the whole state, and a replica that
    /// lacks an earlier entry of the log is sent all of it. Therefore the log first grows to the
    /// size of the state: snapshots then never write more than the log does, and a replica that
    /// lags by less is sent entries. With a snapshot every 400 entries, 10,000 back ends that
    /// register and load weights would write a state of up to 1.3 MB 75 times.
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

    fn update_leadership(&mut self) {
        if self.role() == Role::Leader {
            if self.leader_since.is_none() {
                self.leader_since = Some(self.now);
                self.heartbeat_times = HeartbeatTimes::default();
                self.instances_reviewed_at = Timestamp::default();
                self.rollouts = Rollouts::default();
                self.record_orders_in_progress();
                self.reset_stores();
                self.holder_queue = HolderQueue::default();
                self.load_broadcast = LoadBroadcast::default();
                self.speed_broadcast = SpeedBroadcast::default();
                self.suspects = Suspects::default();
                self.tenant_accounts.forget();
                self.tenant_demands = TenantDemands::default();
            }
        } else {
            self.leader_since = None;
            self.confirmed_at = None;
        }
    }
}
