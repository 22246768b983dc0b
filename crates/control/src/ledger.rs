//! The execution ledger: work that may not be repeated runs at most once.
//!
//! A router dispatches such work only under a claim that a quorum holds. A claim is granted once
//! for a tenant's key; whoever sends the key again, through whichever router, gets the recorded
//! answer, "still running", or "may have run", and nothing runs a second time. A claim is given
//! back only by its holder's word that the work did not run. A holder that falls silent loses the
//! claim to "may have run" after [`CLAIM_TIMEOUT_MS`], never to another execution. Keys are
//! forgotten after [`KEY_RETENTION_MS`]; a resend later than that runs again, and the operators' page says
//! so.

use std::collections::BTreeMap;

use drumshore_core::{IdempotencyKey, RequestId, TenantName};
use serde::{Deserialize, Serialize};

/// How long a claim may run before its holder counts as lost, in milliseconds.
pub const CLAIM_TIMEOUT_MS: u64 = 10 * 60 * 1_000;

/// How long a key is remembered after its claim, in milliseconds.
pub const KEY_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Names a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant.
    pub tenant: TenantName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request holds the claim and may run.
    Granted,
    /// Another request holds it.
    StillRunning,
    /// The work ended with this answer.
    Completed(Vec<u8>),
    /// The work may have run and is not repeated.
    MayHaveRun,
    /// The key stands for another request.
    KeyReused,
}

/// How claimed work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It did not run; the claim is given back.
    NotRun,
    /// Nobody can say.
    MayHaveRun,
    /// It ran, with this answer.
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

/// All claims.
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
    /// Claims the right to run. A holder that asks again is granted again: it asks because the
    /// answer was lost, and dispatches once.
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

    /// Records how the holder's work ended. Nothing that others say counts.
    pub fn record(&mut self, key: &ClaimKey, request: RequestId, outcome: ExecutionOutcome) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let settled = matches!(claim.state, ClaimState::Completed(_));
        if claim.holder != request || settled {
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

    /// Ends claims whose holders fell silent and forgets old keys.
    pub fn expire(&mut self, now_ms: u64) {
        self.claims
            .retain(|_, claim| now_ms.saturating_sub(claim.claimed_at_ms) < KEY_RETENTION_MS);
        for claim in self.claims.values_mut() {
            let silent = now_ms.saturating_sub(claim.claimed_at_ms) >= CLAIM_TIMEOUT_MS;
            if silent && claim.state == ClaimState::Running {
                claim.state = ClaimState::MayHaveRun;
            }
        }
    }

    /// Claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True when none is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
