//! HTTP calls to engines.

use std::io::Read;
use std::time::Duration;

use drumshore_core::{Execution, Priority};
use drumshore_http::{head_structure_fault, EXECUTION_HEADER};
use drumshore_router::engine_api;
use drumshore_router::{Assignment, CompletionRequest, UpstreamEnd, UpstreamHead};
use drumshore_routing::{AnswerLoad, AnswerReport};
use ureq::http::{HeaderMap, Response};
use ureq::{Agent, Body, BodyReader};

/// Size of a connection's input and output buffers. With `ureq`'s default of 128 KiB each, 1,200
/// streams do not fit in 128 MB of memory.
const BUFFER_BYTES: usize = 8 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTIONS_PER_ENGINE: usize = 64;

/// HTTP client for engines. Clones are cheap and share one connection pool.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    agent: Agent,
}

/// The body of an engine's answer, read as it arrives.
pub(super) struct UpstreamBody {
    reader: BodyReader<'static>,
}

impl Upstream {
    /// `stall_timeout` bounds each read and write; an engine that exceeds it counts as stalled.
    pub(super) fn new(stall_timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections(IDLE_CONNECTIONS_PER_ENGINE * 16)
            .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_ENGINE)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_per_read(Some(stall_timeout))
            .timeout_per_write(Some(stall_timeout))
            .build();
        Self {
            agent: Agent::new_with_config(config),
        }
    }

    /// Sends a request with the incarnation and weights version that the engine must match.
    pub(super) fn start(
        &self,
        assignment: &Assignment,
        request: &CompletionRequest,
    ) -> Result<(UpstreamHead, UpstreamBody), UpstreamEnd> {
        let url = format!("http://{}{}", assignment.address, request.kind.path());
        let call = self
            .agent
            .post(url)
            .content_type("application/json")
            .header(engine_api::REQUEST_ID, assignment.request.to_string())
            .header(engine_api::INCARNATION, assignment.incarnation.to_string())
            .header(
                engine_api::WEIGHTS_VERSION,
                assignment.weights_version.to_string(),
            )
            .header(
                engine_api::CACHE_SALT,
                format!("{:016x}", assignment.cache_salt.as_u64()),
            )
            .header(engine_api::PRIORITY, priority_name(assignment.priority));
        let call = match &assignment.idempotency_key {
            Some(key) => call.header(engine_api::IDEMPOTENCY_KEY, key.as_str()),
            None => call,
        };
        into_head_and_body(assignment, call.send(&request.upstream_body[..]))
    }

    /// Resumes a stream after the last event received.
    pub(super) fn resume(
        &self,
        assignment: &Assignment,
        last_event: Option<u64>,
    ) -> Result<(UpstreamHead, UpstreamBody), UpstreamEnd> {
        let mut call = self
            .agent
            .get(stream_url(assignment))
            .header(engine_api::INCARNATION, assignment.incarnation.to_string());
        if let Some(event) = last_event {
            call = call.header(engine_api::LAST_EVENT_ID, event.to_string());
        }
        into_head_and_body(assignment, call.call())
    }

    /// Cancels a request at its engine after the caller has disconnected. A failure is only logged.
    pub(super) fn cancel(&self, assignment: &Assignment) {
        let call = self.agent.delete(stream_url(assignment));
        let call = call.config().timeout_global(Some(CANCEL_TIMEOUT)).build();
        if let Err(error) = call.call() {
            tracing::debug!(
                "router: cannot cancel request {} at its engine: {error}",
                assignment.request
            );
        }
    }
}

impl UpstreamBody {
    /// Reads from the last event to the end of the answer, so that the connection can be reused for
    /// another request.
    pub(super) fn finish(mut self) {
        let mut end = [0; 16];
        // If the read fails or finds more bytes, only the reuse of the connection is lost: the
        // answer is already complete.
        let _ = self.reader.read(&mut end);
    }

    /// Reads the bytes that have arrived, waiting for some if there are none; returns an empty
    /// slice at the end of the answer.
    pub(super) fn read<'b>(&mut self, buffer: &'b mut [u8]) -> Result<&'b [u8], UpstreamEnd> {
        match self.reader.read(buffer) {
            Ok(count) => Ok(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Err(UpstreamEnd::Stalled),
            Err(_) => Err(UpstreamEnd::Ended),
        }
    }
}

fn stream_url(assignment: &Assignment) -> String {
    let path = engine_api::STREAMS_PATH;
    format!("http://{}{path}/{}", assignment.address, assignment.request)
}

/// A malformed head is that of no answer, so the connection ends with it.
fn into_head_and_body(
    assignment: &Assignment,
    result: Result<Response<Body>, ureq::Error>,
) -> Result<(UpstreamHead, UpstreamBody), UpstreamEnd> {
    let response = result.map_err(|error| upstream_end(&error))?;
    if let Some(fault) = head_structure_fault(response.status(), response.headers(), None) {
        tracing::warn!(
            "router: engine {} answered request {} with a malformed head: {}",
            assignment.engine,
            assignment.request,
            fault.as_str()
        );
        return Err(UpstreamEnd::Ended);
    }
    let head = upstream_head(response.status().as_u16(), response.headers());
    let reader = response.into_body().into_reader();
    Ok((head, UpstreamBody { reader }))
}

/// Classifies a failed call. Only a failure to connect proves that nothing was sent.
fn upstream_end(error: &ureq::Error) -> UpstreamEnd {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => {
            UpstreamEnd::NotConnected
        }
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            UpstreamEnd::NotConnected
        }
        ureq::Error::Timeout(_) => UpstreamEnd::Stalled,
        _ => UpstreamEnd::Ended,
    }
}

fn upstream_head(status: u16, headers: &HeaderMap) -> UpstreamHead {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name: &str| text(name).and_then(|count| count.parse().ok());
    UpstreamHead {
        status,
        execution: text(EXECUTION_HEADER).map(Execution::from_word),
        refusal: text(engine_api::REFUSAL).map(str::to_owned),
        report: AnswerReport {
            cached_tokens: number(engine_api::CACHED_TOKENS),
            load: number(engine_api::WAITING_TOKENS).map(|waiting_tokens| AnswerLoad {
                waiting_tokens,
                running: number(engine_api::RUNNING).unwrap_or(0),
            }),
        },
    }
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Standard => "standard",
        Priority::Batch => "batch",
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
