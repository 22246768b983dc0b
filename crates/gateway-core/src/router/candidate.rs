//! Back ends that may get a request.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use drumshore_core::Timestamp;

use super::endpoint::Endpoint;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};
use crate::InstanceId;

/// A back end whose share of failures is above this is used only when no other is left.
const TOO_MANY_FAILURES: f64 = 0.4;

/// A back end that may get a request.
pub(super) struct Candidate<'a> {
    pub id: &'a InstanceId,
    pub endpoint: &'a Endpoint,
    pub version: Option<u64>,
}

/// A back end that gets a request.
pub(super) struct Placed {
    pub instance: InstanceId,
    pub address: String,
    pub version: Option<u64>,
    pub last_received_at: Rc<Cell<Timestamp>>,
    pub in_flight: u32,
    pub rank: usize,
    /// Tokens that it is expected to read.
    pub tokens: u32,
    /// Where the prompt's home listens, when that is another back end with the same weights.
    pub home: Option<String>,
}

impl Candidate<'_> {
    pub(super) fn placed(&self, rank: usize) -> Placed {
        Placed {
            instance: self.id.clone(),
            address: self.endpoint.record.address.as_str().to_owned(),
            version: self.version,
            last_received_at: Rc::clone(&self.endpoint.last_received_at),
            in_flight: self.endpoint.in_flight,
            rank,
            tokens: 0,
            home: None,
        }
    }
}

impl RouterCore {
    /// The back ends that a request may go to. Those that asked this router for no requests, or say that they
    /// leave, are left out for good, not only while there are others: what all paths choose from comes from here.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
    ) -> Vec<Candidate<'a>> {
        let mut candidates = self.eligible(now, admission, prompt);
        candidates.retain(|candidate| candidate.endpoint.takes_requests(now));
        candidates
    }

    /// The back ends of the request's pool that are ready and hold weights that are new enough.
    pub(super) fn eligible<'a>(
        &'a self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
    ) -> Vec<Candidate<'a>> {
        let model = prompt.map(|prompt| prompt.model.as_str());
        let required = model.map_or(0, |model| {
            self.view
                .required_version(model, now, self.params.version_grace)
        });
        let pool = NameHash::of(admission.pool.as_str());
        let model = model.map(|model| (model, NameHash::of(model)));
        let in_pool = |endpoint: &Endpoint| {
            endpoint.summary.pool == pool
                && endpoint.summary.is_ready
                && !endpoint.summary.is_loading
                && endpoint.misdirected_until <= now
        };
        let mut candidates = Vec::new();
        for (id, endpoint) in self.endpoints.iter().filter(|item| in_pool(item.1)) {
            let version = model
                .and_then(|(model, hash)| endpoint.summary.version(&endpoint.record, model, hash));
            if version.is_none_or(|version| version >= required) {
                candidates.push(Candidate {
                    id,
                    endpoint,
                    version,
                });
            }
        }
        if self.endpoints.share_addresses() {
            keep_latest_at_address(candidates)
        } else {
            candidates
        }
    }
}

/// Of two incarnations at one address only the one that registered later can be there.
fn keep_latest_at_address(candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    let mut latest: HashMap<&str, u64> = HashMap::with_capacity(candidates.len());
    for candidate in &candidates {
        let record = &candidate.endpoint.record;
        let registered = latest.entry(record.address.as_str()).or_default();
        *registered = record.registered.max(*registered);
    }
    candidates
        .into_iter()
        .filter(|candidate| {
            let record = &candidate.endpoint.record;
            latest.get(record.address.as_str()) == Some(&record.registered)
        })
        .collect()
}

/// Leaves out those that failed lately, while there are others.
pub(super) fn prefer_sound(
    now: Timestamp,
    mut candidates: Vec<Candidate<'_>>,
) -> Vec<Candidate<'_>> {
    let is_sound = |candidate: &Candidate<'_>| {
        candidate.endpoint.avoided_until <= now && candidate.endpoint.failures < TOO_MANY_FAILURES
    };
    if candidates.iter().any(is_sound) {
        candidates.retain(is_sound);
    }
    candidates
}
