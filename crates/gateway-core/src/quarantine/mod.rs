//! Quarantine of requests, and of prompt parts, that crash the back ends which serve them.
//!
//! A client repeats a request that crashed its back end with a new request identifier, at any router, so a limit on
//! the retries of one request does not stop it. The cause may also be a part of prompts, in requests that are never the
//! same. Routers therefore recognize both by fingerprint, and report to all control machines which fingerprints a back
//! end was serving when it crashed. Control machines aggregate the reports, announce suspected fingerprints to routers,
//! and replicate the decision to quarantine one, so that it survives the restart of any process.

mod completions;
mod crash_times;
mod ledger;
mod verdict;

pub(crate) use completions::COMPLETION_VALID_FOR;
pub(crate) use ledger::{CrashLedger, CrashReport};
pub use verdict::{CrashEvidence, CrashVerdict, VerdictCounts};

use std::time::Duration;

use crate::{Fingerprint, FingerprintScope};

/// The number of incidents after which a fingerprint is suspected: its requests run without copies, go to the back end
/// with the least load to lose, and are not retried within a call.
pub(crate) const CRASHES_FOR_SUSPICION: u32 = 2;

/// Trials of fingerprints that were quarantined together are spread over this time, so that the trial that crashes its
/// back end does not hit another trial there.
pub(crate) const TRIAL_SPREAD: Duration = Duration::from_secs(4);
/// The time after which an unused trial permit expires.
pub(crate) const PERMIT_VALID_FOR: Duration = Duration::from_secs(20);

/// The time for which crashes are remembered. A fingerprint that arrives less often crashes a back end each time.
pub(crate) const REMEMBER_CRASHES_FOR: Duration = Duration::from_secs(600);

/// When fingerprints of one scope are quarantined, tried again and released.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantinePolicy {
    /// The number of incidents, each with a crash while serving the fingerprint, after which it is quarantined.
    pub crashes: u32,
    /// How long control machines wait for contradicting reports before they propose the quarantine.
    pub confirmation_delay: Duration,
    /// The delays after the decision at which one router may run one request with the fingerprint as a trial. A
    /// fingerprint that many requests share and that has not completed yet may be quarantined together with the one
    /// that causes the crashes, and only a trial shows that it is innocent. A trial of the cause crashes one more back
    /// end; users accept three.
    pub trial_delays: &'static [Duration],
    /// The fingerprint is released after this time, because the back ends may have been fixed. If they have not, it
    /// crashes as many back ends again.
    pub lasts: Duration,
}

/// Two incidents would be enough against isolated crashes, but would also quarantine innocent requests when a pool loses
/// a quarter of its back ends twice.
const REQUEST_POLICY: QuarantinePolicy = QuarantinePolicy {
    crashes: 3,
    confirmation_delay: Duration::ZERO,
    trial_delays: &[
        Duration::from_secs(10),
        Duration::from_secs(60),
        Duration::from_secs(300),
    ],
    lasts: Duration::from_secs(600),
};

/// A quarantine of a prompt part concerns requests of many callers. It takes more incidents than that of a request, so
/// that a request which is sent three times does not condemn the parts of its prompt, and reports that contradict it
/// have time to arrive.
const PROMPT_PART_POLICY: QuarantinePolicy = QuarantinePolicy {
    crashes: 4,
    confirmation_delay: Duration::from_millis(300),
    trial_delays: &[Duration::from_secs(10), Duration::from_secs(60)],
    lasts: Duration::from_secs(24 * 3_600),
};

impl QuarantinePolicy {
    /// The policy for the scope of a fingerprint.
    pub fn of(fingerprint: Fingerprint) -> &'static Self {
        match fingerprint.scope() {
            FingerprintScope::Request => &REQUEST_POLICY,
            FingerprintScope::PromptPart => &PROMPT_PART_POLICY,
        }
    }
}
