//! The mock engine in real time, served over HTTP with `tiny_http`.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use chunked_transfer::Encoder;
use crossbeam_channel::{unbounded, Receiver, Sender};
use drumshore_control::EngineOrder;
use drumshore_core::{
    IdempotencyKey, Incarnation, ModelName, Priority, RequestId, Timestamp, WeightsVersion,
};
use drumshore_http::EXECUTION_HEADER;
use drumshore_router::completion::PromptInput;
use drumshore_router::{engine_api, CompletionKind, CompletionRequest};
use drumshore_routing::{AnswerLoad, PrefixChain, PrefixRoot, ReportWanted};
use rand::Rng;
use serde::Deserialize;
use tiny_http::{Header, Method, Request, Response, Server};
use xxhash_rust::xxh3::xxh3_64;

use super::core::EngineCore;
use super::stream::{done_event, token, token_event, EventContext};
use super::types::{EngineOutput, EngineParams, EngineRequest, Refusal, StreamSummary, Submission};

const MAX_BATCH_WAIT: Duration = Duration::from_millis(100);
const STACK_BYTES: usize = 128 * 1024;
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Options of a mock engine process.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address on which it listens for HTTP requests.
    pub listen: SocketAddr,
    /// Settings of the engine.
    pub params: EngineParams,
    /// Base URL of the platform whose weight store it loads from; `None` loads alone.
    pub platform: Option<String>,
    /// File to which the idempotency key of each executed request is appended, one per line, so that
    /// tests count executions.
    pub witness: Option<PathBuf>,
}

/// Data of a request that is needed to send or resume its stream.
#[derive(Clone, Copy, Debug)]
struct ResumeInfo {
    prompt_digest: u64,
    kind: CompletionKind,
}

struct State {
    core: EngineCore,
    resume_info: BTreeMap<RequestId, ResumeInfo>,
    readers: BTreeMap<RequestId, Vec<Sender<EngineOutput>>>,
    witness: Option<File>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    platform: Option<String>,
}

/// Prints the address and serves an engine until the process ends.
pub fn run(options: EngineOptions) -> io::Result<()> {
    let (server, shared) = start(options)?;
    println!("{}", server.server_addr());
    serve(&server, &shared);
    Ok(())
}

/// Serves an engine on threads of this process. Returns its address.
pub fn spawn(options: EngineOptions) -> io::Result<SocketAddr> {
    let (server, shared) = start(options)?;
    let address = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| io::Error::other("the engine does not listen on an IP address"))?;
    thread::spawn(move || serve(&server, &shared));
    Ok(address)
}

fn start(options: EngineOptions) -> io::Result<(Server, Arc<Shared>)> {
    let incarnation = Incarnation(rand::rng().random_range(1..=u64::MAX >> 12));
    let witness = options.witness.map(|path| {
        let mut file = OpenOptions::new();
        file.create(true).append(true).open(path)
    });
    let shared = Arc::new(Shared {
        state: Mutex::new(State {
            core: EngineCore::new(options.params, incarnation),
            resume_info: BTreeMap::new(),
            readers: BTreeMap::new(),
            witness: witness.transpose()?,
        }),
        changed: Condvar::new(),
        started: Instant::now(),
        platform: options.platform,
    });
    let server = Server::http(options.listen).map_err(io::Error::other)?;
    let batching = Arc::clone(&shared);
    thread::Builder::new()
        .name("engine-batch".to_owned())
        .spawn(move || batching.run_batches())?;
    Ok((server, shared))
}

fn serve(server: &Server, shared: &Arc<Shared>) {
    while let Ok(request) = server.recv() {
        let shared = Arc::clone(shared);
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || shared.handle(request));
        if let Err(error) = spawned {
            tracing::warn!("engine: cannot start a thread for a request: {error}");
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed().as_micros() as u64)
    }

    fn run_batches(&self) {
        let mut state = self.lock();
        loop {
            let now = self.now();
            for output in state.core.advance(now) {
                state.deliver(output);
            }
            state.record_executions();
            if state.core.ready_to_load_weights() {
                drop(state);
                let takes = self.load_time();
                state = self.lock();
                state.core.begin_load(takes, self.now());
            }
            let next = state.core.next_event_at();
            let wait = next.map_or(MAX_BATCH_WAIT, |at| at.since(self.now()));
            let (guard, _) = self
                .changed
                .wait_timeout(state, wait.min(MAX_BATCH_WAIT))
                .unwrap_or_else(PoisonError::into_inner);
            state = guard;
        }
    }

    /// Registers with the weight store and returns how long loading takes, given the number of
    /// engines that load at the same time.
    fn load_time(&self) -> Duration {
        #[derive(Deserialize)]
        struct LoadingCount {
            loading: usize,
        }
        let count = self.platform.as_ref().and_then(|platform| {
            let mut response = ureq::post(format!("{platform}/v1/weights"))
                .send_empty()
                .ok()?;
            let body = response.body_mut().read_to_vec().ok()?;
            serde_json::from_slice::<LoadingCount>(&body).ok()
        });
        let loading = count.map_or(1, |count| count.loading);
        self.lock().core.params().timing.weight_load(loading)
    }

    fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let stream = url
            .strip_prefix(engine_api::STREAMS_PATH)
            .and_then(|rest| rest.trim_start_matches('/').parse::<RequestId>().ok());
        match (request.method().clone(), url.as_str(), stream) {
            (Method::Post, "/v1/completions", _) => self.complete(CompletionKind::Text, request),
            (Method::Post, "/v1/chat/completions", _) => {
                self.complete(CompletionKind::Chat, request);
            }
            (Method::Get, _, Some(id)) => self.resume(id, request),
            (Method::Delete, _, Some(id)) => {
                self.lock().core.cancel(id);
                respond(request, 200, &[], b"{}");
            }
            (Method::Get, engine_api::PROBE_PATH, _) => {
                let probe = self.lock().core.probe(self.now());
                respond_json(request, &probe);
            }
            (Method::Get, path, _) if path.starts_with(engine_api::CACHE_PATH) => {
                let report = self.lock().core.cache_report(report_wanted(path));
                respond_json(request, &report);
            }
            (Method::Get, "/v1/counters", _) => {
                let counters = self.lock().core.counters();
                respond_json(request, &counters);
            }
            (Method::Post, engine_api::ORDERS_PATH, _) => {
                let applied = read_json::<EngineOrder>(&mut request)
                    .is_some_and(|order| self.lock().core.order(&order));
                self.changed.notify_all();
                respond(request, if applied { 200 } else { 412 }, &[], b"{}");
            }
            (Method::Post, "/v1/leave", _) => {
                self.lock().core.leave();
                respond(request, 200, &[], b"{}");
            }
            _ => respond(request, 404, &[], b"{}"),
        }
    }

    fn complete(&self, kind: CompletionKind, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let parsed = CompletionRequest::parse(kind, &body);
        let Ok(parsed) = parsed else {
            return respond(request, 400, &[], b"{}");
        };
        let id = header(&request, engine_api::REQUEST_ID)
            .and_then(|id| id.parse().ok())
            .unwrap_or_else(|| RequestId {
                router: 0,
                sequence: rand::rng().random(),
            });
        let resume_info = ResumeInfo {
            prompt_digest: prompt_digest(&parsed.prompt),
            kind,
        };
        let (sender, outputs) = unbounded();
        let submission = {
            let mut state = self.lock();
            let submitted = engine_request(&request, id, &parsed, &body, state.core.params());
            let submission = state.core.submit(submitted, self.now());
            if submission == Submission::Accepted {
                state.resume_info.insert(id, resume_info);
                state.readers.insert(id, vec![sender]);
            }
            submission
        };
        self.changed.notify_all();
        match submission {
            Submission::Accepted => self.stream(request, id, resume_info, 0, &outputs),
            Submission::Refused(refusal) => refuse(request, &refusal),
        }
    }

    fn resume(&self, id: RequestId, request: Request) {
        let expected = header(&request, engine_api::INCARNATION);
        let last: Option<u32> =
            header(&request, engine_api::LAST_EVENT_ID).and_then(|event| event.parse().ok());
        let (sender, outputs) = unbounded();
        let resumed = {
            let mut state = self.lock();
            let own = state.core.incarnation().to_string();
            let resumed = state
                .core
                .stream(id)
                .filter(|_| expected.is_none_or(|expected| expected == own))
                .zip(state.resume_info.get(&id).copied());
            if let Some((summary, _)) = &resumed {
                let from = last.map_or(0, |last| last + 1);
                replay(id, summary, from, &sender);
                state.readers.entry(id).or_default().push(sender);
            }
            resumed
        };
        match resumed {
            Some((_, resume_info)) => {
                self.stream(
                    request,
                    id,
                    resume_info,
                    last.map_or(0, |last| last + 1),
                    &outputs,
                );
            }
            None => respond(request, 404, &[], b"{}"),
        }
    }

    /// Writes each output when it is produced. The response head is sent with the first one, because
    /// it states how many tokens were cached.
    fn stream(
        &self,
        request: Request,
        id: RequestId,
        resume_info: ResumeInfo,
        from: u32,
        outputs: &Receiver<EngineOutput>,
    ) {
        let Ok(first) = outputs.recv() else {
            return;
        };
        let incarnation = self.lock().core.incarnation();
        let prompt_tokens = self
            .lock()
            .core
            .stream(id)
            .map_or(0, |stream| stream.prompt_tokens);
        let text = id.to_string();
        let context = EventContext {
            kind: resume_info.kind,
            request: &text,
            prompt_tokens,
            cached_tokens: first.cached_tokens,
        };
        let mut writer = request.into_writer();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n{}: {}\r\n{}: {incarnation}\r\n{}: {}\r\n{}\r\n",
            engine_api::CACHED_TOKENS,
            first.cached_tokens,
            engine_api::INCARNATION,
            engine_api::WEIGHTS_VERSION,
            first.weights_version,
            load_headers(first.load),
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut body = Encoder::new(&mut writer);
        let mut next = Some(first);
        while let Some(output) = next {
            if output.index >= from {
                let piece = token(
                    resume_info.prompt_digest,
                    output.weights_version,
                    output.index,
                );
                let event = token_event(&context, output.index, &piece, output.last);
                let done = if output.last {
                    done_event()
                } else {
                    String::new()
                };
                // Flushing the encoder ends the chunk; the connection's buffer needs its own flush.
                let sent = body
                    .write_all((event + &done).as_bytes())
                    .and_then(|()| body.flush())
                    .and_then(|()| body.get_mut().flush());
                if sent.is_err() {
                    return;
                }
            }
            next = if output.last {
                None
            } else {
                outputs.recv().ok()
            };
        }
        drop(body);
        // An error means that the peer has disconnected and does not need the rest.
        let _ = writer.flush();
    }
}

impl State {
    fn deliver(&mut self, output: EngineOutput) {
        if let Some(readers) = self.readers.get_mut(&output.id) {
            readers.retain(|reader| reader.send(output).is_ok());
        }
        if output.last {
            self.readers.remove(&output.id);
        }
        let core = &self.core;
        if self.resume_info.len() > 4 * core.open() + 4_096 {
            self.resume_info.retain(|id, _| core.stream(*id).is_some());
        }
    }

    /// Appends the keys of executed at-most-once requests to the witness file, which outlives a
    /// killed process.
    fn record_executions(&mut self) {
        for executed in self.core.take_executions() {
            let (Some(key), Some(file)) = (executed.once, &mut self.witness) else {
                continue;
            };
            if let Err(error) = writeln!(file, "{key}") {
                tracing::error!("engine: cannot write to the witness file: {error}");
            }
        }
    }
}

fn load_headers(load: Option<AnswerLoad>) -> String {
    load.map_or(String::new(), |load| {
        format!(
            "{}: {}\r\n{}: {}\r\n",
            engine_api::WAITING_TOKENS,
            load.waiting_tokens,
            engine_api::RUNNING,
            load.running
        )
    })
}

fn replay(id: RequestId, summary: &StreamSummary, from: u32, sender: &Sender<EngineOutput>) {
    for index in from..summary.emitted {
        let _ = sender.send(EngineOutput {
            id,
            at: Timestamp(0),
            index,
            last: index + 1 == summary.max_tokens,
            cached_tokens: summary.cached_tokens,
            load: None,
            weights_version: summary.weights_version,
        });
    }
}

/// Returns the digest of a prompt, from which the tokens of its answer are derived.
pub fn prompt_digest(prompt: &PromptInput) -> u64 {
    match prompt {
        PromptInput::Text(text) => xxh3_64(text.as_bytes()),
        PromptInput::Tokens(tokens) => {
            let bytes: Vec<u8> = tokens
                .iter()
                .flat_map(|token| token.to_le_bytes())
                .collect();
            xxh3_64(&bytes)
        }
    }
}

fn engine_request(
    request: &Request,
    id: RequestId,
    parsed: &CompletionRequest,
    body: &[u8],
    params: &EngineParams,
) -> EngineRequest {
    #[derive(Deserialize)]
    struct Limits {
        #[serde(default)]
        max_tokens: Option<u32>,
    }
    let max_tokens = serde_json::from_slice::<Limits>(body)
        .ok()
        .and_then(|limits| limits.max_tokens);
    let salt = header(request, engine_api::CACHE_SALT)
        .and_then(|salt| u64::from_str_radix(&salt, 16).ok())
        .unwrap_or(0);
    let number = |name: &str| header(request, name).and_then(|value| value.parse::<u64>().ok());
    let prompt = parsed.prompt.as_prompt();
    let chain = PrefixChain::new(PrefixRoot::from_u64(salt), prompt, params.block_tokens);
    EngineRequest {
        id,
        incarnation: number(engine_api::INCARNATION).map(Incarnation),
        weights_version: number(engine_api::WEIGHTS_VERSION).map(WeightsVersion),
        priority: match header(request, engine_api::PRIORITY).as_deref() {
            Some("interactive") => Priority::Interactive,
            Some("batch") => Priority::Batch,
            _ => Priority::Standard,
        },
        prompt_tokens: chain.prompt_tokens(),
        chain: chain.hashes().to_vec(),
        max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        tenant: 0,
        once: header(request, engine_api::IDEMPOTENCY_KEY).map(IdempotencyKey::new),
    }
}

fn header(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str().to_owned())
}

/// Parses a path under [`engine_api::CACHE_PATH`]: `/INCARNATION/CHANGE` requests the changes from
/// that number on, any other path a complete report.
fn report_wanted(path: &str) -> ReportWanted {
    let rest = path.strip_prefix(engine_api::CACHE_PATH);
    let parts = rest.and_then(|rest| rest.strip_prefix('/')?.split_once('/'));
    let changes = parts.and_then(|(start, number)| {
        let start = Incarnation(start.parse().ok()?);
        Some(ReportWanted::ChangesFrom(start, number.parse().ok()?))
    });
    changes.unwrap_or(ReportWanted::Complete)
}

fn refuse(request: Request, refusal: &Refusal) {
    let headers = [
        (EXECUTION_HEADER, refusal.execution.as_str()),
        (engine_api::REFUSAL, refusal.reason),
    ];
    respond(request, refusal.status, &headers, b"{}");
}

/// Responds with a JSON document.
pub(crate) fn respond_json(request: Request, document: &impl serde::Serialize) {
    match serde_json::to_vec(document) {
        Ok(body) => respond(request, 200, &[], &body),
        Err(_) => respond(request, 500, &[], b"{}"),
    }
}

/// Responds with a complete body.
pub(crate) fn respond(request: Request, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let mut response = Response::from_data(body).with_status_code(status);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    // An error means that the peer has disconnected.
    let _ = request.respond(response);
}

/// Parses the JSON body of a request; `None` when it cannot be read or parsed.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(request: &mut Request) -> Option<T> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns default settings for an engine that serves `model` and is `slowdown` times slower than
/// the defaults of [`super::EngineTiming`].
pub fn params(name: &str, model: &ModelName, block_tokens: u32, slowdown: f64) -> EngineParams {
    let mut params = EngineParams {
        name: name.into(),
        model: model.clone(),
        block_tokens,
        ..EngineParams::default()
    };
    params.timing.slowdown = slowdown;
    params
}
