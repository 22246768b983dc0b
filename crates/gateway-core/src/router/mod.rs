//! One router: what it knows, how long it may rely on it, and where requests go.

mod accounts;
mod addresses;
mod budget;
mod cache;
mod candidate;
mod choice;
mod copies;
mod endpoint;
mod endpoints;
mod holders;
mod homes;
mod least;
mod notices;
mod overload;
mod placement;
mod prompt_mix;
mod prompt_placement;
mod reads;
mod reported_loads;
mod request;
mod router_count;
mod sides;
mod split;
mod stores;
mod summary;
mod suspected_work;
mod view;

use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AccountLevel, BackEndNotice, Changes, Document, HolderEntry, InstanceId, InvalidDocument,
    Lifecycle, LoadEntry, Position, RequestRate, Route, StoreId, StoredKey, Tenant, UsageEntry,
    Work, WorkId,
};

pub use accounts::{Charge, OverLimit};
pub use choice::{CacheEstimate, Choice, RunCopy};
pub use endpoint::Outcome;
pub use notices::{LimitChange, NoticeChange};
pub use reported_loads::ReportedLoads;
pub use request::{
    Admission, Backoff, ChoiceError, EarlierAttempts, Overload, Prompt, PromptPart, Refusal,
    RequestHead,
};
pub use view::ViewError;

use accounts::TenantAccounts;
use budget::RetryBudget;
use endpoints::Endpoints;
use holders::Holders;
use notices::{Hearing, RoomUnderLimits};
use overload::PoolLoads;
use prompt_mix::PromptMix;
use router_count::RouterCount;
use split::Splitter;
use stores::Stores;
use suspected_work::SuspectedWork;
use view::View;

/// Bounds of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterParams {
    /// Its zone.
    pub zone: String,
    /// How long keys are honoured after the view was last confirmed as current.
    pub key_lease: Duration,
    /// How long after that the view may say that a route or key does not exist. One that was added since does.
    pub absence_lease: Duration,
    /// How long after new weights are named a request may still begin on older ones.
    pub version_grace: Duration,
    /// Repeats that all routers together may add, as a share of requests.
    pub retry_ratio: f64,
    /// Repeats that all routers together may add beyond the share, in one window.
    pub retry_slack: f64,
    /// The window.
    pub retry_window: Duration,
}

/// A fetch from the store is slow when the answer takes more than so many times its target.
const SLOW_FETCH: f64 = 1.3;

/// Silent back ends, and refusing ones, that wait to be told.
const MOST_SUSPECTS: usize = 64;

/// A router.
pub struct RouterCore {
    params: RouterParams,
    view: View,
    endpoints: Endpoints,
    splitter: Splitter,
    tenant_accounts: TenantAccounts,
    prompt_mix: PromptMix,
    pool_loads: PoolLoads,
    budget: RetryBudget,
    random: ChaCha8Rng,
    /// Sets apart the back ends that this router prefers of equals.
    first_draw: u64,
    /// Routers that share limits, retries and connections.
    router_count: RouterCount,
    room_under_limits: RoomUnderLimits,
    stores: Stores,
    holders: Holders,
    suspects: Vec<u32>,
    refusing: Vec<u32>,
    suspected_work: SuspectedWork,
}

impl RouterCore {
    /// A router that knows nothing yet.
    pub fn new(params: RouterParams, seed: u64) -> Self {
        Self {
            view: View::default(),
            endpoints: Endpoints::default(),
            splitter: Splitter::default(),
            tenant_accounts: TenantAccounts::default(),
            prompt_mix: PromptMix::default(),
            pool_loads: PoolLoads::default(),
            budget: RetryBudget::new(&params),
            random: ChaCha8Rng::seed_from_u64(seed),
            first_draw: xxh3_64(&seed.to_le_bytes()),
            params,
            router_count: RouterCount::default(),
            room_under_limits: RoomUnderLimits::default(),
            stores: Stores::default(),
            holders: Holders::default(),
            suspects: Vec::new(),
            refusing: Vec::new(),
            suspected_work: SuspectedWork::default(),
        }
    }

    /// The revision of the view.
    pub fn revision(&self) -> u64 {
        self.view.revision()
    }

    /// How far this router has come with the state; what it asks control machines for begins there.
    pub fn position(&self) -> Position {
        self.view.position()
    }

    /// The version of the configuration; 0 before the first one.
    pub fn configuration_version(&self) -> u64 {
        self.view.document().map_or(0, |document| document.version)
    }

    /// The configuration.
    pub fn document(&self) -> Option<&Document> {
        self.view.document()
    }

    /// How long ago the view was surely current; `None` when it never was.
    pub fn view_age(&self, now: Timestamp) -> Option<Duration> {
        self.view.confirmed().map(|at| now.since(at))
    }

    /// True once requests can be judged.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        self.view.document().is_some() && self.is_confirmed(now)
    }

    /// Takes in what changed; `parse` reads a configuration.
    pub fn apply(
        &mut self,
        now: Timestamp,
        changes: Changes,
        parse: impl FnOnce(&[u8]) -> Result<Document, InvalidDocument>,
    ) -> Result<(), ViewError> {
        let has_configuration = !changes.configuration.items.is_empty();
        self.view.apply(now, &changes, parse)?;
        if let Some(document) = self.view.document().filter(|_| has_configuration) {
            self.tenant_accounts.set_limits(now, document);
        }
        self.suspected_work.apply(now, &changes);
        self.update_endpoints(&changes);
        Ok(())
    }

    /// Hundreds of changes a second come while thousands of back ends register, so only those that
    /// changed are touched.
    fn update_endpoints(&mut self, changes: &Changes) {
        if changes.since == 0 {
            self.endpoints.replace_all(self.view.instances());
            return;
        }
        for removed in &changes.removed.items {
            self.endpoints.remove(removed.as_str());
        }
        for changed in &changes.instances.items {
            if let Some(record) = self.view.instance(changed.instance.as_str()) {
                self.endpoints.insert(record);
            }
        }
    }

    /// A quorum confirmed that nothing newer than `revision` was accepted before `asked`.
    pub fn on_confirmed(&mut self, asked: Timestamp, revision: u64, routers: u16) {
        self.view.on_confirmed(asked, revision);
        self.count_routers(asked, routers);
    }

    fn count_routers(&mut self, now: Timestamp, routers: u16) {
        let earlier = self.router_count.get();
        self.router_count.note(now, routers);
        let count = self.router_count.get();
        if count != earlier {
            self.endpoints.set_routers(now, count);
            self.budget.set_routers(count);
            self.tenant_accounts.set_routers(now, count);
        }
    }

    /// Finds route, tenant and pool of a request, and charges it to its tenant's limit.
    pub fn admit(&mut self, now: Timestamp, head: RequestHead<'_>) -> Result<Admission, Refusal> {
        if self.view.document().is_none() {
            return Err(Refusal::NoConfiguration);
        }
        if !self.is_confirmed(now) {
            return Err(Refusal::Unconfirmed);
        }
        let (route, tenant) = self
            .find(&head)
            .map_err(|missing| self.if_surely_missing(now, missing))?;
        let charge = match &tenant {
            Some(tenant) => self.charge(now, tenant, head.declared_tokens)?,
            None => None,
        };
        let pool = self.splitter.next(&route, &mut self.random);
        let own = tenant.as_ref().and_then(|tenant| tenant.priority);
        let priority = own.unwrap_or(route.priority);
        Ok(Admission {
            route,
            tenant,
            pool,
            priority,
            charge,
        })
    }

    /// True while a back end is known and has not said that it leaves, by a heartbeat or to this router. One that
    /// has ends as announced, so its end speaks against nothing that it had in hand.
    pub fn is_serving(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let endpoint = self.endpoints.get(instance);
        endpoint.is_some_and(|endpoint| {
            let is_ready = endpoint.record.lifecycle == Lifecycle::Ready;
            is_ready && !endpoint.notices.say_it_leaves(now)
        })
    }

    /// Identifies the work of a request; `None` before the key is known.
    pub fn identify(&self, work: &Work<'_>) -> Option<WorkId> {
        self.view.work_key().map(|key| key.identify(work))
    }

    /// An admitted request ran nowhere: its tenant's limit is as before.
    pub fn refund(&mut self, now: Timestamp, admission: &Admission) {
        if let Some(charge) = admission.charge {
            self.tenant_accounts.pay_back(now, charge);
        }
    }

    /// What this router charged to the limits of tenants and the leader does not know yet.
    pub fn take_usage(&mut self, now: Timestamp) -> Vec<UsageEntry> {
        self.tenant_accounts.take_usage(now)
    }

    /// Takes in how much is left of the limits of tenants.
    pub fn on_account_levels(&mut self, now: Timestamp, levels: &[AccountLevel]) {
        self.tenant_accounts.on_levels(now, levels);
    }

    /// Chooses a back end and counts the request there until [`RouterCore::finished`].
    ///
    /// Only an attempt after one that arrived at a back end is a retry: a connection that was
    /// refused puts no load on the pool, and the retry budget bounds that load.
    pub fn choose(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        earlier: EarlierAttempts<'_>,
    ) -> Result<Choice, ChoiceError> {
        self.judge_work(now, &earlier)?;
        let is_retry = earlier.arrived > 0;
        if earlier.tried.is_empty() {
            self.budget.on_request(now, &admission.pool);
        } else if is_retry && !self.budget.may_retry(now, &admission.pool) {
            return Err(ChoiceError::NoBudget);
        }
        if let Some(prompt) = prompt.filter(|_| earlier.tried.is_empty()) {
            self.refuse_overload(now, admission, prompt)?;
        }
        let choice = self.place(now, admission, prompt, &earlier)?;
        if let Some(prompt) = prompt.filter(|_| earlier.tried.is_empty()) {
            let models = self.pool(admission).and_then(|pool| pool.models.as_ref());
            let slots = models.map_or(1, |models| models.slots);
            self.prompt_mix.note(prompt, choice.tokens, slots);
        }
        if is_retry {
            self.budget.on_retry(now, &admission.pool);
            if let Some(charge) = admission.charge {
                self.tenant_accounts.charge_again(now, charge);
            }
        }
        self.endpoints.started(now, &choice.instance, choice.tokens);
        Ok(choice)
    }

    /// The answer to a request that was chosen for has begun, or its attempt has ended. `took` is
    /// the time since it was sent, when an answer came, and `target` the time it should take.
    pub fn answered(
        &mut self,
        now: Timestamp,
        choice: &Choice,
        took: Option<Duration>,
        target: Duration,
    ) {
        self.endpoints.answered(&choice.instance, choice.tokens);
        let slow = took.is_some_and(|took| took > target.mul_f64(SLOW_FETCH));
        if let Some(store) = choice.fetches_from_store.filter(|_| slow) {
            self.stores.on_slow_fetch(now, store);
        }
    }

    /// The back end that was chosen has accepted the request and read its prompt: a success has begun.
    pub fn accepted(&mut self, now: Timestamp, choice: &Choice) {
        self.endpoints.accepted(&choice.instance);
        let instance = choice.instance.as_str();
        self.holders.on_read(now, &choice.prefixes, instance);
    }

    /// Takes in what other routers learned of the caches of back ends.
    pub fn on_holders(&mut self, now: Timestamp, entries: &[HolderEntry]) {
        self.holders.on_news(now, entries);
    }

    /// What this router learned of them and the others do not know yet.
    pub fn take_holder_reports(&mut self) -> Vec<HolderEntry> {
        self.holders.take_news()
    }

    /// What this router puts on back ends.
    pub fn own_loads(&self) -> Vec<LoadEntry> {
        self.endpoints.own_loads()
    }

    /// Takes in what the other routers put on back ends; `is_whole` when back ends that are not
    /// named are free of it.
    pub fn set_others_loads(&mut self, is_whole: bool, loads: &[LoadEntry]) {
        self.endpoints.set_others(is_whole, loads);
    }

    /// Takes in what a store holds. `known` is false when the store does not answer.
    pub fn on_stored(
        &mut self,
        store: StoreId,
        known: bool,
        reset: bool,
        added: &[StoredKey],
        removed: &[StoredKey],
    ) {
        self.stores.on_stored(store, known, reset, added, removed);
    }

    /// Takes in what a back end said of itself to this router, in the answer to a request that was sent at `asked`;
    /// an answer that may be to an earlier one is as old as can be.
    pub fn on_notice(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        notice: BackEndNotice,
        asked: Timestamp,
    ) -> NoticeChange {
        let hearing = Hearing {
            now,
            asked,
            routers: self.router_count.get(),
            seed: self.random.random(),
        };
        self.endpoints.on_notice(instance, notice, hearing)
    }

    /// Requests a second that a back end takes from all routers together, when it has named a limit.
    pub fn limit_of(&self, instance: &InstanceId) -> Option<RequestRate> {
        self.endpoints.get(instance)?.notices.limit()
    }

    /// False once a back end has asked this router for no requests, or says that it leaves. A request that was
    /// placed there before and has not been sent must not be.
    pub fn allows_requests(&self, now: Timestamp, instance: &InstanceId) -> bool {
        self.endpoints.allows_requests(now, instance)
    }

    /// A request that was chosen for, and sent at `begun`, has left its back end. True when that
    /// has fallen silent.
    pub fn finished(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        begun: Timestamp,
        outcome: Outcome,
    ) -> bool {
        if outcome == Outcome::Answered {
            self.note_stay(instance, now.since(begun));
        }
        let fell_silent = self.endpoints.finished(now, instance, begun, outcome);
        if fell_silent {
            self.suspect(LoadEntry::key_of(instance.as_str()));
        }
        let is_refused = matches!(outcome, Outcome::Shed | Outcome::OtherWeights);
        // One that asked for a pause meant this router. Others that avoided it as well would crowd the rest of the
        // pool.
        let is_for_all = is_refused && self.endpoints.allows_requests(now, instance);
        if is_for_all && self.refusing.len() < MOST_SUSPECTS {
            self.refusing.push(LoadEntry::key_of(instance.as_str()));
        }
        fell_silent
    }

    fn suspect(&mut self, back_end: u32) {
        if self.suspects.len() < MOST_SUSPECTS {
            self.suspects.push(back_end);
        }
    }

    /// Back ends that this router found silent, or that have ended, and the others do not know of yet.
    pub fn take_suspects(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.suspects)
    }

    /// Back ends that turned this router's requests away and the others do not know of yet.
    pub fn take_refusing(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.refusing)
    }

    /// Takes in which back ends turned other routers' requests away.
    pub fn on_refusing(&mut self, now: Timestamp, keys: &[u32]) {
        self.endpoints.on_refusing(now, keys);
    }

    /// Takes in which back ends another router found silent; returns those that may be.
    pub fn on_suspects(&mut self, now: Timestamp, keys: &[u32]) -> Vec<InstanceId> {
        self.endpoints.on_suspects(now, keys)
    }

    /// Requests in flight from this router.
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
        let draw = self.random.random();
        let accounts = &mut self.tenant_accounts;
        let admitted = accounts.admit(now, &tenant.name, declared_tokens, draw);
        admitted.map_err(Refusal::OverLimit)
    }

    fn find(&self, head: &RequestHead<'_>) -> Result<(Rc<Route>, Option<Rc<Tenant>>), Refusal> {
        let route = self.view.route(head.host, head.path);
        let route = route.ok_or(Refusal::NoRoute)?;
        let tenant = self.judge_key(&route, head.key)?;
        Ok((route, tenant))
    }

    /// Callers take it as final that something does not exist.
    fn if_surely_missing(&self, now: Timestamp, missing: Refusal) -> Refusal {
        let age = self.view_age(now);
        let is_sure = age.is_some_and(|age| age < self.params.absence_lease);
        if is_sure {
            missing
        } else {
            Refusal::Unconfirmed
        }
    }

    fn judge_key(&self, route: &Route, key: Option<&str>) -> Result<Option<Rc<Tenant>>, Refusal> {
        if route.public || !self.view.has_tenants() {
            return Ok(None);
        }
        let tenant = key.and_then(|key| self.view.tenant(key));
        tenant.map(Some).ok_or(Refusal::UnknownKey)
    }
}

#[cfg(test)]
mod tests;
