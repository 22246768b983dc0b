//! Rate limits that all routers enforce together: of a tenant ([`Account`], [`LimitShare`]), and of a back end
//! ([`RateShare`]).
//!
//! A tenant's limit is a token bucket that refills at `rate_per_second` up to `burst`. The leader of the control
//! machines charges one [`Account`] with the usage that all routers report. Each router keeps a replica of that
//! account, which it charges immediately and the leader corrects several times a second. Requests are
//! admitted while the level is positive and may make it negative, so that a large request needs
//! no higher level than a small one. No further request is admitted until the level is positive again.
//!
//! Error bound: a router knows the usage of the others with a delay of `lag` (a report every 80 ms, an update
//! every 100 ms, two network hops), so a tenant that requests `demand` per second exceeds its bucket by at most
//! `(demand - rate) * lag` plus one request for each router that admits at the same moment. The excess stays
//! in the account as a negative level, so it does not grow over time. A router that receives
//! nothing from the leader uses a fixed share of the limit, see [`LimitShare`]; the shares of all routers add up
//! to the limit.

mod account;
mod limit_share;
mod rate_share;
mod usage;

pub use account::Account;
pub use limit_share::LimitShare;
pub use rate_share::RateShare;
pub use usage::RecentUsage;

/// The unit that a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts as 1.
    Requests,
    /// Tokens that a request declares: its prompt tokens plus the maximum number of tokens to generate.
    Tokens,
}

/// A tenant's rate limit, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Units per second.
    pub rate_per_second: f64,
    /// Units that may be used at once after an idle time: the capacity of the bucket.
    pub burst: f64,
    /// What the limit counts.
    pub unit: LimitUnit,
    /// The cost of a request that declares no tokens, if the limit counts tokens.
    pub undeclared_tokens: u32,
}

impl TenantLimit {
    /// The cost of a request in units of the limit.
    pub fn cost(&self, declared_tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens => declared_tokens.unwrap_or(self.undeclared_tokens),
        }
    }
}

#[cfg(test)]
mod tests;
