//! The configuration document that operators send.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::limits::TenantLimit;
use crate::{ModelName, PoolName, TenantName};

/// Whether a request may be repeated, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Repeatable,
    /// The request runs at most once.
    Once,
    /// The request runs at most once; the response is a stream of events.
    Stream,
    /// The response is a stream of events that another back end may resume after the last event forwarded.
    ResumableStream,
}

impl RequestKind {
    /// True if the request may be sent to another back end although the first one may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// True if the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// The weight of a pool in the distribution of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The pool.
    pub pool: PoolName,
    /// The weight relative to those of the other shares.
    pub weight: u32,
}

/// A route: which requests it matches, to which pools they go, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name in logs.
    pub name: String,
    /// The host of matching requests.
    pub host: String,
    /// The path prefix of matching requests.
    pub path_prefix: String,
    /// Whether requests may be repeated, and whether responses are streams.
    pub kind: RequestKind,
    /// The default and maximum time from the arrival of a request to its deadline.
    pub timeout: Duration,
    /// The target for the time to the response; an earlier response has the full value to the client.
    pub target: Duration,
    /// The maximum gap between events for which a stream counts as on time.
    pub gap_target: Option<Duration>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of back ends that one request is sent to.
    pub max_attempts: u32,
    /// True if requests need no API key.
    pub public: bool,
    /// The pools with their weights.
    pub shares: Vec<Share>,
}

/// Properties of a pool whose back ends run models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPool {
    /// The number of requests that one back end serves concurrently.
    pub slots: u32,
    /// The size of the KV cache of one back end, in tokens.
    pub cache_tokens: u64,
    /// True if a back end can keep an up-to-date copy of a running request at another back end.
    pub copies_runs: bool,
    /// The size of one token in the KV cache, in bytes; 0 if unknown.
    pub token_bytes: u64,
    /// The bandwidth at which a back end fetches cached tokens from another one, in Mbit/s; 0 if unknown.
    pub link_megabits_per_second: u64,
    /// The models that the pool serves.
    pub models: Vec<ModelName>,
}

/// An external store of KV cache that back ends share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheStore {
    /// The listen address, IP:PORT.
    pub address: String,
    /// The zone of the store.
    pub zone: String,
    /// The capacity in tokens.
    pub cache_tokens: u64,
}

/// A pool of back ends, or a cache store that serves them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The name, by which routes refer to the pool.
    pub name: PoolName,
    /// The maximum number of connections from all routers together to one back end; 0 for no limit.
    pub max_connections: u32,
    /// Set for back ends that run models.
    pub models: Option<ModelPool>,
    /// Set for a cache store.
    pub store: Option<CacheStore>,
}

/// A tenant, who may send requests with an API key.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: TenantName,
    /// The API keys; no other tenant has one of them.
    pub keys: Vec<String>,
    /// The priority of the tenant's requests; it overrides the priority of the route.
    pub priority: Option<u8>,
    /// True if the tenant shares no cached prompts with others.
    pub isolated: bool,
    /// The rate limit; `None` for no limit.
    pub limit: Option<TenantLimit>,
}

/// Limits on requests from clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of the header section in bytes.
    pub header_bytes: usize,
    /// The maximum size of the body in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive the header section.
    pub header_timeout: Duration,
    /// The maximum time for which a connection may be idle.
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

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The version; the configuration with the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools and cache stores.
    pub pools: Vec<Pool>,
    /// The tenants; empty if requests need no API key.
    pub tenants: Vec<Tenant>,
    /// The limits on requests from clients.
    pub limits: Limits,
}

/// The reason for refusing a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidDocument {
    /// The document cannot be parsed.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// A route refers to a pool that the document does not define.
    #[error("route {route:?} names unknown pool {pool:?}")]
    UnknownPool {
        /// The route.
        route: String,
        /// The pool.
        pool: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("two routes for host {host:?} and prefix {path_prefix:?}")]
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        path_prefix: String,
    },
    /// The weights of a route add up to zero.
    #[error("weights of route {0:?} add up to 0")]
    NoWeight(String),
    /// The timeout of a route is zero.
    #[error("time-out of route {0:?} is 0")]
    NoTimeout(String),
    /// Two tenants have the same API key.
    #[error("tenants {0:?} and {1:?} share a key")]
    SharedKey(String, String),
    /// The limit of a tenant is invalid.
    #[error("limit of tenant {tenant:?}: {reason}")]
    Limit {
        /// The tenant.
        tenant: String,
        /// What is wrong with the limit.
        reason: &'static str,
    },
}

impl Document {
    /// The pool with this name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// Checks the consistency of the document, such as references to pools and the uniqueness of API keys.
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
