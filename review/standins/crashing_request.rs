//! A request that crashes each back end that runs it, at back ends that start again under the names that they had.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::back_end::{Handle, Options};
use crate::common::{
    call, is_trouble_off, millis, now_ms, wait_until, Deployment, Failure, Message, Record,
    CONTACT, HOST,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-pay","host":"a.example","path_prefix":"/pay/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const BACK_ENDS: u8 = 3;
/// How long a back end that crashed is down.
const DOWN: Duration = Duration::from_secs(4);
/// How often the request comes again, and for how long.
const AGAIN: Duration = Duration::from_secs(1);
const FOR: u32 = 50;
/// The crashes after which users allow three more retries.
const CRASHES: usize = 3;
const RETRIES: usize = 3;
const POISON: &str = "poison";
/// Added to `contact_ms`: the time from a router's decision to the arrival.
const TRANSIT: Duration = Duration::from_millis(500);

pub fn run(folder: &Path, record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let deployment = Arc::new(Deployment::start(folder, record)?);
    deployment.configure(CONFIGURATION)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let has_new_names = std::env::var("NEW_NAMES").is_ok_and(|value| value == "1");
    let supervisors: Vec<_> = (0..BACK_ENDS)
        .map(|number| {
            let options = options(&deployment, record_path, number);
            let (folder, is_over) = (folder.to_owned(), Arc::clone(&is_over));
            thread::spawn(move || supervise(&folder, options, has_new_names, &is_over))
        })
        .collect();
    deployment.wait_until_ready()?;
    wait_until("requests are served", || {
        (0..2).all(|front| {
            send(&deployment, front, "warm", 0, "sound")
                .is_some_and(|answer| answer.status() == 200)
        })
    })?;
    thread::sleep(CONTACT + Duration::from_secs(1));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let (deployment, is_over) = (Arc::clone(&deployment), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let body = format!("order {caller} {number}");
                    send(
                        &deployment,
                        caller,
                        &format!("sound-{caller}"),
                        number,
                        &body,
                    );
                    number += 1;
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    for number in 0..FOR {
        let deployment = Arc::clone(&deployment);
        thread::spawn(move || send(&deployment, number as usize, POISON, number, POISON));
        thread::sleep(AGAIN);
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    for supervisor in supervisors {
        let _ = supervisor.join();
    }
    judge(record_path, record)
}

fn options(deployment: &Deployment, record_path: &Path, number: u8) -> Options {
    Options {
        id: format!("w-{number}"),
        service: "desk".to_owned(),
        address: deployment.back_end(number),
        controls: deployment.controls(),
        events: record_path.to_owned(),
        slots: 6,
        state: "ready".to_owned(),
        work: Duration::from_millis(60),
        crash_on: if is_trouble_off() { "" } else { POISON }.to_owned(),
        pieces: 0,
        interval: Duration::ZERO,
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
        while !is_over.load(Ordering::SeqCst)
            && matches!(back_end.process.child.try_wait(), Ok(None))
        {
            thread::sleep(Duration::from_millis(20));
        }
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(DOWN);
    }
}

fn send(
    deployment: &Deployment,
    front: usize,
    name: &str,
    number: u32,
    body: &str,
) -> Option<Message> {
    let id = format!("{name}-{number}");
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", "k1"),
        ("X-Drumshore-Request-Id", id.as_str()),
        ("X-Drumshore-Deadline-Ms", "4000"),
    ];
    let front = deployment.front(front);
    deployment
        .record
        .line(&format!("caller: sends {id} to {front}"));
    let answer = call(
        front,
        "POST",
        "/pay/order",
        &headers,
        body,
        Duration::from_secs(5),
    );
    let status = answer.as_ref().map_or(0, Message::status);
    deployment
        .record
        .line(&format!("caller: {id} answered {status}"));
    answer
}

/// Counts the arrivals of the request after it has crashed three back ends.
fn judge(record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let text = std::fs::read_to_string(record_path)?;
    let mut crashed = BTreeSet::new();
    let (mut crashes, mut third_at) = (0, None);
    let mut arrivals = Vec::new();
    let mut lost = 0;
    for line in text.lines() {
        let Some((at, event)) = line.split_once(' ') else {
            continue;
        };
        let at: u64 = at.parse()?;
        lost += usize::from(event.starts_with("caller: sound-") && event.ends_with("answered 502"));
        let Some(event) = event.strip_prefix("back end ") else {
            continue;
        };
        let (name, what) = event.split_once(": ").unwrap_or((event, ""));
        if what.starts_with("crashes") {
            crashes += 1;
            crashed.insert(name.to_owned());
            if crashed.len() == CRASHES && third_at.is_none() {
                third_at = Some(at);
            }
        }
        if what.starts_with("receives poison-") {
            arrivals.push(at);
        }
    }
    let bound = third_at.map(|at| at + millis(CONTACT + TRANSIT));
    let late = bound.map_or(0, |bound| arrivals.iter().filter(|at| **at > bound).count());
    record.line(&format!(
        "{crashes} crashes of {} back ends; {} arrivals of the request, {late} of them later than contact_ms after the third back end had crashed ({RETRIES} allowed); {lost} requests of sound callers were lost (502); judged at {}",
        crashed.len(),
        arrivals.len(),
        now_ms()
    ));
    Ok(late <= RETRIES)
}
