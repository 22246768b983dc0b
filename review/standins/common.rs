//! Starts the project's programs as processes on loopback addresses, with stand-ins of an operator, callers and back
//! ends that speak plain HTTP/1.1.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/drumshore-platform";
const FRONT_PORT: u16 = 8782;
const CONTROL_PORT: u16 = 8783;
const READY_PORT: u16 = 8789;
const METRICS_PORT: u16 = 9464;
const INTERNAL_PORT: u16 = 7340;
/// `contact_ms` of the users' deployments.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const HOST: &str = "a.example";

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Milliseconds since the Unix epoch, the same clock in all processes of the machine.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

pub fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// A file to which several processes append lines.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn append_to(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    /// Writes one line with the time.
    pub fn line(&self, text: &str) {
        let line = format!("{} {text}\n", now_ms());
        let mut file = self.0.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }
}

/// An HTTP message, as a request or as an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The target of a request, or the status of an answer.
    pub second_word: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was marked, or is that of a connection that was closed in order.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.second_word.parse().unwrap_or(0)
    }
}

/// Reads a head and a body; `None` if the connection ends before the head does.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut message = Message {
        second_word: line.split_whitespace().nth(1)?.to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    message.is_complete = read_body(reader, &mut message, is_answer).is_ok();
    Some(message)
}

fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked");
    let length: Option<usize> = message.header("content-length").parse().ok();
    if is_chunked {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    match length {
        Some(length) => {
            message.body.resize(length, 0);
            reader.read_exact(&mut message.body)
        }
        None if is_answer => reader.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

/// Sends one request on a new connection and reads the answer; `None` without a head of an answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time_limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(time_limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head.push_str(body);
    stream.write_all(head.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), true)
}

/// A process that is killed when dropped. Its identifier is kept in a file meanwhile, for the script that started this
/// program.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn start(folder: &Path, command: &mut Command) -> io::Result<Self> {
        let child = command.spawn()?;
        let mut pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        Ok(Self { child })
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three control machines and two routers, each at a loopback address of its own.
pub struct Deployment {
    pub folder: PathBuf,
    pub record: Record,
    network: [u8; 3],
    _processes: Vec<Process>,
}

const CONTROLS: u8 = 3;
const ROUTERS: u8 = 2;

impl Deployment {
    /// Starts all processes.
    pub fn start(folder: &Path, record: &Record) -> Result<Self, Failure> {
        let network = free_network().ok_or("no free loopback addresses")?;
        let mut deployment = Self {
            folder: folder.to_owned(),
            record: record.clone(),
            network,
            _processes: Vec::new(),
        };
        for number in 0..CONTROLS {
            deployment.start_process("control", "core", number)?;
        }
        for number in 0..ROUTERS {
            deployment.start_process("router", "front", number)?;
        }
        Ok(deployment)
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        let [a, b, c] = self.network;
        Ipv4Addr::new(a, b, c, host)
    }

    fn control_ip(&self, number: u8) -> Ipv4Addr {
        self.ip(10 + number)
    }

    fn router_ip(&self, number: u8) -> Ipv4Addr {
        self.ip(30 + number)
    }

    /// The address of a back end.
    pub fn back_end(&self, number: u8) -> SocketAddr {
        (self.ip(50 + number), 8080).into()
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        (
            self.router_ip((number % usize::from(ROUTERS)) as u8),
            FRONT_PORT,
        )
            .into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = 0..CONTROLS;
        controls
            .map(|number| (self.control_ip(number), CONTROL_PORT).into())
            .collect()
    }

    fn start_process(&mut self, role: &str, class: &str, number: u8) -> Result<(), Failure> {
        let node = format!("{class}-a-{number}");
        let ip = match role {
            "control" => self.control_ip(number),
            _ => self.router_ip(number),
        };
        let seeds: Vec<String> = self.controls().iter().map(SocketAddr::to_string).collect();
        let mut settings = format!(
            "node={node}\nrole={role}\nmachine_class={class}\nip={ip}\nzone=zone-a\nregion=region-a\n\
             zones.zone-a=region-a\ninternal_ports={INTERNAL_PORT},{}\nseeds={}\nbootstrap=true\n{SETTINGS}",
            INTERNAL_PORT + 15,
            seeds.join(",")
        );
        if role == "control" {
            let data = self.folder.join(format!("data-{number}"));
            std::fs::create_dir_all(&data)?;
            settings.push_str(&format!(
                "serves=control,directory\nloss_counts=true\nlisten.control={ip}:{CONTROL_PORT}\n\
                 listen.directory={ip}:{CONTROL_PORT}\ndata_dir={}\nlimits.disk_mb=128\n",
                data.display()
            ));
        } else {
            settings.push_str(&format!(
                "serves=front\nloss_counts=false\nlisten.front={ip}:{FRONT_PORT}\n\
                 listen.ready={ip}:{READY_PORT}\nlimits.disk_mb=0\n"
            ));
        }
        let file = self.folder.join(format!("{node}.conf"));
        std::fs::write(&file, settings)?;
        let log = File::create(self.folder.join(format!("{node}.log")))?;
        let mut command = Command::new(PROGRAM);
        command.arg(role).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("DRUMSHORE_BOOT", &file)
            .env("METRICS_PORT", METRICS_PORT.to_string())
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        self._processes
            .push(Process::start(&self.folder, &mut command)?);
        Ok(())
    }

    /// Sends a configuration until it is acknowledged, as an operator does. Returns when that was.
    pub fn configure(&self, configuration: &str) -> Result<u64, Failure> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            for control in self.controls() {
                let headers = [("Content-Type", "application/json")];
                let limit = Duration::from_secs(1);
                let answer = call(control, "PUT", "/-/config", &headers, configuration, limit);
                match answer.map_or(0, |answer| answer.status()) {
                    200 => {
                        self.record
                            .line(&format!("operator: acknowledged {configuration}"));
                        return Ok(now_ms());
                    }
                    400 => return Err("the configuration was rejected".into()),
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("no control machine acknowledged the configuration".into())
    }

    /// Waits until both routers are ready.
    pub fn wait_until_ready(&self) -> Result<(), Failure> {
        for number in 0..ROUTERS {
            let ready = (self.router_ip(number), READY_PORT).into();
            wait_until("a router is ready", || {
                let answer = call(ready, "GET", "/-/ready", &[], "", Duration::from_secs(1));
                answer.is_some_and(|answer| answer.status() == 200)
            })?;
        }
        Ok(())
    }
}

/// The settings that all processes share; the bounds are those of the users' deployments.
const SETTINGS: &str =
    "limits.cpu_share=0.6\nlimits.cores=1\nlimits.memory_mb=256\nlimits.max_fds=4096\n\
    limits.link_mbps=1000.0\ndiscovery=registration\nentry=directory\nheartbeat_ms=1200\n\
    contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n\
    fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
    bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n\
    bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
    bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms=5000\n\
    bounds.revoke_everywhere=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n\
    bounds.budget_window_s=10\nbounds.retry_budget_slack=54\nbounds.recovery_s=12\n\
    bounds.transit_ms=120\nbounds.retry_after_s=10\nbounds.require_fencing=true\n\
    bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.version_ms=8000\n\
    bounds.version_all_ms=11000\nbounds.ttl_max_s=5\nconfig_mode=highest\n";

/// Three bytes of loopback addresses at which the ports of a deployment are free.
fn free_network() -> Option<[u8; 3]> {
    let seed = std::process::id();
    (0..200_u32).find_map(|attempt| {
        let number = seed.wrapping_add(attempt.wrapping_mul(257));
        let network = [127, 128 + (number >> 8) as u8 % 100, number as u8];
        let [a, b, c] = network;
        let is_free =
            |host: u8, port: u16| TcpListener::bind((Ipv4Addr::new(a, b, c, host), port)).is_ok();
        let ports = [
            FRONT_PORT,
            CONTROL_PORT,
            READY_PORT,
            METRICS_PORT,
            INTERNAL_PORT,
            8080,
        ];
        let hosts = (10..13).chain(30..32).chain(50..60);
        let is_all_free = hosts
            .clone()
            .all(|host| ports.iter().all(|port| is_free(host, *port)));
        is_all_free.then_some(network)
    })
}

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<(), Failure> {
    let end = Instant::now() + Duration::from_secs(20);
    while !condition() {
        if Instant::now() > end {
            return Err(format!("gave up waiting until {what}").into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Whether the disruption is left out.
pub fn is_trouble_off() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
