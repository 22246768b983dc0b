//! What callers ask: the usual completion API.

use std::sync::Arc;

use drumshore_core::{AdapterName, ErrorCode, ModelName, Priority, RequestError};
use drumshore_routing::Prompt;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// The two forms of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// The path at router and engine alike.
    pub fn path(self) -> &'static str {
        match self {
            CompletionKind::Text => "/v1/completions",
            CompletionKind::Chat => "/v1/chat/completions",
        }
    }
}

/// A prompt as the caller gave it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub enum PromptInput {
    /// Text.
    Text(String),
    /// Token numbers.
    Tokens(Vec<u32>),
}

impl Default for PromptInput {
    fn default() -> Self {
        PromptInput::Text(String::new())
    }
}

impl PromptInput {
    /// The prompt for hashing and counting.
    pub fn as_prompt(&self) -> Prompt<'_> {
        match self {
            PromptInput::Text(text) => Prompt::Text(text),
            PromptInput::Tokens(tokens) => Prompt::Tokens(tokens),
        }
    }
}

/// A request that was read and checked.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Which form.
    pub kind: CompletionKind,
    /// The model.
    pub model: ModelName,
    /// The adapter on top of it.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<PromptInput>,
    /// True when the answer is to be streamed.
    pub stream: bool,
    /// True when the same request gives the same answer under the same weights.
    pub deterministic: bool,
    /// The priority asked for, when one is.
    pub priority: Option<Priority>,
    /// Hash of the body: a key that is used again has to come with the same one.
    pub fingerprint: u64,
    /// The body for the engine, which always streams.
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
    /// Reads a body.
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

/// The text under which a conversation's prefixes are known.
fn flatten(messages: &[Message]) -> String {
    messages
        .iter()
        .map(|message| format!("<{}>{}\n", message.role, message.content))
        .collect()
}
