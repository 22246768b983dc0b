//! Real processes: the daemons as they are started by operators, with stand-ins around them.

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

const PATIENCE: Duration = Duration::from_secs(60);

fn lab() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_drumshore-lab"))
}

fn start(folder: &Path, controls: usize, routers: usize) -> Fleet {
    let layout = Layout {
        engines: 3,
        controls,
        routers,
        ..Layout::from_name("quickstart").expect("it is a layout")
    };
    Fleet::start(layout, folder.to_owned(), lab()).expect("the fleet starts")
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
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

fn ask(router: SocketAddr, key: &str, prompt: &str, once: Option<&str>) -> Answer {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 5, "temperature": 0.0});
    let mut call = agent()
        .post(format!("http://{router}/v1/completions"))
        .header("authorization", format!("Bearer {key}"));
    if let Some(once) = once {
        call = call.header("idempotency-key", once);
    }
    read(call.send(body.to_string()).expect("the router answers"))
}

fn text_of(answer: &Answer) -> &str {
    answer.body["choices"][0]["text"]
        .as_str()
        .unwrap_or_default()
}

fn await_that(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "{what} did not come to be");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_request_that_met_a_dead_engine_is_retried_and_explained() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut fleet = start(folder.path(), 1, 1);
    let router = fleet.routers()[0];
    fleet.kill_engine(0);
    // Until the control machine has noticed, some prompts are sent to the dead engine first.
    let mut retried = None;
    for number in 0..60 {
        let prompt = format!("prompt {number} {}", "x".repeat(600));
        let answer = ask(router, &tenant_key(0), &prompt, None);
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let record = explain(router, &answer.request);
        if record.attempts.len() > 1 {
            retried = Some(record);
            break;
        }
    }
    let record = retried.expect("one of 60 prompts met the dead engine");
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
fn work_that_may_not_be_repeated_is_answered_again_without_running_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = start(folder.path(), 3, 2);
    let routers = fleet.routers();
    let key = tenant_key(1);
    let first = ask(routers[0], &key, "book slot 9", Some("booking-9"));
    assert_eq!(first.status, 200, "{:?}", first.body);
    let mut second = ask(routers[1], &key, "book slot 9", Some("booking-9"));
    // The outcome is on its way into the ledger for a moment.
    await_that("the recorded answer", || {
        if second.status != 200 {
            second = ask(routers[1], &key, "book slot 9", Some("booking-9"));
        }
        second.status == 200
    });
    assert_eq!(text_of(&first), text_of(&second));
    let other = ask(routers[0], &key, "book slot 8", Some("booking-9"));
    assert_eq!(other.body["error"]["code"], "key_reused");
    let executions = fleet.executions().expect("the witness files");
    assert_eq!(executions.get("booking-9"), Some(&1));
}

#[test]
fn changes_survive_the_leaders_death_and_its_return() {
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
            .any(|control| write_class(*control) == Some(200))
    };
    await_that("a change without the old leader", accepted);
    fleet.restart_control(leader).expect("it starts");
    let seen = |control: &SocketAddr| revision_at(*control).is_some_and(|at| at > before.0);
    await_that("the change at all three", || controls.iter().all(seen));
    let router = fleet.routers()[0];
    let answer = ask(router, &tenant_key(0), "hello", None);
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

fn write_class(control: SocketAddr) -> Option<u16> {
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
fn wrong_keys_and_bad_bodies_get_clear_refusals() {
    let folder = tempfile::tempdir().expect("a folder");
    let fleet = start(folder.path(), 1, 1);
    let (router, control) = (fleet.routers()[0], fleet.controls()[0]);
    let stranger = ask(router, "nobody", "hello", None);
    assert_eq!(stranger.status, 401);
    assert_eq!(stranger.body["error"]["execution"], "not_run");
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
fn a_wrong_setting_is_named_with_its_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../etc/router.toml");
    let sample = std::fs::read_to_string(samples).expect("the sample");
    let file = folder.path().join("router.toml");
    let wrong = sample.replace("max_attempts = 4", "max_attempts = 99");
    std::fs::write(&file, &wrong).expect("it is written");
    let output = check_config(&file);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    let line = wrong
        .lines()
        .position(|line| line.contains("99"))
        .expect("it is there")
        + 1;
    assert_eq!(output.status.code(), Some(4));
    assert!(errors.contains(&format!("line {line}")), "{errors}");
    assert!(
        errors.contains("max_attempts") && errors.contains("1 to 16"),
        "{errors}"
    );
}

#[test]
fn the_layouts_name_what_their_users_weigh_most() {
    let goal = |name| Layout::from_name(name).map(|layout| layout.profile.goal());
    assert_eq!(goal("surtidor"), Some(PlacementGoal::Latency));
    assert_eq!(goal("sohar-quay"), Some(PlacementGoal::Reuse));
}
