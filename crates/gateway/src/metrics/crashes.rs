//! Metrics of what back ends were serving when they crashed.

use drumshore_gateway_core::{CrashVerdict, FingerprintScope};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What a fingerprint identifies, and whether a crash counts against it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvidenceLabel {
    scope: &'static str,
    outcome: &'static str,
}

/// Whether a crash counts against a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VerdictLabel {
    outcome: &'static str,
}

/// Fingerprints of the requests that back ends were serving when they crashed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashMetrics {
    evidence: Family<EvidenceLabel, Counter>,
    verdicts: Family<VerdictLabel, Counter>,
}

impl CrashMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "crash_evidence",
            "Fingerprints of requests and prompt parts that crashed back ends were serving",
            Clone::clone(&self.evidence),
        );
        registry.register(
            "crash_verdicts",
            "Fingerprints that crashed back ends were serving, by whether the crash counts against them",
            Clone::clone(&self.verdicts),
        );
    }

    pub fn count_evidence(&self, scope: FingerprintScope, has_completed: bool) {
        let outcome = if has_completed {
            "completed_elsewhere"
        } else {
            "suspected"
        };
        let scope = scope.as_str();
        let label = EvidenceLabel { scope, outcome };
        self.evidence.get_or_create(&label).inc();
    }

    pub fn count_verdicts(&self, verdict: CrashVerdict, fingerprints: u32) {
        let outcome = verdict.as_str();
        let counter = self.verdicts.get_or_create(&VerdictLabel { outcome });
        counter.inc_by(u64::from(fingerprints));
    }
}
