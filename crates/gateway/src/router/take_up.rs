//! Requests by which callers take up streams that were cut.

use hyper::header::HeaderName;
use hyper::HeaderMap;

use crate::dialect::HeaderNames;

/// Longer values identify no request, and are neither kept nor logged.
const MAX_VALUE_BYTES: usize = 128;

/// What a request says of the stream that it takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TakeUp {
    /// The attempt that brought the first event of the stream; `None` if it is not named, or by no valid value.
    pub begun_by: Option<String>,
    /// The last event that the caller received; `None` if it is not named, or by no valid value.
    pub after: Option<String>,
}

impl TakeUp {
    /// `None` for a request that takes up no stream.
    pub fn of(headers: &HeaderMap, names: &HeaderNames) -> Option<Self> {
        let is_named = |name: &HeaderName| {
            let mut values = headers.get_all(name).iter();
            values.any(|value| !value.is_empty())
        };
        let takes_up = is_named(&names.last_event_id) || is_named(&names.taken_up_request);
        takes_up.then(|| Self {
            begun_by: only_value(headers, &names.taken_up_request),
            after: only_value(headers, &names.last_event_id),
        })
    }
}

/// The value of a header that occurs once with a value of limited length.
fn only_value(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let mut values = headers.get_all(name).iter();
    let (value, None) = (values.next()?, values.next()) else {
        return None;
    };
    let value = value.to_str().ok()?.trim();
    let is_valid = !value.is_empty() && value.len() <= MAX_VALUE_BYTES;
    is_valid.then(|| value.to_owned())
}
