//! A mock of the platform: a list of machines that shows changes after a lag, and a weight store
//! that is slower when several engines load at once.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use drumshore_control::{MachineRecord, MachineState};
use drumshore_core::EngineName;
use serde_json::json;
use tiny_http::{Method, Request, Server};

use crate::engine::http::{read_json, respond, respond_json};

/// How long an engine counts as loading after it has begun to load weights.
const LOAD_WINDOW: Duration = Duration::from_secs(2);

/// Options of the mock platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address on which it listens for HTTP requests.
    pub listen: SocketAddr,
    /// Delay until a change appears in the list of machines.
    pub lag: Duration,
}

/// The current machines, and the older states that the list still shows.
#[derive(Clone, Debug)]
pub struct Platform {
    lag: Duration,
    machines: Vec<MachineRecord>,
    /// States since the one that the list shows, oldest first, each with the time of its change.
    history: VecDeque<(Duration, Vec<MachineRecord>)>,
    weight_loads: Vec<Duration>,
}

impl Platform {
    /// Creates a platform without machines.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            machines: Vec::new(),
            history: VecDeque::new(),
            weight_loads: Vec::new(),
        }
    }

    /// Adds a machine or replaces the record of the same name.
    pub fn put(&mut self, machine: MachineRecord, now: Duration) {
        self.machines
            .retain(|existing| existing.name != machine.name);
        self.machines.push(machine);
        self.machines.sort_by(|a, b| a.name.cmp(&b.name));
        self.record_history(now);
    }

    /// Marks a machine as leaving.
    pub fn leave(&mut self, name: &EngineName, now: Duration) {
        for machine in &mut self.machines {
            if machine.name == *name {
                machine.state = MachineState::Leaving;
            }
        }
        self.record_history(now);
    }

    /// Removes a machine.
    pub fn remove(&mut self, name: &EngineName, now: Duration) {
        self.machines.retain(|machine| machine.name != *name);
        self.record_history(now);
    }

    /// Returns the list of machines as of `now` minus the lag.
    pub fn list(&mut self, now: Duration) -> Vec<MachineRecord> {
        let shown = now.saturating_sub(self.lag);
        while self.history.len() > 1 && self.history[1].0 <= shown {
            self.history.pop_front();
        }
        let current = self.history.front().filter(|(at, _)| *at <= shown);
        current.map_or(Vec::new(), |(_, machines)| machines.clone())
    }

    /// Records that an engine begins to load weights. Returns the number of engines that load,
    /// this one included.
    pub fn begin_load(&mut self, now: Duration) -> usize {
        self.weight_loads
            .retain(|at| now.saturating_sub(*at) < LOAD_WINDOW);
        self.weight_loads.push(now);
        self.weight_loads.len()
    }

    fn record_history(&mut self, now: Duration) {
        self.history.push_back((now, self.machines.clone()));
    }
}

struct Shared {
    platform: Mutex<Platform>,
    started: Instant,
}

/// Prints the address and serves the platform until the process ends.
pub fn run(options: &PlatformOptions) -> io::Result<()> {
    let (server, shared) = start(options)?;
    println!("{}", server.server_addr());
    serve(&server, &shared);
    Ok(())
}

/// Serves the platform on a thread of this process. Returns its address.
pub fn spawn(options: &PlatformOptions) -> io::Result<SocketAddr> {
    let (server, shared) = start(options)?;
    let address = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| io::Error::other("the platform does not listen on an IP address"))?;
    thread::spawn(move || serve(&server, &shared));
    Ok(address)
}

fn start(options: &PlatformOptions) -> io::Result<(Server, Arc<Shared>)> {
    let server = Server::http(options.listen).map_err(io::Error::other)?;
    let shared = Arc::new(Shared {
        platform: Mutex::new(Platform::new(options.lag)),
        started: Instant::now(),
    });
    Ok((server, shared))
}

fn serve(server: &Server, shared: &Arc<Shared>) {
    while let Ok(request) = server.recv() {
        shared.handle(request);
    }
}

impl Shared {
    fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        let now = self.started.elapsed();
        match (request.method().clone(), url.as_str()) {
            (Method::Get, "/v1/machines") => {
                let list = self.lock().list(now);
                respond_json(request, &list);
            }
            (Method::Post, "/v1/machines") => {
                match read_json::<MachineRecord>(&mut request) {
                    Some(machine) => self.lock().put(machine, now),
                    None => return respond(request, 400, &[], b"{}"),
                }
                respond(request, 200, &[], b"{}");
            }
            (Method::Post, "/v1/weights") => {
                let loading = self.lock().begin_load(now);
                respond_json(request, &json!({"loading": loading}));
            }
            (method, path) => self.handle_machine(&method, path, now, request),
        }
    }

    fn handle_machine(&self, method: &Method, path: &str, now: Duration, request: Request) {
        let rest = path.strip_prefix("/v1/machines/").unwrap_or("");
        let (name, action) = rest.split_once('/').unwrap_or((rest, ""));
        let name = EngineName::new(name);
        match (method, action) {
            (Method::Post, "leave") => self.lock().leave(&name, now),
            (Method::Delete, "") => self.lock().remove(&name, now),
            _ => return respond(request, 404, &[], b"{}"),
        }
        respond(request, 200, &[], b"{}");
    }

    fn lock(&self) -> MutexGuard<'_, Platform> {
        self.platform.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
