//! Hollow workers, which answer probes, and hollow routers, which subscribe, confirm and report
//! use over real links as real ones do.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use drumshore_control::EngineProbe;
use drumshore_core::{Incarnation, ModelName, SecretKey, WeightsVersion};
use drumshore_http::{Request, Responder, Server, ServerParams};
use drumshore_node::links::{Credentials, Link, LinkSender};
use drumshore_wire::frame::encode_frame;
use drumshore_wire::{Identity, List, Message, Subscribe, Text, UsageRecord, UsageReport};
use rand::Rng;

/// Path prefix under which the worker of a number is found.
pub(super) const WORKER_PATH: &str = "/worker/";

/// Tokens in the queue of a worker that is as busy as it should be, at most.
const WAITING_TOKENS: u32 = 20_000;

/// Sequences that a worker of letter 1 runs.
const RUNNING: u32 = 230;

/// Tenants that use one router: letter 1's 9,000 over 360 routers.
pub(super) const TENANTS_PER_ROUTER: usize = 25;

/// Regions, by letter 1.
pub(super) const REGIONS: usize = 5;

/// Zones, by letter 1.
pub(super) const ZONES: usize = 18;

/// Requests a second of a router, by letter 1.
const REQUESTS_PER_SECOND: u32 = 111;

/// Serves all workers from one address.
pub(super) fn start_workers(model: &ModelName) -> io::Result<SocketAddr> {
    let model = model.clone();
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(
        listen,
        ServerParams::default(),
        move |request: &mut Request<'_>, responder: Responder<'_>| {
            let probe = EngineProbe {
                incarnation: Incarnation(1),
                model: model.clone(),
                weights_version: WeightsVersion(1),
                leaving: false,
                waiting_tokens: rand::rng().random_range(0..WAITING_TOKENS),
                running: rand::rng().random_range(RUNNING / 2..RUNNING * 3 / 2),
                lag_ms: 100,
            };
            if request.path().starts_with(WORKER_PATH) {
                responder.send_json(200, &probe);
            } else {
                responder.send(404, "text/plain", b"");
            }
        },
    )?;
    let address = server.address();
    // The server runs until the process ends.
    std::mem::forget(server);
    Ok(address)
}

/// What hollow routers have seen, together.
#[derive(Debug, Default)]
pub(super) struct Seen {
    pub(super) configured: AtomicUsize,
    pub(super) received_bytes: AtomicU64,
    pub(super) received_frames: AtomicU64,
    pub(super) sent_bytes: AtomicU64,
    /// For each revision, how many routers apply it and when the last one began to.
    in_force: Mutex<BTreeMap<u64, (usize, Instant)>>,
}

impl Seen {
    /// When the last of `routers` routers began to apply a revision or a newer one.
    pub(super) fn in_force_at(&self, revision: u64, routers: usize) -> Option<Instant> {
        let in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, at) = in_force.get(&revision)?;
        (*count >= routers).then_some(*at)
    }

    fn on_in_force(&self, revision: u64) {
        let mut in_force = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = in_force.entry(revision).or_insert((0, Instant::now()));
        entry.0 += 1;
        entry.1 = Instant::now();
    }
}

/// Hollow routers; they end when dropped.
pub(super) struct HollowRouters {
    pub(super) seen: Arc<Seen>,
    senders: Arc<Mutex<Vec<LinkSender>>>,
    over: Arc<AtomicBool>,
}

impl Drop for HollowRouters {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        for sender in senders.iter() {
            sender.close();
        }
    }
}

/// Starts `count` routers at once, as after a loss of power, spread over the control machines.
pub(super) fn start_routers(
    count: usize,
    tenants: usize,
    controls: &[SocketAddr],
    key: &SecretKey,
) -> io::Result<HollowRouters> {
    const STACK_BYTES: usize = 256 * 1024;
    let routers = HollowRouters {
        seen: Arc::default(),
        senders: Arc::default(),
        over: Arc::default(),
    };
    for number in 0..count {
        let address = controls[number % controls.len()];
        let credentials = Credentials {
            identity: Identity::Router(Text::new(format!("hollow-{number}"))),
            key: key.clone(),
        };
        let region = format!("region-{}", number % REGIONS);
        let names: Vec<Text> = (0..TENANTS_PER_ROUTER)
            .map(|offset| (number * TENANTS_PER_ROUTER + offset) % tenants.max(1))
            .map(|tenant| Text::new(format!("tenant-{tenant}")))
            .collect();
        let seen = Arc::clone(&routers.seen);
        let senders = Arc::clone(&routers.senders);
        thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || run_router(address, &credentials, &names, &region, &seen, &senders))?;
    }
    report_usage(&routers, tenants)?;
    Ok(routers)
}

fn run_router(
    address: SocketAddr,
    credentials: &Credentials,
    tenants: &[Text],
    region: &str,
    seen: &Seen,
    senders: &Mutex<Vec<LinkSender>>,
) {
    let link = match Link::connect(address, credentials) {
        Ok(link) => link,
        Err(error) => {
            eprintln!("scale: a hollow router is not linked: {error}");
            return;
        }
    };
    let sender = link.sender.clone();
    let subscribe = Message::Subscribe(Subscribe {
        floor: 0,
        tenants: List::new(tenants.to_vec()),
        region: Text::new(region),
    });
    send(&sender, subscribe, seen);
    senders
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(sender.clone());
    link.read(|message| {
        let length = encode_frame(&message).map_or(0, |frame| frame.len());
        seen.received_bytes
            .fetch_add(length as u64, Ordering::Relaxed);
        seen.received_frames.fetch_add(1, Ordering::Relaxed);
        if let Message::Config(update) = message {
            if update.full == 1 {
                seen.configured.fetch_add(1, Ordering::SeqCst);
            }
            seen.on_in_force(update.revision);
            send(&sender, Message::InForce(update.revision), seen);
        }
    });
}

fn send(sender: &LinkSender, message: Message, seen: &Seen) {
    let length = encode_frame(&message).map_or(0, |frame| frame.len());
    seen.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
    sender.send(message);
}

/// Each second every router says what its tenants used.
fn report_usage(routers: &HollowRouters, tenants: usize) -> io::Result<()> {
    let seen = Arc::clone(&routers.seen);
    let senders = Arc::clone(&routers.senders);
    let over = Arc::clone(&routers.over);
    thread::Builder::new().spawn(move || {
        while !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(1));
            let senders = senders
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            for (number, sender) in senders.iter().enumerate() {
                let records = (0..TENANTS_PER_ROUTER)
                    .map(|offset| (number * TENANTS_PER_ROUTER + offset) % tenants.max(1))
                    .map(|tenant| UsageRecord {
                        tenant: Text::new(format!("tenant-{tenant}")),
                        rate: REQUESTS_PER_SECOND * 10 / TENANTS_PER_ROUTER as u32,
                        open: 48,
                    })
                    .collect();
                let usage = UsageReport {
                    records: List::new(records),
                };
                send(sender, Message::Usage(usage), &seen);
            }
        }
    })?;
    Ok(())
}
