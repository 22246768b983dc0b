//! Handles one request: admits it, reads its body and tries back ends until one answers.

use std::rc::Rc;

use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{
    Admission, Choice, ChoiceError, FingerprintInput, InstanceId, Prompt, RequestFingerprints,
    MAX_STREAM_LIFETIME,
};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};

use super::admission::{admit_when_confirmed, TimeLimits};
use super::attempt::{self, Answered, Attempt, Unanswered};
use super::end_cause::EndCause;
use super::forwarded_answer::forward_answer;
use super::open_attempt::{outcome_name, received_ms_ago};
use super::open_requests::{OpenRequest, Progress};
use super::peer_forwarding::{self, PeerAnswer};
use super::refusal::{self, Refused, Unserved};
use super::resume::Attempts;
use super::take_up::{self, TakeUp};
use super::unread;
use super::Router;
use crate::answer::AnswerBody;
use crate::body_reception::{BodyError, BodyLimits};
use crate::caller_body::CallerBody;
use crate::request_body::RequestBody;
use crate::server::NoAnswer;

/// Limit of all attempts, including those that reached no back end and so do not count towards the route's limit.
const MAX_TRIES: usize = 4;

/// An admitted request whose body has been read.
pub(super) struct Call {
    pub id: String,
    pub progress: Rc<Progress>,
    pub received: Timestamp,
    pub deadline: Timestamp,
    /// When the caller stops waiting, over all its attempts.
    pub caller_deadline: Timestamp,
    pub admission: Admission,
    pub prompt: Option<Prompt>,
    pub parts: Parts,
    pub body: RequestBody,
    /// The request's fingerprints; none before the key for fingerprints is known.
    pub fingerprints: RequestFingerprints,
    /// Whether another router forwarded it.
    pub is_forwarded: bool,
    /// The stream that it takes up, if any.
    pub take_up: Option<TakeUp>,
    /// Times before this call at which back ends crashed while serving the same request.
    pub crashes_before_call: u32,
}

impl Call {
    /// The attempt that brought the first event of the stream that the request takes up, as the caller names it.
    pub fn taken_up(&self) -> Option<&str> {
        self.take_up.as_ref()?.begun_by.as_deref()
    }

    /// The last event that the caller received of the stream that the request takes up.
    pub fn taken_up_after(&self) -> Option<&str> {
        self.take_up.as_ref()?.after.as_deref()
    }

    /// The name of the tenant whose key the caller sent.
    pub fn tenant(&self) -> Option<&str> {
        let tenant = self.admission.tenant.as_ref();
        tenant.map(|tenant| tenant.name.as_str())
    }
}

/// Serves one request of a caller. While the process is stopping, the answer closes its connection.
pub(super) async fn serve(
    router: Rc<Router>,
    request: Request<CallerBody>,
) -> Result<Response<AnswerBody>, NoAnswer> {
    let is_forwarded = peer_forwarding::is_forwarded(request.headers());
    let received = router.clock.now();
    let id = header(request.headers(), &router.dialect.headers().request_id);
    let mut open = OpenRequest::new(&router, &id, received, is_forwarded);
    let exiting = || router.exit_notices.final_answers.given();
    let refuse = |refused: Refused| {
        let may_be_served_elsewhere = refused.concerns_this_router();
        let leaves_body_unread = refused.leaves_body_unread();
        let mut response = refusal::refuse(&router, &id, received, refused);
        if is_forwarded && may_be_served_elsewhere {
            peer_forwarding::mark_declined(&mut response);
        }
        if leaves_body_unread {
            announce_close(&mut response);
        }
        response
    };
    open.hold(unread::charge_head(&router, &request));
    let admitting = async {
        if open.holds_head() {
            admit_when_confirmed(&router, &request, received).await
        } else {
            Err(Refused::NoMemory)
        }
    };
    let admitted = tokio::select! {
        biased;
        admitted = admitting => admitted,
        () = exiting() => Err(Refused::Stopping),
    };
    let mut response = match admitted {
        Ok((admission, prompt)) => {
            let progress = Rc::clone(&open.progress);
            let reading = read_call(&router, id.clone(), progress, admission, prompt, request);
            tokio::select! {
                biased;
                call = reading => match call {
                    Ok(call) => answer(&router, call, open).await,
                    Err(error) => refuse(unread::refusal(&error).ok_or(NoAnswer)?),
                },
                () = exiting() => refuse(Refused::Stopping),
            }
        }
        Err(refused) => {
            unread::discard_body(request.into_body());
            refuse(refused)
        }
    };
    if router.stopping.get().is_some() {
        announce_close(&mut response);
    }
    Ok(response)
}

/// Tells the caller that its connection is closed after the answer.
fn announce_close(response: &mut Response<AnswerBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

async fn read_call(
    router: &Router,
    id: String,
    progress: Rc<Progress>,
    admission: Admission,
    prompt: Option<Prompt>,
    request: Request<CallerBody>,
) -> Result<Call, BodyError> {
    let received = progress.received;
    let limits = TimeLimits::of(router, request.headers(), &admission);
    let max_body_bytes = router
        .core
        .borrow()
        .document()
        .map_or(0, |document| document.limits.body_bytes);
    let is_forwarded = peer_forwarding::is_forwarded(request.headers());
    let take_up = TakeUp::of(request.headers(), router.dialect.headers());
    let (parts, body) = request.into_parts();
    let body_limits = BodyLimits {
        bytes: max_body_bytes,
        time: limits.answer,
    };
    let body = router.receptions.receive(body, body_limits).await;
    let body = body.inspect_err(|error| {
        unread::record(router, &id, &progress, error);
        let now = router.clock.now();
        router.core.borrow_mut().refund(now, &admission);
    })?;
    let deadline = received.plus(limits.answer);
    progress.on_received(deadline);
    router.log_admission_while_stopping(&id, admission.route.name.as_str(), limits.answer);
    let fingerprints = fingerprints_of(router, &parts, &admission, &body, prompt.as_ref());
    let core = router.core.borrow();
    let request = fingerprints.request();
    let crashes_before_call = request.map_or(0, |request| core.crash_count(request));
    Ok(Call {
        id,
        progress,
        fingerprints,
        is_forwarded,
        take_up,
        crashes_before_call,
        received,
        deadline,
        caller_deadline: received.plus(limits.caller.min(MAX_STREAM_LIFETIME)),
        admission,
        prompt,
        parts,
        body,
    })
}

fn fingerprints_of(
    router: &Router,
    parts: &Parts,
    admission: &Admission,
    body: &RequestBody,
    prompt: Option<&Prompt>,
) -> RequestFingerprints {
    let target = parts.uri.path_and_query();
    let tenant = admission.tenant.as_ref();
    let input = FingerprintInput {
        method: parts.method.as_str(),
        host: &admission.route.host,
        target: target.map_or("", |target| target.as_str()),
        tenant: tenant.map_or("", |tenant| tenant.name.as_str()),
        body: &body.parts(),
    };
    router.core.borrow().identify(&input, prompt)
}

/// How the search for an answer ended.
enum Found {
    Answer {
        choice: Choice,
        answered: Box<Answered>,
        attempts: Attempts,
    },
    FromPeer(PeerAnswer),
    Nowhere {
        /// Back ends that were chosen.
        tried: Vec<InstanceId>,
        reason: Unserved,
    },
}

impl Found {
    fn nowhere(attempts: Attempts, error: Option<ChoiceError>) -> Self {
        Self::Nowhere {
            tried: attempts.tried,
            reason: Unserved::NoBackEnd(error),
        }
    }
}

/// Answers a request whose body has been read. When the process exits before an answer has begun, the caller is told
/// whether the request may have run.
async fn answer(router: &Rc<Router>, mut call: Call, open: OpenRequest) -> Response<AnswerBody> {
    let found = tokio::select! {
        biased;
        found = find_answer(router, &mut call) => found,
        () = router.exit_notices.final_answers.given() => Found::Nowhere {
            tried: Vec::new(),
            reason: Unserved::Exiting,
        },
    };
    match found {
        Found::Answer {
            choice,
            answered,
            attempts,
        } => forward_answer(router, call, &choice, *answered, open, attempts),
        Found::FromPeer(answer) => peer_forwarding::forward_answer(router, &call, open, answer),
        Found::Nowhere { tried, reason } => refusal::answer_unserved(router, &call, &tried, reason),
    }
}

/// Tries back ends until one answers, the attempts are used up or the deadline has passed.
async fn find_answer(router: &Rc<Router>, call: &mut Call) -> Found {
    let mut attempts = Attempts::default();
    let has_path = !router.core.borrow().has_lost_path(&call.admission.pool);
    if has_path {
        match take_up::required_software(router, call).await {
            Ok(required) => attempts.required_software = required,
            Err(error) => return Found::nowhere(attempts, Some(error)),
        }
    }
    for _ in 0..MAX_TRIES {
        let now = router.clock.now();
        if call.deadline <= now {
            break;
        }
        if router.core.borrow().has_lost_path(&call.admission.pool) {
            if call.is_forwarded {
                return Found::nowhere(attempts, Some(ChoiceError::NoPath));
            }
            let is_retry = attempts.sent > 0;
            if !is_retry || router.core.borrow_mut().charge_retry(now, &call.admission) {
                let answer = peer_forwarding::forward(router, call).await;
                let without_path =
                    || Found::nowhere(Attempts::default(), Some(ChoiceError::NoPath));
                return answer.map_or_else(without_path, Found::FromPeer);
            }
        }
        let earlier = attempts.earlier(call);
        let prompt = call.prompt.as_ref();
        let chosen = router
            .core
            .borrow_mut()
            .choose(now, &call.admission, prompt, earlier);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => return Found::nowhere(attempts, Some(error)),
        };
        attempts.tried.push(choice.instance.clone());
        match attempt::make(router, call, &choice, attempts.sent, None).await {
            Attempt::Answered(answered) => {
                attempts.sent += 1;
                return Found::Answer {
                    choice,
                    answered,
                    attempts,
                };
            }
            Attempt::Unanswered(unanswered) => {
                log_unanswered(router, call, &choice, unanswered);
                call.progress.on_unanswered(unanswered.execution);
                attempts.record(unanswered);
                if !may_try_again(&call.admission, call.progress.execution(), attempts.sent) {
                    break;
                }
            }
        }
    }
    let now = router.clock.now();
    let prompt = call.prompt.as_ref();
    let error = router
        .core
        .borrow_mut()
        .pool_backoff(now, &call.admission, prompt);
    Found::nowhere(attempts, error)
}

/// Logs an attempt without an answer to forward.
pub(super) fn log_unanswered(
    router: &Router,
    call: &Call,
    choice: &Choice,
    unanswered: Unanswered,
) {
    let now = router.clock.now();
    let elapsed = now.since(call.received);
    let cause = unanswered.cause;
    let sent_ago = unanswered.sent_at.map(|sent_at| now.since(sent_at));
    tracing::info!(event = "attempt_ended", id = %call.id, work = call.fingerprints.request().map(tracing::field::display),
        instance = %choice.instance,
        outcome = outcome_name(unanswered.outcome), execution = unanswered.execution.as_str(),
        sent = unanswered.sent, version = choice.expected_version, software = choice.software.as_str(), chosen_by = unanswered.basis.revision,
        view_age_ms = unanswered.basis.view_age_ms(), connection_wait_ms = unanswered.basis.connection_wait_ms(),
        elapsed_ms = elapsed.as_millis() as u64, cause = cause.map(EndCause::as_str),
        sent_ms_ago = cause.and(sent_ago).map(|ago| ago.as_millis() as u64),
        received_ms_ago = cause.and_then(|_| received_ms_ago(router, choice)),
        remaining_ms = cause.map(|_| call.deadline.since(now).as_millis() as u64),
        event_loop_late_ms = cause.map(|_| router.event_loop_delay.late_ms()),
        "router: an attempt at a back end ended without an answer to forward");
}

/// Whether another back end may be tried. A request that may have run is sent again only if it may run twice.
pub(super) fn may_try_again(admission: &Admission, worst_execution: Execution, sent: u32) -> bool {
    let route = &admission.route;
    let repeatable = worst_execution == Execution::NotRun || route.kind.may_repeat();
    repeatable && sent < route.max_attempts.max(1)
}

pub(super) fn header(headers: &HeaderMap, name: &hyper::header::HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
