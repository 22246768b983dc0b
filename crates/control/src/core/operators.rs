//! Requests of operators.

use drumshore_consensus::{Directory, MembershipChange, Role};
use drumshore_core::{Revision, Timestamp};
use drumshore_wire::{Blob, EngineStateCode, Text};

use super::proposals::ProposalWaiter;
use super::reads::ReadWaiter;
use super::{ControlCore, Effect};
use crate::command::Command;
use crate::operator::{
    EngineStatus, OperatorReply, OperatorRequest, OperatorTicket, RouterStatus, StatusReport,
};

/// An operator that waits for a change after a revision.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watcher {
    ticket: OperatorTicket,
    after: Revision,
    deadline: Timestamp,
}

/// Number of freshness intervals for which a view counts as confirmed after a quorum confirmed it.
const CONFIRMED_INTERVALS: u32 = 3;

impl<D: Directory> ControlCore<D> {
    /// Handles an operator's request. The reply is an [`Effect::Reply`] with the same ticket.
    pub fn on_operator(&mut self, ticket: OperatorTicket, request: OperatorRequest) {
        match request {
            OperatorRequest::Put {
                change_id,
                operator,
                expected,
                name,
                spec,
            } => {
                let Ok(spec) = serde_json::to_vec(&spec) else {
                    return;
                };
                let command = Command::Put {
                    change_id: Text::new(change_id.as_str()),
                    operator: Text::new(operator.as_str()),
                    expected: expected.0,
                    name: Text::new(name),
                    spec: Blob::new(spec),
                };
                self.propose(command, ProposalWaiter::Operator(ticket));
            }
            OperatorRequest::Delete {
                change_id,
                operator,
                expected,
                key,
            } => {
                let command = Command::Delete {
                    change_id: Text::new(change_id.as_str()),
                    operator: Text::new(operator.as_str()),
                    expected: expected.0,
                    kind: Text::new(key.kind.as_str()),
                    name: Text::new(key.name),
                };
                self.propose(command, ProposalWaiter::Operator(ticket));
            }
            OperatorRequest::Get(key) => self.request_read(ReadWaiter::Get(ticket, key)),
            OperatorRequest::List(kind) => self.request_read(ReadWaiter::List(ticket, kind)),
            OperatorRequest::Watch { after, timeout } => {
                let deadline = self.clock.now.plus(timeout);
                self.watchers.push(Watcher {
                    ticket,
                    after,
                    deadline,
                });
                self.notify_watchers();
            }
            OperatorRequest::Status => {
                let report = Box::new(self.status());
                self.effects
                    .push(Effect::Reply(ticket, OperatorReply::Status(report)));
            }
            OperatorRequest::ChangeMembers(change) => self.change_members(ticket, change),
            OperatorRequest::Transfer(to) => {
                self.replica.raft_mut().transfer_leadership(to);
                self.effects
                    .push(Effect::Reply(ticket, OperatorReply::Members(Ok(()))));
            }
        }
    }

    /// Replies to the watchers whose revision is older than the current one.
    pub(super) fn notify_watchers(&mut self) {
        let revision = self.revision();
        let (due, waiting) = self
            .watchers
            .drain(..)
            .partition(|watcher| watcher.after < revision);
        self.watchers = waiting;
        let due: Vec<Watcher> = due;
        for watcher in due {
            let reply = match self.state.store.changes_after(watcher.after) {
                Some(changes) => OperatorReply::Changes {
                    revision,
                    changes: changes.cloned().collect(),
                },
                None => OperatorReply::Compacted { revision },
            };
            self.effects.push(Effect::Reply(watcher.ticket, reply));
        }
    }

    pub(super) fn expire_watchers(&mut self) {
        let now = self.clock.now;
        let (expired, waiting) = self
            .watchers
            .drain(..)
            .partition(|watcher| watcher.deadline <= now);
        self.watchers = waiting;
        let expired: Vec<Watcher> = expired;
        for watcher in expired {
            let reply = OperatorReply::Changes {
                revision: watcher.after,
                changes: Vec::new(),
            };
            self.effects.push(Effect::Reply(watcher.ticket, reply));
        }
    }

    fn change_members(&mut self, ticket: OperatorTicket, change: MembershipChange) {
        let result = self.replica.raft_mut().propose_change(change);
        let reply = OperatorReply::Members(match result {
            Ok(_) => Ok(()),
            Err(error) => {
                let leader = self.replica.raft().leader();
                let hint = leader.map_or(String::new(), |leader| format!("; {leader} leads"));
                Err(format!("{error}{hint}"))
            }
        });
        self.effects.push(Effect::Reply(ticket, reply));
    }

    /// The state of the cluster as this control machine sees it.
    pub fn status(&self) -> StatusReport {
        let raft = self.replica.raft();
        let membership = raft.membership();
        let learners = membership
            .members()
            .iter()
            .filter(|member| !membership.is_voter(member.id));
        let recent = self.params.freshness_interval * CONFIRMED_INTERVALS;
        let confirmed = self
            .last_confirmed
            .is_some_and(|at| self.clock.now.since(at) <= recent);
        StatusReport {
            replica: raft.id().0,
            role: role_name(raft.role()).to_owned(),
            leader: raft.leader().map(|leader| leader.0),
            term: raft.term().0,
            applied: self.applied.0,
            revision: self.revision(),
            confirmed,
            voters: membership.voters().map(|id| id.0).collect(),
            learners: learners.map(|member| member.id.0).collect(),
            foreign_disks: raft.foreign_disks().map(|id| id.0).collect(),
            claims: self.state.ledger.len(),
            routers: self.router_statuses(),
            engines: self.engine_statuses(),
        }
    }

    fn router_statuses(&self) -> Vec<RouterStatus> {
        self.subscriptions
            .values()
            .map(|subscription| RouterStatus {
                name: subscription.router.clone(),
                applied_revision: subscription.applied_revision,
                tenants: subscription.tenants.len(),
            })
            .collect()
    }

    fn engine_statuses(&self) -> Vec<EngineStatus> {
        self.fleet
            .iter()
            .map(|(name, view)| EngineStatus {
                name: name.to_string(),
                pool: view.record.pool.to_string(),
                zone: view.record.zone.to_string(),
                state: state_name(view.state).to_owned(),
                incarnation: view.probe.as_ref().map_or(0, |probe| probe.incarnation.0),
                weights_version: view
                    .probe
                    .as_ref()
                    .map_or(0, |probe| probe.weights_version.0),
                reason: view.reason.to_owned(),
            })
            .collect()
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Follower => "follower",
        Role::PreCandidate | Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

fn state_name(state: EngineStateCode) -> &'static str {
    match state {
        EngineStateCode::Joining => "joining",
        EngineStateCode::Ready => "ready",
        EngineStateCode::Suspect => "suspect",
        EngineStateCode::Leaving => "leaving",
        EngineStateCode::Gone => "gone",
    }
}
