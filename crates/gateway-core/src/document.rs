//! A whole configuration, as an operator sends it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::limits::TenantLimit;
use crate::{ModelName, PoolName, TenantName};

/// What may be repeated, and what the answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another back end may take up behind the last event passed on.
    ResumableStream,
}

impl RequestKind {
    /// True when a second back end may get the request after the first may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// True when the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A pool's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The pool.
    pub pool: PoolName,
    /// Its weight against the other shares.
    pub weight: u32,
}

/// Which requests go where, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their paths begin with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target: Duration,
    /// The longest pause between events that still counts as in time.
    pub gap_target: Option<Duration>,
    /// 0 is most urgent.
    pub priority: u8,
    /// Back ends that one request may be sent to.
    pub max_attempts: u32,
    /// True when no key is needed.
    pub public: bool,
    /// Pools with their weights.
    pub shares: Vec<Share>,
}

/// What back ends of a pool hold in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPool {
    /// Requests that run at once on one back end.
    pub slots: u32,
    /// Tokens of KV cache on one back end.
    pub cache_tokens: u64,
    /// True when back ends keep a copy of a run at another one as it grows.
    pub copies_runs: bool,
    /// The models.
    pub models: Vec<ModelName>,
}

/// A store of KV cache beside the back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStore {
    /// Where it listens, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Tokens it has room for.
    pub cache_tokens: u64,
}

/// A pool of back ends, or a store that serves them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Connections that one back end takes from all routers together; 0 for no bound.
    pub max_connections: u32,
    /// Set for back ends that run models.
    pub models: Option<ModelPool>,
    /// Set for a store.
    pub store: Option<CacheStore>,
}

/// Who may send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
    /// True when it shares no cached prompt with other tenants.
    pub isolated: bool,
    /// The most that it may use; `None` for no limit.
    pub limit: Option<TenantLimit>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take.
    pub header_timeout: Duration,
    /// How long a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The highest version wins.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools and stores.
    pub pools: Vec<Pool>,
    /// Tenants; none when requests need no key.
    pub tenants: Vec<Tenant>,
    /// Bounds.
    pub limits: Limits,
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidDocument {
    /// It cannot be read whole.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// A route names a pool that is not there.
    #[error("route {route:?} names unknown pool {pool:?}")]
    UnknownPool {
        /// The route.
        route: String,
        /// The pool.
        pool: String,
    },
    /// Two routes share host and path prefix.
    #[error("two routes for host {host:?} and prefix {path_prefix:?}")]
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        path_prefix: String,
    },
    /// A route's weights add up to zero.
    #[error("weights of route {0:?} add up to 0")]
    NoWeight(String),
    /// A route holds requests for no time at all.
    #[error("time-out of route {0:?} is 0")]
    NoTimeout(String),
    /// Two tenants hold the same key.
    #[error("tenants {0:?} and {1:?} share a key")]
    SharedKey(String, String),
    /// A tenant's limit is no limit.
    #[error("limit of tenant {tenant:?}: {reason}")]
    Limit {
        /// The tenant.
        tenant: String,
        /// What is wrong with it.
        reason: &'static str,
    },
}

impl Document {
    /// The pool of this name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// Checks what the parts promise one another.
    pub fn validate(&self) -> Result<(), InvalidDocument> {
        let pools: BTreeSet<&PoolName> = self.pools.iter().map(|pool| &pool.name).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &pools)?;
            if !places.insert((&route.host, &route.path_prefix)) {
                return Err(InvalidDocument::DuplicateRoute {
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
        }
        self.check_keys()?;
        self.tenants.iter().try_for_each(check_limit)
    }

    fn check_keys(&self) -> Result<(), InvalidDocument> {
        let mut holders: BTreeMap<&str, &TenantName> = BTreeMap::new();
        for tenant in &self.tenants {
            for key in &tenant.keys {
                let earlier = holders.insert(key, &tenant.name);
                if let Some(other) = earlier.filter(|other| **other != tenant.name) {
                    return Err(InvalidDocument::SharedKey(
                        other.to_string(),
                        tenant.name.to_string(),
                    ));
                }
            }
        }
        Ok(())
    }
}

fn check_limit(tenant: &Tenant) -> Result<(), InvalidDocument> {
    let Some(limit) = &tenant.limit else {
        return Ok(());
    };
    let invalid = |reason| InvalidDocument::Limit {
        tenant: tenant.name.to_string(),
        reason,
    };
    if !limit.rate_per_second.is_finite() || limit.rate_per_second <= 0.0 {
        return Err(invalid("the rate is not a number above 0"));
    }
    if !limit.burst.is_finite() || limit.burst < 0.0 {
        return Err(invalid("the burst is not a number of at least 0"));
    }
    Ok(())
}

fn check_route(route: &Route, pools: &BTreeSet<&PoolName>) -> Result<(), InvalidDocument> {
    if route.timeout.is_zero() {
        return Err(InvalidDocument::NoTimeout(route.name.clone()));
    }
    let unknown = route
        .shares
        .iter()
        .find(|share| !pools.contains(&share.pool));
    if let Some(share) = unknown {
        return Err(InvalidDocument::UnknownPool {
            route: route.name.clone(),
            pool: share.pool.to_string(),
        });
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(InvalidDocument::NoWeight(route.name.clone()));
    }
    Ok(())
}
