//! Messages from and to routers.

use std::collections::BTreeMap;

use drumshore_consensus::Directory;
use drumshore_core::{KeyHash, Resource, ResourceKey, Revision, TenantName};
use drumshore_wire::{
    Blob, ClaimRequest, ConfigUpdate, EngineLoad, EngineUpdate, Freshness, List, LoadUpdate,
    Message, OutcomeReport, Subscribe, TenantAnswer, TenantQuery,
};

use super::proposals::ProposalWaiter;
use super::reads::ReadWaiter;
use super::{ControlCore, Effect};
use crate::command::Command;
use crate::subscription::{ConnectionId, Subscription};

impl<D: Directory> ControlCore<D> {
    /// Handles a new connection of a router that has authenticated with the cluster key.
    pub fn on_router_connected(&mut self, connection: ConnectionId, router: String) {
        self.subscriptions
            .insert(connection, Subscription::new(router));
    }

    /// Handles the end of a router's connection: its subscription and its demands are removed.
    pub fn on_router_disconnected(&mut self, connection: ConnectionId) {
        self.subscriptions.remove(&connection);
        self.router_demands.forget(connection);
    }

    /// Handles a message from a router.
    pub fn on_router_message(&mut self, connection: ConnectionId, message: Message) {
        match message {
            Message::Subscribe(subscribe) => self.on_subscribe(connection, &subscribe),
            Message::AppliedRevision(revision) => {
                if let Some(subscription) = self.subscriptions.get_mut(&connection) {
                    subscription.applied_revision = Revision(revision);
                }
            }
            Message::TenantQuery(query) => self.request_read(ReadWaiter::Tenant(connection, query)),
            Message::Claim(claim) => self.on_claim(connection, claim),
            Message::Outcome(report) => self.on_outcome(connection, report),
            Message::Usage(usage) => self.on_router_usage(connection, &usage),
            Message::LookupRequest(request) => self.on_lookup_request(connection, &request),
            Message::BookingReport(bookings) => self.on_bookings(connection, &bookings),
            // The other messages are sent only by control machines.
            _ => {}
        }
    }

    /// Sends every router with a full configuration the changes that are relevant to it.
    pub(super) fn push_changes(&mut self) {
        let connections: Vec<ConnectionId> = self
            .subscriptions
            .iter()
            .filter(|(_, subscription)| subscription.full_config_sent)
            .map(|(connection, _)| *connection)
            .collect();
        for connection in connections {
            self.push_changes_to(connection);
        }
    }

    /// Notifies every router with a full configuration that a quorum confirmed its revision.
    pub(super) fn push_freshness(&mut self) {
        let machines = self.replica.raft().membership().members().len();
        let routers = self.subscriptions.len() * machines;
        let fresh = Freshness {
            revision: self.revision().0,
            epoch: self.epoch().0,
            routers: u32::try_from(routers).unwrap_or(u32::MAX),
        };
        for (connection, subscription) in &self.subscriptions {
            if subscription.full_config_sent {
                self.effects
                    .push(Effect::ToRouter(*connection, Message::Fresh(fresh)));
            }
        }
    }

    /// Sends every router the engines that changed since its last update.
    pub(super) fn push_engines(&mut self) {
        let change = self.fleet.change_count();
        for (connection, subscription) in &mut self.subscriptions {
            let (full, engines) = match subscription.engines_sent {
                Some(sent) if sent == change => continue,
                Some(sent) => (0, self.fleet.entries_after(sent)),
                None => (1, self.fleet.entries()),
            };
            subscription.engines_sent = Some(change);
            let update = EngineUpdate {
                full,
                engines: List::new(engines),
            };
            self.effects
                .push(Effect::ToRouter(*connection, Message::Engines(update)));
        }
    }

    /// Sends every router the loads of its region that changed noticeably.
    pub(super) fn push_loads(&mut self) {
        let mut loads: BTreeMap<String, Vec<EngineLoad>> = BTreeMap::new();
        for (connection, subscription) in &mut self.subscriptions {
            if subscription.engines_sent.is_none() {
                continue;
            }
            let region = subscription.region.clone();
            let of_region = loads
                .entry(region)
                .or_insert_with_key(|region| self.fleet.loads(region));
            let changed = subscription.changed_loads(of_region);
            if !changed.is_empty() {
                let update = LoadUpdate {
                    loads: List::new(changed),
                };
                self.effects
                    .push(Effect::ToRouter(*connection, Message::Loads(update)));
            }
        }
    }

    /// Sends a router all resources that are relevant to it at the current revision.
    pub(super) fn send_full_config(&mut self, connection: ConnectionId) {
        let revision = self.revision();
        let Some(subscription) = self.subscriptions.get_mut(&connection) else {
            return;
        };
        let resources: Vec<&Resource> = subscription
            .relevant_resources(self.state.store.iter())
            .collect();
        let update = config_update(revision, true, &resources, &[]);
        subscription.full_config_sent = true;
        subscription.sent = revision;
        self.effects
            .push(Effect::ToRouter(connection, Message::Config(update)));
    }

    /// Sends a router the tenant that an API key belongs to, and adds the tenant to the router's
    /// subscription.
    pub(super) fn answer_tenant(&mut self, connection: ConnectionId, query: &TenantQuery) {
        let hash = KeyHash::from_hex(query.key_hash.as_str());
        let tenant = self.state.store.tenant_of_key(&hash);
        let resource = Blob::new(to_json(&tenant));
        let name = tenant.map(|resource| TenantName::new(&resource.name));
        let Some(subscription) = self.subscriptions.get_mut(&connection) else {
            return;
        };
        subscription.tenants.extend(name);
        let answer = TenantAnswer {
            ticket: query.ticket,
            revision: self.state.store.revision().0,
            resource,
        };
        self.effects
            .push(Effect::ToRouter(connection, Message::TenantAnswer(answer)));
    }

    fn on_subscribe(&mut self, connection: ConnectionId, subscribe: &Subscribe) {
        let Some(subscription) = self.subscriptions.get_mut(&connection) else {
            return;
        };
        let tenants = subscribe.tenants.items.iter();
        subscription.tenants = tenants.map(|name| TenantName::new(name.as_str())).collect();
        subscription.applied_revision = Revision(subscribe.floor);
        subscription.region = subscribe.region.as_str().to_owned();
        self.request_read(ReadWaiter::Subscriber(connection));
    }

    fn on_claim(&mut self, connection: ConnectionId, claim: ClaimRequest) {
        let waiter = ProposalWaiter::Claim {
            connection,
            ticket: claim.ticket,
        };
        let command = Command::Claim {
            tenant: claim.tenant,
            key: claim.key,
            fingerprint: claim.fingerprint,
            request_router: claim.request_router,
            request_sequence: claim.request_sequence,
        };
        self.propose(command, waiter);
    }

    fn on_outcome(&mut self, connection: ConnectionId, report: OutcomeReport) {
        let waiter = ProposalWaiter::Outcome {
            connection,
            ticket: report.ticket,
        };
        let command = Command::Outcome {
            tenant: report.tenant,
            key: report.key,
            request_router: report.request_router,
            request_sequence: report.request_sequence,
            execution: report.execution,
            answer: report.answer,
        };
        self.propose(command, waiter);
    }

    fn push_changes_to(&mut self, connection: ConnectionId) {
        let revision = self.revision();
        let Some(subscription) = self.subscriptions.get_mut(&connection) else {
            return;
        };
        let Some(changes) = self.state.store.changes_after(subscription.sent) else {
            self.send_full_config(connection);
            return;
        };
        let mut resources: Vec<&Resource> = Vec::new();
        let mut deleted: Vec<ResourceKey> = Vec::new();
        for change in changes.filter(|change| subscription.is_relevant(&change.key)) {
            resources.retain(|resource| resource.key() != change.key);
            deleted.retain(|key| *key != change.key);
            match &change.resource {
                Some(resource) => resources.push(resource),
                None => deleted.push(change.key.clone()),
            }
        }
        let update = config_update(revision, false, &resources, &deleted);
        subscription.sent = revision;
        self.effects
            .push(Effect::ToRouter(connection, Message::Config(update)));
    }
}

fn config_update(
    revision: Revision,
    full: bool,
    resources: &[&Resource],
    deleted: &[ResourceKey],
) -> ConfigUpdate {
    ConfigUpdate {
        revision: revision.0,
        full: u8::from(full),
        records: Blob::new(to_json(&resources)),
        deleted: Blob::new(to_json(&deleted)),
    }
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("resources have no maps with structured keys")
}
