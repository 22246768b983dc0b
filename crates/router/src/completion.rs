//! Parsing of requests to the OpenAI-style completion API.

use std::sync::Arc;

use drumshore_core::{AdapterName, ErrorCode, ModelName, Priority, RequestError};
use drumshore_routing::Prompt;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// The two request formats of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// The HTTP path, the same at routers and engines.
    pub fn path(self) -> &'static str {
        match self {
            CompletionKind::Text => "/v1/completions",
            CompletionKind::Chat => "/v1/chat/completions",
        }
    }
}

/// A prompt as received from the caller.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum PromptInput {
    /// Text that the engine tokenizes.
    Text(String),
    /// Token ids.
    Tokens(Vec<u32>),
}

impl Default for PromptInput {
    fn default() -> Self {
        PromptInput::Text(String::new())
    }
}

impl PromptInput {
    /// Borrows the prompt for hashing and token counting.
    pub fn as_prompt(&self) -> Prompt<'_> {
        match self {
            PromptInput::Text(text) => Prompt::Text(text),
            PromptInput::Tokens(tokens) => Prompt::Tokens(tokens),
        }
    }
}

/// A parsed and validated request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The request format.
    pub kind: CompletionKind,
    /// The requested model.
    pub model: ModelName,
    /// The adapter to apply to the model.
    pub adapter: Option<AdapterName>,
    /// The prompt; chat messages are joined to one text.
    pub prompt: Arc<PromptInput>,
    /// True if the caller wants the answer streamed.
    pub stream: bool,
    /// True if repeating the request with the same weights gives the same answer.
    pub deterministic: bool,
    /// The requested priority, if any.
    pub priority: Option<Priority>,
    /// Hash of the body. A repeated idempotency key is accepted only with the same hash.
    pub fingerprint: u64,
    /// The body sent to the engine; `stream` is always set.
    pub upstream_body: Arc<[u8]>,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    prompt: Option<PromptInput>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    temperature: Option<f64>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    priority: Option<Priority>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl CompletionRequest {
    /// Parses a request body; a malformed or incomplete one is a `BadRequest` error.
    pub fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, RequestError> {
        let mut document: serde_json::Value = serde_json::from_slice(body).map_err(bad_request)?;
        let parsed = Body::deserialize(&document).map_err(bad_request)?;
        let prompt = match kind {
            CompletionKind::Text => parsed.prompt.ok_or("prompt is missing"),
            CompletionKind::Chat if parsed.messages.is_empty() => Err("messages are missing"),
            CompletionKind::Chat => Ok(PromptInput::Text(flatten(&parsed.messages))),
        };
        document["stream"] = true.into();
        let upstream_body = serde_json::to_vec(&document).map_err(bad_request)?;
        Ok(Self {
            kind,
            model: ModelName::new(parsed.model),
            adapter: parsed.adapter.map(AdapterName::new),
            prompt: Arc::new(prompt.map_err(bad_request)?),
            stream: parsed.stream,
            deterministic: parsed.temperature == Some(0.0) || parsed.seed.is_some(),
            priority: parsed.priority,
            fingerprint: xxh3_64(body),
            upstream_body: upstream_body.into(),
        })
    }
}

fn bad_request(reason: impl ToString) -> RequestError {
    RequestError::not_run(ErrorCode::BadRequest, reason.to_string())
}

/// Joins a conversation to one text, from which its prefixes are hashed.
fn flatten(messages: &[Message]) -> String {
    messages
        .iter()
        .map(|message| format!("<{}>{}\n", message.role, message.content))
        .collect()
}
