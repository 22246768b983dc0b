//! Detects headers in back ends' answers that the gateway does not know.
//!
//! Back ends gain new headers over time. When one states a requirement in a header that the gateway ignores, the gateway
//! may overload it while logs and metrics show no fault. So each name that is neither interpreted nor known to be
//! irrelevant is counted, and logged once.

use std::cell::RefCell;
use std::collections::HashSet;

use drumshore_gateway_core::InstanceId;
use hyper::header::HeaderName;
use hyper::HeaderMap;

use crate::metrics::Metrics;

/// Names that are counted separately; further ones are counted together. The limit is needed because whoever sends an
/// answer chooses its headers.
const MAX_NAMES: usize = 32;
/// The label of all further names.
const OTHER_NAMES: &str = "other";

/// The unknown header names that this process has seen.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(RefCell<HashSet<HeaderName>>);

impl UnknownHeaders {
    /// Counts the unknown headers of a back end's answer; `is_known_header` calls
    /// [`Dialect::is_known_header`](crate::Dialect::is_known_header).
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

    /// The label that counts a name. Logs the name when it is new.
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
            "a back end's answer has a header that the gateway does not know");
        name.as_str()
    }
}

#[cfg(test)]
#[path = "unknown_headers_tests.rs"]
mod tests;
