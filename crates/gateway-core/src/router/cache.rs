//! Where the cached parts of a prompt come from and go to.

use drumshore_core::Timestamp;

use super::homes::{home_key, weight};
use super::stores::StoreUse;
use super::summary::NameHash;
use super::{Admission, Prompt, RouterCore};
use crate::{CacheStore, StoreId};

/// Where a prompt's cached parts come from and go to.
#[derive(Default)]
pub(super) struct CacheUse {
    /// A back end or a store, IP:PORT.
    pub fetch_from: Option<String>,
    /// The store that this is, when it is not another back end.
    pub from_store: Option<StoreId>,
    /// A store, IP:PORT.
    pub save_to: Option<String>,
}

/// Back ends that may hold a prompt's shared parts, IP:PORT.
#[derive(Clone, Copy, Default)]
pub(super) struct OtherCaches<'a> {
    /// Believed to hold more of them than the chosen back end.
    pub holder: Option<&'a str>,
    /// The prompt's home, when that is not the chosen one.
    pub home: Option<&'a str>,
}

impl RouterCore {
    /// The store gives what it is known to hold. When that is not all that is shared, or the store
    /// is slow, another back end is the better source: one that is believed to hold more than the
    /// chosen one, else the prompt's home. With no such back end a slow fetch still costs less than
    /// to read the prompt again.
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

    /// The store of a prompt, IP:PORT, and what it is good for.
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

    /// The zone of a prompt's home, also while that is loading weights or does not answer: the
    /// place of what is stored should not change with it.
    fn home_zone(&self, admission: &Admission, key: u64) -> Option<&str> {
        let pool = NameHash::of(admission.pool.as_str());
        let pool = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.summary.pool == pool && endpoint.summary.is_ready);
        let home = pool.max_by_key(|(id, _)| weight(id, key));
        home.map(|(_, endpoint)| endpoint.record.zone.as_str())
    }

    /// The stores that the pool of a request may use.
    fn cache_stores(&self, admission: &Admission) -> impl Iterator<Item = &CacheStore> {
        let has_models = self
            .pool(admission)
            .is_some_and(|pool| pool.models.is_some());
        let document = self.view.document().filter(|_| has_models);
        let pools = document.into_iter().flat_map(|document| &document.pools);
        pools.filter_map(|pool| pool.store.as_ref())
    }
}

/// What was cached under other weights, or by another tenant when one is isolated, has another
/// salt and so is never used.
pub(super) fn salt(admission: &Admission, prompt: &Prompt, version: Option<u64>) -> String {
    let model = prompt.model.as_str();
    let version = version.unwrap_or(0);
    let isolated = admission.tenant.as_ref().filter(|tenant| tenant.isolated);
    match isolated {
        Some(tenant) => format!("{model}.{version}.{}", tenant.name),
        None => format!("{model}.{version}"),
    }
}
