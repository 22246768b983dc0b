//! Where a stream goes on that a caller takes up.

use std::collections::BTreeSet;
use std::time::Duration;

use drumshore_core::Timestamp;

use super::summary::NameHash;
use super::{Admission, Choice, ChoiceError, RouterCore};
use crate::{
    PoolName, SoftwareKey, StreamKey, StreamOrigin, TenantKey, TenantName, MAX_STREAM_LIFETIME,
};

/// What a router knows of the software versions that a request's streams may have begun at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Versions that back ends run.
    pub serving: usize,
    /// Versions that left within the life of a stream and that no back end runs.
    pub departed: usize,
    /// Whether these are all that left within the life of a stream.
    pub are_departed_complete: bool,
    /// For how long this router has observed which versions leave.
    pub known_for: Duration,
}

impl RouterCore {
    /// What this router knows of the software versions of the pools of a request's route, for logs.
    pub fn known_versions(&self, now: Timestamp, admission: &Admission) -> KnownVersions {
        let names = || pools(admission).map(|pool| NameHash::of(pool.as_str()));
        let serving: BTreeSet<SoftwareKey> =
            names().flat_map(|pool| self.software_in(pool)).collect();
        let departed = &self.departed_versions;
        let departed: BTreeSet<SoftwareKey> = names()
            .flat_map(|pool| departed.within_lifetime(now, pool))
            .collect();
        KnownVersions {
            serving: serving.len(),
            departed: departed.difference(&serving).count(),
            are_departed_complete: self.departed_versions.are_complete(now),
            known_for: self.departed_versions.observed_for(now),
        }
    }

    /// The key of the stream that an attempt of this tenant began; `None` before the key of the hash is known, and for
    /// an attempt without an identifier.
    pub fn stream_key(&self, admission: &Admission, request_id: &str) -> Option<StreamKey> {
        let secret = self.view.fingerprint_key()?;
        let tenant = tenant_name(admission);
        (!request_id.is_empty()).then(|| StreamKey::of(secret, tenant.as_str(), request_id))
    }

    /// The origin of a stream that a back end has begun or continues.
    pub fn stream_origin(
        &self,
        admission: &Admission,
        choice: &Choice,
        stream: StreamKey,
        lifetime: Duration,
    ) -> StreamOrigin {
        let software = SoftwareKey::of(&admission.pool, &choice.software);
        let tenant = TenantKey::of(&tenant_name(admission));
        StreamOrigin::new(stream, tenant, software, lifetime)
    }

    /// The software version at which a stream that a caller takes up must go on. Moves the request to the pool whose
    /// back ends run it. `origin` is the version that began the stream, if it is known; `received` is when the request
    /// arrived.
    ///
    /// A stream of unknown origin goes on only if there is one version that it can have begun at.
    pub fn continue_stream(
        &self,
        now: Timestamp,
        received: Timestamp,
        admission: &mut Admission,
        origin: Option<SoftwareKey>,
    ) -> Result<SoftwareKey, ChoiceError> {
        let Some(origin) = self.recorded_origin(admission, origin) else {
            let sole = self.sole_software(now, received, admission);
            return sole.ok_or(ChoiceError::UnknownOrigin);
        };
        let pool = self.pool_that_runs(admission, origin);
        admission.pool = pool.ok_or(ChoiceError::NoneOfSoftware)?;
        Ok(origin)
    }

    /// Whether a stream of this origin can go on only once a quorum has confirmed the view, asked after `received`.
    pub fn awaits_confirmation(
        &self,
        now: Timestamp,
        received: Timestamp,
        admission: &Admission,
        origin: Option<SoftwareKey>,
    ) -> bool {
        self.recorded_origin(admission, origin).is_none()
            && self.one_software_in_view(now, admission).is_some()
            && !self.is_confirmed_after(received)
    }

    /// Whether this router's view holds all that was accepted up to `at`, as confirmed by a quorum.
    pub fn is_confirmed_after(&self, at: Timestamp) -> bool {
        self.view.is_confirmed_after(at)
    }

    /// The only software version that a stream on the request's route can have begun at before the request was received.
    ///
    /// The version of a back end is accepted before a router begins a stream there, and the caller of a broken stream
    /// returns after that. A view that was confirmed before the request arrived may lack this version, however recent the
    /// confirmation is.
    fn sole_software(
        &self,
        now: Timestamp,
        received: Timestamp,
        admission: &Admission,
    ) -> Option<SoftwareKey> {
        let sole = self.one_software_in_view(now, admission);
        sole.filter(|_| self.is_confirmed_after(received))
    }

    /// The only software version that back ends of the request's pool run, and ran for as long as a stream may last, as
    /// far as the view tells; `None` if there are several in any pool of its route, or if this router may lack one that has
    /// left.
    pub fn one_software_in_view(
        &self,
        now: Timestamp,
        admission: &Admission,
    ) -> Option<SoftwareKey> {
        if !self.departed_versions.are_complete(now) {
            return None;
        }
        // What left is remembered for no longer than this.
        if admission.route.timeout > MAX_STREAM_LIFETIME {
            return None;
        }
        let mut pools = pools(admission);
        if !pools.all(|pool| self.sole_version_of(now, pool).is_some()) {
            return None;
        }
        self.sole_version_of(now, &admission.pool)
    }

    /// The origin of a stream, unless it tells no more than that no version was recorded when the stream began.
    fn recorded_origin(
        &self,
        admission: &Admission,
        origin: Option<SoftwareKey>,
    ) -> Option<SoftwareKey> {
        origin.filter(|origin| !self.was_undeclared(admission, *origin))
    }

    fn sole_version_of(&self, now: Timestamp, pool: &PoolName) -> Option<SoftwareKey> {
        let name = NameHash::of(pool.as_str());
        let mut versions = self
            .software_in(name)
            .chain(self.departed_versions.within_lifetime(now, name));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Whether a stream began at a back end whose version was not recorded at that time, in a pool where versions are
    /// recorded by now.
    fn was_undeclared(&self, admission: &Admission, origin: SoftwareKey) -> bool {
        pools(admission).any(|pool| {
            let undeclared = SoftwareKey::undeclared(pool);
            let mut versions = self.software_in(NameHash::of(pool.as_str()));
            origin == undeclared && versions.any(|version| version != undeclared)
        })
    }

    fn pool_that_runs(&self, admission: &Admission, software: SoftwareKey) -> Option<PoolName> {
        let mut pools = pools(admission);
        let runs = |pool: &&PoolName| {
            let mut versions = self.software_in(NameHash::of(pool.as_str()));
            versions.any(|version| version == software)
        };
        pools.find(runs).cloned()
    }

    fn software_in(&self, pool: NameHash) -> impl Iterator<Item = SoftwareKey> + '_ {
        let endpoints = self.endpoints.iter();
        let in_pool = endpoints.filter(move |(_, endpoint)| endpoint.summary.pool == pool);
        in_pool.map(|(_, endpoint)| endpoint.summary.software)
    }
}

/// The pools that a request on the route may be sent to.
fn pools(admission: &Admission) -> impl Iterator<Item = &PoolName> {
    let shares = admission.route.shares.iter();
    let used = shares.filter(|share| share.weight > 0);
    used.map(|share| &share.pool)
}

fn tenant_name(admission: &Admission) -> TenantName {
    let tenant = admission.tenant.as_ref();
    tenant.map_or_else(|| TenantName::new(""), |tenant| tenant.name.clone())
}

#[cfg(test)]
#[path = "take_up_tests.rs"]
mod tests;
