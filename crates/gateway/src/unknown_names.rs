//! Names in messages of others that the gateway does not know: headers of answers and fields of documents.
//!
//! Back ends and operators gain headers and fields over time. When one states a requirement in a name that the gateway
//! ignores, the gateway may violate it while logs and metrics show no fault. So each name that is neither interpreted nor
//! known to be irrelevant is counted, and logged once.

use std::cell::RefCell;
use std::collections::HashSet;

use drumshore_gateway_core::InstanceId;
use hyper::header::HeaderName;
use hyper::HeaderMap;

use crate::metrics::Metrics;

/// Names that are counted separately; further ones are counted together. The limit is needed because whoever sends a
/// message chooses its names.
const MAX_NAMES: usize = 32;
/// The label of all further names.
const OTHER_NAMES: &str = "other";

/// The unknown names that this process has seen.
#[derive(Debug, Default)]
pub(crate) struct UnknownNames(RefCell<HashSet<String>>);

impl UnknownNames {
    /// Counts the unknown headers of a back end's answer; `is_known_header` calls
    /// [`Dialect::is_known_header`](crate::Dialect::is_known_header).
    pub fn record_headers(
        &self,
        is_known_header: impl Fn(&HeaderName) -> bool,
        metrics: &Metrics,
        instance: &InstanceId,
        headers: &HeaderMap,
    ) {
        for name in headers.keys().filter(|name| !is_known_header(name)) {
            let (label, is_new) = self.label(name.as_str());
            metrics.count_unknown_header(label);
            if is_new {
                tracing::warn!(event = "unknown_header", %name, %instance,
                    "a back end's answer has a header that the gateway does not know");
            }
        }
    }

    /// Counts the unknown fields of a document from `sender`.
    pub fn record_fields(&self, metrics: &Metrics, sender: &str, fields: &[String]) {
        for name in fields {
            let (label, is_new) = self.label(name);
            metrics.count_unknown_field(label);
            if is_new {
                tracing::warn!(
                    event = "unknown_field",
                    name,
                    sender,
                    "a document has a field that the gateway does not know"
                );
            }
        }
    }

    /// The label that counts a name, and whether the name is new.
    fn label<'a>(&self, name: &'a str) -> (&'a str, bool) {
        let mut seen = self.0.borrow_mut();
        if seen.contains(name) {
            return (name, false);
        }
        if seen.len() >= MAX_NAMES {
            return (OTHER_NAMES, false);
        }
        seen.insert(name.to_owned());
        (name, true)
    }
}

#[cfg(test)]
#[path = "unknown_names_tests.rs"]
mod tests;
