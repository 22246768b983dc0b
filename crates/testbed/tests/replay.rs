//! Recorded traces against stated outcomes.

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

fn stated(name: &str) -> Vec<TraceDecision> {
    read_lines(&trace_file(&format!("{name}.expect.jsonl"))).expect("stated outcomes")
}

#[rstest]
#[case("surtidor")]
#[case("sohar-quay")]
fn a_recorded_trace_gives_the_stated_outcomes(#[case] name: &str) {
    let found = replay(&trace(name)).expect("it begins with its start");
    assert!(found.len() > 50, "{}", found.len());
    assert_eq!(first_difference(&stated(name), &found), None);
}

#[test]
fn a_difference_is_shown_where_it_is() {
    let expected = stated("surtidor");
    let mut found = expected.clone();
    found[9].outcome = TraceOutcome::NoEngine;
    let difference = first_difference(&expected, &found).expect("one differs");
    assert_eq!(difference.position, 10);
    assert_eq!(difference.expected, Some(expected[9].clone()));
}

#[test]
fn a_trace_without_its_start_is_refused() {
    let lines = trace("surtidor");
    assert!(replay(&lines[1..]).is_err());
}
