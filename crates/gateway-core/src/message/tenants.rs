//! Entries of messages about tenants: their usage of limits, and their demand for pools.

use binrw::binrw;

use crate::{PoolName, TenantName};

/// A hash that identifies a tenant.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a tenant.
    pub fn of(tenant: &TenantName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(tenant.as_str().as_bytes()))
    }
}

/// A tenant's usage that a router admitted since its last report.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageEntry {
    /// The tenant.
    pub tenant: TenantKey,
    /// The amount in units of the tenant's limit; negative if refunds exceeded usage.
    pub amount: i32,
    /// The router's estimate of the level after this usage, for a new leader that does not know earlier usage.
    pub estimated_level: i32,
}

impl UsageEntry {
    /// Creates an entry; amounts outside the range of the field are clamped.
    pub fn new(tenant: TenantKey, amount: i64, estimated_level: f64) -> Self {
        let narrow = amount.clamp(i64::from(i32::MIN), i64::from(i32::MAX));
        Self {
            tenant,
            amount: narrow as i32,
            estimated_level: estimated_level as i32,
        }
    }
}

/// The level of a tenant's account at the leader, over all routers together.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLevel {
    /// The tenant.
    pub tenant: TenantKey,
    /// Units that may be used at once; negative while the account is overdrawn.
    pub level: i32,
    /// The receiver's fraction of the recent usage of all routers, scaled to 0 to `u16::MAX`.
    share: u16,
}

impl AccountLevel {
    /// The size of an entry in a message.
    pub const BYTES: usize = 14;

    /// Creates an entry; `share` is a fraction from 0 to 1.
    pub fn new(tenant: TenantKey, level: f64, share: f64) -> Self {
        Self {
            tenant,
            level: level as i32,
            share: (share.clamp(0.0, 1.0) * f64::from(u16::MAX)) as u16,
        }
    }

    /// The receiver's fraction of the recent usage of all routers, from 0 to 1.
    pub fn share(&self) -> f64 {
        f64::from(self.share) / f64::from(u16::MAX)
    }
}

/// A hash that identifies a pool.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(pub u32);

impl PoolKey {
    /// The key of a pool.
    pub fn of(pool: &PoolName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(pool.as_str().as_bytes()) as u32)
    }
}

/// What a router's callers asked of a pool on behalf of a tenant since the router's last report.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandEntry {
    /// The pool.
    pub pool: PoolKey,
    /// The tenant.
    pub tenant: TenantKey,
    /// The cost for the pool's back ends, in tokens to prefill.
    pub cost: u32,
}

impl DemandEntry {
    /// The size of an entry in a message.
    pub const BYTES: usize = 16;
}

/// A tenant's demand for a pool over all routers together.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: TenantKey,
    /// The cost for the pool's back ends, in tokens to prefill per second.
    pub cost_per_second: u32,
}

impl TenantDemand {
    /// The size of an entry in a message.
    pub const BYTES: usize = 12;
}
