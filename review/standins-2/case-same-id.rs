//! The back ends of a service are restarted one after the other, as planned work: each says that it drains, deregisters
//! and ends, and starts again under the identifier that it had. All of them run and send heartbeats, which are
//! acknowledged; the service has to be served again.

#[path = "rig.rs"]
mod rig;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rig::{exchange, run_case, serve_back_end, Process, Registered, Request, Rig, Router, Verdict};

const CONFIGURATION: &str = r#"{"version":1,"routes":[
    {"name":"booking","host":"a.example","path_prefix":"/booking/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false},
    {"name":"tide","host":"a.example","path_prefix":"/tide/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"tables","max_attempts":2,"public":false}],
    "services":[{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false},
    {"name":"tables","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
const DESKS: usize = 3;
/// A back end serves on for `bounds.drain_ms` after its leave was acknowledged, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_300);
const DOWN: Duration = Duration::from_millis(1_000);
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(80);
const ASK_INTERVAL: Duration = Duration::from_millis(250);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments[1] == "back-end" {
        run_back_end(arguments[2].parse().unwrap());
    }
    run_case(case);
}

fn run_back_end(address: SocketAddr) -> ! {
    serve_back_end(address, |request, stream| {
        let id = request.id();
        println!("ran {} {id}", request.target);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(answer.as_bytes()).is_ok()
    });
    println!("listening");
    loop {
        thread::park();
    }
}

fn start_back_end(rig: &Rig, name: &str, address: SocketAddr) -> Process {
    let program = std::env::current_exe().unwrap();
    let mut command = Command::new(program);
    command.args(["back-end", &address.to_string()]).stdout(Stdio::piped());
    let mut process = Process::spawn(&mut command);
    let mut output = BufReader::new(process.output().expect("its output"));
    let mut first = String::new();
    output.read_line(&mut first).expect("the back end listens");
    let (record, name) = (rig.record.clone(), name.to_owned());
    thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            record.line(format!("back end {name}: {line}"));
        }
    });
    process
}

#[derive(Clone, Copy, Default)]
struct Count {
    asked: u32,
    served: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }

    fn and(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            served: self.served + other.served,
        }
    }
}

/// Asks for both kinds of requests by turns until a time.
fn ask(rig: &Rig, router: &Router, until: Instant, counts: &mut [Count; 2], number: &mut u64) {
    while Instant::now() < until {
        for (kind, path) in ["/booking/slot", "/tide/table"].into_iter().enumerate() {
            *number += 1;
            let id = format!("9{number:015x}");
            let answer = exchange(router.front, &Request::new(path, &id), Duration::from_secs(5));
            let status = answer.map_or(0, |answer| answer.status);
            counts[kind].asked += 1;
            counts[kind].served += u32::from(status == 200);
            rig.record.line(format!("caller: POST {path} {id}: status {status}"));
        }
        thread::sleep(ASK_INTERVAL);
    }
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let router = rig.start_router("front-1", 260);
    rig.call("PUT", "/-/config", CONFIGURATION);
    let tables = rig.address();
    let _tables = start_back_end(rig, "tables-1", tables);
    rig.register(Registered::new("tables-1", "tables", tables, 6));
    let mut desks: Vec<(Registered, Process)> = (1..=DESKS)
        .map(|number| {
            let registered = Registered::new(&format!("desk-{number}"), "desk", rig.address(), 6);
            let process = start_back_end(rig, &registered.id, registered.address);
            rig.register(registered.clone());
            (registered, process)
        })
        .collect();
    rig.send_heartbeats();
    rig.wait_until_ready(&router);
    rig.wait_until_served(&router, "/booking/warm");
    rig.wait_until_served(&router, "/tide/warm");
    let (mut counts, mut number) = ([Count::default(); 2], 0);
    ask(rig, &router, Instant::now() + BEFORE, &mut counts, &mut number);
    for (registered, process) in &mut desks {
        let path = format!("/-/instances/{}", registered.id);
        rig.back_ends.lock().unwrap().remove(&registered.id);
        rig.record.line(format!("{} says that it drains", registered.id));
        rig.call("PUT", &path, &registered.heartbeat(1_000, "draining"));
        ask(rig, &router, Instant::now() + SERVES_ON, &mut counts, &mut number);
        rig.call("DELETE", &path, "");
        process.kill();
        rig.record.line(format!("{} has ended", registered.id));
        ask(rig, &router, Instant::now() + DOWN, &mut counts, &mut number);
        // Without the disruption it starts under a new identifier.
        if !rig.has_trouble {
            registered.id += "-again";
        }
        registered.born = rig::unix_ms();
        *process = start_back_end(rig, &registered.id, registered.address);
        rig.record.line(format!("it runs again as {}, born {}", registered.id, registered.born));
        rig.register(registered.clone());
    }
    ask(rig, &router, Instant::now() + AFTER, &mut counts, &mut number);
    let [booking, tide] = counts;
    let all = booking.and(tide);
    rig.record.line(format!(
        "bookings: {} of {} served; tide tables: {} of {}; all: {} of {}",
        booking.served, booking.asked, tide.served, tide.asked, all.served, all.asked
    ));
    if booking.share() < all.share() / 4.0 {
        return Verdict::Broken(format!(
            "Starved: {} of {} bookings were served, of all requests {} of {}; {DESKS} back ends of their service run, and \
             their heartbeats are acknowledged",
            booking.served, booking.asked, all.served, all.asked
        ));
    }
    Verdict::Held
}
