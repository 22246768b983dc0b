//! A simulated router with its view and its links to control machines, on the cluster's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    Changes, ConnectionId, Document, InvalidDocument, LinkAction, Message, Pool, PoolName,
    Progress, Refusal, RequestHead, RequestKind, Route, RouterCore, RouterParams, RouterStatus,
    Share, ViewLinks,
};
use drumshore_wire::Text;

/// Interval between two attempts to connect to a machine that does not answer.
const REDIAL_INTERVAL: Duration = Duration::from_millis(500);

/// A host in every configuration; its route leads to the pool of that configuration's version.
const HOST: &str = "host";

/// For how long after its confirmation a view is taken to contain all that is in force.
pub const ABSENCE_LEASE: Duration = Duration::from_millis(1_680);

/// A message of a router, with its receiver and connection.
pub type Sent = (Ipv4Addr, ConnectionId, Message);

pub struct SimRouter {
    pub zone: String,
    pub core: RouterCore,
    links: ViewLinks,
    connections: BTreeMap<Ipv4Addr, ConnectionId>,
    dial_at: BTreeMap<Ipv4Addr, Timestamp>,
    next_connection: u64,
    /// Messages sent on all links.
    pub sent: usize,
    /// Lost links that control machines were not yet informed of: machine and connection.
    pub lost: Vec<(Ipv4Addr, ConnectionId)>,
}

pub fn params(zone: &str) -> RouterParams {
    RouterParams {
        zone: zone.to_owned(),
        key_lease: Duration::from_millis(4_200),
        absence_lease: ABSENCE_LEASE,
        version_grace: Duration::from_millis(6_400),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
    }
}

impl SimRouter {
    pub fn new(number: usize, incarnation: u64, zone: String, machines: &[Ipv4Addr]) -> Self {
        let seed = number as u64;
        Self {
            core: RouterCore::new(params(&zone), seed),
            links: ViewLinks::new(&zone, seed),
            zone,
            connections: BTreeMap::new(),
            dial_at: machines.iter().map(|at| (*at, Timestamp(0))).collect(),
            next_connection: (seed << 32) + (incarnation << 20),
            sent: 0,
            lost: Vec::new(),
        }
    }

    /// Connects to machines whose next attempt is due; `reaches` decides whether it succeeds.
    pub fn dial(&mut self, now: Timestamp, reaches: impl Fn(Ipv4Addr) -> bool) -> Vec<Sent> {
        let due = self.dial_at.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Ipv4Addr> = due.map(|(address, _)| *address).collect();
        let mut sent = Vec::new();
        for address in due {
            if !reaches(address) {
                self.dial_at.insert(address, now.plus(REDIAL_INTERVAL));
                continue;
            }
            self.dial_at.remove(&address);
            self.next_connection += 1;
            let connection = ConnectionId(self.next_connection);
            self.connections.insert(address, connection);
            self.links.on_linked(address);
            sent.push((address, connection, Message::Router(self.status())));
        }
        sent
    }

    fn status(&self) -> RouterStatus {
        RouterStatus {
            address: Text::new("10.1.0.1:80"),
            zone: Text::new(self.zone.as_str()),
            accepting: 1,
            is_serving: 1,
        }
    }

    /// Ends the link to a machine and schedules a new attempt at once.
    pub fn drop_link(&mut self, now: Timestamp, address: Ipv4Addr) {
        if let Some(connection) = self.connections.remove(&address) {
            self.links.on_link_ended(address);
            self.dial_at.insert(address, now);
            self.lost.push((address, connection));
        }
    }

    /// Returns all messages that are due.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Sent> {
        let mut sent = Vec::new();
        for action in self.links.poll(now, self.core.position()) {
            let (to, message) = match action {
                LinkAction::Close { to } => {
                    self.drop_link(now, to);
                    continue;
                }
                LinkAction::Ping { to, sequence } => (to, Message::Ping { sequence }),
                LinkAction::Follow { to, following } => {
                    self.links.on_follow_sent(to, following);
                    (to, Message::Follow(following))
                }
                LinkAction::Fetch { to, position, .. } => {
                    self.links.on_fetch_sent(now, to);
                    let (since, source_revision) = (position.held, position.source_revision);
                    (
                        to,
                        Message::Fetch {
                            since,
                            source_revision,
                            configuration: self.core.configuration_patch_base(),
                        },
                    )
                }
            };
            if let Some(connection) = self.connections.get(&to) {
                sent.push((to, *connection, message));
            }
        }
        self.sent += sent.len();
        sent
    }

    /// Handles a message of a machine, unless its link has been replaced since.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        connection: ConnectionId,
        message: Message,
    ) {
        if self.connections.get(&from) != Some(&connection) {
            return;
        }
        match message {
            Message::ControlZone(zone) => self.links.on_zone(from, zone.as_str()),
            Message::Announce(announcement) => {
                self.on_revision(now, from, announcement.revision);
            }
            Message::Pong {
                sequence,
                revision,
                routers,
                ..
            } => {
                if let Some(asked) = self.links.on_pong(from, sequence) {
                    self.core.on_confirmed(asked, revision, routers);
                }
                self.on_revision(now, from, revision);
            }
            Message::Changes(changes) => self.apply(now, from, changes),
            _ => {}
        }
    }

    fn on_revision(&mut self, now: Timestamp, from: Ipv4Addr, revision: u64) {
        let held = self.core.revision();
        self.links.on_revision(now, from, revision, held);
    }

    fn apply(&mut self, now: Timestamp, from: Ipv4Addr, changes: Changes) {
        let newest = changes.newest;
        let applied = self.core.apply(now, changes, document);
        let held = self.core.revision();
        let progress = match applied {
            Ok(()) => Progress::Made { held },
            Err(_) => Progress::None { held },
        };
        self.links.on_changes(now, from, newest, progress);
    }

    /// The configuration version by which a request for [`HOST`] is admitted.
    pub fn served_version(&mut self, now: Timestamp) -> Result<u64, Refusal> {
        let admission = self.core.admit(now, head(HOST))?;
        Ok(number_in(admission.pool.as_str()))
    }

    /// Whether a request for the host that a version adds is admitted.
    pub fn resolve_host_of(&mut self, now: Timestamp, version: u64) -> Result<(), Refusal> {
        let host = host_of(version);
        self.core.admit(now, head(&host)).map(|_| ())
    }

    pub fn is_linked_by(&self, address: Ipv4Addr, connection: ConnectionId) -> bool {
        self.connections.get(&address) == Some(&connection)
    }

    pub fn linked(&self) -> BTreeSet<Ipv4Addr> {
        self.connections.keys().copied().collect()
    }
}

fn head(host: &str) -> RequestHead<'_> {
    RequestHead {
        host,
        path: "/",
        key: None,
        declared_tokens: None,
    }
}

fn host_of(version: u64) -> String {
    format!("host-{version}")
}

fn number_in(name: &str) -> u64 {
    let digits = name.rsplit('-').next().unwrap_or_default();
    digits.parse().unwrap()
}

/// Builds the configuration from a body with its version: routes for [`HOST`] and for one host of each version so far,
/// all to the pool of this version.
pub fn document(body: &[u8]) -> Result<Document, InvalidDocument> {
    let version = number_in(&String::from_utf8_lossy(body).replace(' ', "-"));
    let hosts = (1..=version).map(host_of).chain([HOST.to_owned()]);
    let pool = PoolName::new(&format!("pool-{version}"));
    Ok(Document {
        version,
        routes: hosts.map(|host| route(host, pool.clone())).collect(),
        pools: vec![Pool {
            name: pool,
            max_connections: 0,
            models: None,
            store: None,
        }],
        ..Document::default()
    })
}

fn route(host: String, pool: PoolName) -> Route {
    Route {
        name: host.clone(),
        host,
        path_prefix: "/".to_owned(),
        kind: RequestKind::Once,
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(300),
        gap_target: None,
        priority: 2,
        max_attempts: 1,
        public: true,
        shares: vec![Share { pool, weight: 1 }],
    }
}
