//! Selection of the back ends that may receive a request.

mod newest_weights;

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use drumshore_core::Timestamp;

use super::endpoint::Endpoint;
use super::placement_cost::Forecast;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};
use crate::back_end_speed::LoadAhead;
use crate::{InstanceId, SoftwareVersion};

/// A back end whose failure rate is at least this is used only when no healthy one is left.
const FAILURE_RATE_THRESHOLD: f64 = 0.4;

/// A back end that may receive a request, with the version of the model weights that it holds.
pub(super) struct Candidate<'a> {
    pub id: &'a InstanceId,
    pub endpoint: &'a Endpoint,
    pub version: Option<u64>,
}

/// The back end that a request is assigned to.
pub(super) struct Placed {
    pub instance: InstanceId,
    pub address: String,
    pub version: Option<u64>,
    pub software: SoftwareVersion,
    pub last_received_at: Rc<Cell<Timestamp>>,
    pub in_flight: u32,
    pub load_ahead: LoadAhead,
    pub rank: usize,
    /// Prompt tokens that it is expected to prefill.
    pub tokens: u32,
    /// The same prefill in tokens without any before them that take as long.
    pub work_tokens: u32,
    pub forecast: Forecast,
    /// Address of the prompt's home, when that is another back end with the same weights.
    pub home: Option<String>,
}

impl Candidate<'_> {
    pub(super) fn placed(&self, rank: usize) -> Placed {
        Placed {
            instance: self.id.clone(),
            address: self.endpoint.record.address.as_str().to_owned(),
            version: self.version,
            software: self.endpoint.record.software.clone(),
            last_received_at: Rc::clone(&self.endpoint.last_received_at),
            in_flight: self.endpoint.in_flight,
            load_ahead: self.endpoint.load(),
            rank,
            tokens: 0,
            work_tokens: 0,
            forecast: Forecast::default(),
            home: None,
        }
    }
}

impl RouterCore {
    /// The back ends that a request may be sent to. Back ends that asked this router to back off, announced that
    /// they are leaving, or are brittle and have this router's share of requests, are always left out, even if no others
    /// remain. Every choice of a back end starts from
    /// this list.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
    ) -> Vec<Candidate<'a>> {
        let mut candidates = self.eligible(now, admission, prompt);
        candidates.retain(|candidate| {
            let endpoint = candidate.endpoint;
            endpoint.takes_requests(now) && self.brittle_wait(now, endpoint).is_none()
        });
        candidates
    }

    /// The back ends of the request's pool that are ready and hold recent enough weights.
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
        if self.endpoints.has_shared_addresses() {
            keep_latest_at_address(candidates)
        } else {
            candidates
        }
    }
}

/// Keeps, of several incarnations at one address, the one that registered last: only that one can be running.
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

/// Removes back ends that failed recently, as long as others remain.
pub(super) fn prefer_healthy(
    now: Timestamp,
    mut candidates: Vec<Candidate<'_>>,
) -> Vec<Candidate<'_>> {
    let is_healthy = |candidate: &Candidate<'_>| {
        candidate.endpoint.avoided_until <= now
            && candidate.endpoint.failure_rate < FAILURE_RATE_THRESHOLD
    };
    if candidates.iter().any(is_healthy) {
        candidates.retain(is_healthy);
    }
    candidates
}
