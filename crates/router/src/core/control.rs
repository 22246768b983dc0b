//! The link to the control machine: subscription, updates from it and usage reports to it.

use std::collections::BTreeSet;

use drumshore_core::{
    EngineId, EngineName, Incarnation, PoolName, TenantName, WeightsVersion, ZoneName,
};
use drumshore_routing::{Allotment, EngineObservation, EngineState, LoadReport};
use drumshore_wire::{
    ConfigUpdate, EngineEntry, EngineStateCode, EngineUpdate, Freshness, List, LoadUpdate, Message,
    Subscribe, Text, UsageAllotment, UsageRecord, UsageReport, AGE_UNIT_MS, WAITING_UNIT_TOKENS,
};

use super::{Effect, RouterCore};
use crate::session::LinkId;

/// Rates are sent in tenths of a request per second.
const RATE_UNIT: f64 = 10.0;

impl RouterCore {
    /// Handles an opened link: subscribes, and resends everything that was not confirmed.
    pub fn on_connected(&mut self, link: LinkId) {
        if !self.session.on_connected(link, self.now) {
            self.effects.push(Effect::Close(link));
            return;
        }
        self.abandon_lookups();
        self.slots.clear();
        let tenants = self.config.tenants();
        let subscribe = Subscribe {
            floor: self.config.floor().0,
            tenants: List::new(tenants.map(|name| Text::new(name.as_str())).collect()),
            region: Text::new(self.params.zone.region()),
        };
        self.send(Message::Subscribe(subscribe));
        self.resend_tenant_queries();
        self.resend_claims();
        self.send_outcomes();
    }

    /// Handles a link that was closed or could not be opened.
    pub fn on_closed(&mut self, link: LinkId) {
        self.session.on_closed(link, self.now, &mut self.random);
        if self.session.connected_link().is_none() {
            self.abandon_lookups();
        }
    }

    /// Handles a message from the control machine; messages of other links are ignored.
    pub fn on_control_message(&mut self, link: LinkId, message: Message) {
        if self.session.connected_link() != Some(link) {
            return;
        }
        self.metrics.control_messages_received += 1;
        match message {
            Message::Config(update) => self.on_config(link, &update),
            Message::Engines(update) => self.on_engines(&update),
            Message::Loads(update) => self.on_loads(&update),
            Message::Fresh(fresh) => self.on_fresh(fresh),
            Message::TenantAnswer(answer) => self.on_tenant_answer(&answer),
            Message::LookupResponse(response) => self.on_lookup_response(&response),
            Message::ClaimResponse(response) => self.on_claim_response(response),
            Message::OutcomeStored(ticket) => self.on_outcome_stored(ticket),
            Message::Allotment(allotment) => self.on_allotment(&allotment),
            // The other messages are sent only by routers.
            _ => {}
        }
    }

    /// Reports the usage of tenants once in each interval.
    pub(super) fn report_usage(&mut self) {
        if self.now < self.usage_due {
            return;
        }
        self.usage_due = self.now.plus(self.params.usage_interval);
        let seconds = self.params.usage_interval.as_secs_f64();
        let usage = self.admission.take_usage();
        let records = usage
            .iter()
            .map(|usage| UsageRecord {
                tenant: Text::new(usage.tenant.as_str()),
                rate: (f64::from(usage.requests) * RATE_UNIT / seconds) as u32,
                open: usage.open,
            })
            .collect::<Vec<_>>();
        if !records.is_empty() {
            let records = List::new(records);
            self.send(Message::Usage(UsageReport { records }));
        }
    }

    fn on_config(&mut self, link: LinkId, update: &ConfigUpdate) {
        if let Err(error) = self.config.apply(update) {
            tracing::warn!(
                "router: rejected a configuration update from the control machine: {error}"
            );
            self.metrics.stale_updates += 1;
            self.effects.push(Effect::Close(link));
            self.on_closed(link);
            return;
        }
        self.store_config();
        self.send(Message::AppliedRevision(self.config.floor().0));
        self.unknown_keys.forget_refused();
        self.admit_known_tenants();
        self.dispatch_queued();
    }

    fn on_fresh(&mut self, fresh: Freshness) {
        self.session.on_fresh(self.now);
        self.last_fresh = Some(self.now);
        self.placer.set_routers(f64::from(fresh.routers));
    }

    fn on_engines(&mut self, update: &EngineUpdate) {
        let mut listed = BTreeSet::new();
        for entry in &update.engines.items {
            let id = EngineName::new(entry.name.as_str()).id();
            listed.insert(id);
            self.on_engine(id, entry);
        }
        self.engines_changed = true;
        if update.full == 1 {
            self.placer.engines_mut().retain(|id| listed.contains(&id));
        }
        self.dispatch_queued();
    }

    fn on_engine(&mut self, id: EngineId, entry: &EngineEntry) {
        let state = match entry.state {
            EngineStateCode::Joining => EngineState::Joining,
            EngineStateCode::Ready => EngineState::Ready,
            EngineStateCode::Suspect => EngineState::Suspect,
            EngineStateCode::Leaving => EngineState::Leaving,
            EngineStateCode::Gone => {
                self.placer.engines_mut().remove(id);
                self.slots.remove(id);
                return;
            }
        };
        self.slots.insert(entry.slot, id);
        self.placer.engines_mut().observe(EngineObservation {
            name: EngineName::new(entry.name.as_str()),
            address: entry.address.as_str().to_owned(),
            zone: ZoneName::new(entry.zone.as_str()),
            pool: PoolName::new(entry.pool.as_str()),
            incarnation: Incarnation(entry.incarnation),
            weights_version: WeightsVersion(entry.weights_version),
            state,
        });
    }

    fn on_loads(&mut self, update: &LoadUpdate) {
        for load in &update.loads.items {
            let engine = self.slots.engine(load.slot);
            let Some(engine) = engine.and_then(|id| self.placer.engines_mut().get_mut(id)) else {
                continue;
            };
            let age = u64::from(load.age) * AGE_UNIT_MS * 1_000;
            engine.load = LoadReport {
                waiting_tokens: u32::from(load.waiting) * WAITING_UNIT_TOKENS,
                running: u32::from(load.running),
                at: drumshore_core::Timestamp(self.now.0.saturating_sub(age)),
            };
        }
        self.dispatch_queued();
    }

    /// Applies this router's shares of tenant limits. The list is complete: a tenant that is no
    /// longer on it is subject only to its full limits.
    fn on_allotment(&mut self, allotment: &UsageAllotment) {
        let mut allotted = BTreeSet::new();
        for record in &allotment.records.items {
            let tenant = TenantName::new(record.tenant.as_str());
            let share = Allotment {
                requests_per_second: f64::from(record.rate) / RATE_UNIT,
                open: record.open,
            };
            self.admission.set_allotment(&tenant, Some(share));
            allotted.insert(tenant);
        }
        for tenant in self.allotted.difference(&allotted) {
            self.admission.set_allotment(tenant, None);
        }
        self.allotted = allotted;
    }
}
