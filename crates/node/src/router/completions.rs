//! Handles one completion request on its connection's thread: calls engines and sends the answer to
//! the caller.

use std::io::Write;
use std::time::{Duration, Instant};

use drumshore_core::{ErrorCode, RequestError, RequestId};
use drumshore_http::{Responder, StreamBody, REQUEST_ID_HEADER};
use drumshore_router::{
    AdmitRequest, AttemptFailure, CompletionRequest, Conclusion, Exchange, ExchangeParams, Next,
    RecordedAnswer, UpstreamCall,
};
use stakker::{call, Ret};

use super::upstream::{Upstream, UpstreamBody};
use super::RouterHandle;

const READ_BYTES: usize = 8 * 1024;
/// Header of the W3C Server Timing standard, with the time spent before an engine was called.
const SERVER_TIMING_HEADER: &str = "server-timing";
const EVENT_STREAM: &str = "text/event-stream";

/// The state of one completion request.
pub(super) struct Completion<'e, 'c> {
    handle: &'e RouterHandle,
    upstream: &'e Upstream,
    request: CompletionRequest,
    caller: Caller<'c>,
    id: RequestId,
    exchange: Exchange,
    body: Option<UpstreamBody>,
    started: Instant,
}

/// The connection to the caller. The response head is sent only with the first bytes of a stream,
/// with the complete answer or with the error.
struct Caller<'c> {
    responder: Option<Responder<'c>>,
    stream: Option<StreamBody<'c>>,
    id: RequestId,
    disconnected: bool,
    /// Time from the start of the request until the first call to an engine.
    router_time: Option<Duration>,
}

impl<'e, 'c> Completion<'e, 'c> {
    pub(super) fn new(
        handle: &'e RouterHandle,
        upstream: &'e Upstream,
        request: CompletionRequest,
        responder: Responder<'c>,
        outlives_caller: bool,
        started: Instant,
    ) -> Self {
        let params = ExchangeParams {
            streams: request.stream,
            outlives_caller,
        };
        Self {
            handle,
            upstream,
            request,
            caller: Caller {
                responder: Some(responder),
                stream: None,
                id: RequestId::default(),
                disconnected: false,
                router_time: None,
            },
            id: RequestId::default(),
            exchange: Exchange::new(params),
            body: None,
            started,
        }
    }

    /// Runs the request until it ends.
    pub(super) fn run(mut self, admit_request: AdmitRequest) {
        let admitted = self.handle.post_and_wait(move |_, context, sender| {
            let ret = Ret::new(move |admitted| {
                let _ = sender.send(admitted);
            });
            call!([context.actor], admit(admit_request, ret));
        });
        let Some((id, outcome)) = admitted.flatten() else {
            let error = RequestError::not_run(ErrorCode::Internal, "the router is ending");
            return self.caller.refuse(&error);
        };
        self.id = id;
        self.caller.id = id;
        let mut next = self.exchange.on_outcome(outcome);
        loop {
            next = match next {
                Next::Call(call) => self.call(&call),
                Next::Read => self.read(),
                Next::Report(failure) => self.report(failure),
                Next::Finish(conclusion) => return self.finish(conclusion),
            };
        }
    }

    fn call(&mut self, call: &UpstreamCall) -> Next {
        self.body = None;
        self.caller
            .router_time
            .get_or_insert(self.started.elapsed());
        let opened = match call {
            UpstreamCall::Start(assignment) => self.upstream.start(assignment, &self.request),
            UpstreamCall::Resume {
                assignment,
                last_event,
            } => self.upstream.resume(assignment, *last_event),
        };
        match opened {
            Ok((head, body)) => {
                self.body = Some(body);
                self.exchange.on_head(&head)
            }
            Err(end) => self.exchange.on_end(end),
        }
    }

    fn read(&mut self) -> Next {
        let mut buffer = [0; READ_BYTES];
        let Some(body) = &mut self.body else {
            return self.exchange.on_end(drumshore_router::UpstreamEnd::Ended);
        };
        let bytes = match body.read(&mut buffer) {
            Ok([]) => return self.exchange.on_end(drumshore_router::UpstreamEnd::Ended),
            Ok(bytes) => bytes,
            Err(end) => return self.exchange.on_end(end),
        };
        let caller = &mut self.caller;
        let streams = self.request.stream;
        let next = self.exchange.on_bytes(bytes, &mut |event| {
            if streams {
                caller.write_stream(event.raw);
            }
        });
        caller.flush();
        if let Some(first) = self.exchange.take_first_token() {
            let id = self.id;
            self.handle
                .post(move |_, context| call!([context.actor], first_token(id, first)));
        }
        if self.caller.disconnected && next == Next::Read {
            return self.exchange.on_caller_gone();
        }
        next
    }

    fn report(&mut self, failure: AttemptFailure) -> Next {
        self.body = None;
        let id = self.id;
        let answered = self.handle.post_and_wait(move |_, context, sender| {
            let ret = Ret::new(move |outcome| {
                let _ = sender.send(outcome);
            });
            call!([context.actor], attempt_failed(id, failure, ret));
        });
        match answered.flatten() {
            Some((_, outcome)) => self.exchange.on_outcome(outcome),
            None => {
                let message = "the router is ending";
                let error = RequestError::may_have_run(ErrorCode::Internal, message);
                Next::Finish(Conclusion::Failed(error))
            }
        }
    }

    /// Reports the end to the router's actor before the caller receives it, so that `/v1/explain`
    /// shows the outcome as soon as the caller has the answer.
    fn finish(mut self, conclusion: Conclusion) {
        let answer = self.exchange.answer().clone();
        let id = self.id;
        let (posted_conclusion, posted_answer) = (conclusion.clone(), answer.clone());
        self.handle.post(move |_, context| {
            call!(
                [context.actor],
                finished(id, posted_conclusion, posted_answer)
            );
        });
        match &conclusion {
            Conclusion::Answered if self.request.stream => self.caller.end_stream(),
            Conclusion::Answered => self.send_answer(&answer),
            Conclusion::Recorded(recorded) => self.send_answer(recorded),
            Conclusion::Failed(error) => self.caller.refuse(error),
            Conclusion::CallerGone => {
                self.body = None;
                if let Some(assignment) = self.exchange.assignment() {
                    self.upstream.cancel(assignment);
                }
            }
        }
        if let Some(body) = self.body.take() {
            body.finish();
        }
    }

    fn send_answer(&mut self, answer: &RecordedAnswer) {
        if self.request.stream {
            let events = answer.to_stream(self.request.kind, self.id);
            self.caller.write_stream(events.as_bytes());
            self.caller.flush();
            self.caller.end_stream();
            return;
        }
        let document = answer.to_document(self.request.kind, self.id, &self.request.model);
        if let Some(responder) = self.caller.take_responder() {
            responder.send_json(200, &document);
        }
    }
}

impl<'c> Caller<'c> {
    /// Writes bytes to the stream's buffer; [`Caller::flush`] sends them.
    fn write_stream(&mut self, bytes: &[u8]) {
        if self.disconnected {
            return;
        }
        if self.stream.is_none() {
            self.start_stream();
        }
        if let Some(stream) = &mut self.stream {
            self.disconnected = stream.write_all(bytes).is_err();
        }
    }

    fn flush(&mut self) {
        if let Some(stream) = &mut self.stream {
            self.disconnected |= stream.flush().is_err();
        }
    }

    fn start_stream(&mut self) {
        let Some(responder) = self.take_responder() else {
            return;
        };
        match responder.start_stream(200, EVENT_STREAM) {
            Ok(stream) => self.stream = Some(stream),
            Err(_) => self.disconnected = true,
        }
    }

    fn end_stream(&mut self) {
        if let Some(stream) = self.stream.take() {
            stream.finish();
        }
    }

    /// Sends an error: as the response if none has begun, otherwise as the last event of the
    /// stream, with type `error`, which no event of a completion has.
    fn refuse(&mut self, error: &RequestError) {
        if let Some(responder) = self.take_responder() {
            responder.refuse(error);
            return;
        }
        let code = error.code.as_str();
        let execution = error.execution.as_str();
        let document = serde_json::json!({"error": {
            "code": code, "message": error.message, "execution": execution,
        }});
        self.write_stream(format!("event: error\ndata: {document}\n\n").as_bytes());
        self.flush();
        self.end_stream();
    }

    fn take_responder(&mut self) -> Option<Responder<'c>> {
        let mut responder = self.responder.take()?;
        responder.add_header(REQUEST_ID_HEADER, self.id);
        if let Some(spent) = self.router_time {
            let milliseconds = spent.as_secs_f64() * 1_000.0;
            responder.add_header(
                SERVER_TIMING_HEADER,
                format!("router;dur={milliseconds:.3}"),
            );
        }
        Some(responder)
    }
}
