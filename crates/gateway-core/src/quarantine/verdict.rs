//! Whether reported crashes count against the fingerprints that the back ends were serving.

use crate::Fingerprint;

/// Whether a crash counts against a fingerprint that the back end was serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// It counts.
    Counted,
    /// It was recorded before.
    Known,
    /// A quarantined fingerprint caused it.
    Attributed,
    /// A request with the fingerprint completed recently.
    RecentlyCompleted,
    /// As many crashes as are kept for one fingerprint are recorded, and this one adds least.
    Excess,
}

impl CrashVerdict {
    /// All verdicts.
    pub const ALL: [Self; 5] = [
        Self::Counted,
        Self::Known,
        Self::Attributed,
        Self::RecentlyCompleted,
        Self::Excess,
    ];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Counted => "counted",
            Self::Known => "known",
            Self::Attributed => "attributed",
            Self::RecentlyCompleted => "completed_elsewhere",
            Self::Excess => "excess",
        }
    }
}

/// What a crash means for one fingerprint that the back end was serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether the crash counts.
    pub verdict: CrashVerdict,
    /// The incidents counted for the fingerprint, this one included.
    pub crashes: u32,
}

/// How many fingerprints got each verdict on one crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VerdictCounts([u32; CrashVerdict::ALL.len()]);

impl VerdictCounts {
    /// Adds a fingerprint.
    pub fn add(&mut self, verdict: CrashVerdict) {
        self.0[verdict as usize] += 1;
    }

    /// Whether no fingerprint got another verdict.
    pub fn are_all(&self, verdict: CrashVerdict) -> bool {
        self.0.iter().sum::<u32>() == self.of(verdict)
    }

    /// The number of fingerprints with a verdict.
    pub fn of(&self, verdict: CrashVerdict) -> u32 {
        self.0[verdict as usize]
    }
}

#[cfg(test)]
#[path = "verdict_tests.rs"]
mod tests;
