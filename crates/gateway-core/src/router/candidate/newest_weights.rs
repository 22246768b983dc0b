//! Prompts that are led to the newest weights while only some back ends of their pool hold them.
//!
//! During a rollout callers want answers from the named weights, but the first back ends to hold them cannot carry the
//! whole load. Each router leads as much of the load there as they can carry. Prompts are selected by a hash of
//! their shared parts, so that all routers lead the same prompts: a shared part is then prefilled once under the new
//! weights and fetched from there by the next prompts, instead of being kept up under both.

use super::Candidate;
use crate::occupancy::occupancy;
use crate::router::homes::home_key;
use crate::router::{Prompt, RouterCore};
use crate::LoadEntry;

/// Occupancy that led prompts may bring back ends with the newest weights to. Above it, prompts wait noticeably for each
/// other.
const TARGET_OCCUPANCY: f64 = 0.7;

/// The back ends of a pool during a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RolloutProgress {
    /// Back ends that may receive requests.
    pub back_ends: usize,
    /// Those of them that hold the newest weights.
    pub newest: usize,
    /// Sum of the occupancies of all of them, each from 0 to 1.
    pub occupied: f64,
}

impl RolloutProgress {
    /// The fraction of the prompts to lead to the newest weights.
    pub fn led_fraction(&self) -> f64 {
        let capacity = self.newest as f64 * TARGET_OCCUPANCY;
        if self.occupied <= capacity {
            1.0
        } else {
            capacity / self.occupied
        }
    }
}

impl RouterCore {
    /// Restricts the back ends that a prompt may be placed on to those with the newest weights, if it is led there.
    pub(in crate::router) fn lead_to_newest_weights<'a>(
        &self,
        prompt: Option<&Prompt>,
        usable: Vec<Candidate<'a>>,
        sample: u64,
    ) -> Vec<Candidate<'a>> {
        let Some(prompt) = prompt else {
            return usable;
        };
        let newest = usable.iter().map(|candidate| candidate.version).max();
        let Some(newest) = newest else {
            return usable;
        };
        let holds_newest = |candidate: &&Candidate<'_>| candidate.version == newest;
        let progress = RolloutProgress {
            back_ends: usable.len(),
            newest: usable.iter().filter(holds_newest).count(),
            occupied: usable.iter().map(occupancy_of).sum(),
        };
        if progress.newest == progress.back_ends || !self.knows_loads(&usable) {
            return usable;
        }
        let key = home_key(&prompt.model, prompt.shared_parts()).unwrap_or(sample);
        let position = key as f64 / u64::MAX as f64;
        if position >= progress.led_fraction() {
            return usable;
        }
        let led = usable
            .into_iter()
            .filter(|candidate| candidate.version == newest);
        led.collect()
    }

    /// Whether this router knows the load of the others. Without it, all would lead all of their prompts to the first
    /// back ends with newer weights.
    fn knows_loads(&self, usable: &[Candidate<'_>]) -> bool {
        let mut candidates = usable.iter();
        self.router_count.get() <= 1
            || candidates.any(|candidate| candidate.endpoint.has_load_of_others())
    }
}

fn occupancy_of(candidate: &Candidate<'_>) -> f64 {
    let endpoint = candidate.endpoint;
    let pending = endpoint.pending_tokens + u32::from(endpoint.others.pending) * LoadEntry::TOKENS;
    occupancy(endpoint.all_in_flight(), endpoint.slots(), pending)
}

#[cfg(test)]
#[path = "newest_weights_tests.rs"]
mod tests;
