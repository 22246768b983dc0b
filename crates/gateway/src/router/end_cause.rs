//! Why an attempt at a back end ended without a whole answer.

use crate::answer_head::HeadFault;
use crate::connection_errors::ConnectionError;
use crate::upstream::Connection;

/// Why an attempt ended without a whole answer, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// The request's deadline passed.
    Deadline,
    /// This process is about to exit.
    Exit,
    /// The head of the answer did not arrive within the time after which another back end is tried.
    HeadTimeout,
    /// The back end sent nothing and accepted no connections.
    BackEndSilent,
    /// The stream was broken off before, and no back end resumed it.
    NotResumed,
    /// The connection ended before any of the request was sent on it.
    NotSent,
    /// The answer was that to another request.
    SurplusAnswer,
    /// The body ended inside an event, or before the first one or any byte.
    InsideEvent,
    /// The body went on behind the length that the back end declared.
    LengthExceeded,
    /// The back end crashed when it ended an answer with its connection.
    BackEndCrashed,
    /// The back end left when it ended an answer with its connection.
    BackEndLeft,
    /// The back end ended an answer with its connection, and did not respond after that.
    BackEndUnresponsive,
    /// The head of the answer is not that of a back end, or not whole.
    Head(HeadFault),
    /// The answer exceeded a limit.
    LimitExceeded,
    /// The connection to the back end ended.
    Connection(ConnectionError),
}

impl EndCause {
    /// The cause of an error of the body of an answer that arrives over `connection`.
    pub fn of_body(connection: Option<&Connection>, error: &hyper::Error) -> Self {
        Self::Connection(match connection {
            Some(connection) => connection.body_error(error),
            None => ConnectionError::of(error),
        })
    }

    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Exit => "process_exit",
            Self::HeadTimeout => "head_timeout",
            Self::BackEndSilent => "back_end_silent",
            Self::NotResumed => "not_resumed",
            Self::NotSent => "not_sent",
            Self::SurplusAnswer => "surplus_answer",
            Self::InsideEvent => "ended_inside_event",
            Self::LengthExceeded => "length_exceeded",
            Self::BackEndCrashed => "back_end_crashed",
            Self::BackEndLeft => "back_end_left",
            Self::BackEndUnresponsive => "back_end_unresponsive",
            Self::Head(fault) => fault.as_str(),
            Self::LimitExceeded => "limit_exceeded",
            Self::Connection(error) => connection_error_name(error),
        }
    }
}

fn connection_error_name(error: ConnectionError) -> &'static str {
    match error {
        ConnectionError::Closed => "back_end_closed",
        ConnectionError::Reset => "back_end_reset",
        ConnectionError::Unacknowledged => "unacknowledged",
        ConnectionError::NoRoute => "no_route",
        ConnectionError::Malformed => "malformed",
        ConnectionError::HeadTimeout => "head_timeout",
        ConnectionError::Unknown => "unknown",
    }
}

/// Why an answer is broken off whose body ended without an error of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BrokenOff {
    #[error("the answer ended inside an event, or before the first one or any byte")]
    InsideEvent,
    #[error("the body went on behind its declared length")]
    LengthExceeded,
    #[error("nothing marked the end of the answer, and its back end was not seen to run on")]
    Unmarked(EndCause),
}

impl BrokenOff {
    pub fn cause(self) -> EndCause {
        match self {
            Self::InsideEvent => EndCause::InsideEvent,
            Self::LengthExceeded => EndCause::LengthExceeded,
            Self::Unmarked(cause) => cause,
        }
    }
}
