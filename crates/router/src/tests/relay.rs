use proptest::prelude::*;

use crate::relay::{RelayError, RelayProgress, StreamRelay};

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

fn stream(texts: &[&str]) -> String {
    let numbered = texts.iter().enumerate();
    let events: String = numbered.map(|(id, text)| event(id as u64, text)).collect();
    events + "data: [DONE]\n\n"
}

/// Feeds text to the relay; returns its result and the data of the forwarded events.
fn feed(relay: &mut StreamRelay, text: &str) -> (Result<RelayProgress, RelayError>, Vec<String>) {
    let mut forwarded = Vec::new();
    let result = relay.feed(text.as_bytes(), &mut |event| {
        forwarded.push(event.data.to_owned())
    });
    (result, forwarded)
}

proptest! {
    /// Every event is forwarded once and in order, however the bytes are split.
    #[test]
    fn stream_is_complete_for_any_chunk_size(
        texts in proptest::collection::vec("[a-z ]{1,9}", 1..20),
        chunk_size in 1_usize..40
    ) {
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let whole = stream(&texts);
        let mut relay = StreamRelay::new();
        let mut forwarded = Vec::new();
        for bytes in whole.as_bytes().chunks(chunk_size) {
            relay
                .feed(bytes, &mut |event| forwarded.push(event.data.trim_end().to_owned()))
                .expect("the stream has no gap");
        }
        let mut expected: Vec<String> = texts.iter().map(|text| text.trim().to_owned()).collect();
        expected.push("[DONE]".to_owned());
        prop_assert_eq!(forwarded, expected);
        prop_assert!(relay.is_done());
    }
}

#[test]
fn skipped_event_is_an_error_and_is_not_forwarded() {
    let mut relay = StreamRelay::new();
    let text = event(0, "a") + &event(2, "c");
    let (result, forwarded) = feed(&mut relay, &text);
    let gap = RelayError::Gap {
        expected: 1,
        found: 2,
    };
    assert_eq!(result, Err(gap));
    assert_eq!(forwarded, ["a"]);
    assert_eq!(relay.resume_point(), Some(0));
}

#[test]
fn resumed_stream_does_not_repeat_events() {
    let mut relay = StreamRelay::new();
    let _ = feed(&mut relay, &(event(0, "a") + "id: 1\nda"));
    relay.on_resumed();
    let text = event(0, "a") + &event(1, "b") + "data: [DONE]\n\n";
    let (result, forwarded) = feed(&mut relay, &text);
    assert_eq!(result, Ok(RelayProgress::Done));
    assert_eq!(forwarded, ["b", "[DONE]"]);
}

#[test]
fn recomputed_answer_continues_only_if_its_beginning_is_equal() {
    let mut same = StreamRelay::new();
    let _ = feed(&mut same, &(event(0, "a") + &event(1, "b")));
    let mut other = same.clone();
    same.on_restarted();
    let (result, forwarded) = feed(&mut same, &stream(&["a", "b", "c"]));
    assert_eq!(result, Ok(RelayProgress::Done));
    assert_eq!(forwarded, ["c", "[DONE]"]);
    other.on_restarted();
    let (result, forwarded) = feed(&mut other, &stream(&["a", "x", "c"]));
    assert_eq!(result, Err(RelayError::Diverged));
    assert!(forwarded.is_empty());
}

#[test]
fn shorter_recomputed_answer_is_divergent() {
    let mut relay = StreamRelay::new();
    let _ = feed(&mut relay, &(event(0, "a") + &event(1, "b")));
    relay.on_restarted();
    let (result, _) = feed(&mut relay, &stream(&["a"]));
    assert_eq!(result, Err(RelayError::Diverged));
}
