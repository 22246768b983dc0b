//! Reads the bodies of calls to a control machine, within limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::Control;
use crate::dialect::ControlCall;
use crate::server::{NoAnswer, Peer};

/// How long the body of a call may be, and how long its arrival may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallLimits {
    bytes: usize,
    time: Duration,
}

/// Limits of a whole configuration.
const CONFIGURATION_LIMITS: CallLimits = CallLimits {
    bytes: 8 << 20,
    time: Duration::from_secs(20),
};
/// Limits of other calls. Each back end may have one under way.
const OTHER_LIMITS: CallLimits = CallLimits {
    bytes: 256 << 10,
    time: Duration::from_secs(3),
};

impl CallLimits {
    fn of(call: &ControlCall) -> Self {
        match call {
            ControlCall::PutConfiguration => CONFIGURATION_LIMITS,
            ControlCall::GetConfiguration
            | ControlCall::SetTargetWeights
            | ControlCall::Heartbeat(_)
            | ControlCall::Deregister(_)
            | ControlCall::Directory { .. } => OTHER_LIMITS,
        }
    }
}

/// Reads the body of a call; `NoAnswer`, which closes the connection, when it exceeds a limit or breaks off.
pub(super) async fn read(
    control: &Control,
    call: &ControlCall,
    body: Incoming,
    caller: Option<Peer>,
) -> Result<Bytes, NoAnswer> {
    let limits = CallLimits::of(call);
    let reading = Limited::new(body, limits.bytes).collect();
    let reason = match timeout(limits.time, reading).await {
        Ok(Ok(body)) => return Ok(body.to_bytes()),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    control.metrics.count_decision("unread");
    tracing::info!(
        event = "call_unread",
        caller = caller.map(|peer| tracing::field::display(peer.0)),
        reason,
        max_bytes = limits.bytes,
        max_ms = limits.time.as_millis() as u64,
        "control: the body of a call broke off or exceeded a limit; closing its connection"
    );
    Err(NoAnswer)
}
