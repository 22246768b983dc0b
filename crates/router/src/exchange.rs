//! State machine of one request: it names the next call, classifies failures and detects the end.
//!
//! The owner of an [`Exchange`] does the I/O. It makes the call that [`Next`] names, passes the
//! result back in, and reports to the core when [`Next::Report`] says so.

use drumshore_core::{ErrorCode, Execution, RequestError};
use drumshore_routing::AnswerReport;

use crate::answer::RecordedAnswer;
use crate::core::{AdmitOutcome, Assignment};
use crate::engine_api;
use crate::relay::{RelayError, RelayProgress, StreamRelay};
use crate::sse::Event;

/// Maximum number of times that an attempt's stream is resumed before the attempt fails.
const MAX_RESUMES: u32 = 3;

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamCall {
    /// Sends the request.
    Start(Assignment),
    /// Resumes the request's stream after the last event received.
    Resume {
        /// The engine that runs the request.
        assignment: Assignment,
        /// Number of the last event received; `None` if there was none.
        last_event: Option<u64>,
    },
}

/// The owner's next step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Make this call.
    Call(UpstreamCall),
    /// Keep reading.
    Read,
    /// Report the failed attempt to the core, and pass its outcome to
    /// [`Exchange::on_outcome`].
    Report(AttemptFailure),
    /// End the request.
    Finish(Conclusion),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The whole answer was received.
    Answered,
    /// The answer was already in the ledger; nothing ran.
    Recorded(RecordedAnswer),
    /// The request failed or was refused.
    Failed(RequestError),
    /// The caller disconnected.
    CallerGone,
}

/// The kind of failure, which decides whether the engine is avoided and whether the request is
/// retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection to the engine failed; nothing was sent.
    Unreachable,
    /// The engine's incarnation or weights differ from the assignment.
    Fenced,
    /// The engine is leaving and accepts no new requests.
    Leaving,
    /// The engine's queue is full.
    Full,
    /// The engine rejects the request itself as invalid.
    Rejected,
    /// The connection ended or timed out after the request was sent.
    Broken,
    /// The recomputed answer differs from the part already sent to the caller.
    Diverged,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// The kind of failure.
    pub kind: FailureKind,
    /// Whether the request may have run, and why the attempt failed.
    pub error: RequestError,
    /// True if part of the answer was sent to the caller.
    pub delivered: bool,
}

/// The status and headers of an engine's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamHead {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, as reported by the engine.
    pub execution: Option<Execution>,
    /// Why the engine refused; one of the `REFUSAL_` values of [`engine_api`].
    pub refusal: Option<String>,
    /// The cache hit and the load that the engine reports.
    pub report: AnswerReport,
}

/// How a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// The connection could not be opened.
    NotConnected,
    /// The connection was closed or failed.
    Ended,
    /// No data arrived before the timeout.
    Stalled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Starting,
    Resuming,
    Streaming,
    Finished,
}

/// Options of an exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeParams {
    /// The caller receives events as they arrive. Otherwise it receives nothing before the end, and
    /// every attempt starts a new answer.
    pub streams: bool,
    /// The exchange continues after the caller disconnects, so that the outcome of a request that
    /// must not run twice is recorded.
    pub outlives_caller: bool,
}

/// The state of one request from its first assignment to its conclusion.
pub struct Exchange {
    params: ExchangeParams,
    caller_gone: bool,
    stage: Stage,
    assignment: Option<Assignment>,
    resumes: u32,
    relay: StreamRelay,
    answer: RecordedAnswer,
    report: AnswerReport,
    first_token: Option<AnswerReport>,
    first_token_seen: bool,
}

impl Exchange {
    /// An exchange that waits for the core's first outcome.
    pub fn new(params: ExchangeParams) -> Self {
        Self {
            params,
            caller_gone: false,
            stage: Stage::Waiting,
            assignment: None,
            resumes: 0,
            relay: StreamRelay::new(),
            answer: RecordedAnswer::default(),
            report: AnswerReport::default(),
            first_token: None,
            first_token_seen: false,
        }
    }

    /// The answer received so far. It is assembled only if the caller does not stream or the
    /// outcome is recorded.
    pub fn answer(&self) -> &RecordedAnswer {
        &self.answer
    }

    /// The current assignment, or the last one after a failed attempt.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.assignment.as_ref()
    }

    /// True if part of the answer was sent to the caller.
    pub fn has_delivered(&self) -> bool {
        self.params.streams && self.relay.events_forwarded() > 0
    }

    /// Takes the engine's report once an attempt's first token has arrived; `Some` once for each
    /// attempt.
    pub fn take_first_token(&mut self) -> Option<AnswerReport> {
        self.first_token.take()
    }

    /// Applies the core's decision.
    pub fn on_outcome(&mut self, outcome: AdmitOutcome) -> Next {
        match outcome {
            AdmitOutcome::Assigned(assignment) => {
                self.assignment = Some(assignment.clone());
                self.stage = Stage::Starting;
                self.resumes = 0;
                self.first_token_seen = false;
                Next::Call(UpstreamCall::Start(assignment))
            }
            AdmitOutcome::Recorded(answer) => self.finish(Conclusion::Recorded(answer)),
            AdmitOutcome::Refused(error) => self.finish(Conclusion::Failed(error)),
            AdmitOutcome::Models(_) => {
                let message = "models were listed to a request that wants to run";
                let error = RequestError::not_run(ErrorCode::Internal, message);
                self.finish(Conclusion::Failed(error))
            }
        }
    }

    /// Handles the head of the engine's response.
    pub fn on_head(&mut self, head: &UpstreamHead) -> Next {
        let starting = self.stage == Stage::Starting;
        if head.status != 200 {
            return if starting {
                self.fail_refused(head)
            } else {
                self.fail_broken("the engine no longer has the stream")
            };
        }
        if starting {
            self.restart();
            self.report = head.report;
        } else {
            self.relay.on_resumed();
        }
        self.stage = Stage::Streaming;
        Next::Read
    }

    /// Handles bytes of the engine's response and passes the caller's events to `forward`.
    pub fn on_bytes(&mut self, bytes: &[u8], forward: &mut dyn FnMut(&Event<'_>)) -> Next {
        let records_answer = !self.params.streams || self.params.outlives_caller;
        let caller_gone = self.caller_gone;
        let answer = &mut self.answer;
        let progress = self.relay.feed(bytes, &mut |event| {
            if records_answer {
                answer.add(event.data);
            }
            if !caller_gone {
                forward(event);
            }
        });
        self.record_first_token();
        match progress {
            Ok(RelayProgress::Open) => Next::Read,
            Ok(RelayProgress::Done) => self.finish(Conclusion::Answered),
            Err(RelayError::Diverged) => {
                let message = RelayError::Diverged.to_string();
                let error = RequestError::ran(ErrorCode::EngineFailed, message);
                self.fail(FailureKind::Diverged, error)
            }
            Err(error) => self.resume_or_fail(&error.to_string()),
        }
    }

    /// Handles a connection that ended before the answer was complete.
    pub fn on_end(&mut self, end: UpstreamEnd) -> Next {
        match (self.stage, end) {
            (Stage::Finished, _) => Next::Read,
            (Stage::Starting, UpstreamEnd::NotConnected) => {
                let message = "the engine could not be reached";
                let error = RequestError::not_run(ErrorCode::NoEngine, message);
                self.fail(FailureKind::Unreachable, error)
            }
            (_, UpstreamEnd::NotConnected) => self.fail_broken("the engine is gone"),
            (_, UpstreamEnd::Ended) => self.resume_or_fail("the engine's connection ended"),
            (_, UpstreamEnd::Stalled) => self.resume_or_fail("the engine fell silent"),
        }
    }

    /// Handles a caller that disconnected.
    pub fn on_caller_gone(&mut self) -> Next {
        self.caller_gone = true;
        if self.params.outlives_caller {
            return Next::Read;
        }
        self.finish(Conclusion::CallerGone)
    }

    fn restart(&mut self) {
        if self.params.streams {
            self.relay.on_restarted();
        } else {
            self.relay = StreamRelay::new();
            self.answer = RecordedAnswer::default();
        }
    }

    fn record_first_token(&mut self) {
        if self.first_token_seen || self.relay.events_forwarded() == 0 {
            return;
        }
        self.first_token_seen = true;
        self.first_token = Some(self.report);
    }

    fn fail_refused(&mut self, head: &UpstreamHead) -> Next {
        let kind = match (head.refusal.as_deref(), head.status) {
            (Some(engine_api::REFUSAL_FENCE), _) | (None, 412) => FailureKind::Fenced,
            (Some(engine_api::REFUSAL_LEAVING), _) => FailureKind::Leaving,
            (Some(engine_api::REFUSAL_FULL), _) | (None, 429) => FailureKind::Full,
            (_, 400..=499) => FailureKind::Rejected,
            _ => FailureKind::Broken,
        };
        // If the engine does not report execution, only a refusal with a known reason or a 4xx
        // status counts as "not run".
        let presumed = match kind {
            FailureKind::Broken => Execution::MayHaveRun,
            _ => Execution::NotRun,
        };
        let code = match kind {
            FailureKind::Fenced => ErrorCode::FenceMismatch,
            FailureKind::Rejected => ErrorCode::BadRequest,
            FailureKind::Broken => ErrorCode::EngineFailed,
            _ => ErrorCode::NoEngine,
        };
        let message = format!("the engine refused with status {}", head.status);
        let error = RequestError {
            execution: head.execution.unwrap_or(presumed),
            ..RequestError::not_run(code, message)
        };
        self.fail(kind, error)
    }

    fn resume_or_fail(&mut self, reason: &str) -> Next {
        let Some(assignment) = self.assignment.clone() else {
            return self.fail_broken(reason);
        };
        if self.resumes >= MAX_RESUMES {
            return self.fail_broken(reason);
        }
        self.resumes += 1;
        self.stage = Stage::Resuming;
        Next::Call(UpstreamCall::Resume {
            assignment,
            last_event: self.relay.resume_point(),
        })
    }

    fn fail_broken(&mut self, reason: &str) -> Next {
        let error = if self.has_delivered() {
            RequestError::ran(ErrorCode::EngineFailed, reason)
        } else {
            RequestError::may_have_run(ErrorCode::EngineFailed, reason)
        };
        self.fail(FailureKind::Broken, error)
    }

    fn fail(&mut self, kind: FailureKind, error: RequestError) -> Next {
        self.stage = Stage::Waiting;
        Next::Report(AttemptFailure {
            kind,
            error,
            delivered: self.has_delivered(),
        })
    }

    fn finish(&mut self, conclusion: Conclusion) -> Next {
        self.stage = Stage::Finished;
        Next::Finish(conclusion)
    }
}
