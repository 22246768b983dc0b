//! The core of one router: its view of the configuration and the back ends, the time for which it may rely on
//! that view, and the choice of a back end for each request.

mod accounts;
mod addresses;
mod brittle;
mod budget;
mod cache;
mod cached_parts;
mod candidate;
mod choice;
mod choose;
mod copies;
mod departed_versions;
mod endpoint;
mod endpoints;
mod fair_share;
mod held_configuration;
mod holders;
mod homes;
mod k_smallest;
mod leaving;
mod notices;
mod overload;
mod partition_demand;
mod paths;
mod placement;
mod placement_cost;
mod pool_partition;
mod prompt_mix;
mod prompt_placement;
mod reach;
mod reported_loads;
mod request;
mod required_software;
mod router_count;
mod speed_class;
mod speeds;
mod split;
mod stores;
mod summary;
mod suspected_fingerprints;
mod suspects;
mod take_up;
mod tenant_demand;
mod view;

use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::back_end_speed::{BackEndSpeeds, SpeedSamples};
use crate::{
    BackEndNotice, Changes, ConfigurationHash, Document, FingerprintInput, HolderEntry, InstanceId,
    InvalidDocument, LoadEntry, Position, RequestFingerprints, RequestRate, Route, StoreId,
    StoredKey, Tenant,
};

pub use accounts::{Charge, OverLimit};
pub use brittle::BrittleChange;
pub use choice::{CacheEstimate, Choice, RunCopy};
pub use endpoint::Outcome;
pub use leaving::Leave;
pub use notices::{LimitChange, NoticeChange};
pub use paths::{PathChange, PathCheck, Witness};
pub use placement_cost::Forecast;
pub use reach::PoolReach;
pub use reported_loads::ReportedLoads;
pub use request::{
    Admission, Backoff, ChoiceError, EarlierAttempts, Overload, Prompt, PromptPart, Refusal,
    RequestHead,
};
pub use take_up::KnownVersions;
pub use tenant_demand::TenantShare;
pub use view::ViewError;

use accounts::TenantAccounts;
use brittle::BrittlePools;
use budget::RetryBudget;
use departed_versions::DepartedVersions;
use endpoints::Endpoints;
use holders::Holders;
use notices::{NoticeContext, RetrySchedule};
use overload::PoolLoads;
use partition_demand::PartitionDemand;
use paths::Paths;
use prompt_mix::PromptMix;
use router_count::RouterCount;
use split::Splitter;
use stores::Stores;
use suspected_fingerprints::SuspectedFingerprints;
use suspects::Suspect;
use tenant_demand::TenantDemands;
use view::View;

/// Zone, leases and retry limits of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterParams {
    /// The zone in which the router runs; back ends in the same zone are preferred.
    pub zone: String,
    /// API keys are accepted for this long after a quorum last confirmed the view as current.
    pub key_lease: Duration,
    /// For this long after the last confirmation, the router may answer that a route or key does not exist. An older
    /// view may lack one that was added since.
    pub absence_lease: Duration,
    /// A request may start on older weights for this long after a new target version is set.
    pub version_grace: Duration,
    /// Retries that all routers together may add, as a fraction of requests.
    pub retry_ratio: f64,
    /// Retries that all routers together may add to that fraction in one window.
    pub retry_slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub retry_window: Duration,
}

/// A fetch from a store counts as slow when the answer takes longer than its target times this factor.
const SLOW_FETCH_FACTOR: f64 = 1.3;

/// The state of one router, without I/O: callers pass in the time, messages and outcomes.
pub struct RouterCore {
    params: RouterParams,
    view: View,
    endpoints: Endpoints,
    splitter: Splitter,
    tenant_accounts: TenantAccounts,
    prompt_mix: PromptMix,
    partition_demand: PartitionDemand,
    pool_loads: PoolLoads,
    tenant_demands: TenantDemands,
    budget: RetryBudget,
    random: ChaCha8Rng,
    /// Seed of the choice among equally loaded back ends; routers with different seeds prefer different ones.
    preference_seed: u64,
    /// Number of routers that share limits, retries and connections.
    router_count: RouterCount,
    retry_schedule: RetrySchedule,
    stores: Stores,
    holders: Holders,
    paths: Paths,
    brittle_pools: BrittlePools,
    suspects: Vec<Suspect>,
    refusing: Vec<u32>,
    suspected_fingerprints: SuspectedFingerprints,
    speeds: BackEndSpeeds,
    speed_samples: SpeedSamples,
    departed_versions: DepartedVersions,
}

impl RouterCore {
    /// Creates a router without configuration or back ends.
    pub fn new(params: RouterParams, seed: u64) -> Self {
        Self {
            view: View::default(),
            endpoints: Endpoints::default(),
            splitter: Splitter::default(),
            tenant_accounts: TenantAccounts::default(),
            prompt_mix: PromptMix::default(),
            partition_demand: PartitionDemand::default(),
            pool_loads: PoolLoads::default(),
            tenant_demands: TenantDemands::default(),
            budget: RetryBudget::new(&params),
            random: ChaCha8Rng::seed_from_u64(seed),
            preference_seed: xxh3_64(&seed.to_le_bytes()),
            params,
            router_count: RouterCount::default(),
            retry_schedule: RetrySchedule::default(),
            stores: Stores::default(),
            holders: Holders::default(),
            paths: Paths::default(),
            brittle_pools: BrittlePools::default(),
            suspects: Vec::new(),
            refusing: Vec::new(),
            suspected_fingerprints: SuspectedFingerprints::default(),
            speeds: BackEndSpeeds::default(),
            speed_samples: SpeedSamples::default(),
            departed_versions: DepartedVersions::default(),
        }
    }

    /// The revision of the replicated state that the view holds.
    pub fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// The position of the view in the replicated state; the router asks control machines for changes from there.
    pub fn position(&self) -> Position {
        self.view.position()
    }

    /// The version of the configuration; 0 while none has been received.
    pub fn configuration_version(&self) -> u64 {
        self.view.document().map_or(0, |document| document.version)
    }

    /// The configuration; `None` while none has been received.
    pub fn document(&self) -> Option<&Document> {
        self.view.document()
    }

    /// Time since the view was last known to be current; `None` if it never was.
    pub fn view_age(&self, now: Timestamp) -> Option<Duration> {
        self.view.confirmed().map(|at| now.since(at))
    }

    /// True once the router has a configuration and a recently confirmed view, so that it can admit requests.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.view.document().is_some() && self.is_confirmed(now)
    }

    /// Applies changes of the replicated state to the view; `parse` decodes a configuration.
    pub fn apply(
        &mut self,
        now: Timestamp,
        changes: Changes,
        parse: impl FnOnce(&[u8]) -> Result<Document, InvalidDocument>,
    ) -> Result<(), ViewError> {
        let has_configuration = changes.has_configuration();
        self.note_observation(now);
        self.view.apply(now, &changes, parse)?;
        if let Some(document) = self.view.document().filter(|_| has_configuration) {
            self.tenant_accounts.set_limits(now, document);
            self.tenant_demands.set_tenants(document);
        }
        self.suspected_fingerprints.apply(now, &changes);
        self.update_endpoints(now, &changes);
        Ok(())
    }

    /// Updates only the changed back ends: while thousands of back ends register, hundreds of changes arrive each
    /// second.
    fn update_endpoints(&mut self, now: Timestamp, changes: &Changes) {
        self.note_departed_versions(now, changes);
        if changes.since == 0 {
            self.endpoints.replace_all(self.view.instances());
            return;
        }
        for removed in &changes.removed.items {
            self.endpoints.remove(removed.as_str());
            self.speeds.forget(LoadEntry::key_of(removed.as_str()));
        }
        for changed in &changes.instances.items {
            if let Some(record) = self.view.instance(changed.instance.as_str()) {
                self.endpoints.insert(record);
            }
        }
    }

    /// What control machines may base a patch of the configuration on; `None` to be sent the whole configuration.
    pub fn configuration_patch_base(&self) -> Option<ConfigurationHash> {
        self.view.patch_base()
    }

    /// Records a quorum's confirmation, requested at `asked_at`, that no revision after `revision` had been accepted by
    /// then. `routers` is the number of routers that a control machine counts.
    pub fn on_confirmed(&mut self, asked_at: Timestamp, revision: u64, routers: u16) {
        self.view.on_confirmed(asked_at, revision);
        self.update_router_count(asked_at, routers);
    }

    fn update_router_count(&mut self, now: Timestamp, routers: u16) {
        let earlier = self.router_count.get();
        self.router_count.note(now, routers);
        let count = self.router_count.get();
        if count != earlier {
            self.endpoints.set_routers(now, count);
            self.budget.set_routers(count);
            self.tenant_accounts.set_routers(now, count);
        }
    }

    /// Finds the route, tenant and pool of a request and charges it to its tenant's rate limit.
    pub fn admit(&mut self, now: Timestamp, head: RequestHead<'_>) -> Result<Admission, Refusal> {
        if self.view.document().is_none() {
            return Err(Refusal::NoConfiguration);
        }
        if !self.is_confirmed(now) {
            return Err(Refusal::Unconfirmed);
        }
        let (route, tenant) = self
            .find(&head)
            .map_err(|missing| self.missing_or_unconfirmed(now, missing))?;
        let charge = match &tenant {
            Some(tenant) => self.charge(now, tenant, head.declared_tokens)?,
            None => None,
        };
        let pool = self.splitter.next(&route, &mut self.random);
        let tenant_priority = tenant.as_ref().and_then(|tenant| tenant.priority);
        let priority = tenant_priority.unwrap_or(route.priority);
        Ok(Admission {
            route,
            tenant,
            pool,
            priority,
            charge,
        })
    }

    /// Computes the fingerprints of a request; none before the fingerprint key is known.
    pub fn identify(
        &self,
        input: &FingerprintInput<'_>,
        prompt: Option<&Prompt>,
    ) -> RequestFingerprints {
        let key = self.view.fingerprint_key();
        key.map_or_else(RequestFingerprints::default, |key| {
            RequestFingerprints::new(key, input, prompt)
        })
    }

    /// Refunds the charge of an admitted request that no back end has run.
    pub fn refund(&mut self, now: Timestamp, admission: &Admission) {
        if let Some(charge) = admission.charge {
            self.tenant_accounts.pay_back(now, charge);
        }
    }

    /// The response to a request has begun, or its attempt has ended without one. `took` is the time from sending
    /// the request to the start of the response, if there is one, and `target` the time it should take.
    pub fn answered(
        &mut self,
        now: Timestamp,
        choice: &Choice,
        took: Option<Duration>,
        target: Duration,
    ) {
        self.endpoints
            .answered(&choice.instance, choice.work_tokens);
        let slow = took.is_some_and(|took| took > target.mul_f64(SLOW_FETCH_FACTOR));
        if let Some(store) = choice.fetch_store.filter(|_| slow) {
            self.stores.on_slow_fetch(now, store);
        }
    }

    /// The chosen back end has accepted the request and prefilled its prompt: a successful response has begun.
    pub fn accepted(&mut self, now: Timestamp, choice: &Choice) {
        self.endpoints.accepted(&choice.instance);
        let instance = choice.instance.as_str();
        self.holders.on_prefilled(now, &choice.prefixes, instance);
    }

    /// Records which back ends have cached which prefixes, as reported by other routers.
    pub fn on_holders(&mut self, now: Timestamp, entries: &[HolderEntry]) {
        self.holders.on_remote_reports(now, entries);
    }

    /// Takes the cached prefixes that this router has observed at back ends and not reported yet.
    pub fn take_holder_reports(&mut self) -> Vec<HolderEntry> {
        self.holders.take_reports()
    }

    /// This router's load on each back end where it has requests in flight. Requests that hang behind a lost path are no
    /// load there, and the other routers would leave room for them.
    pub fn own_loads(&self) -> Vec<LoadEntry> {
        self.endpoints
            .own_loads(|endpoint| self.paths.cuts_off(endpoint))
    }

    /// Records the load that the other routers put on back ends. With `is_whole`, back ends that are not listed have
    /// none; otherwise the load of those is unchanged.
    pub fn set_others_loads(&mut self, is_whole: bool, loads: &[LoadEntry]) {
        self.endpoints.set_others(is_whole, loads);
    }

    /// Updates the set of prompt parts that a store holds. `known` is false when the store is unresponsive.
    pub fn on_store_contents(
        &mut self,
        store: StoreId,
        known: bool,
        reset: bool,
        added: &[StoredKey],
        removed: &[StoredKey],
    ) {
        self.stores
            .on_store_contents(store, known, reset, added, removed);
    }

    /// Records the status headers in a back end's answer to a request that was sent at `request_sent_at`. If the
    /// answer may belong to an earlier request, the caller passes the earliest possible time.
    pub fn on_notice(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        notice: BackEndNotice,
        request_sent_at: Timestamp,
    ) -> NoticeChange {
        let context = NoticeContext {
            now,
            request_sent_at,
            routers: self.router_count.get(),
            seed: self.random.random(),
        };
        self.endpoints.on_notice(instance, notice, context)
    }

    /// The limit on requests per second from all routers together that a back end has announced, if any.
    pub fn limit_of(&self, instance: &InstanceId) -> Option<RequestRate> {
        self.endpoints.get(instance)?.notices.limit()
    }

    /// A request that was assigned to a back end, and sent at `sent_at`, has ended there. Returns true if the back end
    /// has become unresponsive.
    pub fn finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        sent_at: Timestamp,
        outcome: Outcome,
    ) -> bool {
        if outcome == Outcome::Answered {
            self.record_service_time(instance, now.since(sent_at));
        }
        let became_unresponsive = self.endpoints.finished(now, instance, sent_at, outcome);
        if became_unresponsive {
            self.suspect(instance);
        }
        if outcome == Outcome::Shed {
            self.pause_at_brittle(now, instance);
        }
        if matches!(outcome, Outcome::Shed | Outcome::OtherWeights) {
            self.on_refused(now, instance);
        }
        became_unresponsive
    }

    /// Number of this router's requests in flight at all back ends.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.in_flight()
    }

    fn is_confirmed(&self, now: Timestamp) -> bool {
        let age = self.view_age(now);
        age.is_some_and(|age| age < self.params.key_lease)
    }

    fn charge(
        &mut self,
        now: Timestamp,
        tenant: &Tenant,
        declared_tokens: Option<u32>,
    ) -> Result<Option<Charge>, Refusal> {
        let sample = self.random.random();
        let accounts = &mut self.tenant_accounts;
        let admitted = accounts.admit(now, &tenant.name, declared_tokens, sample);
        admitted.map_err(Refusal::OverLimit)
    }

    fn find(&self, head: &RequestHead<'_>) -> Result<(Rc<Route>, Option<Rc<Tenant>>), Refusal> {
        let route = self.view.route(head.host, head.path);
        let route = route.ok_or(Refusal::NoRoute)?;
        let tenant = self.authenticate(&route, head.key)?;
        Ok((route, tenant))
    }

    /// Reports an entry as missing only while the view is recent enough, because clients take that answer as final.
    fn missing_or_unconfirmed(&self, now: Timestamp, missing: Refusal) -> Refusal {
        let age = self.view_age(now);
        let is_sure = age.is_some_and(|age| age < self.params.absence_lease);
        if is_sure {
            missing
        } else {
            Refusal::Unconfirmed
        }
    }

    fn authenticate(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Rc<Tenant>>, Refusal> {
        if route.public || !self.view.has_tenants() {
            return Ok(None);
        }
        let tenant = key.and_then(|key| self.view.tenant(key));
        tenant.map(Some).ok_or(Refusal::UnknownKey)
    }
}

#[cfg(test)]
mod tests;
