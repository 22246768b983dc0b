//! Back ends in trouble send bytes without end inside an event of streams that may be resumed, while many users are
//! served. The router must stay within the memory of its machine.

#[path = "rig.rs"]
mod rig;

use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rig::{
    exchange, read_answer_head, run_case, serve_back_end, Process, Registered, Request, Rig, Verdict,
};

const CONFIGURATION: &str = r#"{"version":1,"routes":[
    {"name":"digest","host":"a.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":500},
    {"name":"desk","host":"a.example","path_prefix":"/desk/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"desk","max_attempts":1,"public":false}],
    "services":[{"name":"llm","health_path":"/health","max_connections":300,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":1100000,"kv_token_bytes":163840,"link_mbps":740000.0,"backups":false,"stride":4,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
    {"name":"desk","health_path":"/health","max_connections":300,"protocol":"h1","tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"isolated":false}]}"#;
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
/// The memory of a `front` machine of the users' small fleet (`further/agrolink-fleet.toml`, links of 1,000 Mbit/s), in MB
/// of 1,000,000 bytes.
const MEMORY_MB: u64 = 110;
const BACK_ENDS: usize = 8;
const SLOTS: u32 = 64;
/// Streams that callers begin each second, below the 111 requests a second that the users' target gives each router.
const STREAM_INTERVAL: Duration = Duration::from_millis(13);
const STREAMS: usize = 900;
/// The mean length of these requests on the users' pages.
const BODY_BYTES: usize = 18_000;
/// Bytes of one event that a back end sends at once; the event goes on without an end after that, at a slower pace.
const FIRST_BYTES: usize = 245 << 10;
const PIECE_BYTES: usize = 100;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// A caller gives a stream up after a gap of so long: two seconds, four times the objective or eight times the allowed
/// pause, whichever is longest.
const CALLER_PATIENCE: Duration = Duration::from_secs(4);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

fn main() {
    run_case(case);
}

fn case(rig: &Rig) -> Verdict {
    rig.start_controls();
    let mut router = rig.start_router("front-1", MEMORY_MB);
    rig.call("PUT", "/-/config", CONFIGURATION);
    let in_trouble = Arc::new(AtomicBool::new(false));
    let running = Arc::new(AtomicUsize::new(0));
    let begun = Arc::new(AtomicU64::new(0));
    for number in 1..=BACK_ENDS {
        let address = rig.address();
        let (in_trouble, running, begun) = (Arc::clone(&in_trouble), Arc::clone(&running), Arc::clone(&begun));
        serve_back_end(address, move |request, stream| {
            begun.fetch_add(1, Ordering::SeqCst);
            running.fetch_add(1, Ordering::SeqCst);
            let served = serve_stream(request.id(), stream, &in_trouble);
            running.fetch_sub(1, Ordering::SeqCst);
            served
        });
        rig.register(Registered::new(&format!("i-{number}"), "llm", address, SLOTS));
    }
    let desk = rig.address();
    serve_back_end(desk, |request, stream| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {}\r\nX-Drumshore-Response-Seal: {SEAL}\r\nContent-Length: 2\r\n\r\nok",
            request.id()
        );
        stream.write_all(head.as_bytes()).is_ok()
    });
    rig.register(Registered::new("i-desk", "desk", desk, 64));
    rig.send_heartbeats();
    rig.wait_until_ready(&router);
    rig.wait_until_served(&router, "/desk/warm");
    rig.record.line(format!("memory of the router at first: {} KB", memory_kb(&router.process)));
    let platform = Platform::watch(&router.process);
    in_trouble.store(rig.has_trouble, Ordering::SeqCst);
    let front = router.front;
    let mut desk_answers = 0;
    let mut callers = Vec::new();
    let mut reported = Instant::now();
    for number in 0..STREAMS {
        let id = format!("d{number:015x}");
        callers.push(thread::spawn(move || read_stream(front, &id)));
        thread::sleep(STREAM_INTERVAL);
        if reported.elapsed() >= REPORT_INTERVAL {
            reported = Instant::now();
            let id = format!("e{number:015x}");
            let beside = exchange(front, &Request::new("/desk/x", &id), Duration::from_secs(2));
            desk_answers += usize::from(beside.is_ok_and(|answer| answer.status == 200));
            rig.record.line(format!(
                "callers have begun {} streams, {} run at back ends, {} have begun there; memory of the router: {} KB",
                number + 1,
                running.load(Ordering::SeqCst),
                begun.load(Ordering::SeqCst),
                memory_kb(&router.process)
            ));
        }
        if platform.has_killed.load(Ordering::SeqCst) {
            break;
        }
    }
    let results: Vec<StreamEnd> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let count = |end: StreamEnd| results.iter().filter(|other| **other == end).count();
    rig.record.line(format!(
        "callers: {} whole streams, {} given up, {} cut, {} refused or without an answer",
        count(StreamEnd::Whole),
        count(StreamEnd::GivenUp),
        count(StreamEnd::Cut),
        count(StreamEnd::None)
    ));
    rig.record.line(format!("{desk_answers} plain requests were answered beside the streams"));
    let peak = platform.peak_kb.load(Ordering::SeqCst);
    rig.record.line(format!("most memory of the router: {peak} KB, its machine has {} KB", MEMORY_MB * 1_000_000 / 1024));
    if platform.has_killed.load(Ordering::SeqCst) {
        let ended = router.process.ended().unwrap_or_default();
        rig.record.line(format!("the platform killed front-1 for its memory: {ended}"));
        return Verdict::Broken(format!("front-1 used {peak} KB and was killed"));
    }
    Verdict::Held
}

/// The platform: kills a process that goes over the memory of its machine.
struct Platform {
    peak_kb: Arc<AtomicU64>,
    has_killed: Arc<AtomicBool>,
}

impl Platform {
    fn watch(process: &Process) -> Self {
        let platform = Self {
            peak_kb: Arc::default(),
            has_killed: Arc::default(),
        };
        let (peak, has_killed, pid) = (Arc::clone(&platform.peak_kb), Arc::clone(&platform.has_killed), process.pid());
        thread::spawn(move || loop {
            let used = resident_kb(pid);
            peak.fetch_max(used, Ordering::SeqCst);
            if used * 1024 > MEMORY_MB * 1_000_000 {
                rig::signal(pid, "KILL");
                has_killed.store(true, Ordering::SeqCst);
                return;
            }
            thread::sleep(Duration::from_millis(20));
        });
        platform
    }
}

fn memory_kb(process: &Process) -> u64 {
    resident_kb(process.pid())
}

fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// A stream of events; in trouble, one event without an end.
fn serve_stream(id: &str, stream: &mut TcpStream, in_trouble: &AtomicBool) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: {SEAL}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut start = head + &chunk("id: 1\ndata: one\n\n");
    if in_trouble.load(Ordering::SeqCst) {
        start += &chunk("data: ");
        if stream.write_all(start.as_bytes()).is_err() {
            return false;
        }
        if stream.write_all(chunk(&"x".repeat(FIRST_BYTES)).as_bytes()).is_err() {
            return false;
        }
        let piece = chunk(&"x".repeat(PIECE_BYTES));
        while stream.write_all(piece.as_bytes()).is_ok() {
            thread::sleep(PIECE_INTERVAL);
        }
        return false;
    }
    if stream.write_all(start.as_bytes()).is_err() {
        return false;
    }
    for number in 2..=20 {
        thread::sleep(Duration::from_millis(100));
        if stream.write_all(chunk(&format!("id: {number}\ndata: more\n\n")).as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Whole,
    GivenUp,
    Cut,
    None,
}

/// Reads a stream until its end, or until nothing has come for the time that a caller waits.
fn read_stream(front: std::net::SocketAddr, id: &str) -> StreamEnd {
    let request = Request {
        deadline_ms: 15_000,
        body: vec![b'p'; BODY_BYTES],
        ..Request::new("/digest/x", id)
    }
    .with("X-Drumshore-Model", "m")
    .with("X-Drumshore-Token-Usage", "1460,80")
    .with("X-Drumshore-Prompt-Prefix", &format!("5c1e07a2:800,{id}:660"));
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return StreamEnd::None;
    };
    let _ = stream.set_read_timeout(Some(CALLER_PATIENCE));
    if stream.write_all(&request.bytes()).is_err() {
        return StreamEnd::None;
    }
    let mut reader = BufReader::new(stream);
    let Ok(answer) = read_answer_head(&mut reader) else {
        return StreamEnd::None;
    };
    if answer.status != 200 {
        return StreamEnd::None;
    }
    let mut read = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) if read.ends_with(b"0\r\n\r\n") => return StreamEnd::Whole,
            Ok(0) => return StreamEnd::Cut,
            Ok(count) => {
                read.extend(&buffer[..count]);
                if read.ends_with(b"0\r\n\r\n") {
                    return StreamEnd::Whole;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return StreamEnd::GivenUp,
            Err(_) => return StreamEnd::Cut,
        }
    }
}
