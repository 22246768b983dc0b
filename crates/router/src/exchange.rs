//! One request on its way: which call to make, what its failure means, when it is over.
//!
//! The owner of an [`Exchange`] does the I/O. It makes the call that [`Next`] names, hands in
//! what comes back, and asks the core where to go next when told to.

use drumshore_core::{ErrorCode, Execution, RequestError};
use drumshore_routing::AnswerReport;

use crate::answer::RecordedAnswer;
use crate::core::{AdmitOutcome, Assignment};
use crate::engine_api;
use crate::relay::{RelayError, RelayProgress, StreamRelay};
use crate::sse::Event;

/// Times that one attempt's stream is taken up again before the attempt counts as failed.
const MAX_RESUMES: u32 = 3;

/// A call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamCall {
    /// Send the request.
    Start(Assignment),
    /// Take its stream up behind the last event received.
    Resume {
        /// Where it runs.
        assignment: Assignment,
        /// The last event; `None` when none was received.
        last_event: Option<u64>,
    },
}

/// What the owner does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Make this call.
    Call(UpstreamCall),
    /// Read on.
    Read,
    /// Tell the core, and hand in its answer.
    Report(AttemptFailure),
    /// It is over.
    Finish(Conclusion),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The whole answer was passed on.
    Answered,
    /// The answer had been recorded before; nothing ran now.
    Recorded(RecordedAnswer),
    /// It failed.
    Failed(RequestError),
    /// The caller went away.
    CallerGone,
}

/// What kind of failure it was, for the engine's reputation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The engine could not be reached; nothing was sent.
    Unreachable,
    /// The engine is another start, or holds other weights, than was believed.
    Fenced,
    /// The engine takes no new work.
    Leaving,
    /// The engine's queue is full.
    Full,
    /// The engine finds the request itself at fault.
    Rejected,
    /// The connection ended or fell silent after the request was sent.
    Broken,
    /// The recomputed answer is another one.
    Diverged,
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What kind.
    pub kind: FailureKind,
    /// Whether it may have run, and why it failed.
    pub verdict: RequestError,
    /// True when a part of the answer has reached the caller.
    pub delivered: bool,
}

/// The head of an engine's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamHead {
    /// HTTP status.
    pub status: u16,
    /// What the engine says about execution.
    pub execution: Option<Execution>,
    /// Why it refused.
    pub refusal: Option<String>,
    /// What it says of its cache and load.
    pub report: AnswerReport,
}

/// How a connection to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// It could not be opened.
    NotConnected,
    /// It ended, in whatever way.
    Ended,
    /// It fell silent.
    Stalled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Starting,
    Resuming,
    Streaming,
    Over,
}

/// What is special about a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeParams {
    /// The caller gets events as they come. Otherwise nothing reaches it before the end, and
    /// every attempt starts afresh.
    pub streams: bool,
    /// Goes on without a caller, so that the outcome of work that may not be repeated is
    /// recorded.
    pub outlives_caller: bool,
}

/// A request on its way.
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
    /// A request that nothing was done about yet.
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

    /// The answer as far as it is there. It is put together only for callers without streaming
    /// and for work whose outcome is recorded.
    pub fn answer(&self) -> &RecordedAnswer {
        &self.answer
    }

    /// The engine that has the request.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.assignment.as_ref()
    }

    /// True when a part of the answer was passed on.
    pub fn has_delivered(&self) -> bool {
        self.params.streams && self.relay.passed_on() > 0
    }

    /// The first token's news, once for each attempt.
    pub fn take_first_token(&mut self) -> Option<AnswerReport> {
        self.first_token.take()
    }

    /// The core decided.
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
            AdmitOutcome::Refused(verdict) => self.finish(Conclusion::Failed(verdict)),
            AdmitOutcome::Models(_) => {
                let message = "models were listed to a request that wants to run";
                let verdict = RequestError::not_run(ErrorCode::Internal, message);
                self.finish(Conclusion::Failed(verdict))
            }
        }
    }

    /// The engine's answer began.
    pub fn on_head(&mut self, head: &UpstreamHead) -> Next {
        let starting = self.stage == Stage::Starting;
        if head.status != 200 {
            return if starting {
                self.refused(head)
            } else {
                self.broken("the engine no longer has the stream")
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

    /// Bytes of the engine's answer arrived; what is due goes to the caller.
    pub fn on_bytes(&mut self, bytes: &[u8], pass_on: &mut dyn FnMut(&Event<'_>)) -> Next {
        let keeps_answer = !self.params.streams || self.params.outlives_caller;
        let caller_gone = self.caller_gone;
        let answer = &mut self.answer;
        let fed = self.relay.feed(bytes, &mut |event| {
            if keeps_answer {
                answer.add(event.data);
            }
            if !caller_gone {
                pass_on(event);
            }
        });
        self.note_first_token();
        match fed {
            Ok(RelayProgress::Open) => Next::Read,
            Ok(RelayProgress::Done) => self.finish(Conclusion::Answered),
            Err(RelayError::Diverged) => {
                let message = RelayError::Diverged.to_string();
                let verdict = RequestError::ran(ErrorCode::EngineFailed, message);
                self.failed(FailureKind::Diverged, verdict)
            }
            Err(error) => self.resume_or(&error.to_string()),
        }
    }

    /// The connection to the engine ended before the answer did.
    pub fn on_end(&mut self, end: UpstreamEnd) -> Next {
        match (self.stage, end) {
            (Stage::Over, _) => Next::Read,
            (Stage::Starting, UpstreamEnd::NotConnected) => {
                let message = "the engine could not be reached";
                let verdict = RequestError::not_run(ErrorCode::NoEngine, message);
                self.failed(FailureKind::Unreachable, verdict)
            }
            (_, UpstreamEnd::NotConnected) => self.broken("the engine is gone"),
            (_, UpstreamEnd::Ended) => self.resume_or("the engine's connection ended"),
            (_, UpstreamEnd::Stalled) => self.resume_or("the engine fell silent"),
        }
    }

    /// The caller cannot be written to any more.
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

    fn note_first_token(&mut self) {
        if self.first_token_seen || self.relay.passed_on() == 0 {
            return;
        }
        self.first_token_seen = true;
        self.first_token = Some(self.report);
    }

    fn refused(&mut self, head: &UpstreamHead) -> Next {
        let kind = match (head.refusal.as_deref(), head.status) {
            (Some(engine_api::REFUSAL_FENCE), _) | (None, 412) => FailureKind::Fenced,
            (Some(engine_api::REFUSAL_LEAVING), _) => FailureKind::Leaving,
            (Some(engine_api::REFUSAL_FULL), _) | (None, 429) => FailureKind::Full,
            (_, 400..=499) => FailureKind::Rejected,
            _ => FailureKind::Broken,
        };
        // Without the engine's word only a refusal that names its reason counts as "not run".
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
        let verdict = RequestError {
            execution: head.execution.unwrap_or(presumed),
            ..RequestError::not_run(code, message)
        };
        self.failed(kind, verdict)
    }

    fn resume_or(&mut self, reason: &str) -> Next {
        let Some(assignment) = self.assignment.clone() else {
            return self.broken(reason);
        };
        if self.resumes >= MAX_RESUMES {
            return self.broken(reason);
        }
        self.resumes += 1;
        self.stage = Stage::Resuming;
        Next::Call(UpstreamCall::Resume {
            assignment,
            last_event: self.relay.resume_point(),
        })
    }

    fn broken(&mut self, reason: &str) -> Next {
        let verdict = if self.has_delivered() {
            RequestError::ran(ErrorCode::EngineFailed, reason)
        } else {
            RequestError::may_have_run(ErrorCode::EngineFailed, reason)
        };
        self.failed(FailureKind::Broken, verdict)
    }

    fn failed(&mut self, kind: FailureKind, verdict: RequestError) -> Next {
        self.stage = Stage::Waiting;
        Next::Report(AttemptFailure {
            kind,
            verdict,
            delivered: self.has_delivered(),
        })
    }

    fn finish(&mut self, conclusion: Conclusion) -> Next {
        self.stage = Stage::Over;
        Next::Finish(conclusion)
    }
}
