//! Which software version began which stream, so that a caller that takes a stream up at another router continues at
//! that version.
//!
//! A router tells a few control machines of each stream that its callers may take up when the stream begins, and tells
//! them again when its links change. A router that receives a take-up asks all control machines that it is linked to.
//! The origins are kept in memory only, for as long as the caller waits, and within a bound that tenants share.

mod origins;
mod publisher;

use std::time::Duration;

use binrw::binrw;

use crate::message::TenantKey;
use crate::{FingerprintInput, FingerprintKey, SoftwareKey};

pub use origins::StreamOrigins;
pub use publisher::StreamPublisher;

/// The longest time for which an origin is kept; callers wait less for a stream.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(120);
/// Keeps the key of a stream apart from the fingerprint of any request, whose method is never empty.
const NO_METHOD: &str = "";

/// Identifies a stream: a keyed hash of the tenant and of the attempt that brought the first event. Callers can neither
/// name a stream of another tenant nor make two keys collide.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream that the attempt `request_id` of a tenant began; `tenant` is empty on a route without
    /// tenants.
    pub fn of(key: &FingerprintKey, tenant: &str, request_id: &str) -> Self {
        let fingerprint = key.identify(&FingerprintInput {
            method: NO_METHOD,
            target: request_id,
            tenant,
            ..FingerprintInput::default()
        });
        Self(fingerprint.leading_u64())
    }
}

/// The software version that began a stream.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The tenant whose share of the kept origins it takes.
    pub tenant: TenantKey,
    /// The software version of the back end that began it.
    pub software: SoftwareKey,
    /// Seconds for which its caller may still take it up.
    lifetime_s: u8,
}

impl StreamOrigin {
    /// The origin of a stream that its caller may take up for `lifetime`, at most [`MAX_STREAM_LIFETIME`].
    pub fn new(
        stream: StreamKey,
        tenant: TenantKey,
        software: SoftwareKey,
        lifetime: Duration,
    ) -> Self {
        let lifetime = lifetime.min(MAX_STREAM_LIFETIME);
        Self {
            stream,
            tenant,
            software,
            lifetime_s: lifetime.as_secs_f64().ceil() as u8,
        }
    }

    /// The time for which its caller may still take it up.
    pub fn lifetime(&self) -> Duration {
        Duration::from_secs(u64::from(self.lifetime_s)).min(MAX_STREAM_LIFETIME)
    }
}
