//! An entry of another writer: a heartbeat whose state the platform's pages do not name.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::back_end::{Handle, Options};
use crate::common::{
    call, is_trouble_off, now_ms, wait_until, Deployment, Failure, Message, Record, CONTACT, HOST,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-pay","host":"a.example","path_prefix":"/pay/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const BACK_ENDS: u8 = 3;
const REQUESTS: u32 = 80;
const BETWEEN_REQUESTS: Duration = Duration::from_millis(250);

pub fn run(folder: &Path, record_path: &Path, record: &Record) -> Result<bool, Failure> {
    let deployment = Arc::new(Deployment::start(folder, record)?);
    deployment.configure(CONFIGURATION)?;
    let mut back_ends = Vec::new();
    for number in 0..BACK_ENDS {
        back_ends.push(Handle::start(
            folder,
            options(&deployment, record_path, number),
        )?);
    }
    deployment.wait_until_ready()?;
    wait_until("requests are served", || {
        (0..2).all(|front| {
            send(&deployment, front, "warm").is_some_and(|answer| answer.status() == 200)
        })
    })?;
    // Listens without accepting, as a process that waits to be activated: the kernel completes its connections.
    let standby = TcpListener::bind(deployment.back_end(BACK_ENDS))?;
    let is_over = Arc::new(AtomicBool::new(false));
    let writer = (!is_trouble_off()).then(|| write_entries(&deployment, Arc::clone(&is_over)));
    thread::sleep(CONTACT + Duration::from_secs(1));
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let deployment = Arc::clone(&deployment);
            let caller =
                thread::spawn(move || send(&deployment, number as usize, &format!("pay-{number}")));
            thread::sleep(BETWEEN_REQUESTS);
            caller
        })
        .collect();
    let answers = callers
        .into_iter()
        .map(|caller| caller.join().ok().flatten());
    let statuses: Vec<u16> = answers
        .map(|answer| answer.map_or(0, |answer| answer.status()))
        .collect();
    is_over.store(true, Ordering::SeqCst);
    if let Some(writer) = writer {
        let _ = writer.join();
    }
    standby.set_nonblocking(true)?;
    let received = std::iter::from_fn(|| standby.accept().ok()).count();
    let unanswered = statuses
        .iter()
        .filter(|status| matches!(status, 0 | 502 | 504))
        .count();
    record.line(&format!(
        "{received} connections were opened to the process that only the entry with an unnamed state names; {unanswered} of {REQUESTS} requests were lost (no answer, 502 or 504)"
    ));
    Ok(received == 0)
}

/// Sends the entry as often as a heartbeat.
fn write_entries(deployment: &Arc<Deployment>, is_over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let deployment = Arc::clone(deployment);
    thread::spawn(move || {
        let born = now_ms();
        for sequence in 1.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let body = format!(
                r#"{{"service":"desk","address":"{}","zone":"zone-a","version":"v1","slots":6,"state":"standby","sequence":{sequence},"born":{born}}}"#,
                deployment.back_end(BACK_ENDS)
            );
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let answer = call(
                deployment.controls()[0],
                "PUT",
                "/-/instances/spare-1",
                &headers,
                &body,
                limit,
            );
            let status = answer.map_or(0, |answer| answer.status());
            deployment
                .record
                .line(&format!("other writer: sent {body}, answered {status}"));
            thread::sleep(Duration::from_millis(1_200));
        }
    })
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
        crash_on: String::new(),
        pieces: 0,
        interval: Duration::ZERO,
    }
}

fn send(deployment: &Deployment, front: usize, id: &str) -> Option<Message> {
    let headers = [
        ("Host", HOST),
        ("X-Api-Key", "k1"),
        ("X-Drumshore-Request-Id", id),
        ("X-Drumshore-Deadline-Ms", "4000"),
    ];
    deployment.record.line(&format!("caller: sends {id}"));
    let answer = call(
        deployment.front(front),
        "POST",
        "/pay/order",
        &headers,
        "order",
        Duration::from_secs(6),
    );
    let status = answer.as_ref().map_or(0, Message::status);
    deployment
        .record
        .line(&format!("caller: {id} answered {status}"));
    answer
}
