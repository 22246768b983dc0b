//! What a router knows of a request, and why it is not sent anywhere.

use std::rc::Rc;
use std::time::Duration;

use super::{Charge, OverLimit};
use crate::{InstanceId, ModelName, PoolName, Route, Tenant, WorkId};

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identifier.
    pub id: String,
    /// Its length.
    pub tokens: u32,
}

/// What a request says of its prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model it is for.
    pub model: ModelName,
    /// Its parts in order; the last one is the request's own, or its session's.
    pub parts: Vec<PromptPart>,
    /// Tokens that are expected to be generated.
    pub output: u32,
}

/// Why a request is not forwarded. None of these has run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No configuration has been received.
    #[error("no configuration yet")]
    NoConfiguration,
    /// The view may be outdated.
    #[error("view not confirmed in time")]
    Unconfirmed,
    /// No route matches.
    #[error("no route")]
    NoRoute,
    /// No tenant holds the key.
    #[error("unknown key")]
    UnknownKey,
    /// The tenant has used up its limit.
    #[error("over the tenant's limit")]
    OverLimit(OverLimit),
}

/// Why no back end was chosen. The request has not run there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChoiceError {
    /// No back end of the pool takes requests.
    #[error("no back end takes requests")]
    NoneReady,
    /// All that take requests were tried.
    #[error("no other back end")]
    NoneLeft,
    /// All back ends that could take it have asked this router for no requests, or limit what they take.
    #[error("{0}")]
    BackedOff(Backoff),
    /// The pool has more work than it can serve in time.
    #[error("{0}")]
    Overloaded(Overload),
    /// Too many back ends have ended under the same work.
    #[error("work is quarantined")]
    Quarantined,
    /// Back ends have ended under the same work, so it is not sent on within a call.
    #[error("work is suspected")]
    Suspected,
    /// Retries are used up for now.
    #[error("retry budget used up")]
    NoBudget,
}

/// Until when the back ends of a pool take no requests of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{back_ends} back ends take no requests now, the first one in {} ms", soonest.as_millis())]
pub struct Backoff {
    /// Those that could take the request otherwise.
    pub back_ends: usize,
    /// Until the first of them takes requests again.
    pub soonest: Duration,
    /// When the caller is to try again.
    pub retry_after: Duration,
}

/// Why a request is refused while its pool has too much work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("pool overloaded: {utilization_percent} % of its slots taken, {refused_percent} % refused")]
pub struct Overload {
    /// When the caller is to try again.
    pub retry_after: Duration,
    /// Requests at the pool's back ends, of 100 slots.
    pub utilization_percent: u32,
    /// Requests of this urgency that are refused, of 100.
    pub refused_percent: u32,
}

/// What was done for a request before another back end is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct EarlierAttempts<'a> {
    /// Back ends that were chosen.
    pub tried: &'a [InstanceId],
    /// Attempts that arrived at one of them, also when it turned the request away.
    pub arrived: u32,
    /// What the request carries.
    pub fingerprint: Option<WorkId>,
    /// Moments at which back ends had ended under it before this call.
    pub crashes_before_call: u32,
    /// Attempts of this call that broke when they may have run.
    pub broken: u32,
}

/// A request that may be forwarded.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Its route.
    pub route: Rc<Route>,
    /// Its tenant, when it needs a key.
    pub tenant: Option<Rc<Tenant>>,
    /// The pool that is to serve it.
    pub pool: PoolName,
    /// Its priority; 0 is most urgent.
    pub priority: u8,
    /// What it was charged to its tenant's limit.
    pub charge: Option<Charge>,
}

/// What decides whether a request is admitted, and where.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestHead<'a> {
    /// The host that it names, without port.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// The caller's key.
    pub key: Option<&'a str>,
    /// Tokens of its prompt and the most that are generated, when it declares them.
    pub declared_tokens: Option<u32>,
}
