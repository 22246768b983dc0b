//! How much of a back end its requests occupy, as routers and the leader estimate it from reported loads.

/// Back ends prefill prompts in chunks of about this many tokens. While a whole chunk waits, a back end is busy with
/// prefill all the time.
const PREFILL_CHUNK_TOKENS: f64 = 4_096.0;

/// The fraction of a back end that is occupied, from 0 to 1: the fraction of its slots, or the fraction of a prefill
/// chunk that waits there, whichever is larger.
pub(crate) fn occupancy(in_flight: u32, slots: u32, pending_tokens: u32) -> f64 {
    let slots_used = f64::from(in_flight) / f64::from(slots.max(1));
    let prefill = f64::from(pending_tokens) / PREFILL_CHUNK_TOKENS;
    slots_used.max(prefill).min(1.0)
}

#[cfg(test)]
#[path = "occupancy_tests.rs"]
mod tests;
