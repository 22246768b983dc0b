//! Headers of answers that nobody reads.
//!
//! Back ends gain words over time, and one that says what it needs in a header that the gateway does not know is given
//! what it cannot bear while all lines look well. So each name that is neither read nor known to need no reading is
//! counted, and said once.

use std::cell::RefCell;
use std::collections::HashSet;

use drumshore_gateway_core::InstanceId;
use hyper::header::HeaderName;
use hyper::HeaderMap;

use crate::metrics::Metrics;

/// Names that are told apart; further ones are counted as one. Whoever makes an answer chooses its headers.
const MAX_NAMES: usize = 32;
/// Stands for all names beyond them.
const OTHER_NAMES: &str = "other";

/// The unknown names that this process has seen.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(RefCell<HashSet<HeaderName>>);

impl UnknownHeaders {
    /// Looks through the head of an answer of a back end; `is_known_header` is what [`Dialect::is_known_header`](crate::Dialect::knows_of) says.
    pub fn record(
        &self,
        is_known_header: impl Fn(&HeaderName) -> bool,
        metrics: &Metrics,
        instance: &InstanceId,
        headers: &HeaderMap,
    ) {
        for name in headers.keys().filter(|name| !is_known_header(name)) {
            let label = self.label(name, instance);
            metrics.count_unknown_header(label);
        }
    }

    /// The name that it is counted by; a line when it is new.
    fn label<'a>(&self, name: &'a HeaderName, instance: &InstanceId) -> &'a str {
        let mut seen = self.0.borrow_mut();
        if seen.contains(name) {
            return name.as_str();
        }
        if seen.len() >= MAX_NAMES {
            return OTHER_NAMES;
        }
        seen.insert(name.clone());
        tracing::warn!(event = "unknown_header", %name, %instance,
            "a back end's answer carries a header that nobody reads");
        name.as_str()
    }
}

#[cfg(test)]
#[path = "unknown_headers_tests.rs"]
mod tests;
