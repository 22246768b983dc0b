//! The requests of operators to a control machine, and the replies.

use std::time::Duration;

use drumshore_consensus::{MembershipChange, ReplicaId};
use drumshore_core::{
    ChangeId, OperatorName, Resource, ResourceKey, ResourceKind, ResourceSpec, Revision,
};
use serde::{Deserialize, Serialize};

use crate::store::{ChangeOutcome, ChangeRecord};

/// Identifies a request, so that the API server can match the reply to the operator that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorTicket(pub u64);

/// A request of an operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Creates or replaces a resource.
    Put {
        /// Idempotency key that the operator chose for the change.
        change_id: ChangeId,
        /// The operator that requests the change.
        operator: OperatorName,
        /// The version on which the change is based; 0 to create the resource.
        expected: Revision,
        /// Name of the resource.
        name: String,
        /// Content of the resource.
        spec: ResourceSpec,
    },
    /// Removes a resource.
    Delete {
        /// Idempotency key that the operator chose for the change.
        change_id: ChangeId,
        /// The operator that requests the change.
        operator: OperatorName,
        /// The version to remove.
        expected: Revision,
        /// The resource to remove.
        key: ResourceKey,
    },
    /// Reads one resource from a view that a quorum confirms.
    Get(ResourceKey),
    /// Reads all resources of a kind from a view that a quorum confirms.
    List(ResourceKind),
    /// Reads the changes after a revision; waits for the next change if there is none.
    Watch {
        /// The last revision that the operator has seen.
        after: Revision,
        /// How long to wait for a change before the reply is empty.
        timeout: Duration,
    },
    /// Reads the state of the cluster as this control machine sees it.
    Status,
    /// Starts one membership change of the control machines.
    ChangeMembers(MembershipChange),
    /// Transfers leadership to another control machine.
    Transfer(ReplicaId),
}

/// The reply to a request of an operator.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The outcome of a write or delete.
    Change(ChangeOutcome),
    /// No quorum confirmed the request in time. A change may still be accepted: the operator can
    /// safely resend it with the same id.
    Unavailable,
    /// The resource that was read; `None` if it does not exist.
    Resource(Option<Box<Resource>>),
    /// The resources of a kind.
    Resources {
        /// The revision at which the resources were read.
        revision: Revision,
        /// All resources of the kind.
        resources: Vec<Resource>,
    },
    /// The changes that a watch returns; none if its timeout elapsed.
    Changes {
        /// The revision up to which the changes are complete.
        revision: Revision,
        /// The changes, oldest first.
        changes: Vec<ChangeRecord>,
    },
    /// Some of the requested changes are no longer kept; the operator has to list the resources
    /// again.
    Compacted {
        /// The current revision.
        revision: Revision,
    },
    /// The state of the cluster as this control machine sees it.
    Status(Box<StatusReport>),
    /// Whether a membership change was started, with the error if not. The request for a leadership
    /// transfer is always acknowledged.
    Members(Result<(), String>),
}

/// The state of one router that is connected to this control machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The name that the router connected with.
    pub name: String,
    /// The revision that the router reports to have applied.
    #[serde(rename = "in_force")]
    pub applied_revision: Revision,
    /// Number of tenants whose changes the router receives.
    pub tenants: usize,
}

/// The state of one engine as this control machine sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's name in the platform's list.
    pub name: String,
    /// The pool that the engine belongs to.
    pub pool: String,
    /// The zone of the engine's machine.
    pub zone: String,
    /// The merged state: `joining`, `ready`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// Identifies the start of the engine; 0 before the first response to a probe.
    pub incarnation: u64,
    /// The version of the weights that are loaded; 0 if none.
    pub weights_version: u64,
    /// Why the engine is in this state.
    pub reason: String,
}

/// The state of the cluster, as one control machine sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The number of this control machine.
    pub replica: u64,
    /// Its Raft role: `follower`, `candidate` or `leader`.
    pub role: String,
    /// The number of the leader, if known.
    pub leader: Option<u64>,
    /// The Raft term.
    pub term: u64,
    /// Index of the last log entry that is applied here.
    pub applied: u64,
    /// The revision of the resources on this machine.
    pub revision: Revision,
    /// True if a quorum confirmed this view within the last seconds.
    pub confirmed: bool,
    /// Numbers of the control machines that vote.
    pub voters: Vec<u64>,
    /// Numbers of the control machines that receive the log but do not vote yet.
    pub learners: Vec<u64>,
    /// Numbers of the control machines that returned with a different disk under their old number.
    /// This is an alarm.
    pub foreign_disks: Vec<u64>,
    /// Number of claims in the execution ledger.
    pub claims: usize,
    /// The routers that are connected to this machine.
    pub routers: Vec<RouterStatus>,
    /// All engines that this machine tracks.
    pub engines: Vec<EngineStatus>,
}
