use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{FolderIdentity, Membership, MemoryDirectory, ReplicaId, Role};
use drumshore_core::{
    ChangeId, EngineName, Incarnation, ModelName, OperatorName, ResourceKind, ResourceSpec,
    Revision, SecretKey, WeightsVersion,
};
use drumshore_routing::{CacheChange, CacheReport, SequenceHash};
use drumshore_wire::{
    BookingRecord, BookingReport, ClaimGrant, ClaimRequest, HoldingRecord, List, LookupRequest,
    Message, Subscribe, TenantQuery, Text,
};

use super::{key, tenant};
use crate::core::Clock;
use crate::fleet::{EngineProbe, MachineRecord, MachineState};
use crate::store::ChangeOutcome;
use crate::{
    ConnectionId, ControlCore, ControlParams, Effect, OperatorReply, OperatorRequest,
    OperatorTicket,
};

const TICK: Duration = Duration::from_millis(50);

struct Cluster {
    cores: BTreeMap<ReplicaId, ControlCore<MemoryDirectory>>,
    isolated: Vec<ReplicaId>,
    clock: Clock,
    to_routers: Vec<(ReplicaId, ConnectionId, Message)>,
    replies: Vec<(OperatorTicket, OperatorReply)>,
}

impl Cluster {
    fn new() -> Self {
        Self::with_params(ControlParams::default())
    }

    fn with_params(params: ControlParams) -> Self {
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
                params.clone(),
                100 + replica.0,
            );
            (replica, core.expect("memory does not fail"))
        });
        let mut cluster = Self {
            cores: cores.into_iter().collect(),
            isolated: Vec::new(),
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
            let mut in_transit = Vec::new();
            for (from, core) in &mut self.cores {
                core.flush(&mut |effect| match effect {
                    Effect::ToControl(to, message) => in_transit.push((*from, to, message)),
                    Effect::ToRouter(to, message) => self.to_routers.push((*from, to, message)),
                    Effect::Reply(ticket, reply) => self.replies.push((ticket, reply)),
                    Effect::Order { .. } => {}
                })
                .expect("memory does not fail");
            }
            if in_transit.is_empty() {
                return;
            }
            for (from, to, message) in in_transit {
                let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
                if let Some(core) = self.cores.get_mut(&to).filter(|_| !isolated) {
                    core.on_control_message(from, message);
                }
            }
        }
    }

    fn leader(&self) -> ReplicaId {
        let leads = |(id, core): (&ReplicaId, &ControlCore<_>)| {
            (core.role() == Role::Leader && !self.isolated.contains(id)).then_some(*id)
        };
        self.cores.iter().find_map(leads).expect("a leader")
    }

    fn follower(&self) -> ReplicaId {
        let leader = self.leader();
        let mut ids = self.cores.keys().copied();
        ids.find(|id| *id != leader && !self.isolated.contains(id))
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

    fn sent_tenant_versions(&self, connection: u64) -> Vec<u64> {
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
fn a_change_through_a_follower_is_sent_to_routers_of_every_machine() {
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
    assert_eq!(cluster.sent_tenant_versions(1), [1]);
    assert_eq!(cluster.sent_tenant_versions(2), [1]);
}

#[test]
fn a_router_receives_only_the_tenants_that_it_uses() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    cluster.connect(leader, 1, &[]);
    cluster.put(leader, 9, 0, tenant("k"));
    cluster.run(5);
    assert!(cluster.sent_tenant_versions(1).is_empty());
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
    assert_eq!(
        cluster.sent_tenant_versions(1),
        [2],
        "the query subscribed the router to the tenant"
    );
}

#[test]
fn an_isolated_leader_confirms_no_reads() {
    let mut cluster = Cluster::new();
    let old = cluster.leader();
    cluster.connect(old, 1, &["x"]);
    cluster.run(30);
    cluster.isolated = vec![old];
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
    assert!(
        !fresh,
        "the isolated machine must not confirm its view to routers"
    );
    assert!(matches!(
        cluster.reply(10),
        Some(OperatorReply::Unavailable)
    ));
    cluster.isolated.clear();
    cluster.run(60);
    assert_eq!(cluster.sent_tenant_versions(1), [1]);
}

#[test]
fn a_claim_through_two_machines_is_granted_once() {
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
        timeout: Duration::from_secs(60),
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

fn probe(waiting_tokens: u32) -> EngineProbe {
    EngineProbe {
        incarnation: Incarnation(1),
        model: ModelName::new("m"),
        weights_version: WeightsVersion(1),
        leaving: false,
        waiting_tokens,
        running: 0,
        lag_ms: 0,
    }
}

/// Adds two engines to the fleet of every control machine; the first one has block 7 cached.
fn add_engines(cluster: &mut Cluster) {
    let names = ["a", "b"].map(EngineName::new);
    let machine = |name: &EngineName| MachineRecord {
        name: name.clone(),
        address: "127.0.0.1:1".to_owned(),
        zone: "z".into(),
        pool: "p".into(),
        state: MachineState::Live,
    };
    let machines = names.each_ref().map(machine);
    let report = CacheReport {
        incarnation: Incarnation(1),
        complete: true,
        first: 1,
        changes: vec![CacheChange::Stored(SequenceHash(7))],
    };
    for core in cluster.cores.values_mut() {
        core.on_machines(&machines);
        core.on_cache_report(&names[0], &report);
        let empty = CacheReport {
            changes: Vec::new(),
            ..report.clone()
        };
        core.on_cache_report(&names[1], &empty);
        for name in &names {
            core.on_probe(name, Ok(probe(0)));
        }
    }
}

fn lookup_request(ticket: u32, member_slot: u16) -> Message {
    Message::LookupRequest(LookupRequest {
        ticket,
        member_slot,
        block_tokens: 100,
        prompt_tokens: 150,
        recompute_weight: 10,
        limit: 4,
        step: 1,
        prefixes: List::new(vec![7]),
    })
}

impl Cluster {
    /// The engines that the index of a control machine returns for block 7, best first.
    fn holdings(&mut self, at: ReplicaId, ticket: u32) -> Vec<HoldingRecord> {
        let core = self.cores.get_mut(&at).expect("a machine");
        let slot = core.fleet().iter().next().expect("an engine").1.slot();
        core.on_router_message(ConnectionId(1), lookup_request(ticket, slot));
        self.deliver();
        let answers = self.to_routers.iter().rev();
        let answer = answers
            .clone()
            .find_map(|(from, _, message)| match message {
                Message::LookupResponse(answer) if *from == at => Some(answer.clone()),
                _ => None,
            });
        let answer = answer.expect("an answer");
        assert_eq!(answer.ticket, ticket);
        answer.holdings.items
    }
}

#[test]
fn a_booking_at_one_machine_is_indexed_at_every_machine() {
    let mut cluster = Cluster::new();
    add_engines(&mut cluster);
    let (here, there) = (cluster.leader(), cluster.follower());
    for at in [here, there] {
        cluster.connect(at, 1, &[]);
    }
    let before = cluster.holdings(here, 1);
    assert_eq!(before.len(), 2);
    assert_eq!((before[0].blocks, before[1].blocks), (1, 0));
    let bookings = Message::BookingReport(BookingReport {
        records: List::new(vec![BookingRecord {
            ticket: 1,
            slot: before[1].slot,
            uncached: 40,
        }]),
    });
    let core = cluster.cores.get_mut(&here).expect("a machine");
    core.on_router_message(ConnectionId(1), bookings);
    cluster.run(1);
    for at in [here, there] {
        let after = cluster.holdings(at, 2);
        assert!(after.iter().all(|holding| holding.blocks == 1), "{after:?}");
        assert_eq!(
            after.iter().filter(|holding| holding.waiting > 0).count(),
            1
        );
    }
}

#[test]
fn engines_of_other_regions_are_not_indexed() {
    let params = ControlParams {
        index_region: "north".to_owned(),
        ..ControlParams::default()
    };
    let mut cluster = Cluster::with_params(params);
    add_engines(&mut cluster);
    let core = cluster.cores.values().next().expect("a machine");
    assert_eq!(core.report_wanted(&EngineName::new("a")), None);
}
