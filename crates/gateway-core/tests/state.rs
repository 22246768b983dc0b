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

fn filled() -> ReplicatedState {
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
fn a_snapshot_gives_the_same_state_back() {
    let state = filled();
    let copy = ReplicatedState::decode(&state.encode()).unwrap();
    assert_eq!(copy.revision(), state.revision());
    assert_eq!(copy.changes_since(0, |_| 0), state.changes_since(0, |_| 0));
    assert!(copy.is_removed("b"));
}

#[test]
fn the_same_command_twice_changes_nothing() {
    let mut state = filled();
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
fn changes_hold_just_what_came_after() {
    let state = filled();
    let changes = state.changes_since(4, |_| 0);
    assert!(changes.configuration.items.is_empty());
    assert_eq!(changes.weights.items.len(), 1);
    assert_eq!(changes.instances.items.len(), 1);
    assert_eq!(changes.removed.items, [Text::new("b")]);
    assert_eq!(changes.revision, 7);
}

#[test]
fn a_receiver_from_another_history_gets_everything() {
    let changes = filled().changes_since(1_000, |_| 0);
    assert_eq!(changes.since, 0);
    assert_eq!(changes.configuration.items.len(), 1);
}

#[test]
fn weights_only_rise() {
    let mut state = filled();
    state.apply(8, &load(3, LoadPhase::Finished));
    state.apply(9, &load(2, LoadPhase::Finished));
    let record = state.instance("a").unwrap();
    assert_eq!(record.model("model").unwrap().version, 3);
    assert!(!record.is_loading());
}

#[test]
fn proposals_survive_encoding() {
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

fn valid() -> Document {
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
fn a_sound_document_is_valid() {
    assert_eq!(valid().validate(), Ok(()));
}

#[rstest]
#[case::unknown_pool(|document: &mut Document| {
    document.routes[0].shares[0].pool = PoolName::new("other");
})]
#[case::two_routes_at_one_place(|document: &mut Document| {
    document.routes[1].path_prefix = "/a/".to_owned();
})]
#[case::no_weight(|document: &mut Document| document.routes[0].shares[0].weight = 0)]
#[case::no_share(|document: &mut Document| document.routes[0].shares.clear())]
#[case::no_timeout(|document: &mut Document| document.routes[0].timeout = Duration::ZERO)]
#[case::shared_key(|document: &mut Document| {
    document.tenants[1].keys.push("key 1".to_owned());
})]
fn a_faulty_document_is_refused(#[case] break_it: fn(&mut Document)) {
    let mut document = valid();
    break_it(&mut document);
    let error: InvalidDocument = document.validate().unwrap_err();
    assert!(!error.to_string().is_empty());
}

/// Work that was identified under one key is not found under another.
#[test]
fn the_first_key_for_work_stays_and_survives_a_snapshot() {
    let mut state = filled();
    let (first, second) = (FingerprintKey::generate(1), FingerprintKey::generate(2));
    let before = state.revision();
    assert!(state.apply(
        before + 1,
        &Command::SetFingerprintKey { key: first.clone() }
    ));
    assert!(!state.apply(before + 2, &Command::SetFingerprintKey { key: second }));
    let restored = ReplicatedState::decode(&state.encode()).unwrap();
    assert_eq!(restored.fingerprint_key(), Some(&first));
    let told = restored.changes_since(before, |_| 0).fingerprint_key.items;
    assert_eq!(told, std::slice::from_ref(&first));
    assert!(restored
        .changes_since(before + 1, |_| 0)
        .fingerprint_key
        .items
        .is_empty());
}

/// Entries of the log that are something else, such as a change of members, are longer than the command that
/// their bytes may read as.
#[test]
fn bytes_that_go_on_behind_a_command_are_none() {
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
#[case::leaves(1, Lifecycle::Draining)]
#[case::does_not_leave(0, Lifecycle::Ready)]
fn a_second_registration_counts_only_when_it_says_that_the_back_end_leaves(
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
