//! The execution ledger: a request that must not be repeated is executed at most once.
//!
//! A router dispatches such a request only after a quorum has committed a claim for it. A claim is
//! granted once per tenant and idempotency key. A request that repeats the key, through any router,
//! gets the recorded answer, "still running" or "may have run", and is not executed again. A claim
//! is released only when its holder reports that the request was not executed. If the holder does
//! not report an outcome within [`CLAIM_TIMEOUT_MS`], the claim becomes "may have run" and is not
//! granted to another request. Keys are removed after [`KEY_RETENTION_MS`]; a request that repeats
//! the key later than that is executed again, as the documentation for operators states.

use std::collections::BTreeMap;

use drumshore_core::{IdempotencyKey, RequestId, TenantName};
use serde::{Deserialize, Serialize};

/// Time after which a claim without an outcome becomes "may have run", in milliseconds: its holder
/// is considered lost.
pub const CLAIM_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// How long a key is kept after it was claimed, in milliseconds.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Identifies a claim. Tenants choose their keys independently of one another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant that sent the request.
    pub tenant: TenantName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
}

/// The result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request holds the claim and may be executed.
    Granted,
    /// Another request holds the claim and has no outcome yet.
    StillRunning,
    /// The request was executed and returned this answer.
    Completed(Vec<u8>),
    /// The request may have been executed, so it must not be repeated.
    MayHaveRun,
    /// The key was claimed for a request with a different fingerprint.
    KeyReused,
}

/// The outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The request was not executed; the claim is released.
    NotRun,
    /// It is unknown whether the request was executed.
    MayHaveRun,
    /// The request was executed and returned this answer.
    Ran(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Running,
    Completed(Vec<u8>),
    MayHaveRun,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    key: ClaimKey,
    fingerprint: u64,
    holder: RequestId,
    claimed_at_ms: u64,
    state: ClaimState,
}

/// All claims that are kept.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Claim>", into = "Vec<Claim>")]
pub struct Ledger {
    claims: BTreeMap<ClaimKey, Claim>,
}

impl From<Vec<Claim>> for Ledger {
    fn from(claims: Vec<Claim>) -> Self {
        Self {
            claims: claims
                .into_iter()
                .map(|claim| (claim.key.clone(), claim))
                .collect(),
        }
    }
}

impl From<Ledger> for Vec<Claim> {
    fn from(ledger: Ledger) -> Self {
        ledger.claims.into_values().collect()
    }
}

impl Ledger {
    /// Claims the right to execute a request. A repeated claim by the holder is granted again: it
    /// means that the first response was lost, and the holder dispatches the request only once.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        fingerprint: u64,
        request: RequestId,
        now_ms: u64,
    ) -> ClaimResult {
        let Some(claim) = self.claims.get(&key) else {
            let state = ClaimState::Running;
            let claim = Claim {
                key: key.clone(),
                fingerprint,
                holder: request,
                claimed_at_ms: now_ms,
                state,
            };
            self.claims.insert(key, claim);
            return ClaimResult::Granted;
        };
        if claim.fingerprint != fingerprint {
            return ClaimResult::KeyReused;
        }
        match &claim.state {
            ClaimState::Running if claim.holder == request => ClaimResult::Granted,
            ClaimState::Running => ClaimResult::StillRunning,
            ClaimState::Completed(answer) => ClaimResult::Completed(answer.clone()),
            ClaimState::MayHaveRun => ClaimResult::MayHaveRun,
        }
    }

    /// Records the outcome of a claimed request. Reports by requests other than the holder are
    /// ignored, and so are reports after an answer is recorded.
    pub fn record(&mut self, key: &ClaimKey, request: RequestId, outcome: ExecutionOutcome) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let completed = matches!(claim.state, ClaimState::Completed(_));
        if claim.holder != request || completed {
            return;
        }
        match outcome {
            ExecutionOutcome::NotRun => {
                self.claims.remove(key);
            }
            ExecutionOutcome::MayHaveRun => claim.state = ClaimState::MayHaveRun,
            ExecutionOutcome::Ran(answer) => claim.state = ClaimState::Completed(answer),
        }
    }

    /// Marks claims without an outcome as "may have run" after [`CLAIM_TIMEOUT_MS`], and removes
    /// keys after [`KEY_RETENTION_MS`].
    pub fn expire(&mut self, now_ms: u64) {
        self.claims
            .retain(|_, claim| now_ms.saturating_sub(claim.claimed_at_ms) < KEY_RETENTION_MS);
        for claim in self.claims.values_mut() {
            let timed_out = now_ms.saturating_sub(claim.claimed_at_ms) >= CLAIM_TIMEOUT_MS;
            if timed_out && claim.state == ClaimState::Running {
                claim.state = ClaimState::MayHaveRun;
            }
        }
    }

    /// Number of claims kept, whatever their state.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True if no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
