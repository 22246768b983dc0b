//! Which back ends may continue a stream: those that run the software version that began it.

use super::candidate::Candidate;
use super::summary::NameHash;
use super::{Admission, RouterCore};
use crate::SoftwareKey;

impl RouterCore {
    /// Removes the back ends that must not continue a stream that a back end of `required` began; `None` for a request
    /// that may begin anywhere.
    ///
    /// Back ends that declare no version continue each other's streams only if no back end of the pool declares one.
    pub(super) fn retain_required_software(
        &self,
        candidates: &mut Vec<Candidate<'_>>,
        admission: &Admission,
        required: Option<SoftwareKey>,
    ) {
        let Some(required) = required else {
            return;
        };
        let is_undeclared = required == SoftwareKey::undeclared(&admission.pool);
        if is_undeclared && self.declares_software(admission) {
            candidates.clear();
        }
        candidates.retain(|candidate| candidate.endpoint.summary.software == required);
    }

    /// Whether any back end of the request's pool declares the version of its software.
    fn declares_software(&self, admission: &Admission) -> bool {
        let pool = NameHash::of(admission.pool.as_str());
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|(_, endpoint)| {
            endpoint.summary.pool == pool && endpoint.record.software.is_declared()
        })
    }
}

#[cfg(test)]
#[path = "required_software_tests.rs"]
mod tests;
