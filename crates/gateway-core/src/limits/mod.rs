//! Limits on what a tenant may use, and on what a back end takes, over all routers together.
//!
//! A limit is a token bucket: `rate_per_second` flows in, up to `burst`. One [`Account`] at the
//! leader of the control machines is charged with what all routers report; routers keep a replica
//! of it that they charge at once and that the leader corrects a few times a second. Requests are
//! admitted while the level is positive and may take it below zero, so that a large request needs
//! no larger level than a small one; the debt is paid back before the next one is admitted.
//!
//! Error bound: routers know what the others used `lag` ago (a report each 80 ms, a notice each
//! 100 ms, two network hops), so a tenant that asks for `demand` exceeds its bucket by at most
//! `(demand - rate) * lag` and one request for each router that admits at the same moment. The debt
//! that this leaves is not forgiven: the excess does not grow with time. A router that hears
//! nothing from the leader spends a fixed part of the limit, see [`LimitShare`]; the parts add up to
//! one.

mod account;
mod limit_share;
mod rate_share;
mod usage;

pub use account::Account;
pub use limit_share::LimitShare;
pub use rate_share::RateShare;
pub use usage::RecentUsage;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request is one.
    Requests,
    /// Tokens that a request declares: of its prompt, and the most that are generated.
    Tokens,
}

/// The most that a tenant may use, over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Units a second.
    pub rate_per_second: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// What is counted.
    pub unit: LimitUnit,
    /// What a request counts that declares no tokens, when tokens are counted.
    pub undeclared_tokens: u32,
}

impl TenantLimit {
    /// What a request uses of the limit.
    pub fn cost(&self, declared_tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens => declared_tokens.unwrap_or(self.undeclared_tokens),
        }
    }
}

#[cfg(test)]
mod tests;
