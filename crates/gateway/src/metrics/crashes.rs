//! Metrics of what back ends were serving when they crashed.

use drumshore_gateway_core::FingerprintScope;
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

/// Fingerprints of the requests that back ends were serving when they crashed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashMetrics {
    evidence: Family<EvidenceLabel, Counter>,
}

impl CrashMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "crash_evidence",
            "Fingerprints of requests and prompt parts that crashed back ends were serving",
            Clone::clone(&self.evidence),
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
}
