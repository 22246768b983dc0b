//! The router's HTTP API for callers, operators and metrics scrapes.

use std::time::{Duration, Instant};

use drumshore_core::settings::RouterSettings;
use drumshore_core::{ErrorCode, IdempotencyKey, KeyHash, ModelName, RequestError, RequestId};
use drumshore_http::{Handler, Method, Request, Responder};
use drumshore_router::engine_api;
use drumshore_router::{
    AdmitOutcome, AdmitRequest, CompletionKind, CompletionRequest, Purpose, RouterCore,
    RouterMetrics,
};
use drumshore_routing::DecisionRecord;
use prometheus_client::metrics::histogram::Histogram;
use serde_json::json;
use stakker::{call, Ret};

use super::completions::Completion;
use super::upstream::Upstream;
use super::RouterHandle;
use crate::links::TRAFFIC;
use crate::metrics::{duration_histogram, Scrape, CONTENT_TYPE};

/// Header with the name of the request's priority class.
const PRIORITY_CLASS_HEADER: &str = "x-drumshore-priority-class";

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

const EXPLAIN_PATH: &str = "/v1/explain/";

/// Handles the HTTP requests of callers and operators.
pub(super) struct Api {
    handle: RouterHandle,
    upstream: Upstream,
    max_body_bytes: u64,
    operator_key_hashes: Vec<KeyHash>,
    request_seconds: Histogram,
}

impl Api {
    pub(super) fn new(settings: &RouterSettings, handle: RouterHandle) -> Self {
        let stall_timeout = Duration::from_millis(settings.limits.engine_stall_ms);
        Self {
            handle,
            upstream: Upstream::new(stall_timeout),
            max_body_bytes: settings.limits.max_body_bytes,
            operator_key_hashes: settings.operator_key_hashes.clone(),
            request_seconds: duration_histogram(),
        }
    }

    fn complete(&self, kind: CompletionKind, request: &mut Request<'_>, responder: Responder<'_>) {
        let started = Instant::now();
        let parsed = request
            .read_body(self.max_body_bytes)
            .and_then(|body| CompletionRequest::parse(kind, &body))
            .and_then(|completion| Ok((parse_admit_request(request, &completion)?, completion)));
        match parsed {
            Ok((admit_request, completion)) => {
                let outlives_caller = admit_request.idempotency_key.is_some();
                let (handle, upstream) = (&self.handle, &self.upstream);
                Completion::new(
                    handle,
                    upstream,
                    completion,
                    responder,
                    outlives_caller,
                    started,
                )
                .run(admit_request);
            }
            Err(error) => {
                responder.refuse(&error);
            }
        }
        self.request_seconds
            .observe(started.elapsed().as_secs_f64());
    }

    fn models(&self, request: &Request<'_>, responder: Responder<'_>) {
        let admit_request = AdmitRequest {
            key_hash: request.bearer_key().map(|key| key.hash()),
            purpose: Purpose::ListModels,
            ..AdmitRequest::default()
        };
        let admitted = self.handle.post_and_wait(move |_, context, sender| {
            let ret = Ret::new(move |admitted| {
                let _ = sender.send(admitted);
            });
            call!([context.actor], admit(admit_request, ret));
        });
        match admitted.flatten() {
            Some((_, AdmitOutcome::Models(models))) => {
                responder.send_json(200, &model_list(&models));
            }
            Some((_, AdmitOutcome::Refused(error))) => {
                responder.refuse(&error);
            }
            _ => {
                responder.refuse(&RequestError::not_run(
                    ErrorCode::Internal,
                    "the router is ending",
                ));
            }
        }
    }

    fn ready(&self, responder: Responder<'_>) {
        let ready = self.inspect(|core| core.is_ready()).unwrap_or(false);
        if ready {
            responder.send(200, "text/plain", b"ready\n");
        } else {
            let message = "no configuration yet, or stopping";
            responder.refuse(&RequestError::not_run(
                ErrorCode::ConfigUnavailable,
                message,
            ));
        }
    }

    fn metrics(&self, responder: Responder<'_>) {
        let metrics = self.inspect(|core| core.metrics()).unwrap_or_default();
        let mut scrape = Scrape::new("drumshore_router");
        add_metrics(&mut scrape, &metrics);
        TRAFFIC.add_to(&mut scrape);
        let help = "Time from a request's head to the end of its answer, in seconds";
        scrape.metric("request_seconds", help, self.request_seconds.clone());
        responder.send(200, CONTENT_TYPE, scrape.text().as_bytes());
    }

    fn explain(&self, request: &Request<'_>, responder: Responder<'_>) {
        let presented = request.bearer_key().map(|key| key.hash());
        if !presented.is_some_and(|key| self.operator_key_hashes.contains(&key)) {
            let message = "an operator's key is needed";
            responder.refuse(&RequestError::not_run(ErrorCode::Unauthorized, message));
            return;
        }
        let id = request.path().trim_start_matches(EXPLAIN_PATH);
        let record: Option<DecisionRecord> = id.parse::<RequestId>().ok().and_then(|id| {
            self.inspect(move |core| core.explain(id).cloned())
                .flatten()
        });
        match record {
            Some(record) => responder.send_json(200, &record),
            None => responder.refuse(&RequestError::not_run(
                ErrorCode::NotFound,
                "no recent request has this id at this router",
            )),
        };
    }

    fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&RouterCore) -> T + Send + 'static,
    ) -> Option<T> {
        self.handle.post_and_wait(move |_, context, sender| {
            let read: Box<dyn FnOnce(&RouterCore)> = Box::new(move |core| {
                // The waiting thread may have ended when the router stops.
                let _ = sender.send(read(core));
            });
            call!([context.actor], inspect(read));
        })
    }
}

impl Handler for Api {
    fn handle(&self, request: &mut Request<'_>, responder: Responder<'_>) {
        match (request.method(), request.path()) {
            (Method::Post, "/v1/completions") => {
                self.complete(CompletionKind::Text, request, responder);
            }
            (Method::Post, "/v1/chat/completions") => {
                self.complete(CompletionKind::Chat, request, responder);
            }
            (Method::Get, "/v1/models") => self.models(request, responder),
            (Method::Get, "/healthz") => {
                responder.send(200, "text/plain", b"alive\n");
            }
            (Method::Get, "/readyz") => self.ready(responder),
            (Method::Get, "/metrics") => self.metrics(responder),
            (Method::Get, path) if path.starts_with(EXPLAIN_PATH) => {
                self.explain(request, responder);
            }
            _ => {
                responder.refuse(&RequestError::not_run(ErrorCode::NotFound, "no such path"));
            }
        }
    }
}

fn parse_admit_request(
    request: &Request<'_>,
    completion: &CompletionRequest,
) -> Result<AdmitRequest, RequestError> {
    let key = request.header(engine_api::IDEMPOTENCY_KEY);
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        let message = format!("idempotency-key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(RequestError::not_run(ErrorCode::BadRequest, message));
    }
    Ok(AdmitRequest {
        key_hash: request.bearer_key().map(|key| key.hash()),
        purpose: Purpose::Complete,
        model: completion.model.clone(),
        adapter: completion.adapter.clone(),
        prompt: completion.prompt.clone(),
        priority: completion.priority,
        priority_class: request.header(PRIORITY_CLASS_HEADER).map(str::to_owned),
        deterministic: completion.deterministic,
        idempotency_key: key.map(IdempotencyKey::new),
        fingerprint: completion.fingerprint,
    })
}

fn model_list(models: &[ModelName]) -> serde_json::Value {
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model.as_str(), "object": "model", "owned_by": "drumshore"}))
        .collect();
    json!({"object": "list", "data": data})
}

fn add_metrics(scrape: &mut Scrape, metrics: &RouterMetrics) {
    let counters = [
        ("requests", "Requests that asked", metrics.requests),
        ("answered", "Requests answered whole", metrics.answered),
        ("failed", "Requests that ended otherwise", metrics.failed),
        ("refused", "Requests that did not run", metrics.refused),
        ("retries", "Attempts after the first", metrics.retries),
        (
            "index_questions",
            "Requests before whose placement the index was asked",
            metrics.index_questions,
        ),
        (
            "prompt_tokens",
            "Prompt tokens of answered requests",
            metrics.prompt_tokens,
        ),
        (
            "cached_tokens",
            "Prompt tokens found in caches",
            metrics.cached_tokens,
        ),
        (
            "overestimated_tokens",
            "Prompt tokens believed cached that were not",
            metrics.overestimated_tokens,
        ),
        (
            "stale_updates",
            "Configuration refused as older",
            metrics.stale_updates,
        ),
        (
            "control_messages_sent",
            "Messages to control machines",
            metrics.control_messages_sent,
        ),
        (
            "control_messages_received",
            "Messages from control machines",
            metrics.control_messages_received,
        ),
    ];
    for (name, help, value) in counters {
        scrape.counter(name, help, value);
    }
    scrape.gauge("open_requests", "Requests open", metrics.open);
    scrape.gauge(
        "queued_requests",
        "Requests waiting for an engine",
        metrics.queued,
    );
    scrape.gauge(
        "config_revision",
        "Configuration revision applied",
        metrics.revision,
    );
    let help = "1 while a quorum's confirmation is recent";
    scrape.gauge("control_fresh", help, metrics.control_fresh);
}
