use drumshore_core::{IdempotencyKey, RequestId, TenantName};
use proptest::prelude::*;
use rstest::rstest;

use crate::ledger::{
    ClaimKey, ClaimResult, ExecutionOutcome, Ledger, CLAIM_TIMEOUT_MS, KEY_RETENTION_MS,
};

pub(super) fn claim_key(tenant: &str, key: &str) -> ClaimKey {
    ClaimKey {
        tenant: TenantName::new(tenant),
        key: IdempotencyKey::new(key),
    }
}

pub(super) fn request(sequence: u64) -> RequestId {
    RequestId {
        router: 1,
        sequence,
    }
}

#[rstest]
#[case(ExecutionOutcome::NotRun, ClaimResult::Granted)]
#[case(ExecutionOutcome::MayHaveRun, ClaimResult::MayHaveRun)]
#[case(ExecutionOutcome::Ran(b"booked".to_vec()), ClaimResult::Completed(b"booked".to_vec()))]
fn a_resent_key_gets_the_recorded_outcome(
    #[case] outcome: ExecutionOutcome,
    #[case] expected: ClaimResult,
) {
    let mut ledger = Ledger::default();
    let key = claim_key("t", "k");
    let granted = ledger.claim(key.clone(), 1, request(1), 0);
    assert_eq!(granted, ClaimResult::Granted);
    ledger.record(&key, request(1), outcome);
    assert_eq!(ledger.claim(key, 1, request(2), 1), expected);
}

#[test]
fn only_the_holder_releases_a_claim() {
    let mut ledger = Ledger::default();
    let key = claim_key("t", "k");
    ledger.claim(key.clone(), 1, request(1), 0);
    ledger.record(&key, request(2), ExecutionOutcome::NotRun);
    let resent = ledger.claim(key, 1, request(3), 0);
    assert_eq!(resent, ClaimResult::StillRunning);
}

#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut ledger = Ledger::default();
    ledger.claim(claim_key("t", "k"), 1, request(1), 0);
    let other = ledger.claim(claim_key("t", "k"), 2, request(2), 0);
    assert_eq!(other, ClaimResult::KeyReused);
}

#[test]
fn an_expired_claim_is_not_granted_to_another_request() {
    let mut ledger = Ledger::default();
    let key = claim_key("t", "k");
    ledger.claim(key.clone(), 1, request(1), 0);
    ledger.expire(CLAIM_TIMEOUT_MS);
    let resent = ledger.claim(key.clone(), 1, request(2), CLAIM_TIMEOUT_MS);
    assert_eq!(resent, ClaimResult::MayHaveRun);
    ledger.expire(KEY_RETENTION_MS);
    assert!(ledger.is_empty());
}

#[derive(Clone, Debug)]
enum LedgerStep {
    Claim(u64),
    NotRun(u64),
    MayHaveRun(u64),
    Ran(u64),
    Expire(u64),
}

fn ledger_step() -> impl Strategy<Value = LedgerStep> {
    prop_oneof![
        (1..5_u64).prop_map(LedgerStep::Claim),
        (1..5_u64).prop_map(LedgerStep::NotRun),
        (1..5_u64).prop_map(LedgerStep::MayHaveRun),
        (1..5_u64).prop_map(LedgerStep::Ran),
        (0..KEY_RETENTION_MS).prop_map(LedgerStep::Expire),
    ]
}

proptest! {
    /// In any order of claims, outcomes and expiries, a claim is granted to another request only
    /// after its holder has reported that it was not executed.
    #[test]
    fn a_claim_is_granted_to_one_request_at_a_time(
        steps in proptest::collection::vec(ledger_step(), 0..40)
    ) {
        let mut ledger = Ledger::default();
        let key = claim_key("t", "k");
        let mut holder: Option<u64> = None;
        for step in steps {
            match step {
                LedgerStep::Claim(id) => {
                    if ledger.claim(key.clone(), 1, request(id), 0) == ClaimResult::Granted {
                        prop_assert!(holder.is_none_or(|holder| holder == id));
                        holder = Some(id);
                    }
                }
                LedgerStep::NotRun(id) => {
                    ledger.record(&key, request(id), ExecutionOutcome::NotRun);
                    if holder == Some(id) && ledger.is_empty() {
                        holder = None;
                    }
                }
                LedgerStep::MayHaveRun(id) => {
                    ledger.record(&key, request(id), ExecutionOutcome::MayHaveRun);
                }
                LedgerStep::Ran(id) => {
                    ledger.record(&key, request(id), ExecutionOutcome::Ran(Vec::new()));
                }
                LedgerStep::Expire(at) => ledger.expire(at),
            }
        }
    }
}
