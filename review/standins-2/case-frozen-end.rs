//! A back end crashes in the middle of an answer without a length, while the router stands still, and runs again when the
//! router goes on. The answer ends early and must not look complete.

#[path = "rig.rs"]
mod rig;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use rig::{exchange, run_case, serve_back_end, signal, Process, Registered, Request, Rig, Verdict};

const CONFIGURATION: &str = r#"{"version":1,"routes":[
    {"name":"desk","host":"a.example","path_prefix":"/desk/","kind":"unsafe","timeout_ms":20000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false}],
    "services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const SEAL: &str = "3e1b.07.5a2.800.0.c9f2a4d1";
const BODY_BYTES: usize = 800;
/// Bytes of the body that a back end sends at once; the rest follows after [`REST_AFTER`].
const FIRST_BYTES: usize = 300;
const REST_AFTER: Duration = Duration::from_millis(1_500);
/// How long the router stands still.
const FREEZE: Duration = Duration::from_millis(3_400);
/// How long the back end is down.
const DOWN: Duration = Duration::from_millis(2_000);
const ROUNDS: usize = 2;
/// One of them stands still: a tenth.
const ROUTERS: usize = 10;
/// One of them crashes: a seventh.
const BACK_ENDS: usize = 7;
/// Requests whose answers have a length, for each that has none.
const FRAMED: usize = 25;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments[1] == "back-end" {
        run_back_end(arguments[2].parse().unwrap());
    }
    run_case(case);
}

/// A back end of its own process. Its answers to `/desk/slot` end with their connections.
fn run_back_end(address: SocketAddr) -> ! {
    serve_back_end(address, |request, stream| {
        let id = request.id();
        if request.target != "/desk/slot" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}\r\nContent-Length: 2\r\n\r\nok"
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}\r\n\
             Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n"
        );
        let body = vec![b'x'; BODY_BYTES];
        let mut first = head.into_bytes();
        first.extend(&body[..FIRST_BYTES]);
        let _ = stream.write_all(&first);
        println!("ran {} {id}: sent {FIRST_BYTES} of {BODY_BYTES} bytes", request.target);
        thread::sleep(REST_AFTER);
        let _ = stream.write_all(&body[FIRST_BYTES..]);
        println!("sent the rest of {id}");
        false
    });
    println!("listening");
    loop {
        thread::park();
    }
}

/// Starts a back end; the receiver gets the lines that it writes.
fn start_back_end(rig: &Rig, name: &str, address: SocketAddr) -> (Process, Receiver<String>) {
    let program = std::env::current_exe().unwrap();
    let mut command = Command::new(program);
    command.args(["back-end", &address.to_string()]).stdout(Stdio::piped());
    let mut process = Process::spawn(&mut command);
    let output = process.output().expect("its output");
    let (lines, written) = mpsc::channel();
    let (record, name) = (rig.record.clone(), name.to_owned());
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            record.line(format!("back end {name}: {line}"));
            let _ = lines.send(line);
        }
    });
    wait_for(&written, "listening");
    (process, written)
}

fn wait_for(written: &Receiver<String>, start: &str) {
    loop {
        let line = written.recv_timeout(Duration::from_secs(10)).expect("a line of the back end");
        if line.starts_with(start) {
            return;
        }
    }
}

/// The back end that has begun to run the request without a length.
fn running(back_ends: &[(Registered, Process, Receiver<String>)]) -> usize {
    for _ in 0..1_000 {
        let began = |(_, _, written): &(Registered, Process, Receiver<String>)| {
            written.try_iter().any(|line| line.starts_with("ran /desk/slot"))
        };
        if let Some(at) = back_ends.iter().position(began) {
            return at;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("no back end runs the request");
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let router = rig.start_router("front-1", 260);
    let others: Vec<_> = (2..=ROUTERS).map(|number| rig.start_router(&format!("front-{number}"), 260)).collect();
    rig.call("PUT", "/-/config", CONFIGURATION);
    let mut back_ends: Vec<(Registered, Process, Receiver<String>)> = (1..=BACK_ENDS)
        .map(|number| {
            let registered = Registered::new(&format!("i-{number}"), "desk", rig.address(), 6);
            let (process, written) = start_back_end(rig, &registered.id, registered.address);
            rig.register(registered.clone());
            (registered, process, written)
        })
        .collect();
    rig.send_heartbeats();
    rig.wait_until_ready(&router);
    rig.wait_until_served(&router, "/desk/warm");
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..FRAMED {
            let request = Request::new("/desk/plain", &format!("e{round:07x}{number:08x}"));
            let front = others[number % others.len()].front;
            let answer = exchange(front, &request, Duration::from_secs(5));
            assert!(answer.is_ok_and(|answer| answer.status == 200), "a sound answer");
        }
        thread::sleep(Duration::from_secs(4));
        let id = format!("c{round:015x}");
        let request = Request::new("/desk/slot", &id);
        let front = router.front;
        rig.record.line(format!("caller: POST /desk/slot {id}"));
        let caller = thread::spawn(move || exchange(front, &request, Duration::from_secs(15)));
        let at = running(&back_ends);
        let (registered, back_end, written) = &mut back_ends[at];
        rig.record.line(format!("{id} runs at {}", registered.id));
        thread::sleep(Duration::from_millis(300));
        if rig.has_trouble {
            rig.record.line("front-1 stands still (SIGSTOP)");
            signal(router.process.pid(), "STOP");
            thread::sleep(Duration::from_millis(500));
            back_end.kill();
            rig.back_ends.lock().unwrap().remove(&registered.id);
            rig.record.line(format!("{} crashes (SIGKILL)", registered.id));
            thread::sleep(DOWN);
            (*back_end, *written) = start_back_end(rig, &registered.id, registered.address);
            registered.born = rig::unix_ms();
            rig.back_ends.lock().unwrap().insert(registered.id.clone(), registered.clone());
            rig.record.line(format!("{} is back under its id, with a new `born`", registered.id));
            thread::sleep(FREEZE - DOWN - Duration::from_millis(500));
            signal(router.process.pid(), "CONT");
            rig.record.line("front-1 goes on (SIGCONT)");
        }
        let answer = caller.join().unwrap();
        let summary = match &answer {
            Ok(answer) => answer.summary(),
            Err(error) => format!("no answer: {error}"),
        };
        rig.record.line(format!("caller: {id} got {summary}"));
        let wrong = answer.is_ok_and(|answer| {
            answer.status / 100 == 2 && answer.looks_complete && answer.body.len() != BODY_BYTES
        });
        if wrong {
            broken.push(format!("MIXED: {id} got a success that looks complete with a part of the body"));
        }
    }
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(broken.join("; "))
    }
}
