//! Selects the headers that are forwarded and sets the gateway's own.

use std::time::Duration;

use drumshore_gateway_core::{Admission, Choice};
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::HeaderMap;

use super::peer_forwarding::FORWARDED;
use crate::dialect::HeaderNames;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const EXPECT: HeaderName = hyper::header::EXPECT;
/// The least urgent priority that is sent to back ends; 0 is most urgent.
const LOWEST_PRIORITY: u8 = 9;

/// Removes the headers that apply to a single connection (RFC 9110 §7.6.1).
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    let hop_by_hop = [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
    ];
    for name in hop_by_hop {
        headers.remove(name);
    }
}

/// Replaces a repeated length, which the HTTP library accepts if all are the same, by one of them (RFC 9112 §6.3).
pub(super) fn merge_lengths(headers: &mut HeaderMap) {
    let Some(first) = headers.get(CONTENT_LENGTH) else {
        return;
    };
    let length = first.as_bytes().split(|byte| *byte == b',').next();
    let length = length.map(<[u8]>::trim_ascii).map(HeaderValue::from_bytes);
    if let Some(Ok(length)) = length {
        headers.insert(CONTENT_LENGTH, length);
    }
}

/// The caller's headers as sent to a back end, without those that depend on the attempt. Drops headers that only the
/// gateway may set.
pub(super) fn for_back_end(mut headers: HeaderMap, names: &HeaderNames) -> HeaderMap {
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let reserved = [
        &names.key,
        &names.tenant,
        &names.expect_instance,
        &names.expect_version,
        &names.priority,
        &names.cache_salt,
        &names.cache_fetch,
        &names.cache_save,
        &names.run_copy,
        &names.copied_run,
    ];
    for name in reserved.into_iter().chain(&names.reserved) {
        headers.remove(name);
    }
    headers.remove(FORWARDED);
    headers
}

/// Sets the headers that depend on the chosen back end and on the remaining time.
pub(super) fn set_for_attempt(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    admission: &Admission,
    choice: &Choice,
    remaining: Duration,
) {
    let mut set = |name: &HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(&names.deadline_ms, &remaining.as_millis().to_string());
    set(&names.expect_instance, choice.instance.as_str());
    if let Some(tenant) = &admission.tenant {
        set(&names.tenant, tenant.name.as_str());
    }
    if let Some(version) = choice.expected_version {
        set(&names.expect_version, &version.to_string());
    }
    if let Some(salt) = &choice.cache_salt {
        set(&names.cache_salt, salt);
        let priority = admission.priority.min(LOWEST_PRIORITY).to_string();
        set(&names.priority, &priority);
    }
    if let Some(store) = &choice.fetch_from {
        set(&names.cache_fetch, store);
    }
    if let Some(store) = &choice.save_to {
        set(&names.cache_save, store);
    }
    if let Some(copy) = &choice.copy {
        set(&names.run_copy, &copy.address);
    }
}
