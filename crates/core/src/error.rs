//! The one error type of the request path: it says whether the request may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request was executed by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No engine has started it and none will: sending it again is safe.
    NotRun,
    /// An engine may have started it; nobody can say.
    MayHaveRun,
    /// An engine has started it.
    Ran,
}

impl Execution {
    /// The word used in headers and JSON bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not_run",
            Execution::MayHaveRun => "may_have_run",
            Execution::Ran => "ran",
        }
    }

    /// Reads the word back. An unknown word counts as `MayHaveRun`, the cautious reading.
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
        /// Stable codes of the errors that callers see.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorCode {
            $($(#[$meta])* $name,)*
        }

        impl ErrorCode {
            /// The word in the JSON body. It does not change between releases.
            pub fn as_str(self) -> &'static str {
                match self { $(ErrorCode::$name => $word,)* }
            }

            /// The HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(ErrorCode::$name => $status,)* }
            }
        }
    };
}

error_codes! {
    /// The body is not a valid request.
    BadRequest = "bad_request", 400;
    /// No key, or one that no tenant holds.
    Unauthorized = "unauthorized", 401;
    /// The model is not configured, or not for this tenant.
    UnknownModel = "unknown_model", 404;
    /// No such path or object.
    NotFound = "not_found", 404;
    /// The key was used before for a different request.
    KeyReused = "key_reused", 409;
    /// A request with the same key is still running.
    StillRunning = "still_running", 409;
    /// A request with the same key may have run; it is not repeated.
    NotRepeated = "not_repeated", 409;
    /// The engine's incarnation or weights differ from what the router believed.
    FenceMismatch = "fence_mismatch", 412;
    /// The request took too long to arrive.
    SlowSender = "slow_sender", 408;
    /// The body is larger than the limit.
    TooLarge = "too_large", 413;
    /// The tenant's rate or concurrency limit is reached.
    LimitReached = "limit_reached", 429;
    /// The caller's headers exceed the limit.
    HeadersTooLarge = "headers_too_large", 431;
    /// A defect of drumshore.
    Internal = "internal", 500;
    /// The engine failed after the request was sent.
    EngineFailed = "engine_failed", 502;
    /// No engine can take the request now.
    NoEngine = "no_engine", 503;
    /// The process is shutting down.
    Stopping = "stopping", 503;
    /// Too many requests at once for this process.
    Overloaded = "overloaded", 503;
    /// The ledger has no quorum, so work that may not be repeated cannot start.
    LedgerUnavailable = "ledger_unavailable", 503;
    /// No control machine confirmed what the request depends on.
    ConfigUnavailable = "config_unavailable", 503;
    /// The deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504;
}

/// The end of a request that got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message} ({}, {})", code.as_str(), execution.as_str())]
pub struct RequestError {
    /// Whether the request may have run.
    pub execution: Execution,
    /// What went wrong.
    pub code: ErrorCode,
    /// One sentence for a person.
    pub message: String,
    /// When it makes sense to come back.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// A refusal: the request did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A failure after which nobody can say whether the request ran.
    pub fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A failure of a request that did run.
    pub fn ran(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            execution: Execution::Ran,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adds when to come back.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
