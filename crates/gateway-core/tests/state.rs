//! The replicated state and the documents in it.

use std::time::Duration;

use drumshore_gateway_core::{
    Command, Document, FingerprintInput, FingerprintKey, InvalidDocument, Lifecycle, LoadPhase,
    LoadedModel, Pool, PoolName, Proposal, ProposalId, ReplicatedState, RequestKind, Route, Share,
    Tenant, TenantName,
};
use drumshore_wire::{Blob, List, Text};
use rstest::rstest;

fn register(name: &str) -> Command {
    Command::Register {
        instance: Text::new(name),
        pool: "pool".into(),
        address: "10.0.0.1:80".into(),
        zone: "zone".into(),
        slots: 4,
        draining: 0,
        models: List::new(vec![LoadedModel {
            model: "model".into(),
            version: 1,
            loading: 0,
        }]),
    }
}

fn load(version: u64, phase: LoadPhase) -> Command {
    Command::Load {
        instance: "a".into(),
        model: "model".into(),
        version,
        phase,
    }
}

fn populated_state() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let commands = [
        Command::Configure {
            version: 3,
            body: Blob::new(b"three".to_vec()),
        },
        register("a"),
        register("b"),
        Command::SetTargetWeights {
            model: "model".into(),
            version: 2,
        },
        Command::SetTargetWeights {
            model: "model".into(),
            version: 3,
        },
        Command::Deregister {
            instance: "b".into(),
        },
        load(3, LoadPhase::Started),
    ];
    for (index, command) in commands.iter().enumerate() {
        assert!(state.apply(index as u64 + 1, command), "{command:?}");
    }
    state
}

#[test]
fn a_snapshot_restores_the_same_state() {
    let state = populated_state();
    let copy = ReplicatedState::decode(&state.encode()).unwrap();
    assert_eq!(copy.revision(), state.revision());
    assert_eq!(copy.changes_since(0, |_| 0), state.changes_since(0, |_| 0));
    assert!(copy.is_removed("b"));
}

#[test]
fn the_same_command_twice_changes_nothing() {
    let mut state = populated_state();
    let before = state.revision();
    let again = [
        Command::Configure {
            version: 3,
            body: Blob::new(b"other".to_vec()),
        },
        register("a"),
        register("b"),
        Command::SetTargetWeights {
            model: "model".into(),
            version: 2,
        },
        Command::Deregister {
            instance: "b".into(),
        },
        load(3, LoadPhase::Started),
    ];
    for command in &again {
        assert!(!state.apply(100, command), "{command:?}");
    }
    assert_eq!(state.revision(), before);
    assert_eq!(state.configuration(), Some(&b"three"[..]));
}

#[test]
fn changes_since_a_revision_hold_only_later_changes() {
    let state = populated_state();
    let changes = state.changes_since(4, |_| 0);
    assert!(changes.configuration.items.is_empty());
    assert_eq!(changes.weights.items.len(), 1);
    assert_eq!(changes.instances.items.len(), 1);
    assert_eq!(changes.removed.items, [Text::new("b")]);
    assert_eq!(changes.revision, 7);
}

#[test]
fn a_receiver_with_an_unknown_revision_gets_the_whole_state() {
    let changes = populated_state().changes_since(1_000, |_| 0);
    assert_eq!(changes.since, 0);
    assert_eq!(changes.configuration.items.len(), 1);
}

#[test]
fn the_weights_version_of_a_back_end_never_decreases() {
    let mut state = populated_state();
    state.apply(8, &load(3, LoadPhase::Finished));
    state.apply(9, &load(2, LoadPhase::Finished));
    let record = state.instance("a").unwrap();
    assert_eq!(record.model("model").unwrap().version, 3);
    assert!(!record.is_loading());
}

#[test]
fn proposals_are_decoded_as_they_were_encoded() {
    let proposal = Proposal {
        id: ProposalId {
            origin: 7,
            sequence: 9,
        },
        command: register("a"),
    };
    assert_eq!(Proposal::decode(&proposal.encode()), Some(proposal));
    assert_eq!(Proposal::decode(b"no proposal"), None);
}

fn route(prefix: &str) -> Route {
    Route {
        name: format!("route {prefix}"),
        host: "host".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Once,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        gap_target: None,
        priority: 0,
        max_attempts: 1,
        public: false,
        shares: vec![Share {
            pool: PoolName::new("pool"),
            weight: 1,
        }],
    }
}

fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: vec![key.to_owned()],
        priority: None,
        isolated: false,
        limit: None,
    }
}

fn valid_document() -> Document {
    Document {
        version: 1,
        routes: vec![route("/a/"), route("/b/")],
        pools: vec![Pool {
            name: PoolName::new("pool"),
            max_connections: 10,
            models: None,
            store: None,
        }],
        tenants: vec![tenant("one", "key 1"), tenant("two", "key 2")],
        ..Document::default()
    }
}

#[test]
fn a_correct_document_is_valid() {
    assert_eq!(valid_document().validate(), Ok(()));
}

#[rstest]
#[case::unknown_pool(|document: &mut Document| {
    document.routes[0].shares[0].pool = PoolName::new("other");
})]
#[case::duplicate_route(|document: &mut Document| {
    document.routes[1].path_prefix = "/a/".to_owned();
})]
#[case::no_weight(|document: &mut Document| document.routes[0].shares[0].weight = 0)]
#[case::no_share(|document: &mut Document| document.routes[0].shares.clear())]
#[case::no_timeout(|document: &mut Document| document.routes[0].timeout = Duration::ZERO)]
#[case::shared_key(|document: &mut Document| {
    document.tenants[1].keys.push("key 1".to_owned());
})]
fn an_invalid_document_is_rejected(#[case] invalidate: fn(&mut Document)) {
    let mut document = valid_document();
    invalidate(&mut document);
    let error: InvalidDocument = document.validate().unwrap_err();
    assert!(!error.to_string().is_empty());
}

/// A fingerprint that was computed with one key does not match one computed with another, so the key must not change.
#[test]
fn the_first_fingerprint_key_is_kept_and_restored_from_a_snapshot() {
    let mut state = populated_state();
    let (first, second) = (FingerprintKey::generate(1), FingerprintKey::generate(2));
    let before = state.revision();
    assert!(state.apply(
        before + 1,
        &Command::SetFingerprintKey { key: first.clone() }
    ));
    assert!(!state.apply(before + 2, &Command::SetFingerprintKey { key: second }));
    let restored = ReplicatedState::decode(&state.encode()).unwrap();
    assert_eq!(restored.fingerprint_key(), Some(&first));
    let sent_keys = restored.changes_since(before, |_| 0).fingerprint_key.items;
    assert_eq!(sent_keys, std::slice::from_ref(&first));
    assert!(restored
        .changes_since(before + 1, |_| 0)
        .fingerprint_key
        .items
        .is_empty());
}

/// Guards against reading other log entries, such as membership changes, as commands: their first bytes may decode as a
/// shorter command.
#[test]
fn a_command_with_trailing_bytes_is_rejected() {
    let fingerprint = FingerprintKey::generate(1).identify(&FingerprintInput::default());
    let proposal = Proposal {
        id: ProposalId::default(),
        command: Command::Quarantine { fingerprint },
    };
    let mut bytes = proposal.encode();
    assert_eq!(Proposal::decode(&bytes), Some(proposal));
    bytes.push(0);
    assert_eq!(Proposal::decode(&bytes), None);
}

#[rstest]
#[case::announces_draining(1, Lifecycle::Draining)]
#[case::does_not_announce_draining(0, Lifecycle::Ready)]
fn a_repeated_registration_changes_the_state_only_when_it_announces_draining(
    #[case] draining: u8,
    #[case] expected: Lifecycle,
) {
    let mut state = ReplicatedState::default();
    state.apply(1, &register("a"));
    let mut second = register("a");
    if let Command::Register { draining: flag, .. } = &mut second {
        *flag = draining;
    }
    state.apply(2, &second);
    assert_eq!(state.instance("a").unwrap().lifecycle, expected);
}
