//! Changes of load that other routers have to know before they place their next prompt.
//!
//! The prefill of a long prompt occupies a back end for about as long as the loads of other routers take to arrive at
//! their regular interval. Reported with the other changes, it would be known when it is nearly over, and routers would
//! send further long prompts to the same back end meanwhile.

use std::collections::HashMap;

use crate::LoadEntry;

/// The smallest change of a back end's waiting tokens that is reported at once: a long prompt.
pub(crate) const URGENT_TOKENS: u32 = 2_048;

/// Whether the waiting tokens of any back end differ between two reports by at least a long prompt.
pub(crate) fn is_urgent(before: &[LoadEntry], after: &[LoadEntry]) -> bool {
    let mut pending: HashMap<u32, u16> = before
        .iter()
        .map(|entry| (entry.key, entry.pending))
        .collect();
    let differs =
        |one: u16, other: u16| u32::from(one.abs_diff(other)) * LoadEntry::TOKENS >= URGENT_TOKENS;
    let changed = after.iter().any(|entry| {
        let earlier = pending.remove(&entry.key).unwrap_or_default();
        differs(earlier, entry.pending)
    });
    changed || pending.values().any(|earlier| differs(*earlier, 0))
}

#[cfg(test)]
#[path = "load_change_tests.rs"]
mod tests;
