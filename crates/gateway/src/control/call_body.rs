//! Reads the bodies of calls to a control machine, within limits.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Response, StatusCode};

use super::Control;
use crate::answer::{self, AnswerBody};
use crate::body_reception::{BodyError, BodyLimits};
use crate::caller_body::CallerBody;
use crate::dialect::ControlCall;
use crate::memory_account::Charge;
use crate::server::{NoAnswer, Peer};

/// When to repeat a call that was refused because this machine holds too many bytes of others.
const RETRY_WITHOUT_MEMORY: Duration = Duration::from_millis(100);

/// Limits of a whole configuration.
const CONFIGURATION_LIMITS: BodyLimits = BodyLimits {
    bytes: 8 << 20,
    time: Duration::from_secs(20),
};
/// Limits of other calls. Each back end may have one under way.
const OTHER_LIMITS: BodyLimits = BodyLimits {
    bytes: 256 << 10,
    time: Duration::from_secs(3),
};

/// The body of a call, which counts as held until this is dropped.
pub(super) struct CallBody {
    bytes: Bytes,
    _charge: Charge,
}

impl CallBody {
    /// The whole body.
    pub fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

/// Why the body of a call was not read.
pub(super) enum Unread {
    /// Its caller is told why; the call has changed nothing.
    Refused(Box<Response<AnswerBody>>),
    /// Its caller has left.
    NoAnswer(NoAnswer),
}

/// Reads the body of a call.
pub(super) async fn read(
    control: &Control,
    call: &ControlCall,
    body: CallerBody,
    caller: Option<Peer>,
) -> Result<CallBody, Unread> {
    let limits = limits_of(call);
    let receptions = &control.receptions;
    match receptions.receive(body, limits).await {
        Ok(body) => {
            let bytes = body.to_contiguous();
            Ok(CallBody {
                _charge: receptions.account().charge(bytes.len()),
                bytes,
            })
        }
        Err(error) => {
            log_unread(control, caller, limits, &error);
            Err(refuse(&error))
        }
    }
}

fn limits_of(call: &ControlCall) -> BodyLimits {
    match call {
        ControlCall::PutConfiguration => CONFIGURATION_LIMITS,
        ControlCall::GetConfiguration
        | ControlCall::SetTargetWeights
        | ControlCall::Heartbeat(_)
        | ControlCall::Deregister(_)
        | ControlCall::Directory { .. } => OTHER_LIMITS,
    }
}

fn log_unread(control: &Control, caller: Option<Peer>, limits: BodyLimits, error: &BodyError) {
    let account = control.receptions.account();
    control.metrics.count_decision("unread");
    control.receptions.count_rejected(error.as_str());
    tracing::info!(
        event = "call_unread",
        caller = caller.map(|peer| tracing::field::display(peer.0)),
        reason = error.as_str(),
        max_bytes = limits.bytes,
        max_ms = limits.time.as_millis() as u64,
        held_bytes = account.held(),
        max_held_bytes = account.limit(),
        "control: the body of a call was not received; closing its connection"
    );
}

fn refuse(error: &BodyError) -> Unread {
    let mut response = match error {
        BodyError::TooLarge => answer::plain(StatusCode::PAYLOAD_TOO_LARGE, ""),
        BodyError::NoMemory => {
            answer::refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_WITHOUT_MEMORY)
        }
        BodyError::Stalled | BodyError::TimedOut => answer::plain(StatusCode::REQUEST_TIMEOUT, ""),
        BodyError::Broken => return Unread::NoAnswer(NoAnswer),
    };
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    Unread::Refused(Box::new(response))
}
