//! A small deployment on loopback addresses: the programs under review as processes, and stand-ins of the platform,
//! of back ends and of callers. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/drumshore-platform";
/// The watchdog ends the case before the limit of 120 seconds.
const TIME_LIMIT: Duration = Duration::from_secs(110);
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
pub const HOST: &str = "a.example";
pub const KEY: &str = "k1";

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// What was sent, answered and run, in `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>6} ms  {}", text.as_ref());
    }
}

/// Processes that were started, which the watchdog and the end of the case kill.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill_all() {
    for pid in std::mem::take(&mut *STARTED.lock().unwrap()) {
        signal(pid, "KILL");
    }
}

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, name: &str) {
    let script = format!("kill -{name} {pid} 2>/dev/null");
    let _ = Command::new("sh").args(["-c", &script]).status();
}

/// Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn run_case(case: fn(&Rig) -> Verdict) -> ! {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = PathBuf::from(&arguments[1]);
    let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        began: Instant::now(),
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("disruption: {}", if has_trouble { "yes" } else { "no" }));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.line("the case took too long");
        kill_all();
        std::process::exit(2);
    });
    let outcome = catch_unwind(AssertUnwindSafe(|| {
        let rig = Rig::new(record.clone(), has_trouble);
        let verdict = case(&rig);
        drop(rig);
        verdict
    }));
    kill_all();
    let code = match outcome {
        Ok(Verdict::Held) => {
            record.line("result: the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            record.line(format!("result: the rule was broken: {what}"));
            1
        }
        Err(_) => {
            record.line("result: the case could not run");
            2
        }
    };
    std::process::exit(code)
}

/// A process of the deployment, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.spawn().expect("a process starts");
        STARTED.lock().unwrap().push(child.id());
        Self { child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it writes, if its output is piped.
    pub fn output(&mut self) -> Option<std::process::ChildStdout> {
        self.child.stdout.take()
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.pid();
        STARTED.lock().unwrap().retain(|other| *other != pid);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses of a router.
pub struct Router {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
}

pub struct Control {
    pub process: Process,
    pub address: SocketAddr,
    pub log: PathBuf,
    name: String,
    folder: PathBuf,
}

impl Control {
    /// Starts the process again, with `bootstrap` false and its data as it was.
    pub fn start_again(&mut self, record: &Record) {
        let file = self.folder.join(format!("{}.conf", self.name));
        let settings = fs::read_to_string(&file).unwrap();
        let settings = settings.replace("bootstrap=true", "bootstrap=false");
        let ip = self.address.ip();
        self.process = start_program(&self.folder, &self.name, "control", &settings, ip).0;
        record.line(format!("started {} (control) again", self.name));
    }

    /// Bytes of the files that it keeps.
    pub fn data_bytes(&self) -> u64 {
        let files = fs::read_dir(self.folder.join(format!("{}-data", self.name)));
        let files = files.into_iter().flatten().flatten();
        files.filter_map(|file| Some(file.metadata().ok()?.len())).sum()
    }
}

/// Starts one of the programs under review, as `deploy/system.toml` does.
fn start_program(folder: &Path, name: &str, role: &str, settings: &str, ip: IpAddr) -> (Process, PathBuf) {
    if !Path::new(PROGRAM).exists() {
        panic!("{PROGRAM} has not been built");
    }
    let file = folder.join(format!("{name}.conf"));
    fs::write(&file, settings).unwrap();
    let log = folder.join(format!("{name}.log"));
    let output = File::create(&log).unwrap();
    let process = Process::spawn(
        Command::new(PROGRAM)
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("DRUMSHORE_BOOT", &file)
            .env("METRICS_PORT", free_port(ip).to_string())
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output),
    );
    (process, log)
}

/// The resident memory of a process; 0 once it has ended.
pub fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

/// The version of the configuration that a control machine gives an operator.
pub fn read_back(address: SocketAddr) -> Option<u32> {
    let head = format!("GET /-/config HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let answer = send(address, head.as_bytes(), Duration::from_secs(1)).ok()?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let (_, rest) = body.split_once("\"version\":")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().filter(|_| answer.status == 200)
}

/// A back end as it registers.
#[derive(Clone)]
pub struct Registered {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// The version of its software.
    pub version: &'static str,
    pub born: u64,
}

impl Registered {
    pub fn new(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            version: "v1",
            born: unix_ms(),
        }
    }

    pub fn heartbeat(&self, sequence: u64, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"north","version":"{}","slots":{},"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.version, self.slots, self.born
        )
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

pub struct Rig {
    pub record: Record,
    pub has_trouble: bool,
    pub folder: PathBuf,
    second: u8,
    third: u8,
    beating: Arc<AtomicBool>,
    pub back_ends: Arc<Mutex<BTreeMap<String, Registered>>>,
    pub controls: Arc<Mutex<Vec<Control>>>,
    internal_port: u16,
    fourth: Mutex<u8>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.beating.store(false, Ordering::SeqCst);
        kill_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    fn new(record: Record, has_trouble: bool) -> Self {
        let pid = std::process::id();
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let folder = std::env::temp_dir().join(format!("drumshore-review-{pid}-{nanos}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut rig = Self {
            record,
            has_trouble,
            folder,
            second: 100 + (pid >> 8) as u8 % 100,
            third: pid as u8,
            beating: Arc::new(AtomicBool::new(true)),
            back_ends: Arc::default(),
            controls: Arc::default(),
            internal_port: 0,
            fourth: Mutex::new(1),
        };
        rig.internal_port = free_port(rig.ip());
        rig
    }

    /// A loopback address that this case has not used before.
    pub fn ip(&self) -> Ipv4Addr {
        let mut fourth = self.fourth.lock().unwrap();
        *fourth += 1;
        Ipv4Addr::new(127, self.second, self.third, *fourth)
    }

    /// A free port at an address of its own.
    pub fn address(&self) -> SocketAddr {
        let ip = self.ip();
        (ip, free_port(ip)).into()
    }

    fn common(&self, node: &str, class: &str, serves: &str, seeds: &str) -> String {
        let port = self.internal_port;
        format!(
            "node={node}\nrole={class}\nmachine_class={class}\nserves={serves}\nzone=north\nregion=r\nzones.north=r\n\
             internal_ports={port},{port}\nseeds={seeds}\nloss_counts={}\nlimits.cpu_share=0.25\nlimits.cores=1\n\
             limits.link_mbps=1000.0\ndiscovery=registration\nentry=directory\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n\
             bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.max_skew_ms=5000\nbounds.revoke_everywhere=true\n\
             bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_budget_slack=54\nbounds.recovery_s=12\nbounds.transit_ms=120\nbounds.retry_after_s=10\n\
             bounds.require_fencing=true\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.version_ms=8000\n\
             bounds.version_all_ms=11000\nbounds.ttl_max_s=5\nconfig_mode=highest\n",
            class == "core",
        )
    }

    /// Starts three control machines, which found the deployment.
    pub fn start_controls(&self) {
        let addresses: Vec<SocketAddr> = (0..3).map(|_| self.address()).collect();
        let seeds: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(",");
        for (number, address) in addresses.into_iter().enumerate() {
            let name = format!("core-{}", number + 1);
            let data = self.folder.join(format!("{name}-data"));
            let settings = format!(
                "{}ip={}\nlisten.control={address}\nlisten.directory={address}\nbootstrap=true\nlimits.memory_mb=256\n\
                 limits.max_fds=4096\nlimits.disk_mb=128\ndata_dir={}\n",
                self.common(&name, "core", "control,directory", &seeds),
                address.ip(),
                data.display()
            );
            let (process, log) = self.start(&name, "control", &settings, address.ip());
            let folder = self.folder.clone();
            let control = Control {
                process,
                address,
                log,
                name,
                folder,
            };
            self.controls.lock().unwrap().push(control);
        }
        fs::write(self.folder.join("seeds"), seeds).unwrap();
    }

    /// Starts a router, with the memory of its machine.
    pub fn start_router(&self, name: &str, memory_mb: u64) -> Router {
        let seeds = fs::read_to_string(self.folder.join("seeds")).unwrap();
        let front = self.address();
        let ready: SocketAddr = (front.ip(), free_port(front.ip())).into();
        let settings = format!(
            "{}ip={}\nlisten.front={front}\nlisten.ready={ready}\nlimits.memory_mb={memory_mb}\nlimits.max_fds=4100\n\
             limits.disk_mb=0\nbootstrap=true\n",
            self.common(name, "front", "front", &seeds),
            front.ip()
        );
        let (process, log) = self.start(name, "router", &settings, front.ip());
        Router {
            process,
            front,
            ready,
            log,
        }
    }

    fn start(&self, name: &str, role: &str, settings: &str, ip: IpAddr) -> (Process, PathBuf) {
        let started = start_program(&self.folder, name, role, settings, ip);
        self.record.line(format!("started {name} ({role})"));
        started
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let controls = self.controls.lock().unwrap();
        controls.iter().map(|control| control.address).collect()
    }

    /// Calls the control machines one after the other until one answers with a 2xx.
    pub fn call(&self, method: &str, path: &str, body: &str) {
        wait_until(&format!("{method} {path} is acknowledged"), || {
            let addresses = self.control_addresses();
            addresses.iter().any(|address| call(*address, method, path, body) / 100 == 2)
        });
        self.record.line(format!("acknowledged: {method} {path}"));
    }

    /// Sends heartbeats of the back ends until the case ends.
    pub fn send_heartbeats(&self) {
        let (beating, back_ends) = (Arc::clone(&self.beating), Arc::clone(&self.back_ends));
        let addresses = self.control_addresses();
        thread::spawn(move || {
            let mut sequence = 0;
            while beating.load(Ordering::SeqCst) {
                sequence += 1;
                let registered: Vec<Registered> = back_ends.lock().unwrap().values().cloned().collect();
                for (number, back_end) in registered.iter().enumerate() {
                    let body = back_end.heartbeat(sequence, "ready");
                    let path = format!("/-/instances/{}", back_end.id);
                    for attempt in 0..addresses.len() {
                        let address = addresses[(number + attempt) % addresses.len()];
                        if call(address, "PUT", &path, &body) / 100 == 2 {
                            break;
                        }
                    }
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }

    /// Registers a back end and keeps sending its heartbeats.
    pub fn register(&self, back_end: Registered) {
        let path = format!("/-/instances/{}", back_end.id);
        self.call("PUT", &path, &back_end.heartbeat(0, "ready"));
        self.back_ends.lock().unwrap().insert(back_end.id.clone(), back_end);
    }

    pub fn wait_until_ready(&self, router: &Router) {
        wait_until("the router is ready", || call(router.ready, "GET", "/-/ready", "") == 200);
    }

    /// Waits until a plain request is served.
    pub fn wait_until_served(&self, router: &Router, path: &str) {
        let mut number = 0;
        wait_until("requests are served", || {
            number += 1;
            let request = Request::new(path, &format!("warm{number:04}"));
            let answer = exchange(router.front, &request, Duration::from_secs(3));
            answer.is_ok_and(|answer| answer.status == 200)
        });
    }
}

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

pub fn free_port(ip: impl Into<IpAddr>) -> u16 {
    let listener = TcpListener::bind((ip.into(), 0)).expect("a free port");
    listener.local_addr().unwrap().port()
}

pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let answer = send(address, head.as_bytes(), Duration::from_secs(2));
    answer.map_or(0, |answer| answer.status)
}

/// A request of a caller.
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
    pub key: String,
    pub fields: Vec<(String, String)>,
}

impl Request {
    pub fn new(path: &str, id: &str) -> Self {
        Self {
            method: "POST",
            path: path.to_owned(),
            id: id.to_owned(),
            deadline_ms: 8_000,
            body: b"the body of a request".to_vec(),
            key: KEY.to_owned(),
            fields: Vec::new(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Drumshore-Request-Id: {}\r\nX-Drumshore-Deadline-Ms: {}\r\n\
             X-Api-Key: {}\r\nContent-Length: {}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.key,
            self.body.len()
        );
        for (name, value) in &self.fields {
            head += &format!("{name}: {value}\r\n");
        }
        let mut bytes = (head + "\r\n").into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// An answer as its caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body has ended.
    pub looks_complete: bool,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn seal(&self) -> Option<&str> {
        self.field("x-drumshore-response-seal")
    }

    /// What a record says of it.
    pub fn summary(&self) -> String {
        format!(
            "status {}, seal {:?}, {} bytes of body, {}",
            self.status,
            self.seal(),
            self.body.len(),
            if self.looks_complete { "looks complete" } else { "cut off" }
        )
    }
}

pub fn exchange(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Answer> {
    send(address, &request.bytes(), limit)
}

fn send(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(bytes)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads the head of an answer, past interim ones.
pub fn read_answer_head(reader: &mut impl BufRead) -> io::Result<Answer> {
    loop {
        let mut answer = Answer::default();
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|status| status.trim().parse().ok());
        answer.status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let field = line.trim_end_matches(['\r', '\n']);
            if field.is_empty() {
                break;
            }
            if let Some((name, value)) = field.split_once(':') {
                answer.fields.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        if answer.status >= 200 {
            return Ok(answer);
        }
    }
}

pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let mut answer = read_answer_head(reader)?;
    let is_chunked = answer
        .field("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let length = answer.field("content-length").and_then(|length| length.parse::<usize>().ok());
    if is_chunked {
        answer.looks_complete = read_chunks(reader, &mut answer.body).unwrap_or(false);
    } else if let Some(length) = length {
        let read = reader.take(length as u64).read_to_end(&mut answer.body);
        answer.looks_complete = read.is_ok() && answer.body.len() == length;
    } else {
        answer.looks_complete = reader.read_to_end(&mut answer.body).is_ok();
    }
    Ok(answer)
}

/// Reads chunks into `body`; true once the last one has arrived.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let Ok(size) = u64::from_str_radix(size, 16) else {
            return Ok(false);
        };
        if size > 0 {
            let before = body.len();
            reader.take(size).read_to_end(body)?;
            if body.len() - before < size as usize {
                return Ok(false);
            }
        }
        line.clear();
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(line.ends_with('\n'));
        }
    }
}

/// A request as a back end receives it.
#[derive(Clone, Debug, Default)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.field("x-drumshore-request-id").unwrap_or_default()
    }
}

/// Reads the next request on a connection; `None` when it has ended.
pub fn read_request(reader: &mut impl BufRead) -> Option<Received> {
    let mut request = Received::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    request.method = words.next()?.to_owned();
    request.target = words.next()?.to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        request.fields.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = request.field("content-length").and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Serves connections in threads of their own. `serve` handles one request; false ends its connection.
pub fn serve_back_end<F>(address: SocketAddr, serve: F)
where
    F: Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a back end listens");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !serve(&request, &mut writer) {
                        break;
                    }
                }
            });
        }
    });
}
