//! Requests that must not run twice: they claim their idempotency key in the ledger before they
//! start, and report their outcome afterwards.

use drumshore_core::{ErrorCode, Execution, RequestError, RequestId, Timestamp};
use drumshore_wire::{Blob, ClaimGrant, ClaimRequest, ClaimResponse, Message, OutcomeReport, Text};

use super::{ActiveRequest, AdmitOutcome, Phase, RouterCore};
use crate::answer::RecordedAnswer;

/// Interval at which an outcome is resent until it is stored.
const RESEND_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// Retry delay given to a caller whose request is still running.
const RETRY_AFTER_RUNNING: std::time::Duration = std::time::Duration::from_secs(1);

/// Maximum size in bytes of an answer stored in the ledger. A request with a larger answer counts
/// as "may have run" when it is repeated.
const MAX_RECORDED_BYTES: usize = 256 << 10;

/// An outcome that the ledger has not confirmed yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOutcome {
    report: OutcomeReport,
    resend_at: Timestamp,
}

impl RouterCore {
    /// Claims a request's idempotency key in the ledger.
    pub(super) fn claim(&mut self, id: RequestId) {
        if self.session.connected_link().is_none() {
            return self.refuse_active(id, ledger_unavailable());
        }
        let until = self.now.plus(self.params.claim_timeout);
        if let Some(request) = self.active.get_mut(&id) {
            request.phase = Phase::AwaitingClaim { until };
        }
        self.send_claim(id);
    }

    pub(super) fn resend_claims(&mut self) {
        let waiting: Vec<RequestId> = self
            .active
            .iter()
            .filter(|(_, request)| matches!(request.phase, Phase::AwaitingClaim { .. }))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.send_claim(id);
        }
    }

    pub(super) fn on_claim_response(&mut self, response: ClaimResponse) {
        let id = RequestId {
            router: self.router_id,
            sequence: response.ticket,
        };
        let waiting = self
            .active
            .get(&id)
            .is_some_and(|request| matches!(request.phase, Phase::AwaitingClaim { .. }));
        if !waiting {
            return;
        }
        match response.grant {
            ClaimGrant::Granted => self.queue_or_place(id),
            ClaimGrant::Completed(answer) => self.answer_from_ledger(id, &answer),
            ClaimGrant::StillRunning => {
                let message = "a request with this key is still running";
                let error = RequestError::may_have_run(ErrorCode::StillRunning, message);
                self.refuse_claimed_elsewhere(id, error.retry_after(RETRY_AFTER_RUNNING));
            }
            ClaimGrant::MayHaveRun => {
                let message = "a request with this key may have run; it is not repeated";
                let error = RequestError::may_have_run(ErrorCode::NotRepeated, message);
                self.refuse_claimed_elsewhere(id, error);
            }
            ClaimGrant::KeyReused => {
                let message = "the key was used for another request";
                let error = RequestError::not_run(ErrorCode::KeyReused, message);
                self.refuse_claimed_elsewhere(id, error);
            }
            ClaimGrant::Unavailable => self.release_claim(id),
        }
    }

    pub(super) fn expire_claims(&mut self) {
        let now = self.now;
        let expired: Vec<RequestId> = self
            .active
            .iter()
            .filter(|(_, request)| {
                matches!(request.phase, Phase::AwaitingClaim { until } if until <= now)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.release_claim(id);
        }
    }

    /// Sends an outcome and keeps it until the ledger has stored it.
    pub(super) fn record_outcome(
        &mut self,
        request: &ActiveRequest,
        id: RequestId,
        execution: Execution,
        answer: Option<&RecordedAnswer>,
    ) {
        let Some(key) = &request.admit_request.idempotency_key else {
            return;
        };
        let answer = answer
            .and_then(|answer| serde_json::to_vec(answer).ok())
            .filter(|answer| answer.len() <= MAX_RECORDED_BYTES);
        let execution = match (execution, &answer) {
            (Execution::NotRun, _) => 0,
            (Execution::Ran, Some(_)) => 2,
            _ => 1,
        };
        let report = OutcomeReport {
            ticket: id.sequence,
            tenant: Text::new(request.tenant.as_str()),
            key: Text::new(key.as_str()),
            request_router: id.router,
            request_sequence: id.sequence,
            execution,
            answer: Blob::new(answer.unwrap_or_default()),
        };
        let resend_at = self.now.plus(RESEND_AFTER);
        let outcome = PendingOutcome {
            report: report.clone(),
            resend_at,
        };
        self.outcomes.insert(id.sequence, outcome);
        self.send(Message::Outcome(report));
    }

    pub(super) fn on_outcome_stored(&mut self, ticket: u64) {
        self.outcomes.remove(&ticket);
    }

    pub(super) fn resend_outcomes(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for outcome in self.outcomes.values_mut() {
            if outcome.resend_at <= now {
                outcome.resend_at = now.plus(RESEND_AFTER);
                due.push(outcome.report.clone());
            }
        }
        for report in due {
            self.send(Message::Outcome(report));
        }
    }

    /// Resends all unconfirmed outcomes over a new link.
    pub(super) fn send_outcomes(&mut self) {
        for outcome in self.outcomes.values_mut() {
            outcome.resend_at = self.now;
        }
        self.resend_outcomes();
    }

    fn send_claim(&mut self, id: RequestId) {
        let Some(request) = self.active.get(&id) else {
            return;
        };
        let Some(key) = &request.admit_request.idempotency_key else {
            return;
        };
        let claim = ClaimRequest {
            ticket: id.sequence,
            tenant: Text::new(request.tenant.as_str()),
            key: Text::new(key.as_str()),
            fingerprint: request.admit_request.fingerprint,
            request_router: id.router,
            request_sequence: id.sequence,
        };
        self.send(Message::Claim(claim));
    }

    fn answer_from_ledger(&mut self, id: RequestId, answer: &Blob) {
        self.forget_claim(id);
        let outcome = match serde_json::from_slice(&answer.bytes) {
            Ok(answer) => AdmitOutcome::Recorded(answer),
            Err(error) => {
                let message = format!("the recorded answer is unreadable: {error}");
                AdmitOutcome::Refused(RequestError::ran(ErrorCode::Internal, message))
            }
        };
        self.answer(id, outcome);
    }

    /// Refuses a request whose key is claimed by another one, so it has no outcome to report.
    fn refuse_claimed_elsewhere(&mut self, id: RequestId, error: RequestError) {
        self.forget_claim(id);
        self.refuse_active(id, error);
    }

    fn forget_claim(&mut self, id: RequestId) {
        if let Some(request) = self.active.get_mut(&id) {
            request.admit_request.idempotency_key = None;
            request.phase = Phase::Queued;
        }
    }

    /// Refuses a request whose claim was not answered. The claim may still be granted later, so it
    /// is released: the refusal leads to a "not run" outcome, which is sent until it is stored.
    fn release_claim(&mut self, id: RequestId) {
        if let Some(request) = self.active.get_mut(&id) {
            request.phase = Phase::Queued;
        }
        self.refuse_active(id, ledger_unavailable());
    }
}

fn ledger_unavailable() -> RequestError {
    let message = "no quorum of control machines answered; nothing was started";
    RequestError::not_run(ErrorCode::LedgerUnavailable, message)
        .retry_after(std::time::Duration::from_secs(1))
}
