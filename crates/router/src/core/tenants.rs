//! Identification of tenants by key. A key that the configuration lacks is queried at the control
//! machine, once for all requests that present it.

use std::collections::BTreeMap;

use drumshore_core::{ErrorCode, KeyHash, RequestError, RequestId, Resource, Revision, Timestamp};
use drumshore_wire::{Message, TenantAnswer, TenantQuery, Text};

use super::{AdmitRequest, Phase, RouterCore};

/// How long a refused key is remembered, in microseconds.
const REFUSED_KEY_TTL_US: u64 = 5_000_000;

/// Maximum number of refused keys remembered.
const MAX_REFUSED_KEYS: usize = 1_024;

/// Maximum number of keys queried at the same time.
const MAX_PENDING_KEYS: usize = 1_024;

#[derive(Clone, Debug)]
struct PendingKey {
    ticket: u64,
    waiting: Vec<RequestId>,
}

/// Keys with an open query, and keys that no tenant holds.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownKeys {
    next_ticket: u64,
    pending: BTreeMap<KeyHash, PendingKey>,
    refused: BTreeMap<KeyHash, Timestamp>,
}

impl UnknownKeys {
    /// Forgets the refused keys after a change of the configuration, which may have added them.
    pub(super) fn forget_refused(&mut self) {
        self.refused.clear();
    }

    fn is_refused(&self, key: &KeyHash, now: Timestamp) -> bool {
        self.refused.get(key).is_some_and(|until| *until > now)
    }

    fn refuse(&mut self, key: KeyHash, now: Timestamp) {
        if self.refused.len() >= MAX_REFUSED_KEYS {
            self.refused.clear();
        }
        self.refused
            .insert(key, Timestamp(now.0 + REFUSED_KEY_TTL_US));
    }
}

impl RouterCore {
    /// Finds a request's tenant by its key and admits the request, or queries the control machine
    /// and keeps the request until the answer.
    pub(super) fn identify(&mut self, id: RequestId, admit_request: AdmitRequest) {
        let Some(key) = admit_request.key_hash.clone() else {
            let message = "no bearer key was presented";
            return self.refuse_new(id, RequestError::not_run(ErrorCode::Unauthorized, message));
        };
        if let Some((tenant, spec)) = self.config.tenant_of_key(&key) {
            let spec = spec.clone();
            return self.admit_tenant(id, admit_request, tenant, &spec);
        }
        if self.unknown_keys.is_refused(&key, self.now) {
            return self.refuse_new(id, unauthorized());
        }
        if self.unknown_keys.pending.len() >= MAX_PENDING_KEYS {
            let error = RequestError::not_run(ErrorCode::Overloaded, "too many unknown keys");
            return self.refuse_new(id, error.retry_after(self.params.tenant_query_timeout));
        }
        self.await_tenant(id, admit_request);
        self.query_tenant(key, id);
    }

    pub(super) fn resend_tenant_queries(&mut self) {
        let queries: Vec<Message> = self
            .unknown_keys
            .pending
            .iter()
            .map(|(key, pending)| query(key, pending.ticket))
            .collect();
        for query in queries {
            self.send(query);
        }
    }

    pub(super) fn on_tenant_answer(&mut self, answer: &TenantAnswer) {
        let mut pending = self.unknown_keys.pending.iter();
        let found = pending.find(|(_, pending)| pending.ticket == answer.ticket);
        let Some(key) = found.map(|(key, _)| key.clone()) else {
            return;
        };
        let Ok(resource) = serde_json::from_slice::<Option<Resource>>(&answer.resource.bytes)
        else {
            return;
        };
        let revision = Revision(answer.revision);
        // An answer from an older view is ignored; the request keeps waiting until its timeout.
        if self.config.check_floor(revision).is_err() {
            self.metrics.stale_updates += 1;
            return;
        }
        let waiting = self.unknown_keys.pending.remove(&key);
        let waiting = waiting.map_or(Vec::new(), |pending| pending.waiting);
        match resource {
            Some(resource) => {
                let _ = self.config.add_queried_tenant(resource, revision);
                self.store_config();
            }
            None => self.unknown_keys.refuse(key, self.now),
        }
        for id in waiting {
            self.identify_again(id);
        }
    }

    /// Admits waiting requests whose tenant has arrived with a configuration update.
    pub(super) fn admit_known_tenants(&mut self) {
        let known: Vec<KeyHash> = self
            .unknown_keys
            .pending
            .keys()
            .filter(|key| self.config.tenant_of_key(key).is_some())
            .cloned()
            .collect();
        for key in known {
            let pending = self.unknown_keys.pending.remove(&key);
            for id in pending.map_or(Vec::new(), |pending| pending.waiting) {
                self.identify_again(id);
            }
        }
    }

    /// Refuses requests whose tenant was not identified in time, and those whose claim timed out.
    pub(super) fn expire_unconfirmed(&mut self) {
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
            for pending in self.unknown_keys.pending.values_mut() {
                pending.waiting.retain(|waiting| *waiting != id);
            }
            let message = "no control machine confirmed who holds the key";
            let error = RequestError::not_run(ErrorCode::ConfigUnavailable, message);
            self.refuse_new(id, error.retry_after(self.params.tenant_query_timeout));
        }
        self.unknown_keys
            .pending
            .retain(|_, pending| !pending.waiting.is_empty());
        self.expire_claims();
    }

    fn query_tenant(&mut self, key: KeyHash, id: RequestId) {
        if let Some(pending) = self.unknown_keys.pending.get_mut(&key) {
            pending.waiting.push(id);
            return;
        }
        self.unknown_keys.next_ticket += 1;
        let ticket = self.unknown_keys.next_ticket;
        let waiting = vec![id];
        let query = query(&key, ticket);
        self.unknown_keys
            .pending
            .insert(key, PendingKey { ticket, waiting });
        self.send(query);
    }

    fn identify_again(&mut self, id: RequestId) {
        if let Some(request) = self.active.remove(&id) {
            self.identify(id, request.admit_request);
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
