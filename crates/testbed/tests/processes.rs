//! End-to-end tests with the real daemons and mock engines and platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use drumshore_core::PlacementGoal;
use drumshore_routing::DecisionRecord;
use drumshore_testbed::fleet::settings::{tenant_key, MODEL, OPERATOR_KEY};
use drumshore_testbed::fleet::{Fleet, Layout};
use rstest::rstest;
use serde_json::{json, Value};
use ureq::http::Response;
use ureq::{Agent, Body};

const TIMEOUT: Duration = Duration::from_secs(60);

fn lab() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_drumshore-lab"))
}

fn start(folder: &Path, controls: usize, routers: usize) -> Fleet {
    let layout = Layout {
        engines: 3,
        controls,
        routers,
        ..Layout::from_name("quickstart").expect("a known layout")
    };
    Fleet::start(layout, folder.to_owned(), lab()).expect("the fleet starts")
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent()
}

struct Answer {
    status: u16,
    request: String,
    body: Value,
}

fn read(mut response: Response<Body>) -> Answer {
    let request = response.headers().get("x-drumshore-request-id");
    Answer {
        status: response.status().as_u16(),
        request: request
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: serde_json::from_slice(&response.body_mut().read_to_vec().expect("a body"))
            .unwrap_or(Value::Null),
    }
}

fn send_completion(router: SocketAddr, key: &str, prompt: &str, once: Option<&str>) -> Answer {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 5, "temperature": 0.0});
    let mut call = agent()
        .post(format!("http://{router}/v1/completions"))
        .header("authorization", format!("Bearer {key}"));
    if let Some(once) = once {
        call = call.header("idempotency-key", once);
    }
    read(call.send(body.to_string()).expect("the router answers"))
}

fn completion_text(answer: &Answer) -> &str {
    answer.body["choices"][0]["text"]
        .as_str()
        .unwrap_or_default()
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "{what} did not happen in time");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_request_to_a_crashed_engine_is_retried_and_explained() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut fleet = start(folder.path(), 1, 1);
    let router = fleet.routers()[0];
    fleet.kill_engine(0);
    // Until the control machine detects the crash, some prompts are sent to the crashed engine.
    let mut retried = None;
    for number in 0..60 {
        let prompt = format!("prompt {number} {}", "x".repeat(600));
        let answer = send_completion(router, &tenant_key(0), &prompt, None);
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let record = explain(router, &answer.request);
        if record.attempts.len() > 1 {
            retried = Some(record);
            break;
        }
    }
    let record = retried.expect("one of 60 prompts is sent to the crashed engine");
    assert!(record.answered);
    let (first, last) = (
        &record.attempts[0],
        &record.attempts[record.attempts.len() - 1],
    );
    let error = first.error.as_ref().expect("the first attempt failed");
    assert_eq!(error.execution.as_str(), "not_run");
    assert_ne!(first.chosen, last.chosen);
    assert!(last.error.is_none());
    assert_eq!(last.excluded.first(), first.chosen.as_ref());
    assert_eq!(fleet.stop_routers(), 1);
}

fn explain(router: SocketAddr, request: &str) -> DecisionRecord {
    let response = agent()
        .get(format!("http://{router}/v1/explain/{request}"))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .call()
        .expect("the router answers");
    let answer = read(response);
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    serde_json::from_value(answer.body).expect("a decision record")
}

#[test]
fn a_repeated_idempotency_key_gets_the_recorded_answer() {
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = start(folder.path(), 3, 2);
    let routers = fleet.routers();
    let key = tenant_key(1);
    let first = send_completion(routers[0], &key, "book slot 9", Some("booking-9"));
    assert_eq!(first.status, 200, "{:?}", first.body);
    let mut second = send_completion(routers[1], &key, "book slot 9", Some("booking-9"));
    // The outcome of the first request may not have reached the ledger yet.
    wait_until("the recorded answer", || {
        if second.status != 200 {
            second = send_completion(routers[1], &key, "book slot 9", Some("booking-9"));
        }
        second.status == 200
    });
    assert_eq!(completion_text(&first), completion_text(&second));
    let other = send_completion(routers[0], &key, "book slot 8", Some("booking-9"));
    assert_eq!(other.body["error"]["code"], "key_reused");
    let executions = fleet.executions().expect("the witness files");
    assert_eq!(executions.get("booking-9"), Some(&1));
}

#[test]
fn changes_survive_a_crash_and_restart_of_the_leader() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut fleet = start(folder.path(), 3, 1);
    let leader = fleet.status().and_then(|status| status.leader);
    let leader = leader.expect("a leader");
    let before = fleet.status().expect("a status").revision;
    fleet.kill_control(leader);
    let controls = fleet.controls();
    let accepted = || {
        controls
            .iter()
            .any(|control| put_priority_class(*control) == Some(200))
    };
    wait_until("a change accepted without the old leader", accepted);
    fleet
        .restart_control(leader)
        .expect("the control machine restarts");
    let seen = |control: &SocketAddr| revision_at(*control).is_some_and(|at| at > before.0);
    wait_until(
        "replication of the change to all three control machines",
        || controls.iter().all(seen),
    );
    let router = fleet.routers()[0];
    let answer = send_completion(router, &tenant_key(0), "hello", None);
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

fn put_priority_class(control: SocketAddr) -> Option<u16> {
    let spec = json!({"kind": "priority-class", "spec": {"priority": "batch", "deadline_ms": 9}});
    let response = agent()
        .put(format!("http://{control}/v1/resources/priority-class/slow"))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("x-drumshore-expected-version", "0")
        .header("x-drumshore-change-id", "the-only-change")
        .send(spec.to_string());
    response.ok().map(|response| response.status().as_u16())
}

fn revision_at(control: SocketAddr) -> Option<u64> {
    let response = agent()
        .get(format!("http://{control}/v1/status"))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .call()
        .ok()?;
    read(response).body["revision"].as_u64()
}

#[test]
fn invalid_keys_and_bodies_are_rejected_with_error_codes() {
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = start(folder.path(), 1, 1);
    let (router, control) = (fleet.routers()[0], fleet.controls()[0]);
    let unknown_key = send_completion(router, "nobody", "hello", None);
    assert_eq!(unknown_key.status, 401);
    assert_eq!(unknown_key.body["error"]["execution"], "not_run");
    let good_key = format!("Bearer {}", tenant_key(0));
    let refused = |body: &str| {
        let call = agent().post(format!("http://{router}/v1/completions"));
        let response = call
            .header("authorization", &good_key)
            .send(body.to_owned());
        read(response.expect("the router answers"))
    };
    assert_eq!(refused("{").body["error"]["code"], "bad_request");
    let unknown = refused("{\"model\": \"none\", \"prompt\": \"x\"}");
    assert_eq!(unknown.body["error"]["code"], "unknown_model");
    let large = refused(&format!("{{\"prompt\": \"{}\"}}", "x".repeat(5 << 20)));
    assert_eq!(large.body["error"]["code"], "too_large");
    let before = revision_at(control);
    let response = agent()
        .put(format!("http://{control}/v1/resources/priority-class/x"))
        .header("authorization", "Bearer nobody")
        .send("{}")
        .expect("control answers");
    assert_eq!(read(response).status, 401);
    assert_eq!(revision_at(control), before);
    let models = agent()
        .get(format!("http://{router}/v1/models"))
        .header("authorization", &good_key)
        .call()
        .expect("the router answers");
    assert_eq!(read(models).body["data"][0]["id"], MODEL);
}

fn check_config(file: &Path) -> Output {
    Command::new(lab())
        .args(["drumshore", "check-config"])
        .arg(file)
        .output()
        .expect("the program runs")
}

#[rstest]
#[case("router.toml")]
#[case("control.toml")]
fn the_sample_settings_are_valid(#[case] name: &str) {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc");
    let output = check_config(&samples.join(name));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{errors}");
}

#[test]
fn an_invalid_setting_is_reported_with_its_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/router.toml");
    let sample = std::fs::read_to_string(samples).expect("the sample");
    let file = folder.path().join("router.toml");
    let wrong = sample.replace("max_attempts = 4", "max_attempts = 99");
    std::fs::write(&file, &wrong).expect("the settings file is written");
    let output = check_config(&file);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let line = wrong
        .lines()
        .position(|line| line.contains("99"))
        .expect("the invalid value is in the file")
        + 1;
    assert_eq!(output.status.code(), Some(4));
    assert!(errors.contains(&format!("line {line}")), "{errors}");
    assert!(
        errors.contains("max_attempts") && errors.contains("1 to 16"),
        "{errors}"
    );
}

#[test]
fn layouts_have_the_placement_goal_of_their_profile() {
    let goal = |name| Layout::from_name(name).map(|layout| layout.profile.goal());
    assert_eq!(goal("surtidor"), Some(PlacementGoal::Latency));
    assert_eq!(goal("sohar-quay"), Some(PlacementGoal::Reuse));
}
