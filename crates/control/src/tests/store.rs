use drumshore_core::{ResourceKind, Revision, SecretKey};

use super::ledger::{claim_key, request};
use super::{author, key, model, tenant};
use crate::store::{ChangeOutcome, ResourceStore};
use crate::{ClaimResult, StateMachine};

#[test]
fn of_two_writes_based_on_one_version_the_second_conflicts() {
    let mut store = ResourceStore::default();
    store.put(author("a"), Revision(0), "m", model(1));
    let first = store.put(author("b"), Revision(1), "m", model(2));
    let second = store.put(author("c"), Revision(1), "m", model(3));
    let accepted = ChangeOutcome::Accepted {
        revision: Revision(2),
    };
    assert_eq!(first, accepted);
    let ChangeOutcome::Conflict { current, .. } = second else {
        panic!("{second:?}");
    };
    assert_eq!(current.expect("it exists").spec, model(2));
}

#[test]
fn a_resent_change_returns_its_first_outcome() {
    let mut store = ResourceStore::default();
    let first = store.put(author("a"), Revision(0), "m", model(1));
    store.put(author("b"), Revision(1), "m", model(2));
    assert_eq!(
        store.put(author("a"), Revision(0), "m", model(1)),
        first,
        "a resend after others changed the resource"
    );
    assert_eq!(store.revision(), Revision(2));
}

#[test]
fn an_api_key_of_another_tenant_is_rejected() {
    let mut store = ResourceStore::default();
    store.put(author("a"), Revision(0), "x", tenant("k"));
    let refused = store.put(author("b"), Revision(0), "y", tenant("k"));
    assert!(matches!(refused, ChangeOutcome::Invalid { .. }));
}

#[test]
fn the_key_of_a_deleted_tenant_is_unknown() {
    let mut store = ResourceStore::default();
    store.put(author("a"), Revision(0), "x", tenant("k"));
    let hash = SecretKey::new("k").hash();
    assert!(store.tenant_of_key(&hash).is_some());
    store.delete(author("b"), Revision(1), key(ResourceKind::Tenant, "x"));
    assert!(store.tenant_of_key(&hash).is_none());
}

#[test]
fn changes_after_a_compacted_revision_are_unavailable() {
    let mut store = ResourceStore::default();
    for change in 0..10_050_u64 {
        store.put(
            author(&change.to_string()),
            Revision(change),
            "m",
            model(change),
        );
    }
    assert!(store.changes_after(Revision(10)).is_none());
    let recent = store.changes_after(Revision(10_048)).map(Iterator::count);
    assert_eq!(recent, Some(2));
}

#[test]
fn a_decoded_snapshot_equals_the_encoded_state() {
    let mut state = StateMachine::default();
    state.store.put(author("a"), Revision(0), "x", tenant("k"));
    state
        .ledger
        .claim(claim_key("x", "booking"), 7, request(1), 0);
    let bytes = state.encode();
    let mut decoded = StateMachine::decode(&bytes).expect("it was just encoded");
    assert_eq!(decoded.encode(), bytes);
    let hash = SecretKey::new("k").hash();
    assert!(decoded.store.tenant_of_key(&hash).is_some());
    let again = decoded
        .ledger
        .claim(claim_key("x", "booking"), 7, request(2), 0);
    assert_eq!(again, ClaimResult::StillRunning);
}
