//! One back end of three turns a few requests away. Later it breaks off the head of an answer, 1 in 50 of its answers, and
//! a second copy of the earlier rejection follows late, on the same connection. The request has run.

#[path = "rig.rs"]
mod rig;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{exchange, run_case, serve_back_end, Registered, Request, Rig, Verdict};

const CONFIGURATION: &str = r#"{"version":1,"routes":[
    {"name":"once","host":"a.example","path_prefix":"/once/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false},
    {"name":"booking","host":"a.example","path_prefix":"/booking/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":2,"public":false}],
    "services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
const BACK_ENDS: usize = 3;
/// The back end that spoils answers.
const FAULTY: usize = 1;
/// It spoils one of so many of its answers at most, for [`FAULTY_FOR`] from the first one on.
const SPOILED_OF: usize = 50;
const FAULTY_FOR: Duration = Duration::from_secs(5);
/// Each back end turns away one of so many requests.
const TURNED_AWAY_OF: usize = 40;
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);
const LOAD: Duration = Duration::from_secs(8);

/// Where each request ran, by its identifier.
type Runs = Arc<Mutex<BTreeMap<String, Vec<usize>>>>;

/// What a back end has answered.
#[derive(Default)]
struct Answered {
    requests: usize,
    answers: usize,
    spoiled: usize,
    spoiled_since: Option<Instant>,
    /// The request that was turned away last on a connection.
    turned_away: BTreeMap<SocketAddr, String>,
}

fn main() {
    run_case(case);
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let router = rig.start_router("front-1", 260);
    rig.call("PUT", "/-/config", CONFIGURATION);
    let (runs, counts) = (Runs::default(), Arc::new(Mutex::new(Vec::new())));
    for number in 1..=BACK_ENDS {
        let address = rig.address();
        let answered = Arc::new(Mutex::new(Answered::default()));
        counts.lock().unwrap().push(Arc::clone(&answered));
        start_back_end(rig, number, address, &runs, &answered);
        rig.register(Registered::new(&format!("i-{number}"), "desk", address, 6));
    }
    rig.send_heartbeats();
    rig.wait_until_ready(&router);
    rig.wait_until_served(&router, "/once/warm");
    let (front, end) = (router.front, Instant::now() + LOAD);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, runs) = (rig.record.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                let (mut broken, mut number) = (Vec::new(), 0);
                while Instant::now() < end {
                    number += 1;
                    let route = if number % 2 == 0 { "once" } else { "booking" };
                    let id = format!("{caller}{number:015x}");
                    let request = Request::new(&format!("/{route}/slot"), &id);
                    let answer = exchange(front, &request, Duration::from_secs(6));
                    let ran = runs.lock().unwrap().get(&id).cloned().unwrap_or_default();
                    let (status, summary) = match &answer {
                        Ok(answer) => (answer.status, answer.summary()),
                        Err(error) => (0, format!("no answer: {error}")),
                    };
                    if status != 200 || ran.len() != 1 {
                        record.line(format!("caller: POST {} {id} got {summary}; ran at {ran:?}", request.path));
                    }
                    if ran.len() > 1 {
                        broken.push(format!("TWICE: {id} ran {} times", ran.len()));
                    }
                    if matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
                        broken.push(format!("REFUSED: {id} ran and was answered {status}"));
                    }
                    thread::sleep(PAUSE);
                }
                broken
            })
        })
        .collect();
    let broken: Vec<String> = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    for (index, answered) in counts.lock().unwrap().iter().enumerate() {
        let answered = answered.lock().unwrap();
        rig.record.line(format!(
            "back end {}: {} answers, {} of them spoiled",
            index + 1,
            answered.answers,
            answered.spoiled
        ));
    }
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(broken.join("; "))
    }
}

fn start_back_end(rig: &Rig, number: usize, address: SocketAddr, runs: &Runs, answered: &Arc<Mutex<Answered>>) {
    let (record, runs, answered) = (rig.record.clone(), Arc::clone(runs), Arc::clone(answered));
    let spoils = rig.has_trouble && number == FAULTY;
    serve_back_end(address, move |request, stream| {
        let id = request.id().to_owned();
        let peer = stream.peer_addr().unwrap();
        let mut answered = answered.lock().unwrap();
        answered.requests += 1;
        answered.answers += 1;
        let rejection = |id: &str| {
            format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Drumshore-Request-Id: {id}\r\n\
                 X-Drumshore-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        if answered.requests % TURNED_AWAY_OF == 0 {
            record.line(format!("back end {number}: turned {id} away"));
            answered.turned_away.insert(peer, id.clone());
            return stream.write_all(rejection(&id).as_bytes()).is_ok();
        }
        runs.lock().unwrap().entry(id.clone()).or_default().push(number);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}"
        );
        let is_in_time = answered.spoiled_since.is_none_or(|since| since.elapsed() < FAULTY_FOR);
        let is_due = answered.answers >= SPOILED_OF * (answered.spoiled + 1);
        if spoils && is_in_time && is_due {
            if let Some(earlier) = answered.turned_away.remove(&peer) {
                // The answer is broken off inside the value of its seal; the second copy of the rejection arrives in the
                // place of what is due.
                answered.spoiled += 1;
                answered.spoiled_since.get_or_insert_with(Instant::now);
                let cut = head.len() - 12;
                let _ = stream.write_all(format!("{}{}", &head[..cut], rejection(&earlier)).as_bytes());
                record.line(format!(
                    "back end {number}: ran {id}, broke off its answer; the rejection of {earlier} came once more behind it"
                ));
                return true;
            }
        }
        stream.write_all(format!("{head}\r\nContent-Length: 6\r\n\r\nbooked").as_bytes()).is_ok()
    });
}
