//! A family of counters by kind.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// A family of counters by kind; the kinds are a fixed set of names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters(pub(super) Family<KindLabel, Counter>);

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct KindLabel {
    kind: &'static str,
}

impl Counters {
    pub fn add(&self, kind: &'static str, amount: u64) {
        self.0.get_or_create(&KindLabel { kind }).inc_by(amount);
    }
}
