use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{FolderIdentity, Membership, MemoryDirectory, ReplicaId, Role};
use drumshore_core::{
    ChangeId, EngineName, Epoch, IdempotencyKey, Incarnation, ModelName, ModelSpec, OperatorName,
    PoolName, RequestId, ResourceKey, ResourceKind, ResourceSpec, Revision, RolloutSpec,
    RolloutState, SecretKey, TenantLimits, TenantName, TenantSpec, Timestamp, WeightsVersion,
    ZoneName,
};
use drumshore_wire::{
    ClaimGrant, ClaimRequest, EngineStateCode, List, Message, Subscribe, TenantQuery, Text,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::allotment::divide;
use crate::core::Clock;
use crate::fleet::{EngineProbe, Fleet, MachineRecord, MachineState, ProbeFailed};
use crate::ledger::{ClaimKey, ClaimResult, Ledger, WorkOutcome, KEPT_MS, RUNNING_LIMIT_MS};
use crate::rollout::{RolloutDriver, RolloutView};
use crate::store::{Author, ChangeOutcome, ResourceStore};
use crate::{
    ConnectionId, ControlCore, ControlParams, Effect, OperatorReply, OperatorRequest,
    OperatorTicket, StateMachine,
};

const TICK: Duration = Duration::from_millis(50);

fn model(version: u64) -> ResourceSpec {
    ResourceSpec::Model(ModelSpec {
        weights_version: WeightsVersion(version),
        block_tokens: 2_048,
        goal: Default::default(),
    })
}

fn tenant(key: &str) -> ResourceSpec {
    ResourceSpec::Tenant(TenantSpec {
        key_hashes: [SecretKey::new(key).hash()].into(),
        models: Default::default(),
        limits: TenantLimits::default(),
        default_priority: Default::default(),
    })
}

fn author(change: &str) -> Author {
    Author {
        change_id: ChangeId::new(change),
        operator: OperatorName::new("ana"),
        at_ms: 1,
    }
}

fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    ResourceKey {
        kind,
        name: name.to_owned(),
    }
}

// --- store ---

#[test]
fn of_two_writers_of_one_version_one_succeeds_and_one_sees_the_difference() {
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
fn a_resent_change_gives_its_first_outcome() {
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
fn two_tenants_cannot_hold_one_key() {
    let mut store = ResourceStore::default();
    store.put(author("a"), Revision(0), "x", tenant("k"));
    let refused = store.put(author("b"), Revision(0), "y", tenant("k"));
    assert!(matches!(refused, ChangeOutcome::Invalid { .. }));
}

#[test]
fn a_deleted_tenants_key_opens_nothing() {
    let mut store = ResourceStore::default();
    store.put(author("a"), Revision(0), "x", tenant("k"));
    let hash = SecretKey::new("k").hash();
    assert!(store.tenant_of_key(&hash).is_some());
    store.delete(author("b"), Revision(1), key(ResourceKind::Tenant, "x"));
    assert!(store.tenant_of_key(&hash).is_none());
}

#[test]
fn a_watcher_of_a_compacted_revision_is_told_so() {
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
fn a_snapshot_gives_the_state_back_whole() {
    let mut state = StateMachine::default();
    state.store.put(author("a"), Revision(0), "x", tenant("k"));
    state
        .ledger
        .claim(claim_key("x", "booking"), 7, request(1), 0);
    let bytes = state.encode();
    let mut read = StateMachine::decode(&bytes).expect("it was just encoded");
    assert_eq!(read.encode(), bytes);
    let hash = SecretKey::new("k").hash();
    assert!(read.store.tenant_of_key(&hash).is_some());
    let again = read
        .ledger
        .claim(claim_key("x", "booking"), 7, request(2), 0);
    assert_eq!(again, ClaimResult::StillRunning);
}

// --- ledger ---

fn claim_key(tenant: &str, key: &str) -> ClaimKey {
    ClaimKey {
        tenant: TenantName::new(tenant),
        key: IdempotencyKey::new(key),
    }
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        router: 1,
        sequence,
    }
}

#[rstest]
#[case(WorkOutcome::NotRun, ClaimResult::Granted)]
#[case(WorkOutcome::MayHaveRun, ClaimResult::MayHaveRun)]
#[case(WorkOutcome::Ran(b"booked".to_vec()), ClaimResult::Completed(b"booked".to_vec()))]
fn what_a_resend_gets(#[case] outcome: WorkOutcome, #[case] expected: ClaimResult) {
    let mut ledger = Ledger::default();
    let key = claim_key("t", "k");
    let granted = ledger.claim(key.clone(), 1, request(1), 0);
    assert_eq!(granted, ClaimResult::Granted);
    ledger.record(&key, request(1), outcome);
    assert_eq!(ledger.claim(key, 1, request(2), 1), expected);
}

#[test]
fn only_the_holder_gives_a_claim_back() {
    let mut ledger = Ledger::default();
    let key = claim_key("t", "k");
    ledger.claim(key.clone(), 1, request(1), 0);
    ledger.record(&key, request(2), WorkOutcome::NotRun);
    let resent = ledger.claim(key, 1, request(3), 0);
    assert_eq!(resent, ClaimResult::StillRunning);
}

#[test]
fn a_key_for_another_request_is_refused() {
    let mut ledger = Ledger::default();
    ledger.claim(claim_key("t", "k"), 1, request(1), 0);
    let other = ledger.claim(claim_key("t", "k"), 2, request(2), 0);
    assert_eq!(other, ClaimResult::KeyReused);
}

#[test]
fn a_silent_holder_loses_the_claim_to_nobody() {
    let mut ledger = Ledger::default();
    let key = claim_key("t", "k");
    ledger.claim(key.clone(), 1, request(1), 0);
    ledger.expire(RUNNING_LIMIT_MS);
    let resent = ledger.claim(key.clone(), 1, request(2), RUNNING_LIMIT_MS);
    assert_eq!(resent, ClaimResult::MayHaveRun);
    ledger.expire(KEPT_MS);
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
        (0..KEPT_MS).prop_map(LedgerStep::Expire),
    ]
}

proptest! {
    /// Whatever happens in whatever order, a second request is granted only after the first
    /// holder has said that it did not run.
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
                    ledger.record(&key, request(id), WorkOutcome::NotRun);
                    if holder == Some(id) && ledger.is_empty() {
                        holder = None;
                    }
                }
                LedgerStep::MayHaveRun(id) => {
                    ledger.record(&key, request(id), WorkOutcome::MayHaveRun);
                }
                LedgerStep::Ran(id) => {
                    ledger.record(&key, request(id), WorkOutcome::Ran(Vec::new()));
                }
                LedgerStep::Expire(at) => ledger.expire(at),
            }
        }
    }

    /// Shares add up to the limit, and nobody is short while another has more than it asked for.
    #[test]
    fn limits_are_divided_max_min_fairly(
        total in 1.0..1_000.0_f64,
        demands in proptest::collection::vec(0.0..500.0_f64, 1..20)
    ) {
        let shares = divide(total, &demands);
        let sum: f64 = shares.iter().sum();
        prop_assert!((sum - total).abs() < 1e-6);
        let short = |(share, demand): (&f64, &f64)| *share + 1e-9 < *demand;
        let smallest_short = shares
            .iter()
            .zip(&demands)
            .filter(|pair| short((pair.0, pair.1)))
            .map(|(share, _)| *share)
            .fold(f64::INFINITY, f64::min);
        for share in &shares {
            prop_assert!(*share <= smallest_short + 1e-6 || smallest_short.is_infinite());
        }
    }
}

// --- fleet ---

fn machine(name: &str, state: MachineState) -> MachineRecord {
    MachineRecord {
        name: EngineName::new(name),
        address: "127.0.0.1:1".to_owned(),
        zone: ZoneName::new("z"),
        pool: PoolName::new("p"),
        state,
    }
}

fn probe(incarnation: u64, version: u64) -> EngineProbe {
    EngineProbe {
        incarnation: Incarnation(incarnation),
        model: ModelName::new("m"),
        weights_version: WeightsVersion(version),
        leaving: false,
        waiting_tokens: 0,
        running: 0,
        lag_ms: 0,
    }
}

fn fleet_of(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    let machines: Vec<_> = names
        .iter()
        .map(|name| machine(name, MachineState::Live))
        .collect();
    fleet.on_machines(&machines, Timestamp(0));
    for name in names {
        fleet.on_probe(&EngineName::new(name), Ok(probe(1, 1)), Timestamp(0));
    }
    fleet
}

fn state_of(fleet: &Fleet, name: &str) -> Option<EngineStateCode> {
    fleet.get(&EngineName::new(name)).map(|view| view.state)
}

#[test]
fn the_first_sign_of_leaving_counts() {
    let mut by_platform = fleet_of(&["e"]);
    by_platform.on_machines(&[machine("e", MachineState::Leaving)], Timestamp(0));
    let mut by_engine = fleet_of(&["e"]);
    let leaving = EngineProbe {
        leaving: true,
        ..probe(1, 1)
    };
    by_engine.on_probe(&EngineName::new("e"), Ok(leaving), Timestamp(0));
    let mut by_operator = fleet_of(&["e"]);
    by_operator.set_draining([EngineName::new("e")].into());
    for fleet in [by_platform, by_engine, by_operator] {
        assert_eq!(state_of(&fleet, "e"), Some(EngineStateCode::Leaving));
    }
}

#[test]
fn an_engine_that_stops_answering_is_suspect_then_gone_when_unlisted() {
    let mut fleet = fleet_of(&["e"]);
    let name = EngineName::new("e");
    let change = fleet.change();
    fleet.on_probe(&name, Err(ProbeFailed), Timestamp(0));
    assert_eq!(state_of(&fleet, "e"), Some(EngineStateCode::Ready));
    fleet.on_probe(&name, Err(ProbeFailed), Timestamp(1));
    assert_eq!(state_of(&fleet, "e"), Some(EngineStateCode::Suspect));
    fleet.on_machines(&[], Timestamp(6_000_000));
    assert_eq!(state_of(&fleet, "e"), None);
    let told = fleet.entries_after(change);
    assert!(told
        .iter()
        .any(|entry| entry.state == EngineStateCode::Gone));
}

#[test]
fn a_restart_is_told_to_routers() {
    let mut fleet = fleet_of(&["e"]);
    let change = fleet.change();
    fleet.on_probe(&EngineName::new("e"), Ok(probe(2, 1)), Timestamp(0));
    let told = fleet.entries_after(change);
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].incarnation, 2);
}

// --- rollouts ---

fn rollout(state: RolloutState) -> RolloutSpec {
    RolloutSpec {
        model: ModelName::new("m"),
        from_version: WeightsVersion(1),
        to_version: WeightsVersion(2),
        max_loading: 1,
        state,
    }
}

#[test]
fn a_rollout_loads_as_many_at_once_as_allowed_and_switches_at_half() {
    let mut fleet = fleet_of(&["a", "b", "c", "d"]);
    let pools = [PoolName::new("p")];
    let spec = rollout(RolloutState::Running);
    let view = RolloutView {
        spec: &spec,
        in_force: WeightsVersion(1),
        pools: &pools,
        epoch: Epoch(3),
        revision: Revision(7),
    };
    let mut driver = RolloutDriver::default();
    let mut switched_after = None;
    for loaded in 0..4 {
        let step = driver.step(&view, &fleet, Timestamp(0));
        if step.put_in_force.is_some() && switched_after.is_none() {
            switched_after = Some(loaded);
        }
        assert_eq!(step.orders.len(), 1, "after {loaded} engines");
        assert_eq!(step.orders[0].1.epoch, Epoch(3));
        assert!(driver.step(&view, &fleet, Timestamp(0)).orders.is_empty());
        fleet.on_probe(&step.orders[0].0, Ok(probe(1, 2)), Timestamp(0));
    }
    assert_eq!(switched_after, Some(2));
}

#[test]
fn a_rollout_stops_when_a_loaded_engine_fails() {
    let mut fleet = fleet_of(&["a", "b"]);
    let pools = [PoolName::new("p")];
    let spec = rollout(RolloutState::Running);
    let view = RolloutView {
        spec: &spec,
        in_force: WeightsVersion(1),
        pools: &pools,
        epoch: Epoch(1),
        revision: Revision(7),
    };
    fleet.on_probe(&EngineName::new("a"), Ok(probe(1, 2)), Timestamp(0));
    for at in 0..2 {
        fleet.on_probe(&EngineName::new("a"), Err(ProbeFailed), Timestamp(at));
    }
    let step = RolloutDriver::default().step(&view, &fleet, Timestamp(9));
    assert!(step.orders.is_empty());
}

// --- the control machine ---

struct Cluster {
    cores: BTreeMap<ReplicaId, ControlCore<MemoryDirectory>>,
    cut: Vec<ReplicaId>,
    clock: Clock,
    to_routers: Vec<(ReplicaId, ConnectionId, Message)>,
    replies: Vec<(OperatorTicket, OperatorReply)>,
}

impl Cluster {
    fn new() -> Self {
        let ids = [1, 2, 3].map(ReplicaId);
        let cores = ids.map(|replica| {
            let identity = FolderIdentity {
                cluster: "test".to_owned(),
                replica,
            };
            let core = ControlCore::open(
                MemoryDirectory::new(),
                &identity,
                Membership::of_voters(ids),
                ControlParams::default(),
                100 + replica.0,
            );
            (replica, core.expect("memory does not fail"))
        });
        let mut cluster = Self {
            cores: cores.into_iter().collect(),
            cut: Vec::new(),
            clock: Clock::default(),
            to_routers: Vec::new(),
            replies: Vec::new(),
        };
        cluster.run(60);
        cluster
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.clock.now = self.clock.now.plus(TICK);
            self.clock.unix_ms += TICK.as_millis() as u64;
            for core in self.cores.values_mut() {
                core.on_tick(self.clock);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        loop {
            let mut moved = Vec::new();
            for (from, core) in &mut self.cores {
                core.flush(&mut |effect| match effect {
                    Effect::ToControl(to, message) => moved.push((*from, to, message)),
                    Effect::ToRouter(to, message) => self.to_routers.push((*from, to, message)),
                    Effect::Reply(ticket, reply) => self.replies.push((ticket, reply)),
                    Effect::Order { .. } => {}
                })
                .expect("memory does not fail");
            }
            if moved.is_empty() {
                return;
            }
            for (from, to, message) in moved {
                let cut = self.cut.contains(&from) || self.cut.contains(&to);
                if let Some(core) = self.cores.get_mut(&to).filter(|_| !cut) {
                    core.on_control_message(from, message);
                }
            }
        }
    }

    fn leader(&self) -> ReplicaId {
        let leads = |(id, core): (&ReplicaId, &ControlCore<_>)| {
            (core.role() == Role::Leader && !self.cut.contains(id)).then_some(*id)
        };
        self.cores.iter().find_map(leads).expect("a leader")
    }

    fn follower(&self) -> ReplicaId {
        let leader = self.leader();
        let mut ids = self.cores.keys().copied();
        ids.find(|id| *id != leader && !self.cut.contains(id))
            .expect("a follower")
    }

    fn put(&mut self, at: ReplicaId, ticket: u64, expected: u64, spec: ResourceSpec) {
        let request = OperatorRequest::Put {
            change_id: ChangeId::new(ticket.to_string()),
            operator: OperatorName::new("ana"),
            expected: Revision(expected),
            name: "x".to_owned(),
            spec,
        };
        self.ask(at, ticket, request);
    }

    fn ask(&mut self, at: ReplicaId, ticket: u64, request: OperatorRequest) {
        let core = self.cores.get_mut(&at).expect("it exists");
        core.on_operator(OperatorTicket(ticket), request);
        self.deliver();
    }

    fn connect(&mut self, at: ReplicaId, connection: u64, tenants: &[&str]) {
        let connection = ConnectionId(connection);
        let core = self.cores.get_mut(&at).expect("it exists");
        core.on_router_connected(connection, "r".to_owned());
        let subscribe = Message::Subscribe(Subscribe {
            floor: 0,
            tenants: List::new(tenants.iter().map(|name| Text::new(*name)).collect()),
            region: Text::default(),
        });
        core.on_router_message(connection, subscribe);
        self.deliver();
    }

    fn reply(&self, ticket: u64) -> Option<&OperatorReply> {
        let mut replies = self.replies.iter();
        replies
            .find(|(of, _)| *of == OperatorTicket(ticket))
            .map(|(_, reply)| reply)
    }

    fn told_tenant_versions(&self, connection: u64) -> Vec<u64> {
        let of_connection = self
            .to_routers
            .iter()
            .filter(|(_, to, _)| *to == ConnectionId(connection));
        of_connection
            .filter_map(|(_, _, message)| match message {
                Message::Config(update) => Some(update),
                _ => None,
            })
            .flat_map(|update| {
                serde_json::from_slice::<Vec<drumshore_core::Resource>>(&update.records.bytes)
                    .expect("a list of resources")
            })
            .filter(|resource| resource.as_tenant().is_some())
            .map(|resource| resource.version.0)
            .collect()
    }
}

#[test]
fn a_change_through_a_follower_reaches_routers_of_every_machine() {
    let mut cluster = Cluster::new();
    let (leader, follower) = (cluster.leader(), cluster.follower());
    cluster.connect(leader, 1, &["x"]);
    cluster.connect(follower, 2, &["x"]);
    cluster.run(5);
    cluster.put(follower, 9, 0, tenant("k"));
    cluster.run(5);
    let accepted = matches!(
        cluster.reply(9),
        Some(OperatorReply::Change(ChangeOutcome::Accepted { .. }))
    );
    assert!(accepted, "{:?}", cluster.reply(9));
    assert_eq!(cluster.told_tenant_versions(1), [1]);
    assert_eq!(cluster.told_tenant_versions(2), [1]);
}

#[test]
fn a_router_hears_only_of_tenants_it_uses() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    cluster.connect(leader, 1, &[]);
    cluster.put(leader, 9, 0, tenant("k"));
    cluster.run(5);
    assert!(cluster.told_tenant_versions(1).is_empty());
    let query = Message::TenantQuery(TenantQuery {
        ticket: 5,
        key_hash: Text::new(
            serde_json::to_value(SecretKey::new("k").hash())
                .expect("a string")
                .as_str()
                .expect("a string"),
        ),
    });
    let core = cluster.cores.get_mut(&leader).expect("it leads");
    core.on_router_message(ConnectionId(1), query);
    cluster.run(5);
    let answered = cluster.to_routers.iter().any(|(_, _, message)| {
        matches!(message, Message::TenantAnswer(answer)
            if answer.ticket == 5 && answer.resource.bytes.starts_with(b"{"))
    });
    assert!(answered);
    cluster.put(leader, 10, 1, tenant("k2"));
    cluster.run(5);
    assert_eq!(cluster.told_tenant_versions(1), [2], "it uses it now");
}

#[test]
fn a_leader_that_is_cut_off_confirms_nothing() {
    let mut cluster = Cluster::new();
    let old = cluster.leader();
    cluster.connect(old, 1, &["x"]);
    cluster.run(30);
    cluster.cut = vec![old];
    cluster.run(10);
    cluster.to_routers.clear();
    cluster.run(80);
    let new = cluster.leader();
    assert_ne!(new, old);
    cluster.put(new, 9, 0, tenant("k"));
    let get = OperatorRequest::Get(key(ResourceKind::Tenant, "x"));
    cluster.ask(old, 10, get);
    cluster.run(120);
    let fresh = cluster
        .to_routers
        .iter()
        .any(|(from, _, message)| *from == old && matches!(message, Message::Fresh(_)));
    assert!(!fresh, "routers of the cut-off machine must look elsewhere");
    assert!(matches!(
        cluster.reply(10),
        Some(OperatorReply::Unavailable)
    ));
    cluster.cut.clear();
    cluster.run(60);
    assert_eq!(cluster.told_tenant_versions(1), [1]);
}

#[test]
fn claims_through_two_machines_are_granted_once() {
    let mut cluster = Cluster::new();
    let (leader, follower) = (cluster.leader(), cluster.follower());
    for (at, connection) in [(leader, 1), (follower, 2)] {
        cluster.connect(at, connection, &[]);
        let claim = Message::Claim(ClaimRequest {
            ticket: connection,
            tenant: Text::new("t"),
            key: Text::new("booking"),
            fingerprint: 1,
            request_router: connection,
            request_sequence: 1,
        });
        let core = cluster.cores.get_mut(&at).expect("it exists");
        core.on_router_message(ConnectionId(connection), claim);
    }
    cluster.run(10);
    let grants: Vec<&ClaimGrant> = cluster
        .to_routers
        .iter()
        .filter_map(|(_, _, message)| match message {
            Message::ClaimResponse(response) => Some(&response.grant),
            _ => None,
        })
        .collect();
    assert_eq!(grants.len(), 2);
    let granted = grants
        .iter()
        .filter(|grant| ***grant == ClaimGrant::Granted)
        .count();
    assert_eq!(granted, 1);
}

#[test]
fn a_watch_waits_for_the_next_change() {
    let mut cluster = Cluster::new();
    let follower = cluster.follower();
    let watch = OperatorRequest::Watch {
        after: Revision(0),
        patience: Duration::from_secs(60),
    };
    cluster.ask(follower, 5, watch);
    cluster.run(5);
    assert!(cluster.reply(5).is_none());
    cluster.put(follower, 9, 0, tenant("k"));
    cluster.run(5);
    let Some(OperatorReply::Changes { revision, changes }) = cluster.reply(5) else {
        panic!("{:?}", cluster.reply(5));
    };
    assert_eq!((*revision, changes.len()), (Revision(1), 1));
    assert_eq!(changes[0].operator, OperatorName::new("ana"));
}
