//! What operators ask of a control machine, and what they get.

use std::time::Duration;

use drumshore_consensus::{Change, ReplicaId};
use drumshore_core::{
    ChangeId, OperatorName, Resource, ResourceKey, ResourceKind, ResourceSpec, Revision,
};
use serde::{Deserialize, Serialize};

use crate::store::{ChangeOutcome, ChangeRecord};

/// Tells the edge which waiting operator an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperatorTicket(pub u64);

/// What an operator asks.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Write a resource.
    Put {
        /// The operator's key for the change.
        change_id: ChangeId,
        /// Who asks.
        operator: OperatorName,
        /// The version it was written from; 0 when it is to be new.
        expected: Revision,
        /// Its name.
        name: String,
        /// The document.
        spec: ResourceSpec,
    },
    /// Remove a resource.
    Delete {
        /// The operator's key for the change.
        change_id: ChangeId,
        /// Who asks.
        operator: OperatorName,
        /// The version that is to be removed.
        expected: Revision,
        /// Which.
        key: ResourceKey,
    },
    /// One resource, as of now.
    Get(ResourceKey),
    /// All resources of a kind, as of now.
    List(ResourceKind),
    /// Changes after a revision; waits for the next one.
    Watch {
        /// The last revision seen.
        after: Revision,
        /// How long to wait.
        timeout: Duration,
    },
    /// The state of the cluster.
    Status,
    /// One step of a change of the control machines themselves.
    ChangeMembers(Change),
    /// Hand leadership to another control machine.
    Transfer(ReplicaId),
}

/// What an operator gets.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// How a change ended.
    Change(ChangeOutcome),
    /// Nobody confirmed in time. A change may still be accepted: resend it with the same id.
    Unavailable,
    /// A resource, when there is one.
    Resource(Option<Box<Resource>>),
    /// Resources and the revision of the view they come from.
    Resources {
        /// The revision.
        revision: Revision,
        /// The resources.
        resources: Vec<Resource>,
    },
    /// Changes, oldest first; none when the patience ran out.
    Changes {
        /// The revision up to which they are complete.
        revision: Revision,
        /// The changes.
        changes: Vec<ChangeRecord>,
    },
    /// The changes asked for are no longer kept; list afresh.
    Compacted {
        /// The revision to list at.
        revision: Revision,
    },
    /// The state of the cluster.
    Status(Box<StatusReport>),
    /// A change of the control machines was started, or why not.
    Members(Result<(), String>),
}

/// How far one router has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The router.
    pub name: String,
    /// The revision it applies.
    pub in_force: Revision,
    /// Tenants it holds.
    pub tenants: usize,
}

/// One engine as this control machine sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: String,
    /// Its start.
    pub incarnation: u64,
    /// The weights it holds.
    pub weights_version: u64,
    /// Why it is in that state.
    pub reason: String,
}

/// The state of the cluster, as one control machine sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// This control machine.
    pub replica: u64,
    /// What it is in the replicated log.
    pub role: String,
    /// The leader, when known.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
    /// The last position applied here.
    pub applied: u64,
    /// The revision of the resources here.
    pub revision: Revision,
    /// True when a quorum confirmed this view within the last seconds.
    pub confirmed: bool,
    /// Control machines that vote.
    pub voters: Vec<u64>,
    /// Control machines that are being brought up to date.
    pub learners: Vec<u64>,
    /// Alarm: control machines that came back with another disk under their old number.
    pub foreign_disks: Vec<u64>,
    /// Claims kept by the ledger.
    pub claims: usize,
    /// The routers connected here.
    pub routers: Vec<RouterStatus>,
    /// The engines.
    pub engines: Vec<EngineStatus>,
}
