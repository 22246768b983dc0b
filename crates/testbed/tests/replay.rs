//! Replays recorded traces and compares the decisions with the expected ones.

use std::path::{Path, PathBuf};

use drumshore_routing::recorder::{replay, TraceDecision, TraceLine, TraceOutcome};
use drumshore_testbed::replay::{first_difference, read_lines};
use rstest::rstest;

fn trace_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(name)
}

fn trace(name: &str) -> Vec<TraceLine> {
    read_lines(&trace_file(&format!("{name}.jsonl"))).expect("a trace")
}

fn expected_decisions(name: &str) -> Vec<TraceDecision> {
    read_lines(&trace_file(&format!("{name}.expect.jsonl"))).expect("expected decisions")
}

#[rstest]
#[case("surtidor")]
#[case("sohar-quay")]
fn a_replayed_trace_gives_the_recorded_decisions(#[case] name: &str) {
    let found = replay(&trace(name)).expect("a trace that begins with its start event");
    assert!(found.len() > 50, "{}", found.len());
    assert_eq!(first_difference(&expected_decisions(name), &found), None);
}

#[test]
fn a_changed_decision_is_reported_at_its_position() {
    let expected = expected_decisions("surtidor");
    let mut found = expected.clone();
    found[9].outcome = TraceOutcome::NoEngine;
    let difference = first_difference(&expected, &found).expect("a difference");
    assert_eq!(difference.position, 10);
    assert_eq!(difference.expected, Some(expected[9].clone()));
}

#[test]
fn a_trace_without_its_start_event_is_rejected() {
    let lines = trace("surtidor");
    assert!(replay(&lines[1..]).is_err());
}
