//! A stand-in of a back end: one process, so that killing it ends its connections as a crash does.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::{call, now_ms, read_message, Failure, Message, Process, Record};

/// Time between two heartbeats, as the platform sets it.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a back end is and does.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    pub events: PathBuf,
    pub slots: usize,
    /// A request whose prompt contains this part ends the process when its answer begins; empty for none.
    pub crash_on: String,
    /// Events of a stream, and the time between two.
    pub pieces: u32,
    pub interval: Duration,
}

impl Options {
    fn to_arguments(&self) -> Vec<String> {
        let controls: Vec<String> = self.controls.iter().map(SocketAddr::to_string).collect();
        let pairs = [
            ("id", self.id.clone()),
            ("service", self.service.clone()),
            ("address", self.address.to_string()),
            ("controls", controls.join(",")),
            ("events", self.events.display().to_string()),
            ("slots", self.slots.to_string()),
            ("crash_on", self.crash_on.clone()),
            ("pieces", self.pieces.to_string()),
            ("interval_ms", self.interval.as_millis().to_string()),
        ];
        pairs
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect()
    }

    fn of_arguments(arguments: &[String]) -> Result<Self, Failure> {
        let pairs: BTreeMap<&str, &str> = arguments
            .iter()
            .filter_map(|item| item.split_once('='))
            .collect();
        let get = |name: &str| pairs.get(name).copied().unwrap_or_default();
        let controls: Result<Vec<SocketAddr>, _> =
            get("controls").split(',').map(str::parse).collect();
        Ok(Self {
            id: get("id").to_owned(),
            service: get("service").to_owned(),
            address: get("address").parse()?,
            controls: controls?,
            events: get("events").into(),
            slots: get("slots").parse()?,
            crash_on: get("crash_on").to_owned(),
            pieces: get("pieces").parse()?,
            interval: Duration::from_millis(get("interval_ms").parse()?),
        })
    }
}

/// A back end as the program that started it sees it.
pub struct Handle {
    pub process: Process,
    pub options: Options,
}

impl Handle {
    pub fn start(folder: &Path, options: Options) -> Result<Self, Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("back-end")
            .args(options.to_arguments())
            .stdin(Stdio::piped());
        let process = Process::start(folder, &mut command)?;
        Ok(Self { process, options })
    }

    /// Has it say that it leaves from now on.
    pub fn leave(&mut self) -> io::Result<()> {
        let input = self.process.child.stdin.as_mut();
        input.map_or(Ok(()), |input| writeln!(input, "leave"))
    }
}

struct BackEnd {
    options: Options,
    events: Record,
    born: u64,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    running: Mutex<usize>,
    freed: Condvar,
}

/// Runs a back end until its input ends.
pub fn run(arguments: &[String]) -> Result<(), Failure> {
    let options = Options::of_arguments(arguments)?;
    let listener = TcpListener::bind(options.address)?;
    let back_end = Arc::new(BackEnd {
        events: Record::append_to(&options.events)?,
        options,
        born: now_ms(),
        sequence: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        running: Mutex::new(0),
        freed: Condvar::new(),
    });
    back_end.log("starts");
    let accepting = Arc::clone(&back_end);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serving = Arc::clone(&accepting);
            thread::spawn(move || serving.serve(stream));
        }
    });
    let beating = Arc::clone(&back_end);
    thread::spawn(move || loop {
        beating.beat();
        thread::sleep(HEARTBEAT);
    });
    for command in io::stdin().lines() {
        match command?.as_str() {
            "leave" => {
                back_end.is_leaving.store(true, Ordering::SeqCst);
                back_end.beat();
            }
            command => return Err(format!("unknown command {command:?}").into()),
        }
    }
    Ok(())
}

impl BackEnd {
    fn log(&self, text: &str) {
        self.events
            .line(&format!("back end {}: {text}", self.options.id));
    }

    /// Sends one heartbeat to the control machines in turn, until one acknowledges it.
    fn beat(&self) {
        let options = &self.options;
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let state = if is_leaving { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":{},"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            options.service, options.address, options.slots, self.born
        );
        let path = format!("/-/instances/{}", options.id);
        let is_acknowledged = self.tell_control("PUT", &path, &body);
        if sequence == 1 || is_leaving || !is_acknowledged {
            self.log(&format!(
                "said it is {state}, acknowledged: {is_acknowledged}"
            ));
        }
    }

    fn tell_control(&self, method: &str, path: &str, body: &str) -> bool {
        let headers = [("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        self.options.controls.iter().any(|control| {
            let answer = call(*control, method, path, &headers, body, limit);
            answer.is_some_and(|answer| answer.status() / 100 == 2)
        })
    }

    /// Serves one connection, one request at a time.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Some(request) = read_message(&mut reader, false) {
            if !matches!(self.answer(&request, &mut stream), Ok(true)) {
                return;
            }
        }
    }

    /// Answers a request; true if the connection may be used again.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.second_word.as_str();
        let id = request.header("x-drumshore-request-id").to_owned();
        if path == "/health" {
            self.respond(stream, "200 OK", &id, "", "ok")?;
            return Ok(true);
        }
        if path == "/-/report" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":{},"handles":0}}"#,
                100_000
            );
            self.respond(
                stream,
                "200 OK",
                &id,
                "Content-Type: application/json\r\n",
                &body,
            )?;
            return Ok(true);
        }
        let expected = request.header("x-drumshore-expect-instance");
        self.log(&format!("receives {id} {path} expecting {expected:?}"));
        if !expected.is_empty() && expected != self.options.id {
            self.respond(
                stream,
                "421 Misdirected Request",
                &id,
                "X-Drumshore-Not-Executed: 1\r\n",
                "",
            )?;
            return Ok(true);
        }
        self.take_slot();
        self.log(&format!("runs {id} {path}"));
        let mut parts = request.header("x-drumshore-prompt-prefix").split(',');
        if parts.any(|part| part == self.options.crash_on) {
            self.log(&format!("crashes while it runs {id}"));
            std::process::exit(1);
        }
        let streamed = self.stream(request, &id, stream);
        self.log(&format!("ends {id} {path}"));
        self.free_slot();
        streamed.map(|()| false)
    }

    /// Set on all answers of a back end that leaves.
    fn leaving_header(&self) -> &'static str {
        if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }

    fn take_slot(&self) {
        let running = self.running.lock().expect("no holder panics");
        let mut running = self
            .freed
            .wait_while(running, |running| *running >= self.options.slots)
            .expect("no holder panics");
        *running += 1;
    }

    fn free_slot(&self) {
        *self.running.lock().expect("no holder panics") -= 1;
        self.freed.notify_one();
    }

    fn respond(
        &self,
        stream: &mut TcpStream,
        status: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> io::Result<()> {
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Instance-Id: {}\r\n{}{headers}Content-Length: {}\r\n\r\n{body}",
            self.options.id,
            self.leaving_header(),
            body.len()
        );
        stream.write_all(answer.as_bytes())
    }

    /// Answers with events and neither a length nor chunks; the answer ends with its connection.
    fn stream(&self, request: &Message, id: &str, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Drumshore-Request-Id: {id}\r\nX-Drumshore-Response-Seal: seal-{}-{id}\r\nX-Drumshore-Instance-Id: {}\r\nX-Drumshore-Weight-Versions: 1\r\n{}Connection: close\r\n\r\n",
            self.options.id,
            self.options.id,
            self.leaving_header()
        );
        stream.write_all(head.as_bytes())?;
        let last_received: u32 = request.header("last-event-id").parse().unwrap_or(0);
        for number in last_received + 1..=self.options.pieces {
            thread::sleep(self.options.interval);
            stream.write_all(
                format!(
                    "id: {number}\ndata: piece {number} of {}\n\n",
                    self.options.pieces
                )
                .as_bytes(),
            )?;
        }
        stream.shutdown(std::net::Shutdown::Write)
    }
}
