//! Quarantine of requests that crash the back ends which serve them.
//!
//! A client repeats a request that crashed its back end with a new request identifier, at any router, so a limit on
//! the retries of one request does not stop it. Routers therefore recognize requests by fingerprint, and report to all
//! control machines which fingerprints a back end was serving when it crashed. Control machines aggregate the
//! reports, announce suspected fingerprints to routers, and replicate the decision to quarantine one, so that it
//! survives the restart of any process.

mod completions;
mod ledger;

pub(crate) use completions::{Completions, COMPLETION_VALID_FOR};
pub(crate) use ledger::{CrashLedger, CrashReport};

use std::time::Duration;

/// The number of incidents, each with a crash while serving a fingerprint, after which it is quarantined. Two would be
/// enough against isolated crashes, but would also quarantine innocent requests when a pool loses a quarter of its
/// back ends twice: 58.8 of 1,000 requests being served in such a pool, against none with three (simulated by
/// `quarantined_by_chance`, mean of ten seeds).
pub(crate) const CRASHES_FOR_QUARANTINE: u32 = 3;

/// The number of incidents after which a fingerprint is suspected: its requests run without copies, go to the back end
/// with the least load to lose, and are not retried within a call.
pub(crate) const CRASHES_FOR_SUSPICION: u32 = 2;

/// The delays after the quarantine decision at which one router may run one request with the fingerprint as a trial. A
/// fingerprint that many requests share and that has not completed yet may be quarantined together with the one that
/// causes the crashes, and only a trial shows that it is innocent. A trial of the cause crashes one more back end,
/// within the three crashes that users accept.
pub(crate) const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(300),
];
/// Trials of fingerprints that were quarantined together are spread over this time, so that the trial that crashes its
/// back end does not hit another trial there.
pub(crate) const TRIAL_SPREAD: Duration = Duration::from_secs(4);
/// The time after which an unused trial permit expires.
pub(crate) const PERMIT_VALID_FOR: Duration = Duration::from_secs(20);

/// A quarantined fingerprint is released after this time, because the back ends may have been fixed. If they have not,
/// it crashes three back ends again, once per this period.
pub(crate) const QUARANTINE_FOR: Duration = Duration::from_secs(600);

/// The time for which crashes are remembered. A fingerprint that arrives less often crashes a back end each time.
pub(crate) const REMEMBER_CRASHES_FOR: Duration = QUARANTINE_FOR;
