//! Complete answers, assembled from the events of a stream.

use drumshore_core::{ModelName, RequestId};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::completion::CompletionKind;
use crate::sse::DONE;

/// An answer as the ledger stores it, and as callers that don't stream receive it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The generated text.
    pub text: String,
    /// Why generation stopped, as reported by the engine.
    pub finish_reason: Option<String>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Number of prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl RecordedAnswer {
    /// Appends the data of one event; data that cannot be parsed is ignored.
    pub fn add(&mut self, data: &str) {
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return;
        };
        if let Some(choice) = chunk.choices.into_iter().next() {
            let content = choice.delta.and_then(|delta| delta.content);
            let piece = choice.text.or(content);
            self.text.push_str(&piece.unwrap_or_default());
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        if let Some(usage) = chunk.usage {
            self.prompt_tokens = usage.prompt_tokens;
            self.completion_tokens = usage.completion_tokens;
            let details = usage.prompt_tokens_details;
            self.cached_tokens = details.map_or(0, |details| details.cached_tokens);
        }
    }

    /// The body of a response that is not streamed.
    pub fn to_document(
        &self,
        kind: CompletionKind,
        request: RequestId,
        model: &ModelName,
    ) -> serde_json::Value {
        let choice = match kind {
            CompletionKind::Text => json!({
                "index": 0, "text": self.text, "finish_reason": self.finish_reason,
            }),
            CompletionKind::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish_reason,
            }),
        };
        let object = match kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion",
        };
        json!({
            "id": request.to_string(),
            "object": object,
            "model": model.as_str(),
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.completion_tokens,
                "total_tokens": self.prompt_tokens + self.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
            },
        })
    }

    /// A recorded answer as an event stream, with the whole text in one event.
    pub fn to_stream(&self, kind: CompletionKind, request: RequestId) -> String {
        let choice = match kind {
            CompletionKind::Text => json!({
                "index": 0, "text": self.text, "finish_reason": self.finish_reason,
            }),
            CompletionKind::Chat => json!({
                "index": 0,
                "delta": {"content": self.text},
                "finish_reason": self.finish_reason,
            }),
        };
        let chunk = json!({"id": request.to_string(), "choices": [choice]});
        format!("id: 0\ndata: {chunk}\n\ndata: {DONE}\n\n")
    }
}
