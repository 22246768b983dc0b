//! Tenants that this router does not know yet: asked for by key, once each.

use std::collections::BTreeMap;

use drumshore_core::{ErrorCode, KeyHash, RequestError, RequestId, Resource, Revision, Timestamp};
use drumshore_wire::{Message, TenantAnswer, TenantQuery, Text};

use super::{AdmitRequest, Phase, RouterCore};

/// Keys that were refused are remembered for this long, in microseconds.
const REFUSED_KEPT_US: u64 = 5_000_000;

/// Refused keys that are remembered.
const MAX_REFUSED: usize = 1_024;

/// Keys that may be asked for at once.
const MAX_ASKED: usize = 1_024;

#[derive(Clone, Debug)]
struct AskedKey {
    ticket: u64,
    waiting: Vec<RequestId>,
}

/// Keys that are being asked for, and keys that nobody holds.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownKeys {
    next_ticket: u64,
    asked: BTreeMap<KeyHash, AskedKey>,
    refused: BTreeMap<KeyHash, Timestamp>,
}

impl UnknownKeys {
    /// The configuration changed: a key that nobody held may be held now.
    pub(super) fn forget_refused(&mut self) {
        self.refused.clear();
    }

    fn is_refused(&self, key: &KeyHash, now: Timestamp) -> bool {
        self.refused.get(key).is_some_and(|until| *until > now)
    }

    fn refuse(&mut self, key: KeyHash, now: Timestamp) {
        if self.refused.len() >= MAX_REFUSED {
            self.refused.clear();
        }
        self.refused.insert(key, Timestamp(now.0 + REFUSED_KEPT_US));
    }
}

impl RouterCore {
    /// Finds out whose a request is, and goes on with it when that is known.
    pub(super) fn identify(&mut self, id: RequestId, ask: AdmitRequest) {
        let Some(key) = ask.key_hash.clone() else {
            let message = "no bearer key was presented";
            return self.refuse_new(id, RequestError::not_run(ErrorCode::Unauthorized, message));
        };
        if let Some((tenant, spec)) = self.config.tenant_of_key(&key) {
            let spec = spec.clone();
            return self.admit_tenant(id, ask, tenant, &spec);
        }
        if self.unknown_keys.is_refused(&key, self.now) {
            return self.refuse_new(id, unauthorized());
        }
        if self.unknown_keys.asked.len() >= MAX_ASKED {
            let verdict = RequestError::not_run(ErrorCode::Overloaded, "too many unknown keys");
            return self.refuse_new(id, verdict.retry_after(self.params.tenant_patience));
        }
        self.park(id, ask);
        self.ask_for(key, id);
    }

    pub(super) fn resend_tenant_queries(&mut self) {
        let queries: Vec<Message> = self
            .unknown_keys
            .asked
            .iter()
            .map(|(key, asked)| query(key, asked.ticket))
            .collect();
        for query in queries {
            self.send(query);
        }
    }

    pub(super) fn on_tenant_answer(&mut self, answer: &TenantAnswer) {
        let mut asked = self.unknown_keys.asked.iter();
        let found = asked.find(|(_, asked)| asked.ticket == answer.ticket);
        let Some(key) = found.map(|(key, _)| key.clone()) else {
            return;
        };
        let Ok(resource) = serde_json::from_slice::<Option<Resource>>(&answer.resource.bytes)
        else {
            return;
        };
        let revision = Revision(answer.revision);
        // An answer from an older view says nothing; the request waits for its patience to end.
        if self.config.check_floor(revision).is_err() {
            self.metrics.stale_updates += 1;
            return;
        }
        let waiting = self.unknown_keys.asked.remove(&key);
        let waiting = waiting.map_or(Vec::new(), |asked| asked.waiting);
        match resource {
            Some(resource) => {
                let _ = self.config.learn_tenant(resource, revision);
                self.store_config();
            }
            None => self.unknown_keys.refuse(key, self.now),
        }
        for id in waiting {
            self.identify_again(id);
        }
    }

    /// A configuration update may have brought tenants that requests wait for.
    pub(super) fn admit_known_tenants(&mut self) {
        let known: Vec<KeyHash> = self
            .unknown_keys
            .asked
            .keys()
            .filter(|key| self.config.tenant_of_key(key).is_some())
            .cloned()
            .collect();
        for key in known {
            let asked = self.unknown_keys.asked.remove(&key);
            for id in asked.map_or(Vec::new(), |asked| asked.waiting) {
                self.identify_again(id);
            }
        }
    }

    /// Gives up requests whose tenant did not become known in time.
    pub(super) fn expire_waiting(&mut self) {
        let now = self.now;
        let expired: Vec<RequestId> = self
            .active
            .iter()
            .filter(|(_, request)| {
                matches!(request.phase, Phase::AwaitingTenant { until } if until <= now)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.active.remove(&id);
            for asked in self.unknown_keys.asked.values_mut() {
                asked.waiting.retain(|waiting| *waiting != id);
            }
            let message = "no control machine confirmed who holds the key";
            let verdict = RequestError::not_run(ErrorCode::ConfigUnavailable, message);
            self.refuse_new(id, verdict.retry_after(self.params.tenant_patience));
        }
        self.unknown_keys
            .asked
            .retain(|_, asked| !asked.waiting.is_empty());
        self.expire_claims();
    }

    fn ask_for(&mut self, key: KeyHash, id: RequestId) {
        if let Some(asked) = self.unknown_keys.asked.get_mut(&key) {
            asked.waiting.push(id);
            return;
        }
        self.unknown_keys.next_ticket += 1;
        let ticket = self.unknown_keys.next_ticket;
        let waiting = vec![id];
        let query = query(&key, ticket);
        self.unknown_keys
            .asked
            .insert(key, AskedKey { ticket, waiting });
        self.send(query);
    }

    fn identify_again(&mut self, id: RequestId) {
        if let Some(request) = self.active.remove(&id) {
            self.identify(id, request.ask);
        }
    }
}

fn unauthorized() -> RequestError {
    RequestError::not_run(ErrorCode::Unauthorized, "no tenant holds the key")
}

fn query(key: &KeyHash, ticket: u64) -> Message {
    Message::TenantQuery(TenantQuery {
        ticket,
        key_hash: Text::new(key.as_str()),
    })
}
