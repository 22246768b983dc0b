//! What engines answer: tokens that follow from the prompt, as server-sent events.

use drumshore_core::WeightsVersion;
use drumshore_router::sse::DONE;
use drumshore_router::CompletionKind;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const TOKEN_MASK: u64 = 0xff_ffff;

/// The token that an engine produces at a place of its answer. It follows from prompt, weights
/// and place alone, so whoever knows the prompt sees a crossed, cut or reordered answer.
pub fn token(prompt_digest: u64, weights_version: WeightsVersion, index: u32) -> String {
    let seed = prompt_digest ^ weights_version.0.rotate_left(32);
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!(" {:06x}", hash & TOKEN_MASK)
}

/// What an event is about.
#[derive(Clone, Copy, Debug)]
pub struct EventContext<'e> {
    /// Which form of the API.
    pub kind: CompletionKind,
    /// The request's id.
    pub request: &'e str,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Of these, cached.
    pub cached_tokens: u32,
}

/// One token as an event; the last one says why the answer ends and what it cost.
pub fn token_event(context: &EventContext<'_>, index: u32, text: &str, last: bool) -> String {
    let finish = if last { "\"length\"" } else { "null" };
    let request = context.request;
    let choice = match context.kind {
        CompletionKind::Text => {
            format!("{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}")
        }
        CompletionKind::Chat => format!(
            "{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{finish}}}"
        ),
    };
    let usage = if last {
        let usage = json!({
            "prompt_tokens": context.prompt_tokens,
            "completion_tokens": index + 1,
            "prompt_tokens_details": {"cached_tokens": context.cached_tokens},
        });
        format!(",\"usage\":{usage}")
    } else {
        String::new()
    };
    format!("id: {index}\ndata: {{\"id\":\"{request}\",\"choices\":[{choice}]{usage}}}\n\n")
}

/// The event behind the last token.
pub fn done_event() -> String {
    format!("data: {DONE}\n\n")
}
