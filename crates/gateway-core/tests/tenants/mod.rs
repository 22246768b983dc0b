//! Callers of several tenants, routers and control machines in front of a pool of simulated back ends, on a virtual
//! clock. A back end runs as many requests as it has slots, each for the same time; the others wait in order of arrival.

use std::collections::{BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::limits::{LimitUnit, TenantLimit};
use drumshore_gateway_core::{
    Changes, ChoiceError, ConnectionId, Document, EarlierAttempts, InstanceId, InstanceRecord,
    Lifecycle, LoadEntry, LoadedModel, Message, ModelName, ModelPool, Outcome, Pool, PoolName,
    Prompt, PromptPart, RequestHead, RequestKind, Route, RouterCore, RouterParams, RouterWire,
    Share, SoftwareVersion, Tenant, TenantName,
};
use drumshore_wire::{Blob, List, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::{address, Cluster};

const CONTROL_MACHINES: u8 = 3;
const BACK_ENDS: u64 = 48;
const SLOTS: u32 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(700);
const TICK: Duration = Duration::from_millis(10);
/// Control machines run in steps of their tick.
const CONTROL_STEP: Duration = Duration::from_millis(50);
const REPORT_INTERVAL: Duration = Duration::from_millis(80);
const LOADS_TTL: Duration = Duration::from_secs(1);
const TARGET: Duration = Duration::from_secs(1);
/// A limit that no tenant reaches, the same for all.
const AMPLE_LIMIT: TenantLimit = TenantLimit {
    rate_per_second: 1e6,
    burst: 1e6,
    unit: LimitUnit::Requests,
    undeclared_tokens: 1,
};
/// Requests a second that the pool can serve at most.
pub const CAPACITY: f64 = BACK_ENDS as f64 * SLOTS as f64 / 0.7;

struct Request {
    router: usize,
    instance: InstanceId,
    sent: Timestamp,
    /// When it ends; `None` while it waits for a slot.
    ends: Option<Timestamp>,
}

/// Outcomes of one tenant's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub refused: u32,
    /// Refused while this router did not know the tenants' demand.
    pub refused_alike: u32,
}

impl Tally {
    pub fn served_fraction(&self) -> f64 {
        1.0 - f64::from(self.refused) / f64::from(self.asked.max(1))
    }

    pub fn served(&self) -> u32 {
        self.asked - self.refused
    }
}

struct Router {
    core: RouterCore,
    wire: RouterWire,
    reported: Vec<LoadEntry>,
    loads_received: Timestamp,
}

pub struct Fleet {
    pub cluster: Cluster,
    routers: Vec<Router>,
    back_ends: Vec<VecDeque<Request>>,
    /// Requests a second of each tenant.
    pub rates: Vec<f64>,
    pub tallies: Vec<Tally>,
    /// Refused requests by router, and those of them that were refused while it did not know the tenants' demand.
    pub refused_by_router: Vec<(u32, u32)>,
    /// Routers without links to control machines.
    pub cut_off: BTreeSet<usize>,
    /// Messages about demand that routers sent and received.
    pub demand_messages: usize,
    random: ChaCha8Rng,
    reported_at: Timestamp,
}

impl Fleet {
    pub fn new(routers: usize, rates: Vec<f64>, seed: u64) -> Self {
        let mut cluster = Cluster::new(CONTROL_MACHINES);
        cluster.run(Duration::from_secs(3));
        let now = cluster.now;
        let tenants = rates.len();
        let core = |number: usize| Router {
            core: new_router(now, tenants, seed * 1_000 + number as u64),
            wire: RouterWire::WithMeasurements,
            reported: Vec::new(),
            loads_received: now,
        };
        let mut fleet = Self {
            routers: (0..routers).map(core).collect(),
            back_ends: (0..BACK_ENDS).map(|_| VecDeque::new()).collect(),
            tallies: vec![Tally::default(); tenants],
            rates,
            refused_by_router: vec![(0, 0); routers],
            cut_off: BTreeSet::new(),
            demand_messages: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            reported_at: now,
            cluster,
        };
        fleet.link_all();
        fleet
    }

    fn link_all(&mut self) {
        for number in 0..self.routers.len() {
            for machine in 1..=CONTROL_MACHINES {
                let connection = ConnectionId(number as u64);
                let name = format!("10.1.0.{number}:80");
                self.cluster
                    .link_router(address(machine), connection, &name);
            }
        }
    }

    /// The router is one of an earlier build.
    pub fn downgrade(&mut self, router: usize) {
        self.routers[router].wire = RouterWire::Current;
    }

    pub fn take_tallies(&mut self) -> Vec<Tally> {
        let fresh = vec![Tally::default(); self.rates.len()];
        std::mem::replace(&mut self.tallies, fresh)
    }

    /// The machine that a router follows.
    pub fn followed_by(router: usize) -> Ipv4Addr {
        address(1 + (router % usize::from(CONTROL_MACHINES)) as u8)
    }

    /// Whether a router knows the tenants' demand.
    pub fn knows_demands(&self, router: usize) -> bool {
        let core = &self.routers[router].core;
        !core.largest_demands(self.cluster.now, 1).is_empty()
    }

    pub fn run(&mut self, time: Duration) {
        let steps = time.as_millis() / CONTROL_STEP.as_millis();
        for _ in 0..steps {
            let start = self.cluster.now;
            for tick in 1..=(CONTROL_STEP.as_millis() / TICK.as_millis()) as u32 {
                let now = start.plus(TICK * tick);
                self.finish_requests(now);
                self.send_requests(now);
                self.send_reports(now);
            }
            self.cluster.run(CONTROL_STEP);
            self.deliver_to_routers();
        }
    }

    fn send_requests(&mut self, now: Timestamp) {
        for tenant in 0..self.rates.len() {
            let mut due = self.rates[tenant] * TICK.as_secs_f64();
            while due > 0.0 && self.random.random::<f64>() < due {
                self.send_request(now, tenant);
                due -= 1.0;
            }
        }
    }

    fn send_request(&mut self, now: Timestamp, tenant: usize) {
        let number = self.random.random_range(0..self.routers.len());
        let core = &mut self.routers[number].core;
        core.on_confirmed(now, 1, 1);
        let head = RequestHead {
            host: "host",
            path: "/",
            key: Some(&tenant.to_string()),
            declared_tokens: None,
        };
        let admission = core.admit(now, head).unwrap();
        let prompt = prompt(self.random.random());
        self.tallies[tenant].asked += 1;
        match core.choose(now, &admission, Some(&prompt), EarlierAttempts::default()) {
            Ok(choice) => {
                core.answered(now, &choice, None, TARGET);
                let back_end: usize = choice.instance.as_str()[3..].parse().unwrap();
                self.back_ends[back_end].push_back(Request {
                    router: number,
                    instance: choice.instance,
                    sent: now,
                    ends: None,
                });
            }
            Err(ChoiceError::Overloaded(overload)) => {
                let is_alike = u32::from(overload.tenant_share.is_none());
                self.tallies[tenant].refused += 1;
                self.tallies[tenant].refused_alike += is_alike;
                self.refused_by_router[number].0 += 1;
                self.refused_by_router[number].1 += is_alike;
            }
            Err(error) => panic!("{error}"),
        }
    }

    fn finish_requests(&mut self, now: Timestamp) {
        for back_end in &mut self.back_ends {
            let ended = back_end.extract_ended(now);
            for request in ended {
                let core = &mut self.routers[request.router].core;
                core.finished(now, &request.instance, request.sent, Outcome::Answered);
            }
            for request in back_end.iter_mut().take(SLOTS as usize) {
                request.ends.get_or_insert(now.plus(SERVICE_TIME));
            }
        }
    }

    fn send_reports(&mut self, now: Timestamp) {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        self.ping_all(now);
        let leader = self.cluster.leader();
        for (number, router) in self.routers.iter_mut().enumerate() {
            if now.since(router.loads_received) > LOADS_TTL {
                router.core.set_others_loads(true, &[]);
            }
            let Some(leader) = leader.filter(|_| !self.cut_off.contains(&number)) else {
                router.core.discard_demand_report();
                continue;
            };
            let connection = ConnectionId(number as u64);
            router.reported = router.core.own_loads();
            let loads = Message::Loads(List::new(router.reported.clone()));
            self.cluster.core(leader).on_router(now, connection, loads);
            let report = router.core.take_demand_report(now);
            let report = Message::DemandReport(List::new(report));
            let is_empty = matches!(&report, Message::DemandReport(list) if list.items.is_empty());
            if !is_empty && router.wire.encode(&report).is_some() {
                self.demand_messages += 1;
                self.cluster.core(leader).on_router(now, connection, report);
            }
        }
    }

    /// Control machines send nothing to routers that do not ping them.
    fn ping_all(&mut self, now: Timestamp) {
        for machine in (1..=CONTROL_MACHINES).map(address) {
            let Some(core) = self.cluster.running(machine) else {
                continue;
            };
            for number in (0..self.routers.len()).filter(|number| !self.cut_off.contains(number)) {
                let connection = ConnectionId(number as u64);
                core.on_router(now, connection, Message::Ping { sequence: 0 });
            }
        }
    }

    fn deliver_to_routers(&mut self) {
        let now = self.cluster.now;
        for (from, connection, message) in std::mem::take(&mut self.cluster.to_routers) {
            let number = connection.0 as usize;
            let follows = Self::followed_by(number) == from;
            let router = &mut self.routers[number];
            if !follows || self.cut_off.contains(&number) || router.wire.encode(&message).is_none()
            {
                continue;
            }
            match message {
                Message::LoadsOfAll { whole, loads } => {
                    router.loads_received = now;
                    let others = LoadEntry::without(&loads.items, &router.reported);
                    router.core.set_others_loads(whole != 0, &others);
                }
                Message::TenantDemands {
                    pool,
                    tenants,
                    other_tenants,
                    other_cost_per_second,
                } => {
                    self.demand_messages += 1;
                    router.core.on_tenant_demands(
                        now,
                        pool,
                        &tenants.items,
                        other_tenants,
                        other_cost_per_second,
                    );
                }
                _ => {}
            }
        }
    }
}

trait ExtractEnded {
    fn extract_ended(&mut self, now: Timestamp) -> Vec<Request>;
}

impl ExtractEnded for VecDeque<Request> {
    fn extract_ended(&mut self, now: Timestamp) -> Vec<Request> {
        let (ended, rest): (Vec<Request>, Vec<Request>) = self
            .drain(..)
            .partition(|request| request.ends.is_some_and(|ends| ends <= now));
        self.extend(rest);
        ended
    }
}

fn prompt(id: u64) -> Prompt {
    Prompt {
        model: ModelName::new("model"),
        parts: vec![PromptPart {
            id: id.to_string(),
            tokens: 400,
        }],
        output: 10,
    }
}

fn new_router(now: Timestamp, tenants: usize, seed: u64) -> RouterCore {
    let params = RouterParams {
        zone: "zone".to_owned(),
        key_lease: Duration::from_secs(4),
        absence_lease: Duration::from_secs(2),
        version_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
    };
    let mut router = RouterCore::new(params, seed);
    let changes = Changes {
        revision: 1,
        configuration: List::new(vec![Blob::new(Vec::new())]),
        instances: List::new((0..BACK_ENDS).map(record).collect()),
        ..Changes::default()
    };
    let document = document(tenants);
    router.apply(now, changes, |_| Ok(document)).unwrap();
    router
}

fn record(number: u64) -> InstanceRecord {
    InstanceRecord {
        instance: Text::new(format!("be-{number}")),
        pool: Text::new("models"),
        address: Text::new(format!("10.0.0.{number}:80")),
        zone: Text::new("zone"),
        slots: SLOTS,
        lifecycle: Lifecycle::Ready,
        models: List::new(vec![LoadedModel {
            model: Text::new("model"),
            version: 1,
            loading: 0,
        }]),
        registered: number + 1,
        revision: 1,
        software: SoftwareVersion::default(),
        started_ms: 0,
    }
}

fn document(tenants: usize) -> Document {
    let tenant = |number: usize| Tenant {
        name: TenantName::new(&format!("tenant-{number}")),
        keys: vec![number.to_string()],
        priority: None,
        isolated: false,
        limit: Some(AMPLE_LIMIT),
    };
    let pool = PoolName::new("models");
    Document {
        version: 1,
        routes: vec![Route {
            name: "route".to_owned(),
            host: "host".to_owned(),
            path_prefix: "/".to_owned(),
            kind: RequestKind::Stream,
            timeout: Duration::from_secs(5),
            target: TARGET,
            gap_target: None,
            priority: 0,
            max_attempts: 1,
            public: false,
            shares: vec![Share {
                pool: pool.clone(),
                weight: 1,
            }],
        }],
        pools: vec![Pool {
            name: pool,
            max_connections: 10_000,
            models: Some(ModelPool {
                link_megabits_per_second: 0,
                token_bytes: 0,
                slots: SLOTS,
                cache_tokens: 1_000_000,
                copies_runs: false,
                models: vec![ModelName::new("model")],
            }),
            store: None,
        }],
        tenants: (0..tenants).map(tenant).collect(),
        ..Document::default()
    }
}
