//! A tenant that a configuration isolates, whose cached prompt parts another tenant goes on using.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::back_end::{Handle, Options};
use crate::common::{
    call, is_trouble_off, millis, wait_until, Deployment, Failure, Message, Record, CONFIG_APPLY,
    HOST,
};

const BACK_ENDS: u8 = 3;

/// A configuration of this version; `is_isolated` says whether tenant t-a is isolated.
fn configuration(version: u32, is_isolated: bool) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-chat","host":"a.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":500}}],"services":[{{"name":"llm","health_path":"/health","max_connections":300,"protocol":"h1","tls":false,"engine":{{"slots":48,"kv_capacity_tokens":107924,"kv_token_bytes":163840,"link_mbps":740000.0,"backups":false,"stride":4,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t-a","api_keys":["key-a"],"priority":1,"isolated":{is_isolated}}},{{"name":"t-b","api_keys":["key-b"],"priority":1,"isolated":false}}]}}"#
    )
}

pub fn run(folder: &Path, record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let deployment = Deployment::start(folder, record)?;
    deployment.configure(&configuration(1, false))?;
    let mut back_ends = Vec::new();
    for number in 0..BACK_ENDS {
        back_ends.push(Handle::start(
            folder,
            options(&deployment, record_path, number),
        )?);
    }
    deployment.wait_until_ready()?;
    wait_until("streams are served", || {
        (0..2).all(|front| send(&deployment, front, "key-a", "warm") == 200)
    })?;
    for number in 0..20 {
        send(&deployment, number, "key-a", &format!("a-{number}"));
    }
    let acknowledged = deployment.configure(&configuration(2, !is_trouble_off()))?;
    thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
    for number in 0..20 {
        send(&deployment, number, "key-b", &format!("b-{number}"));
    }
    judge(record_path, record, acknowledged + millis(CONFIG_APPLY))
}

fn judge(record_path: &Path, record: &Record, in_force: u64) -> Result<bool, Failure> {
    let text = std::fs::read_to_string(record_path)?;
    let uses = text.lines().filter_map(|line| {
        let (at, event) = line.split_once(' ')?;
        let is_late = at.parse::<u64>().ok()? > in_force;
        (is_late && event.ends_with("of tenant t-b, made by tenant t-a")).then_some(event)
    });
    let uses = uses.count();
    record.line(&format!("{uses} parts that a request of t-a had made were used for requests of t-b after the second configuration was in force"));
    Ok(uses == 0 || is_trouble_off())
}

fn options(deployment: &Deployment, record_path: &Path, number: u8) -> Options {
    Options {
        id: format!("w-{number}"),
        service: "llm".to_owned(),
        address: deployment.back_end(number),
        controls: deployment.controls(),
        events: record_path.to_owned(),
        slots: 48,
        state: "ready".to_owned(),
        work: Duration::ZERO,
        crash_on: String::new(),
        pieces: 3,
        interval: Duration::from_millis(10),
    }
}

fn send(deployment: &Deployment, front: usize, key: &str, id: &str) -> u16 {
    let parts = format!("5c1e07a2:2520,91bd3f06:3780,{:x}:200", id.len() * 7 + front);
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", key),
        ("X-Drumshore-Request-Id", id),
        ("X-Drumshore-Deadline-Ms", "15000"),
        ("X-Drumshore-Model", "m"),
        ("X-Drumshore-Token-Usage", "6500,12"),
        ("X-Drumshore-Prompt-Prefix", parts.as_str()),
    ];
    let answer = call(
        deployment.front(front),
        "POST",
        "/chat/x",
        &headers,
        "the prompt",
        Duration::from_secs(6),
    );
    let status = answer.as_ref().map_or(0, Message::status);
    deployment
        .record
        .line(&format!("caller: {id} answered {status}"));
    status
}
