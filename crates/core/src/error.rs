//! The error type of the request path, which says whether the request may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request was executed by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No engine has started the request and none will, so it is safe to send it again.
    NotRun,
    /// An engine may have started the request; the router cannot tell.
    MayHaveRun,
    /// An engine has started the request.
    Ran,
}

impl Execution {
    /// The name used in headers and JSON bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not_run",
            Execution::MayHaveRun => "may_have_run",
            Execution::Ran => "ran",
        }
    }

    /// Parses the name. An unknown name means `MayHaveRun`, which never permits an unsafe repeat.
    pub fn from_word(word: &str) -> Self {
        match word {
            "not_run" => Execution::NotRun,
            "ran" => Execution::Ran,
            _ => Execution::MayHaveRun,
        }
    }
}

macro_rules! error_codes {
    ($($(#[$meta:meta])* $name:ident = $word:literal, $status:literal;)*) => {
        /// Stable error codes that callers see.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorCode {
            $($(#[$meta])* $name,)*
        }

        impl ErrorCode {
            /// The code in the JSON body. It does not change between releases.
            pub fn as_str(self) -> &'static str {
                match self { $(ErrorCode::$name => $word,)* }
            }

            /// The HTTP status of responses with this code.
            pub fn status(self) -> u16 {
                match self { $(ErrorCode::$name => $status,)* }
            }
        }
    };
}

error_codes! {
    /// The body is not a valid request.
    BadRequest = "bad_request", 400;
    /// The request has no key, or one that belongs to no tenant.
    Unauthorized = "unauthorized", 401;
    /// The model is not configured, or the tenant may not use it.
    UnknownModel = "unknown_model", 404;
    /// The path or the object does not exist.
    NotFound = "not_found", 404;
    /// The idempotency key was used before for a different request.
    KeyReused = "key_reused", 409;
    /// A request with the same idempotency key is still running.
    StillRunning = "still_running", 409;
    /// A request with the same idempotency key may have run; it is not repeated.
    NotRepeated = "not_repeated", 409;
    /// The engine's incarnation or weights version differs from the one that the router expected.
    FenceMismatch = "fence_mismatch", 412;
    /// The request took too long to arrive.
    SlowSender = "slow_sender", 408;
    /// The body is larger than the limit.
    TooLarge = "too_large", 413;
    /// The tenant's rate or concurrency limit is reached.
    LimitReached = "limit_reached", 429;
    /// The caller's headers exceed the limit.
    HeadersTooLarge = "headers_too_large", 431;
    /// An internal error of drumshore.
    Internal = "internal", 500;
    /// The engine failed after the request was sent.
    EngineFailed = "engine_failed", 502;
    /// No engine can accept the request now.
    NoEngine = "no_engine", 503;
    /// The process is shutting down.
    Stopping = "stopping", 503;
    /// The process has too many requests open.
    Overloaded = "overloaded", 503;
    /// The ledger of idempotency keys has no quorum, so a request with such a key cannot start.
    LedgerUnavailable = "ledger_unavailable", 503;
    /// No control machine confirmed the configuration that the request depends on.
    ConfigUnavailable = "config_unavailable", 503;
    /// The request's deadline has passed.
    DeadlineExceeded = "deadline_exceeded", 504;
}

/// The error of a request that got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message} ({}, {})", code.as_str(), execution.as_str())]
pub struct RequestError {
    /// Whether the request may have run.
    pub execution: Execution,
    /// The stable code of the failure.
    pub code: ErrorCode,
    /// A sentence for people that explains the failure.
    pub message: String,
    /// The delay after which the caller may retry, if known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// The error of a request that was refused and did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The error of a request that failed and may have run.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The error of a request that ran and failed.
    pub fn ran(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::Ran,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
