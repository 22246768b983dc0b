//! The replicated state machine: the resource store and the execution ledger, which change only by
//! the commands of the log.

use drumshore_core::{
    ChangeId, IdempotencyKey, OperatorName, RequestId, ResourceKey, ResourceKind, ResourceSpec,
    Revision, TenantName,
};
use serde::{Deserialize, Serialize};

use crate::command::{Command, Proposal, ProposalId};
use crate::ledger::{ClaimKey, ClaimResult, ExecutionOutcome, Ledger};
use crate::store::{Author, ChangeOutcome, ResourceStore};

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The outcome of a write or delete of a resource.
    Change(ChangeOutcome),
    /// The result of a claim.
    Claim(ClaimResult),
    /// The command was an outcome or an expiry, which have no result.
    Done,
}

/// The replicated state at one position of the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// The resources of the configuration.
    pub store: ResourceStore,
    /// The claims of requests that must not be repeated.
    pub ledger: Ledger,
    now_ms: u64,
}

impl StateMachine {
    /// Applies one committed entry; `None` if its data is not a valid proposal.
    pub fn apply(&mut self, entry: &[u8]) -> Option<(ProposalId, CommandResult)> {
        let proposal = Proposal::decode(entry)?;
        // The proposers' clocks differ, but the time of the state machine must never go back.
        self.now_ms = self.now_ms.max(proposal.now_ms);
        let result = self.apply_command(proposal.command);
        Some((proposal.id, result))
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the state has no maps with structured keys")
    }

    /// Decodes a snapshot and rebuilds the indexes that it does not contain.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let mut state: Self = serde_json::from_slice(bytes)?;
        state.store.rebuild();
        Ok(state)
    }

    fn apply_command(&mut self, command: Command) -> CommandResult {
        match command {
            Command::Put {
                change_id,
                operator,
                expected,
                name,
                spec,
            } => {
                let author = self.author(change_id.as_str(), operator.as_str());
                let outcome = match serde_json::from_slice::<ResourceSpec>(&spec.bytes) {
                    Ok(spec) => self
                        .store
                        .put(author, Revision(expected), name.as_str(), spec),
                    Err(error) => ChangeOutcome::Invalid {
                        message: error.to_string(),
                    },
                };
                CommandResult::Change(outcome)
            }
            Command::Delete {
                change_id,
                operator,
                expected,
                kind,
                name,
            } => {
                let author = self.author(change_id.as_str(), operator.as_str());
                let outcome = match ResourceKind::from_word(kind.as_str()) {
                    Some(kind) => {
                        let key = ResourceKey {
                            kind,
                            name: name.as_str().to_owned(),
                        };
                        self.store.delete(author, Revision(expected), key)
                    }
                    None => ChangeOutcome::Invalid {
                        message: "no such kind".to_owned(),
                    },
                };
                CommandResult::Change(outcome)
            }
            Command::Claim {
                tenant,
                key,
                fingerprint,
                request_router,
                request_sequence,
            } => {
                let key = claim_key(tenant.as_str(), key.as_str());
                let request = RequestId {
                    router: request_router,
                    sequence: request_sequence,
                };
                CommandResult::Claim(self.ledger.claim(key, fingerprint, request, self.now_ms))
            }
            Command::Outcome {
                tenant,
                key,
                request_router,
                request_sequence,
                execution,
                answer,
            } => {
                let key = claim_key(tenant.as_str(), key.as_str());
                let request = RequestId {
                    router: request_router,
                    sequence: request_sequence,
                };
                let outcome = match execution {
                    0 => ExecutionOutcome::NotRun,
                    2 => ExecutionOutcome::Ran(answer.bytes),
                    _ => ExecutionOutcome::MayHaveRun,
                };
                self.ledger.record(&key, request, outcome);
                CommandResult::Done
            }
            Command::Expire => {
                self.ledger.expire(self.now_ms);
                CommandResult::Done
            }
        }
    }

    fn author(&self, change_id: &str, operator: &str) -> Author {
        Author {
            change_id: ChangeId::new(change_id),
            operator: OperatorName::new(operator),
            at_ms: self.now_ms,
        }
    }
}

fn claim_key(tenant: &str, key: &str) -> ClaimKey {
    ClaimKey {
        tenant: TenantName::new(tenant),
        key: IdempotencyKey::new(key),
    }
}
