//! Requests by which callers take up streams that were cut.

use std::time::Duration;

use drumshore_gateway_core::{ChoiceError, SoftwareKey, StreamKey};
use hyper::header::HeaderName;
use hyper::HeaderMap;

use super::control_links;
use super::forward::Call;
use super::streams::{self, Found, Source};
use super::Router;
use crate::dialect::HeaderNames;

/// Longer values identify no request, and are neither kept nor logged.
const MAX_VALUE_BYTES: usize = 128;
/// How often control machines are asked while the pool has several software versions.
const LOOKUP_ROUNDS: u32 = 2;
/// How long a request may wait for a confirmation of the view, as long as for the answers of control machines.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// What a request says of the stream that it takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TakeUp {
    /// The attempt that brought the first event of the stream; `None` if it is not named, or by no valid value.
    pub begun_by: Option<String>,
    /// The last event that the caller received; `None` if it is not named, or by no valid value.
    pub after: Option<String>,
    /// The stream, once it is known where it began.
    pub known_stream: Option<StreamKey>,
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
            known_stream: None,
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

/// The software version at which the stream of a take-up must go on, and the pool that has it; `None` for a request that
/// begins a stream.
pub(super) async fn required_software(
    router: &Router,
    call: &mut Call,
) -> Result<Option<SoftwareKey>, ChoiceError> {
    if call.take_up.is_none() || !call.admission.route.kind.is_stream() {
        return Ok(None);
    }
    let asked_at = router.clock.now();
    let stream = call.taken_up().and_then(|begun_by| {
        let core = router.core.borrow();
        core.stream_key(&call.admission, begun_by)
    });
    let (found, confirmation_wait) = find_out(router, call, stream).await;
    let (origin, source) = (found.software, found.source);
    let now = router.clock.now();
    let core = router.core.borrow();
    let known = core.known_versions(now, &call.admission);
    let required = core.continue_stream(now, call.received, &mut call.admission, origin);
    let outcome = match (&required, source) {
        (Ok(_), Source::Unknown) => "only_version",
        (Ok(_), _) => "known",
        (Err(ChoiceError::NoneOfSoftware), _) => "version_gone",
        (Err(_), _) => "unknown",
    };
    router.metrics.streams.count_take_up(outcome);
    tracing::info!(event = "take_up", id = %call.id, takes_up = call.taken_up(), after = call.taken_up_after(),
        outcome, source = source.as_str(), asked = found.asked, answered = found.answered,
        began_at = origin.map(tracing::field::display), pool = %call.admission.pool,
        serving_versions = known.serving, departed_versions = known.departed,
        are_departed_complete = known.are_departed_complete, known_for_ms = known.known_for.as_millis() as u64,
        view_age_ms = core.view_age(now).map(|age| age.as_millis() as u64),
        received_ms_ago = now.since(call.received).as_millis() as u64,
        confirmed_after_request = core.is_confirmed_after(call.received),
        confirmation_wait_ms = confirmation_wait.as_millis() as u64,
        asked_for_ms = now.since(asked_at).as_millis() as u64, revision = core.revision(),
        "router: a caller takes up a stream");
    drop(core);
    if let Some(take_up) = &mut call.take_up {
        take_up.known_stream = stream.filter(|_| source != Source::Unknown);
    }
    required.map(Some)
}

/// Finds out where the stream of a take-up began. If nobody knows and the view has one software version, waits for a
/// confirmation that there was no other one when the request arrived. Returns for how long it waited.
async fn find_out(router: &Router, call: &Call, stream: Option<StreamKey>) -> (Found, Duration) {
    let has_one_version = || {
        let (now, core) = (router.clock.now(), router.core.borrow());
        let one_version = core.one_software_in_view(now, &call.admission);
        one_version.is_some()
    };
    let rounds = if has_one_version() { 1 } else { LOOKUP_ROUNDS };
    let found = match stream {
        Some(stream) => streams::find(router, stream, rounds).await,
        None => Found::NOTHING,
    };
    let asked_at = router.clock.now();
    let awaits_confirmation = {
        let core = router.core.borrow();
        core.awaits_confirmation(asked_at, call.received, &call.admission, found.software)
    };
    if let Some(links) = router.streams.links().filter(|_| awaits_confirmation) {
        control_links::confirm_view(router, links, call.received, CONFIRMATION_TIMEOUT).await;
    }
    let waited = router.clock.now().since(asked_at);
    match stream {
        // This router was out of step when it asked.
        Some(stream) if awaits_confirmation && !has_one_version() => {
            let again = streams::find(router, stream, 1).await;
            (again.after(found), waited)
        }
        _ => (found, waited),
    }
}
