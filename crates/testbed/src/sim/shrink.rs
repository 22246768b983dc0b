//! Reduces a failing plan: removes faults as long as the same invariant is violated.

use drumshore_guard::Guard;

use super::checks::Invariant;
use super::cluster::run;
use super::plan::Plan;

/// Removes, one after the other, faults without which the plan still violates the invariant.
pub(super) fn shrink(plan: &Plan, seed: u64, without: Option<Guard>, invariant: Invariant) -> Plan {
    let breaks = |plan: &Plan| {
        let report = run(plan, seed, without);
        report
            .failures
            .iter()
            .any(|failure| failure.invariant == invariant)
    };
    let mut smallest = plan.clone();
    let mut position = 0;
    while position < smallest.faults.len() {
        let mut smaller = smallest.clone();
        smaller.faults.remove(position);
        if breaks(&smaller) {
            smallest = smaller;
        } else {
            position += 1;
        }
    }
    smallest
}
