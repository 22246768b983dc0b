//! The caches that a back end fetches the shared parts of a prompt from, and the store that it saves them to.

use drumshore_core::Timestamp;

use super::homes::{home_key, rendezvous_score};
use super::stores::StoreUse;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};
use crate::{CacheStore, StoreId};

/// Source and destination of a prompt's cached parts.
#[derive(Default)]
pub(super) struct CacheUse {
    /// Address of a back end or store to fetch from, IP:PORT.
    pub fetch_from: Option<String>,
    /// The store at `fetch_from`; `None` when that is a back end.
    pub from_store: Option<StoreId>,
    /// Address of the store to save to, IP:PORT.
    pub save_to: Option<String>,
}

/// Addresses of other back ends that may hold a prompt's shared parts, IP:PORT.
#[derive(Clone, Copy, Default)]
pub(super) struct OtherCaches<'a> {
    /// The back end that is estimated to hold more of them than the chosen one.
    pub holder: Option<&'a str>,
    /// The prompt's home, if it is not the chosen back end.
    pub home: Option<&'a str>,
}

impl RouterCore {
    /// Chooses the source of a prompt's cached parts. The store is used if it holds all shared parts and is not slow.
    /// Otherwise another back end is the better source: one that is estimated to hold more parts than the chosen one,
    /// else the prompt's home. Without such a back end the store is used if it holds any of them, because a
    /// slow fetch still costs less than prefilling the prompt again.
    pub(super) fn cache_use(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        salt: &str,
        others: OtherCaches<'_>,
    ) -> CacheUse {
        let back_end = others.holder.or(others.home);
        let Some((id, address, store_use)) = self.store_use(now, admission, prompt, salt) else {
            return CacheUse {
                fetch_from: back_end.map(str::to_owned),
                ..CacheUse::default()
            };
        };
        let from_store = match back_end {
            Some(_) => store_use.parts == prompt.shared_parts().len() && !store_use.is_slow,
            None => store_use.parts > 0,
        };
        let source = if from_store { Some(address) } else { back_end };
        CacheUse {
            fetch_from: source.map(str::to_owned),
            from_store: from_store.then_some(id),
            save_to: store_use.save.then(|| address.to_owned()),
        }
    }

    /// The store that is assigned to a prompt, its address (IP:PORT) and what it holds of the prompt.
    pub(super) fn store_use(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        salt: &str,
    ) -> Option<(StoreId, &str, StoreUse)> {
        let key = home_key(&prompt.model, prompt.shared_parts()).unwrap_or_default();
        let zone = self.home_zone(admission, key);
        let stores = self.cache_stores(admission);
        let (id, address) = self.stores.store_of(key, zone, stores)?;
        Some((id, address, self.stores.use_for(now, id, prompt, salt)))
    }

    /// The zone of a prompt's home, even while the home is loading weights or unresponsive, so that the store
    /// of a prompt does not change with the state of its home.
    fn home_zone(&self, admission: &Admission, key: u64) -> Option<&str> {
        let pool = NameHash::of(admission.pool.as_str());
        let pool = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.summary.pool == pool && endpoint.summary.is_ready);
        let home = pool.max_by_key(|(id, _)| rendezvous_score(id, key));
        home.map(|(_, endpoint)| endpoint.record.zone.as_str())
    }

    /// The stores that the pool of a request may use; none for a pool without models.
    fn cache_stores(&self, admission: &Admission) -> impl Iterator<Item = &CacheStore> {
        let has_models = self
            .pool(admission)
            .is_some_and(|pool| pool.models.is_some());
        let document = self.view.document().filter(|_| has_models);
        let pools = document.into_iter().flat_map(|document| &document.pools);
        pools.filter_map(|pool| pool.store.as_ref())
    }
}

/// The cache salt of a prompt. Parts cached under other weights, or by another tenant if the tenant is isolated, have
/// another salt and are never used.
pub(super) fn salt(admission: &Admission, prompt: &Prompt, version: Option<u64>) -> String {
    let model = prompt.model.as_str();
    let version = version.unwrap_or(0);
    let isolated = admission.tenant.as_ref().filter(|tenant| tenant.isolated);
    match isolated {
        Some(tenant) => format!("{model}.{version}.{}", tenant.name),
        None => format!("{model}.{version}"),
    }
}
