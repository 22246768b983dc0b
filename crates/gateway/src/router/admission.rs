//! Decides by the head of a request whether it is admitted.

use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{Admission, Prompt, Refusal, RequestHead};
use hyper::header::HOST;
use hyper::{HeaderMap, Request};
use tokio::time::timeout;

use super::forward::header;
use super::peer_forwarding;
use super::refusal::Refused;
use super::Router;
use crate::caller_body::CallerBody;

/// Requests that other routers may have open here. Each of them has callers of its own to serve.
const MAX_FORWARDED_REQUESTS: usize = 400;

/// Admits a request; waits for the first confirmed view where that is allowed.
pub(super) async fn admit_when_confirmed(
    router: &Router,
    request: &Request<CallerBody>,
    received: Timestamp,
) -> Result<(Admission, Option<Prompt>), Refused> {
    loop {
        let now = router.clock.now();
        let confirmed = router.first_view.confirmed();
        let admitted = admit(router, request, now);
        let Err(Refused::ByView(Refusal::NoConfiguration | Refusal::Unconfirmed)) = admitted else {
            return admitted;
        };
        let remaining = router.first_view.remaining_wait(now, received);
        let Some(remaining) = remaining.filter(|_| router.stopping.get().is_none()) else {
            return admitted;
        };
        let _waiting = router.first_view.waiting();
        let _ = timeout(remaining, confirmed).await;
    }
}

fn admit(
    router: &Router,
    request: &Request<CallerBody>,
    now: Timestamp,
) -> Result<(Admission, Option<Prompt>), Refused> {
    let names = router.dialect.headers();
    let headers = request.headers();
    let host = host_of(request);
    let key = headers.get(&names.key).and_then(|key| key.to_str().ok());
    let head = RequestHead {
        host: &host,
        path: request.uri().path(),
        key,
        declared_tokens: router.dialect.declared_tokens(headers),
    };
    let admission = router.core.borrow_mut().admit(now, head)?;
    let is_forwarded = peer_forwarding::is_forwarded(headers);
    let limits = TimeLimits::of(router, headers, &admission);
    let refused = if !router.can_answer_before_exit(limits.answer) {
        Some(Refused::Stopping)
    } else if is_forwarded && router.open_requests.forwarded() > MAX_FORWARDED_REQUESTS {
        Some(Refused::TooManyForwarded)
    } else {
        None
    };
    if let Some(refused) = refused {
        router.core.borrow_mut().refund(now, &admission);
        return Err(refused);
    }
    if let Some((tenant, charge)) = admission.tenant.as_ref().zip(admission.charge) {
        let metrics = &router.metrics;
        metrics.count_limit_units(tenant.name.as_str(), "admitted", charge.cost);
    }
    let prompt = router.dialect.prompt(headers);
    Ok((admission, prompt))
}

/// How long a request may take, from its head on.
pub(super) struct TimeLimits {
    /// How long its caller waits, over all its attempts.
    pub caller: Duration,
    /// The time within which its answer must end.
    pub answer: Duration,
}

impl TimeLimits {
    pub fn of(router: &Router, headers: &HeaderMap, admission: &Admission) -> Self {
        let timeout = admission.route.timeout;
        let named = header(headers, &router.dialect.headers().deadline_ms);
        let named = named.parse().ok().map(Duration::from_millis);
        let caller = named.unwrap_or(timeout);
        Self {
            caller,
            answer: caller.min(timeout),
        }
    }
}

/// The lowercase name of the host that the request is for, without the port.
fn host_of<B>(request: &Request<B>) -> String {
    let named = request.headers().get(HOST);
    let host = named
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let without_port = host.rsplit_once(':').map_or(host, |(host, _)| host);
    without_port.to_ascii_lowercase()
}
