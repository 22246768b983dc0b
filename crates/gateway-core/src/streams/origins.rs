//! The origins of streams that one process keeps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::{StreamKey, StreamOrigin};
use crate::message::TenantKey;
use crate::SoftwareKey;

/// Interval between removals of all expired origins.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// When the origins are full, this fraction of them is removed at once, so that the search for the tenant that keeps
/// most is rare.
const EVICTED_FRACTION: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tenant: TenantKey,
    /// `None` after contradicting reports: the stream may go on nowhere.
    software: Option<SoftwareKey>,
    expires: Timestamp,
}

impl Kept {
    fn origin(&self, now: Timestamp, stream: StreamKey) -> Option<StreamOrigin> {
        let is_live = self.expires > now;
        let software = self.software.filter(|_| is_live)?;
        let lifetime = self.expires.since(now);
        Some(StreamOrigin::new(stream, self.tenant, software, lifetime))
    }
}

/// Origins of streams, at most a fixed number. When it is reached, those of the tenant that keeps most give way, the
/// oldest first.
#[derive(Debug)]
pub struct StreamOrigins {
    capacity: usize,
    kept: HashMap<StreamKey, Kept>,
    /// The streams of each tenant in the order in which they were added.
    by_tenant: BTreeMap<TenantKey, VecDeque<StreamKey>>,
    swept_at: Timestamp,
}

impl StreamOrigins {
    /// Keeps at most `capacity` origins.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            kept: HashMap::new(),
            by_tenant: BTreeMap::new(),
            swept_at: Timestamp::default(),
        }
    }

    /// Adds an origin, or extends its lifetime.
    pub fn record(&mut self, now: Timestamp, origin: &StreamOrigin) {
        self.sweep_if_due(now);
        let expires = now.plus(origin.lifetime());
        if let Some(kept) = self.kept.get_mut(&origin.stream) {
            if kept.expires <= now {
                kept.software = Some(origin.software);
            } else if kept.software != Some(origin.software) {
                kept.software = None;
            }
            kept.expires = kept.expires.max(expires);
            return;
        }
        if self.kept.len() >= self.capacity {
            self.evict();
        }
        let kept = Kept {
            tenant: origin.tenant,
            software: Some(origin.software),
            expires,
        };
        self.kept.insert(origin.stream, kept);
        let of_tenant = self.by_tenant.entry(origin.tenant).or_default();
        of_tenant.push_back(origin.stream);
    }

    /// The software version that began a stream; `None` if it is not known.
    pub fn find(&self, now: Timestamp, stream: StreamKey) -> Option<SoftwareKey> {
        let kept = self.kept.get(&stream)?;
        kept.origin(now, stream).map(|origin| origin.software)
    }

    /// All origins that have not expired.
    pub fn live(&self, now: Timestamp) -> impl Iterator<Item = StreamOrigin> + '_ {
        let kept = self.kept.iter();
        kept.filter_map(move |(stream, kept)| kept.origin(now, *stream))
    }

    /// The number of kept origins, including expired ones that have not been removed yet.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn sweep_if_due(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.kept.retain(|_, kept| kept.expires > now);
        let kept = &self.kept;
        self.by_tenant.retain(|_, streams| {
            streams.retain(|stream| kept.contains_key(stream));
            !streams.is_empty()
        });
    }

    fn evict(&mut self) {
        let by_count = |item: &(&TenantKey, &mut VecDeque<StreamKey>)| item.1.len();
        let Some((_, streams)) = self.by_tenant.iter_mut().max_by_key(by_count) else {
            return;
        };
        let count = (self.capacity / EVICTED_FRACTION).clamp(1, streams.len());
        for stream in streams.drain(..count) {
            self.kept.remove(&stream);
        }
    }
}

#[cfg(test)]
#[path = "origins_tests.rs"]
mod tests;
