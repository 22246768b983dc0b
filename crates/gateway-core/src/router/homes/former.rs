//! The former home of a prompt during a rollout of weights.
//!
//! Each back end that finishes loading becomes the home of some of the prompts that another one has prefilled under the
//! new weights before. Which one that was follows from the rendezvous order and from the revisions at which the loads
//! finished, which all routers know, long before the contents of caches are reported.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::{home_key, rendezvous_score};
use crate::router::candidate::{Candidate, Placed};
use crate::router::{Admission, Prompt, RouterCore};

/// For how long after new weights were named prompts are fetched from their former homes. Later the contents of caches
/// are known.
const FORMER_HOME_TTL: Duration = Duration::from_secs(15);

impl RouterCore {
    /// Address of the back end that was a prompt's home until the chosen one had loaded the same weights; `None` if it
    /// has none, or if these weights were not named recently.
    pub(in crate::router) fn former_home(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
        placed: &Placed,
        usable: &[Candidate<'_>],
    ) -> Option<String> {
        let model = prompt.model.as_str();
        let named = self.view.named_within(model, now, FORMER_HOME_TTL);
        if named.is_none() || named != placed.version || prompt.is_short() || placed.rank > 0 {
            return None;
        }
        let key = home_key(&prompt.model, prompt.shared_parts())?;
        let chosen = usable
            .iter()
            .find(|candidate| *candidate.id == placed.instance)?;
        let loaded_at = chosen.endpoint.record.revision;
        let pool_partition = self.pool_partition(admission);
        let earlier = usable.iter().filter(|other| {
            other.version == placed.version
                && other.endpoint.record.revision < loaded_at
                && pool_partition.prefers(other.endpoint, false)
                && !other.endpoint.is_limited()
        });
        let former = earlier.max_by_key(|other| rendezvous_score(other.id, key))?;
        Some(former.endpoint.record.address.as_str().to_owned())
    }
}
