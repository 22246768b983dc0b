//! A control machine without network I/O: the replicated log, the state machine, and the requests
//! of routers, operators and other control machines.

mod index;
mod operators;
mod peers;
mod proposals;
mod reads;
mod routers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_consensus::{
    Directory, EntryKind, FolderIdentity, LogIndex, Membership, Output, Params, Replica,
    ReplicaError, ReplicaId, Role,
};
use drumshore_core::{
    EngineName, Epoch, ResourceKind, ResourceSpec, Revision, Timestamp, WeightsVersion,
};
use drumshore_guard::{enforced, Guard};
use drumshore_routing::{Indexer, IndexerParams};
use drumshore_wire::{Blob, Message, RelayedBooking};

use crate::allotment::DemandTable;
use crate::command::{Command, ProposalId};
use crate::fleet::{EngineOrder, EngineProbe, Fleet, MachineRecord, ProbeFailed};
use crate::operator::{OperatorReply, OperatorTicket};
use crate::rollout::{RolloutDriver, RolloutView};
use crate::state::{CommandResult, StateMachine};
use crate::store::ChangeOutcome;
use crate::subscription::{ConnectionId, Subscription};

use operators::Watcher;
use proposals::{PendingProposal, ProposalWaiter};
use reads::Reads;

/// Timeouts, intervals and limits of a control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlParams {
    /// Parameters of the replicated log.
    pub consensus: Params,
    /// Number of entries applied between two snapshots.
    pub snapshot_entries: u64,
    /// How long a command or read waits for a quorum before it fails.
    pub quorum_timeout: Duration,
    /// Interval at which a command or read that is not confirmed is sent again.
    pub resend_interval: Duration,
    /// Interval at which this machine has its view confirmed by a quorum and notifies its routers.
    pub freshness_interval: Duration,
    /// Interval at which routers are sent the loads of engines.
    pub load_interval: Duration,
    /// Interval at which usage is reported and the leader advances limits, claims and rollouts.
    pub maintenance_interval: Duration,
    /// The region whose engines' caches this machine indexes; empty for all regions.
    pub index_region: String,
    /// Parameters of the index.
    pub indexer: IndexerParams,
}

impl Default for ControlParams {
    fn default() -> Self {
        Self {
            consensus: Params::default(),
            snapshot_entries: 5_000,
            quorum_timeout: Duration::from_secs(5),
            resend_interval: Duration::from_secs(1),
            freshness_interval: Duration::from_secs(1),
            load_interval: Duration::from_millis(500),
            maintenance_interval: Duration::from_secs(1),
            index_region: String::new(),
            indexer: IndexerParams::default(),
        }
    }
}

/// A message, reply or order to send.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message to another control machine.
    ToControl(ReplicaId, Message),
    /// Sends a message to a router.
    ToRouter(ConnectionId, Message),
    /// Replies to an operator's request.
    Reply(OperatorTicket, OperatorReply),
    /// Sends an order to an engine.
    Order {
        /// The engine's name in the fleet.
        engine: EngineName,
        /// IP address and port of the engine.
        address: String,
        /// The order, with the fence of its leader.
        order: EngineOrder,
    },
}

/// The current time, read by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Monotonic time, for timeouts and intervals.
    pub now: Timestamp,
    /// Wall clock in milliseconds since the Unix epoch, for histories and claims.
    pub unix_ms: u64,
}

/// The state of a control machine.
pub struct ControlCore<D> {
    params: ControlParams,
    replica: Replica<D>,
    state: StateMachine,
    applied: LogIndex,
    snapshot_at: LogIndex,
    fleet: Fleet,
    indexer: Indexer,
    bookings_to_relay: Vec<RelayedBooking>,
    rollouts: RolloutDriver,
    subscriptions: BTreeMap<ConnectionId, Subscription>,
    router_demands: DemandTable<ConnectionId>,
    replica_demands: DemandTable<ReplicaId>,
    watchers: Vec<Watcher>,
    origin: u64,
    next_proposal: u64,
    pending: BTreeMap<ProposalId, PendingProposal>,
    reads: Reads,
    last_confirmed: Option<Timestamp>,
    clock: Clock,
    schedule: Schedule,
    /// Effects that acknowledge nothing durable, and so are sent before the disk is synced.
    immediate_effects: Vec<Effect>,
    effects: Vec<Effect>,
}

/// The next time of each periodic task.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    freshness: Timestamp,
    loads: Timestamp,
    maintenance: Timestamp,
}

impl<D: Directory> ControlCore<D> {
    /// Opens a control machine and recovers its log. `first_membership` is used only in a new
    /// folder. `seed` must differ at each start: it is also the origin of the proposals.
    pub fn open(
        directory: D,
        identity: &FolderIdentity,
        first_membership: Membership,
        params: ControlParams,
        seed: u64,
    ) -> Result<Self, ReplicaError> {
        let consensus = params.consensus.clone();
        let replica = Replica::open(directory, identity, first_membership, consensus, seed)?;
        Ok(Self {
            indexer: Indexer::new(params.indexer.clone()),
            bookings_to_relay: Vec::new(),
            params,
            replica,
            state: StateMachine::default(),
            applied: LogIndex(0),
            snapshot_at: LogIndex(0),
            fleet: Fleet::default(),
            rollouts: RolloutDriver::default(),
            subscriptions: BTreeMap::new(),
            router_demands: DemandTable::default(),
            replica_demands: DemandTable::default(),
            watchers: Vec::new(),
            origin: seed,
            next_proposal: 0,
            pending: BTreeMap::new(),
            reads: Reads::default(),
            last_confirmed: None,
            clock: Clock::default(),
            schedule: Schedule::default(),
            immediate_effects: Vec::new(),
            effects: Vec::new(),
        })
    }

    /// The number of this control machine.
    pub fn id(&self) -> ReplicaId {
        self.replica.raft().id()
    }

    /// The role of this machine in the replicated log.
    pub fn role(&self) -> Role {
        self.replica.raft().role()
    }

    /// The replicated state, up to the last entry applied here.
    pub fn state(&self) -> &StateMachine {
        &self.state
    }

    /// The index of the engines' caches, which is local to this machine.
    pub fn indexer(&self) -> &Indexer {
        &self.indexer
    }

    /// The engines, as this machine sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Advances the replication clock by one tick and runs the periodic tasks that are due.
    /// [`ControlCore::flush`] must follow.
    pub fn on_tick(&mut self, clock: Clock) {
        self.clock = clock;
        self.replica.raft_mut().tick();
        self.resend_pending();
        self.resend_reads();
        self.expire_watchers();
        self.relay_bookings();
        if advance_if_due(
            &mut self.schedule.freshness,
            clock.now,
            self.params.freshness_interval,
        ) {
            self.request_freshness();
        }
        if advance_if_due(
            &mut self.schedule.loads,
            clock.now,
            self.params.load_interval,
        ) {
            self.push_loads();
        }
        if advance_if_due(
            &mut self.schedule.maintenance,
            clock.now,
            self.params.maintenance_interval,
        ) {
            self.run_maintenance();
        }
    }

    /// Updates the fleet from the platform's machine list.
    pub fn on_machines(&mut self, machines: &[MachineRecord]) {
        self.fleet.on_machines(machines, self.clock.now);
        self.trim_index();
    }

    /// Records the result of a probe of an engine.
    pub fn on_probe(&mut self, engine: &EngineName, result: Result<EngineProbe, ProbeFailed>) {
        if let Ok(probe) = &result {
            self.index_load(engine.id(), probe);
        }
        self.fleet.on_probe(engine, result, self.clock.now);
    }

    /// Stores and applies pending log entries and passes the effects to `sink` in order. It must be
    /// called after each batch of calls; all calls since the last flush share one disk sync. An
    /// error means that the disk failed.
    pub fn flush(&mut self, sink: &mut dyn FnMut(Effect)) -> Result<(), ReplicaError> {
        self.immediate_effects.drain(..).for_each(&mut *sink);
        self.start_reads();
        let mut send = |envelope: drumshore_consensus::Envelope| {
            let message = Message::Consensus(Blob::new(envelope.encode()));
            sink(Effect::ToControl(envelope.to, message));
        };
        let output = self.replica.flush(&mut send)?;
        self.apply(output);
        self.serve_confirmed_reads();
        self.push_engines();
        self.effects.drain(..).for_each(sink);
        self.snapshot_if_due()
    }

    fn apply(&mut self, output: Output) {
        let revision_before = self.state.store.revision();
        if let Some(snapshot) = output.snapshot {
            if let Ok(state) = StateMachine::decode(&snapshot.data) {
                self.state = state;
            }
            self.applied = snapshot.index;
            self.snapshot_at = snapshot.index;
        }
        for entry in output.committed {
            self.applied = entry.index;
            if entry.kind != EntryKind::Command {
                continue;
            }
            if let Some((proposal, result)) = self.state.apply(&entry.data) {
                self.answer_proposal(proposal, result);
            }
        }
        self.reads.on_confirmed(output.reads);
        if self.state.store.revision() != revision_before {
            self.on_new_revision();
        }
    }

    fn on_new_revision(&mut self) {
        let pools = self.state.store.list(ResourceKind::EnginePool);
        let draining: BTreeSet<EngineName> = pools
            .filter_map(|resource| resource.as_pool())
            .flat_map(|(_, pool)| pool.draining.iter().cloned())
            .collect();
        self.fleet.set_draining(draining);
        self.push_changes();
        self.notify_watchers();
    }

    fn snapshot_if_due(&mut self) -> Result<(), ReplicaError> {
        if self.applied.0 < self.snapshot_at.0 + self.params.snapshot_entries {
            return Ok(());
        }
        self.snapshot_at = self.applied;
        self.replica.compact(self.applied, self.state.encode())
    }

    fn is_leader(&self) -> bool {
        self.role() == Role::Leader
    }

    /// The fence that engines compare to refuse outdated orders: the term and the revision.
    fn order_fence(&self) -> (Epoch, Revision) {
        if !enforced(Guard::OrderEpoch) {
            return (Epoch(u64::MAX), Revision(u64::MAX));
        }
        (self.epoch(), self.revision())
    }

    fn epoch(&self) -> Epoch {
        Epoch(self.replica.raft().term().0)
    }

    /// Reports usage to the leader; on the leader, also divides limits, expires claims and advances
    /// rollouts.
    fn run_maintenance(&mut self) {
        self.report_usage();
        if !self.is_leader() {
            return;
        }
        self.divide_limits();
        if !self.state.ledger.is_empty() {
            self.propose(Command::Expire, ProposalWaiter::Nobody);
        }
        self.drive_rollouts();
    }

    fn drive_rollouts(&mut self) {
        let rollouts: Vec<_> = self
            .state
            .store
            .list(ResourceKind::Rollout)
            .cloned()
            .collect();
        for resource in rollouts {
            let ResourceSpec::Rollout(spec) = &resource.spec else {
                continue;
            };
            let Some(model) = self.model(spec.model.as_str()) else {
                continue;
            };
            let Some((_, model_spec)) = model.as_model() else {
                continue;
            };
            let pools: Vec<_> = self
                .state
                .store
                .list(ResourceKind::EnginePool)
                .filter_map(|pool| pool.as_pool())
                .filter(|(_, pool)| pool.model == spec.model)
                .map(|(name, _)| name)
                .collect();
            let active_version = model_spec.weights_version;
            let (epoch, revision) = self.order_fence();
            let view = RolloutView {
                spec,
                active_version,
                pools: &pools,
                epoch,
                revision,
            };
            let step = self.rollouts.step(&view, &self.fleet, self.clock.now);
            for (engine, order) in step.orders {
                self.send_order(engine, order);
            }
            if let Some(version) = step.activate {
                self.activate_version(&resource.name, &model, version);
            }
        }
    }

    fn model(&self, name: &str) -> Option<drumshore_core::Resource> {
        let key = drumshore_core::ResourceKey {
            kind: ResourceKind::Model,
            name: name.to_owned(),
        };
        self.state.store.get(&key).cloned()
    }

    fn send_order(&mut self, engine: EngineName, order: EngineOrder) {
        let Some(view) = self.fleet.get(&engine) else {
            return;
        };
        let address = view.record.address.clone();
        self.effects.push(Effect::Order {
            engine,
            address,
            order,
        });
    }

    fn activate_version(
        &mut self,
        rollout: &str,
        model: &drumshore_core::Resource,
        version: WeightsVersion,
    ) {
        let Some((_, spec)) = model.as_model() else {
            return;
        };
        let spec = drumshore_core::ModelSpec {
            weights_version: version,
            ..spec.clone()
        };
        let spec = ResourceSpec::Model(spec);
        let Ok(bytes) = serde_json::to_vec(&spec) else {
            return;
        };
        let command = Command::Put {
            change_id: format!("rollout/{rollout}/{}/{version}", model.version)
                .as_str()
                .into(),
            operator: format!("rollout/{rollout}").as_str().into(),
            expected: model.version.0,
            name: model.name.as_str().into(),
            spec: Blob::new(bytes),
        };
        self.propose(command, ProposalWaiter::Nobody);
    }

    fn revision(&self) -> Revision {
        self.state.store.revision()
    }
}

/// Returns true if the time has come, and then sets `next` to one interval from now.
fn advance_if_due(next: &mut Timestamp, now: Timestamp, interval: Duration) -> bool {
    if now < *next {
        return false;
    }
    *next = now.plus(interval);
    true
}

/// The reply to an operator for the result of a command.
fn change_reply(result: CommandResult) -> OperatorReply {
    match result {
        CommandResult::Change(outcome) => OperatorReply::Change(outcome),
        CommandResult::Claim(_) | CommandResult::Done => {
            OperatorReply::Change(ChangeOutcome::Invalid {
                message: "the command was not a change".to_owned(),
            })
        }
    }
}
