//! A back end breaks off the head of an answer, and a surplus answer follows on the connection. The request has run.

#[path = "rig.rs"]
mod rig;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rig::{exchange, run_case, serve_back_end, Registered, Request, Rig, Verdict};

const CONFIGURATION: &str = r#"{"version":1,"routes":[
    {"name":"once","host":"a.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false},
    {"name":"booking","host":"a.example","path_prefix":"/booking/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2,"public":false}],
    "services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
const BACK_ENDS: usize = 3;
const REQUESTS: usize = 6;
/// The request that a back end turned away earlier, whose answer arrives late.
const EARLIER_ID: &str = "7f0e11d2c3b4a596";

/// Where each request ran, by its identifier.
type Runs = Arc<Mutex<BTreeMap<String, Vec<usize>>>>;

fn main() {
    run_case(case);
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let router = rig.start_router("front-1", 260);
    rig.call("PUT", "/-/config", CONFIGURATION);
    let runs = Runs::default();
    for number in 1..=BACK_ENDS {
        let address = rig.address();
        start_back_end(rig, number, address, &runs);
        rig.register(Registered::new(&format!("i-{number}"), "desk", address, 6));
    }
    rig.send_heartbeats();
    rig.wait_until_ready(&router);
    rig.wait_until_served(&router, "/once/warm");
    let mut broken = Vec::new();
    for (route, most) in [("once", 1), ("booking", 2)] {
        for number in 0..REQUESTS {
            let id = format!("{}{number:015x}", if most == 1 { 'a' } else { 'b' });
            let request = Request::new(&format!("/{route}/break"), &id);
            rig.record.line(format!("caller: POST {} {id}", request.path));
            let answer = exchange(router.front, &request, Duration::from_secs(6));
            let ran = runs.lock().unwrap().get(&id).cloned().unwrap_or_default();
            let (status, summary) = match &answer {
                Ok(answer) => (answer.status, answer.summary()),
                Err(error) => (0, format!("no answer: {error}")),
            };
            rig.record.line(format!("caller: {id} got {summary}; ran at back ends {ran:?}"));
            if ran.len() > 1 {
                broken.push(format!("TWICE: {id} ran {} times", ran.len()));
            }
            if matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
                broken.push(format!("REFUSED: {id} ran and was answered {status}"));
            }
            std::thread::sleep(Duration::from_millis(700));
        }
    }
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(broken.join("; "))
    }
}

fn start_back_end(rig: &Rig, number: usize, address: std::net::SocketAddr, runs: &Runs) {
    let (record, runs, has_trouble) = (rig.record.clone(), Arc::clone(runs), rig.has_trouble);
    serve_back_end(address, move |request, stream| {
        let id = request.id().to_owned();
        let expected = request.field("x-drumshore-expect-instance").unwrap_or_default();
        assert_eq!(expected, format!("i-{number}"));
        runs.lock().unwrap().entry(id.clone()).or_default().push(number);
        record.line(format!("back end {number}: ran {} {id}", request.target));
        let body = "booked";
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}"
        );
        if request.target.ends_with("/break") && has_trouble {
            // The answer is broken off inside the value of its seal, and the answer to an earlier request follows, which this
            // back end turned away.
            let cut = head.len() - 12;
            let surplus = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Drumshore-Request-Id: {EARLIER_ID}\r\n\
                 X-Drumshore-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            let _ = stream.write_all(format!("{}{surplus}", &head[..cut]).as_bytes());
            record.line(format!("back end {number}: broke off its answer to {id}; a surplus answer followed"));
            return true;
        }
        let length = body.len();
        let answer = format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).is_ok()
    });
}
