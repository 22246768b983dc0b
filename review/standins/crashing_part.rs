//! A part of prompts that crashes each back end that begins to answer on it, at back ends that start again under the
//! names that they had.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::back_end::{Handle, Options};
use crate::common::{
    call, is_trouble_off, millis, wait_until, Deployment, Failure, Message, Record, CONTACT, HOST,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-chat","host":"a.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":500}],"services":[{"name":"llm","health_path":"/health","max_connections":300,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity_tokens":107924,"kv_token_bytes":163840,"link_mbps":740000.0,"backups":false,"stride":4,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const BACK_ENDS: u8 = 3;
/// How long a back end that crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// The time between two requests with the part, and their number.
const BETWEEN: Duration = Duration::from_secs(1);
const REQUESTS: u32 = 50;
const CALLERS: usize = 4;
/// The crash after which users allow three more requests with the part.
const CRASHES: usize = 5;
const LATE_ALLOWED: usize = 3;
/// Added to `contact_ms`: the time from a router's decision to the arrival.
const TRANSIT: Duration = Duration::from_millis(500);
/// The first part, which all prompts share, and the second one.
const SHARED: &str = "5c1e07a2:2520";
const SOUND: &str = "91bd3f06:3780";
const DEADLY: &str = "dead0001:3780";

pub fn run(folder: &Path, record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let deployment = Arc::new(Deployment::start(folder, record)?);
    deployment.configure(CONFIGURATION)?;
    // Callers stop before back ends do.
    let [are_callers_over, is_over] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
    let has_new_names = std::env::var("NEW_NAMES").is_ok_and(|value| value == "1");
    let supervisors: Vec<_> = (0..BACK_ENDS)
        .map(|number| {
            let options = options(&deployment, record_path, number);
            let (folder, is_over) = (folder.to_owned(), Arc::clone(&is_over));
            thread::spawn(move || supervise(&folder, options, has_new_names, &is_over))
        })
        .collect();
    deployment.wait_until_ready()?;
    wait_until("streams are served", || {
        (0..2).all(|front| is_served(&send(&deployment, front, "warm", 0, SOUND)))
    })?;
    thread::sleep(CONTACT + Duration::from_secs(1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (deployment, is_over) = (Arc::clone(&deployment), Arc::clone(&are_callers_over));
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    send(
                        &deployment,
                        caller,
                        &format!("sound-{caller}"),
                        number,
                        SOUND,
                    );
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for number in 0..REQUESTS {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || send(&deployment, number as usize, "deadly", number, DEADLY));
        thread::sleep(BETWEEN);
    }
    are_callers_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    is_over.store(true, Ordering::SeqCst);
    for supervisor in supervisors {
        let _ = supervisor.join();
    }
    judge(record_path, record)
}

fn options(deployment: &Deployment, record_path: &Path, number: u8) -> Options {
    Options {
        id: format!("w-{number}"),
        service: "llm".to_owned(),
        address: deployment.back_end(number),
        controls: deployment.controls(),
        events: record_path.to_owned(),
        slots: 48,
        crash_on: if is_trouble_off() { "" } else { DEADLY }.to_owned(),
        pieces: 10,
        interval: Duration::from_millis(50),
    }
}

/// Starts a back end, and starts it again some seconds after it has ended.
fn supervise(folder: &Path, mut options: Options, has_new_names: bool, is_over: &AtomicBool) {
    let name = options.id.clone();
    for start in 0.. {
        if has_new_names {
            options.id = format!("{name}-{start}");
        }
        let Ok(mut back_end) = Handle::start(folder, options.clone()) else {
            return;
        };
        while matches!(back_end.process.child.try_wait(), Ok(None)) {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(DOWN);
    }
}

fn is_served(answer: &Option<Message>) -> bool {
    let answer = answer.as_ref();
    answer.is_some_and(|answer| answer.status() == 200 && answer.is_complete)
}

/// Sends a request whose last part and body are its own.
fn send(
    deployment: &Deployment,
    front: usize,
    name: &str,
    number: u32,
    second: &str,
) -> Option<Message> {
    let id = format!("{name}-{number}");
    let own = id.bytes().fold(7_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let parts = format!("{SHARED},{second},{own:08x}:200");
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", "k1"),
        ("X-Drumshore-Request-Id", id.as_str()),
        ("X-Drumshore-Deadline-Ms", "15000"),
        ("X-Drumshore-Model", "m"),
        ("X-Drumshore-Token-Usage", "6500,40"),
        ("X-Drumshore-Prompt-Prefix", parts.as_str()),
    ];
    let front = deployment.front(front);
    deployment
        .record
        .line(&format!("caller: sends {id} to {front}, parts {parts}"));
    let limit = Duration::from_secs(5);
    let answer = call(
        front,
        "POST",
        "/chat/x",
        &headers,
        &format!("the prompt of {id}"),
        limit,
    );
    let status = answer.as_ref().map_or(0, Message::status);
    let end = if is_served(&answer) {
        "served"
    } else {
        "not served"
    };
    deployment
        .record
        .line(&format!("caller: {id} status {status}, {end}"));
    answer
}

/// Counts the requests with the part that reached back ends after it has crashed five times.
fn judge(record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let text = std::fs::read_to_string(record_path)?;
    let (mut crashes, mut arrivals, mut lost) = (Vec::new(), Vec::new(), 0);
    for line in text.lines() {
        let Some((at, event)) = line.split_once(' ') else {
            continue;
        };
        let at: u64 = at.parse()?;
        let is_sound = event.starts_with("caller: sound-");
        // Not refused with the promise that it has not run.
        lost +=
            usize::from(is_sound && event.ends_with("not served") && !event.contains("status 503"));
        if event.contains(": crashes while") {
            crashes.push(at);
        }
        if event.contains(": receives deadly-") {
            arrivals.push(at);
        }
    }
    crashes.sort_unstable();
    let bound = crashes
        .get(CRASHES - 1)
        .map(|at| at + millis(CONTACT + TRANSIT));
    let late = bound.map_or(0, |bound| arrivals.iter().filter(|at| **at > bound).count());
    record.line(&format!(
        "{} crashes; {} requests with the part reached back ends, {late} of them later than contact_ms after the fifth crash ({LATE_ALLOWED} allowed); {lost} requests of sound callers were lost",
        crashes.len(),
        arrivals.len()
    ));
    Ok(late <= LATE_ALLOWED)
}
