//! Work that ends the back ends which run it, and how it is kept from more of them.
//!
//! A request that crashes its back end comes again under a new identifier, at any router, so a bound on
//! the retries of one call does not bound it. Routers therefore report to all control machines which work
//! a back end had in hand when it ended. Control machines add the reports up, tell routers of work that
//! is suspected, and replicate a verdict, which outlasts every process.

mod completions;
mod ledger;

pub(crate) use completions::{Completions, COMPLETION_VALID_FOR};
pub(crate) use ledger::{CrashLedger, CrashReport};

use std::time::Duration;

/// Work under which so many back ends have ended, at as many moments, is quarantined. Two would do against
/// one crash at a time, but refuses work that was at two back ends of a pool that lost a quarter of them
/// twice: 58.8 of 1,000 requests in hand at such a pool, with three none (simulated, mean of ten seeds,
/// `ends_by_chance`).
pub(crate) const CRASHES_FOR_QUARANTINE: u32 = 3;

/// Work under which so many have ended is suspected: it runs without copies, goes to the back end that
/// has the least to lose, and is not sent on within a call.
pub(crate) const CRASHES_FOR_SUSPICION: u32 = 2;

/// One run of quarantined work is permitted at one router each so long after the verdict. Work that many
/// requests share and that has never run well yet may be condemned beside the culprit; nothing else tells
/// that it is innocent. A culprit costs one back end a trial, within the three that users allow.
pub(crate) const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(300),
];
/// Trials of works that were quarantined together are spread over this time, so that the culprit's does not
/// end the back end at which another work is tried.
pub(crate) const TRIAL_SPREAD: Duration = Duration::from_secs(4);
/// A permit that no request has used is void after this long.
pub(crate) const PERMIT_VALID_FOR: Duration = Duration::from_secs(20);

/// Quarantined work is released after this long and may be tried again: back ends may have been mended.
/// A further spell of it then costs three back ends in this time.
pub(crate) const QUARANTINE_FOR: Duration = Duration::from_secs(600);

/// Ends are remembered as long: work that comes more rarely costs a back end each time.
pub(crate) const REMEMBER_CRASHES_FOR: Duration = QUARANTINE_FOR;
