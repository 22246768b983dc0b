//! A caller that sends requests, reads the answer streams and checks every token.

use std::io::Read;
use std::time::{Duration, Instant};

use drumshore_core::{Execution, Priority, WeightsVersion};
use drumshore_http::EXECUTION_HEADER;
use drumshore_router::answer::RecordedAnswer;
use drumshore_router::completion::PromptInput;
use drumshore_router::sse::{EventDecoder, DONE};
use serde_json::json;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::report::{Outcome, Sample};
use crate::engine::http::prompt_digest;
use crate::engine::stream::token;
use crate::workload::WorkloadRequest;

const BUFFER_BYTES: usize = 8 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Highest weights version that an answer may have been computed with.
const KNOWN_VERSIONS: u64 = 8;

/// Parameters of a caller.
#[derive(Clone, Debug)]
pub struct CallerParams {
    /// Target addresses as `IP:PORT`; each caller uses one of them.
    pub targets: Vec<String>,
    /// Bearer keys, indexed by tenant number.
    pub keys: Vec<String>,
    /// Name of the requested model.
    pub model: String,
    /// Number of tokens in a block of a prompt.
    pub block_tokens: u32,
    /// Whether at-most-once requests carry an idempotency key.
    pub idempotency: bool,
    /// Prefix of the idempotency keys, which keeps those of several runs apart.
    pub run: u64,
}

/// A client that sends one request at a time to one target.
pub struct Caller {
    params: CallerParams,
    url: String,
    agent: Agent,
}

/// An answer stream as far as it has been read.
struct StreamResult {
    answer: RecordedAnswer,
    tokens: Vec<String>,
    complete: bool,
    error: Option<(Execution, String)>,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    gaps: Vec<Duration>,
}

impl Caller {
    /// Creates the caller of this number, which decides its target.
    pub fn new(params: CallerParams, number: usize) -> Self {
        let target = &params.targets[number % params.targets.len()];
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .timeout_per_read(Some(READ_TIMEOUT))
            .build();
        Self {
            url: format!("http://{target}/v1/completions"),
            params,
            agent: Agent::new_with_config(config),
        }
    }

    /// Sends one request, reads its answer and checks it. Latency counts from `due`, the time at
    /// which the request was scheduled.
    pub fn send_request(&self, request: &WorkloadRequest, number: u64, due: Instant) -> Sample {
        let text = request.text(self.params.block_tokens);
        let once = request.once && self.params.idempotency;
        let digest = prompt_digest(&PromptInput::Text(text.clone()));
        let priority = match request.priority {
            Priority::Interactive => "interactive",
            Priority::Standard => "standard",
            Priority::Batch => "batch",
        };
        let body = json!({
            "model": self.params.model, "prompt": text, "stream": true, "temperature": 0.0,
            "max_tokens": request.output_tokens, "priority": priority,
        });
        let key = &self.params.keys[request.tenant % self.params.keys.len()];
        let mut call = self
            .agent
            .post(&self.url)
            .content_type("application/json")
            .header("authorization", format!("Bearer {key}"));
        if once {
            let key = format!("{}-{number}", self.params.run);
            call = call.header("idempotency-key", key);
        }
        match call.send(body.to_string()) {
            Ok(response) => self.read(response, request, digest, once, due),
            Err(error) => failed(Outcome::Lost, error.to_string()),
        }
    }

    fn read(
        &self,
        mut response: Response<Body>,
        request: &WorkloadRequest,
        digest: u64,
        once: bool,
        due: Instant,
    ) -> Sample {
        let router_time = server_timing(&response);
        if response.status() != 200 {
            return refused(&mut response, once);
        }
        let result = read_stream(&mut response);
        let mut sample = Sample {
            first_token: result.first_at.map(|at| at.saturating_duration_since(due)),
            token_gaps: result.gaps.clone(),
            prompt_tokens: result.answer.prompt_tokens,
            cached_tokens: result.answer.cached_tokens,
            completion_tokens: result.tokens.len() as u64,
            router_time,
            outcome: Outcome::Answered,
            detail: None,
        };
        let (outcome, detail) = check_answer(&result, request, digest, once);
        sample.outcome = outcome;
        sample.detail = detail;
        sample
    }
}

fn check_answer(
    result: &StreamResult,
    request: &WorkloadRequest,
    digest: u64,
    once: bool,
) -> (Outcome, Option<String>) {
    let expected = request.output_tokens as usize;
    let matches_prompt = (1..=KNOWN_VERSIONS).map(WeightsVersion).any(|version| {
        let numbered = result.tokens.iter().enumerate();
        let mut matches = numbered.map(|(at, text)| *text == token(digest, version, at as u32));
        matches.all(|matches| matches)
    });
    if !matches_prompt || result.tokens.len() > expected {
        let detail = format!(
            "received {} tokens that do not match the request",
            result.tokens.len()
        );
        return (Outcome::Misordered, Some(detail));
    }
    if let Some((execution, message)) = &result.error {
        return (failure_outcome(*execution, once), Some(message.clone()));
    }
    if !result.complete || result.tokens.len() != expected {
        let detail = format!(
            "stream ended after {} of {expected} tokens",
            result.tokens.len()
        );
        return (Outcome::Lost, Some(detail));
    }
    (Outcome::Answered, None)
}

fn failure_outcome(execution: Execution, once: bool) -> Outcome {
    match execution {
        Execution::NotRun => Outcome::RefusedNotRun,
        _ if once => Outcome::MayHaveRun,
        _ => Outcome::Lost,
    }
}

fn read_stream(response: &mut Response<Body>) -> StreamResult {
    let mut result = StreamResult {
        answer: RecordedAnswer::default(),
        tokens: Vec::new(),
        complete: false,
        error: None,
        first_at: None,
        last_at: None,
        gaps: Vec::new(),
    };
    let mut decoder = EventDecoder::default();
    let mut reader = response.body_mut().as_reader();
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) | Err(_) => return result,
            Ok(count) => decoder.push(&buffer[..count]),
        }
        while let Ok(Some(event)) = decoder.next_event() {
            result.on_event(event.data);
        }
    }
}

impl StreamResult {
    fn on_event(&mut self, data: &str) {
        if data == DONE {
            self.complete = true;
            return;
        }
        if let Some(error) = stream_error(data) {
            self.error = Some(error);
            return;
        }
        let before = self.answer.text.len();
        self.answer.add(data);
        self.tokens.push(self.answer.text[before..].to_owned());
        let now = Instant::now();
        self.first_at.get_or_insert(now);
        if let Some(last) = self.last_at.replace(now) {
            self.gaps.push(now.saturating_duration_since(last));
        }
    }
}

fn stream_error(data: &str) -> Option<(Execution, String)> {
    if !data.starts_with("{\"error\"") {
        return None;
    }
    let document: serde_json::Value = serde_json::from_str(data).ok()?;
    let error = document.get("error")?;
    let word = error.get("execution")?.as_str()?;
    Some((Execution::from_word(word), error.to_string()))
}

fn refused(response: &mut Response<Body>, once: bool) -> Sample {
    let word = response.headers().get(EXECUTION_HEADER);
    let execution = word
        .and_then(|word| word.to_str().ok())
        .map_or(Execution::MayHaveRun, Execution::from_word);
    let status = response.status();
    let body = response.body_mut().read_to_string().unwrap_or_default();
    failed(
        failure_outcome(execution, once),
        format!("{status}: {body}"),
    )
}

fn failed(outcome: Outcome, detail: String) -> Sample {
    Sample {
        outcome,
        first_token: None,
        token_gaps: Vec::new(),
        prompt_tokens: 0,
        cached_tokens: 0,
        completion_tokens: 0,
        router_time: None,
        detail: Some(detail),
    }
}

/// Parses the header `server-timing: router;dur=MILLISECONDS`.
fn server_timing(response: &Response<Body>) -> Option<Duration> {
    let value = response.headers().get("server-timing")?.to_str().ok()?;
    let milliseconds: f64 = value.strip_prefix("router;dur=")?.parse().ok()?;
    Some(Duration::from_secs_f64(milliseconds / 1_000.0))
}
