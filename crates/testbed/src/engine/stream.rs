//! The answers of mock engines: tokens derived from the prompt, sent as server-sent events.

use drumshore_core::WeightsVersion;
use drumshore_router::sse::DONE;
use drumshore_router::CompletionKind;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const TOKEN_MASK: u64 = 0xff_ffff;

/// Returns the token at a position of an answer. It is a function of prompt, weights and position,
/// so a caller that knows the prompt detects an answer that is truncated, reordered or mixed up
/// with another.
pub fn token(prompt_digest: u64, weights_version: WeightsVersion, index: u32) -> String {
    let seed = prompt_digest ^ weights_version.0.rotate_left(32);
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format!(" {:06x}", hash & TOKEN_MASK)
}

/// Fields that the events of one stream share.
#[derive(Clone, Copy, Debug)]
pub struct EventContext<'e> {
    /// Text or chat completion.
    pub kind: CompletionKind,
    /// Id of the request.
    pub request: &'e str,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// Formats a token as an event. The last event carries the finish reason and the token usage.
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

/// Returns the event that follows the last token and ends the stream.
pub fn done_event() -> String {
    format!("data: {DONE}\n\n")
}
