//! Requests as a router sees them, and the reasons why it does not forward one.

use std::rc::Rc;
use std::time::Duration;

use super::{Charge, OverLimit, TenantShare};
use crate::{InstanceId, ModelName, PoolName, RequestFingerprints, Route, SoftwareKey, Tenant};

/// A part of a prompt, which other requests may have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content; requests that share the part carry the same identifier.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a request, divided into parts that back ends can cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is to serve the request.
    pub model: ModelName,
    /// The parts in order. The last one belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Expected number of generated tokens.
    pub output: u32,
}

/// Why a request is not forwarded. In all these cases no back end has run it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// This router has not received a configuration yet.
    #[error("no configuration received yet")]
    NoConfiguration,
    /// No quorum has confirmed this router's view recently enough, so it may be outdated.
    #[error("the router's view was not confirmed by a quorum in time")]
    Unconfirmed,
    /// No route matches the request's host and path.
    #[error("no route matches the request")]
    NoRoute,
    /// No tenant has this API key.
    #[error("no tenant has this API key")]
    UnknownKey,
    /// The tenant has used up its rate limit.
    #[error("the tenant has used up its rate limit")]
    OverLimit(OverLimit),
}

/// Why no back end was chosen for an attempt. No back end has run this attempt.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ChoiceError {
    /// No back end of the pool is ready to take requests.
    #[error("no back end takes requests")]
    NoneReady,
    /// All back ends that take requests were tried already.
    #[error("no other back end")]
    NoneLeft,
    /// All back ends that could take the request asked this router to back off or are at their rate limit.
    #[error("{0}")]
    BackedOff(Backoff),
    /// The pool has more requests than it can serve in time.
    #[error("{0}")]
    Overloaded(Overload),
    /// Too many back ends have crashed while serving requests with this fingerprint.
    #[error("work is quarantined")]
    Quarantined,
    /// Back ends have crashed while serving requests with this fingerprint, so the request is not retried within
    /// the same call.
    #[error("work is suspected")]
    Suspected,
    /// This router reaches no back end of the pool, and no other router took the request over.
    #[error("no path to the back ends")]
    NoPath,
    /// No back end that takes requests runs the software version that began the stream.
    #[error("no back end of the software version that began the stream")]
    NoneOfSoftware,
    /// Nobody knows which software version began the stream that the request takes up, and the pool has several.
    #[error("unknown which software version began the stream")]
    UnknownOrigin,
    /// The pool's retry budget is used up for now.
    #[error("retry budget used up")]
    NoBudget,
}

/// How long the back ends of a pool accept no requests from this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{back_ends} back ends accept no requests now; the first accepts again in {} ms", soonest.as_millis())]
pub struct Backoff {
    /// Number of back ends that could take the request otherwise.
    pub back_ends: usize,
    /// Time until the first of them accepts requests again.
    pub soonest: Duration,
    /// Time after which the client should retry.
    pub retry_after: Duration,
}

/// Why a request is refused while its pool is overloaded.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("pool overloaded: {utilization_percent} % of its slots in use, {refused_percent} % of requests refused, {}",
    .tenant_share.map_or_else(|| "all tenants alike".to_owned(), |share| share.to_string()))]
pub struct Overload {
    /// Time after which the client should retry.
    pub retry_after: Duration,
    /// Requests at the pool's back ends, as a percentage of its slots; above 100 while requests wait for slots.
    pub utilization_percent: u32,
    /// Percentage of the tenant's requests of this urgency that are refused.
    pub refused_percent: u32,
    /// The tenant's share of the pool; `None` without a tenant, or while the demand of tenants is not known.
    pub tenant_share: Option<TenantShare>,
}

/// The earlier attempts of a request, which limit the choice of the next back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct EarlierAttempts<'a> {
    /// Back ends that were chosen already.
    pub tried: &'a [InstanceId],
    /// Attempts that reached a back end, including those that it refused.
    pub arrived: u32,
    /// The request's fingerprints; `None` when crashes are not tracked for it.
    pub fingerprints: Option<&'a RequestFingerprints>,
    /// Back-end crashes while serving the same request, as known when this call began. Crashes at about the same time
    /// count once.
    pub crashes_before_call: u32,
    /// Attempts of this call that broke off after the back end may have started to run the request.
    pub broken: u32,
    /// The software version that began the stream that the next attempt continues; `None` if it begins one.
    pub required_software: Option<SoftwareKey>,
}

/// A request that was admitted and may be forwarded.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The route that matched its host and path.
    pub route: Rc<Route>,
    /// The tenant that its API key belongs to; `None` when the route needs no key.
    pub tenant: Option<Rc<Tenant>>,
    /// The pool of back ends that is to serve it.
    pub pool: PoolName,
    /// Its priority: the tenant's, else the route's. 0 is the most urgent.
    pub priority: u8,
    /// The amount charged to the tenant's rate limit; `None` when the tenant has none.
    pub charge: Option<Charge>,
}

/// The parts of a request that decide whether and where it is admitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestHead<'a> {
    /// The host that the request names, without port.
    pub host: &'a str,
    /// The path of its URL.
    pub path: &'a str,
    /// The API key that the client presented.
    pub key: Option<&'a str>,
    /// Prompt tokens plus the maximum of generated tokens, when the request declares them.
    pub declared_tokens: Option<u32>,
}
