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

/// Feeds text and gives what was passed on.
fn feed(relay: &mut StreamRelay, text: &str) -> (Result<RelayProgress, RelayError>, Vec<String>) {
    let mut passed = Vec::new();
    let result = relay.feed(text.as_bytes(), &mut |event| {
        passed.push(event.data.to_owned())
    });
    (result, passed)
}

proptest! {
    /// However the bytes are cut, every event is passed on once and in order.
    #[test]
    fn a_stream_is_whole_however_it_is_cut(
        texts in proptest::collection::vec("[a-z ]{1,9}", 1..20),
        piece in 1_usize..40
    ) {
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let whole = stream(&texts);
        let mut relay = StreamRelay::new();
        let mut passed = Vec::new();
        for bytes in whole.as_bytes().chunks(piece) {
            relay
                .feed(bytes, &mut |event| passed.push(event.data.trim_end().to_owned()))
                .expect("the stream is in order");
        }
        let mut expected: Vec<String> = texts.iter().map(|text| text.trim().to_owned()).collect();
        expected.push("[DONE]".to_owned());
        prop_assert_eq!(passed, expected);
        prop_assert!(relay.is_done());
    }
}

#[test]
fn a_skipped_event_ends_the_connection_before_it_is_passed_on() {
    let mut relay = StreamRelay::new();
    let text = event(0, "a") + &event(2, "c");
    let (result, passed) = feed(&mut relay, &text);
    let gap = RelayError::Gap {
        expected: 1,
        found: 2,
    };
    assert_eq!(result, Err(gap));
    assert_eq!(passed, ["a"]);
    assert_eq!(relay.resume_point(), Some(0));
}

#[test]
fn a_resumed_stream_goes_on_without_repeating() {
    let mut relay = StreamRelay::new();
    let _ = feed(&mut relay, &(event(0, "a") + "id: 1\nda"));
    relay.on_resumed();
    let text = event(0, "a") + &event(1, "b") + "data: [DONE]\n\n";
    let (result, passed) = feed(&mut relay, &text);
    assert_eq!(result, Ok(RelayProgress::Done));
    assert_eq!(passed, ["b", "[DONE]"]);
}

#[test]
fn an_answer_computed_anew_continues_only_the_same_beginning() {
    let mut same = StreamRelay::new();
    let _ = feed(&mut same, &(event(0, "a") + &event(1, "b")));
    let mut other = same.clone();
    same.on_restarted();
    let (result, passed) = feed(&mut same, &stream(&["a", "b", "c"]));
    assert_eq!(result, Ok(RelayProgress::Done));
    assert_eq!(passed, ["c", "[DONE]"]);
    other.on_restarted();
    let (result, passed) = feed(&mut other, &stream(&["a", "x", "c"]));
    assert_eq!(result, Err(RelayError::Diverged));
    assert!(passed.is_empty());
}

#[test]
fn an_answer_computed_anew_that_is_shorter_is_not_the_same() {
    let mut relay = StreamRelay::new();
    let _ = feed(&mut relay, &(event(0, "a") + &event(1, "b")));
    relay.on_restarted();
    let (result, _) = feed(&mut relay, &stream(&["a"]));
    assert_eq!(result, Err(RelayError::Diverged));
}
