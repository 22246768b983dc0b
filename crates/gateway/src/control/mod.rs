//! The control daemon: a replica of the state, its links to other processes, and its HTTP interface.

mod api;
mod applied;
mod back_end_speeds;
mod back_ends;
mod call_body;
mod configuration;
mod connections;
mod folder;
mod peers;
mod quarantine;
mod stop;
mod store;
mod streams;
mod traffic_log;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use drumshore_consensus::{FileDirectory, ReplicaError, Role};
use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    ConnectionId, ControlCore, Effect, Message, Reply, RouterWire, Ticket,
};
use hyper::{Request, Response};
use rand::Rng;
use tokio::sync::{oneshot, Notify};
use tokio::time::{interval, MissedTickBehavior};

use crate::answer::AnswerBody;
use crate::body_reception::Receptions;
use crate::caller_body::CallerBody;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::event_loop_delay::{self, EventLoopDelay};
use crate::link::{Frame, Sender};
use crate::memory_shares::{self, UnsentBytes};
use crate::metrics::Metrics;
use crate::open_connections::Connections;
use crate::server::{self, NoAnswer, ServerParams, WhenFull};
use crate::settings::ControlSettings;
use crate::signals::{Request as SignalRequest, Signals};
use crate::sockets;
use crate::traffic::LinkTraffic;
use crate::unknown_names::UnknownNames;
use crate::upstream::Upstreams;
use crate::{run_on_event_loop, DaemonError};

use back_ends::BackEnds;
use configuration::CachedConfiguration;
use connections::ConnectionLimits;
use peers::Peers;
use streams::Streams;

/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Connections to the metrics listener.
const MAX_METRICS_CONNECTIONS: usize = 32;
/// Delay before each attempt to open the data folder again after its disk failed.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

type Core = ControlCore<FileDirectory>;

/// State that the tasks of a control machine share.
pub(crate) struct Control {
    /// The replica; `None` while its disk fails.
    core: RefCell<Option<Core>>,
    dialect: Rc<dyn Dialect>,
    settings: ControlSettings,
    clock: Clock,
    metrics: Rc<Metrics>,
    traffic: Rc<LinkTraffic>,
    peers: Peers,
    back_ends: BackEnds,
    /// The connections of operators, back ends and callers of the directory.
    callers: RefCell<Vec<Connections>>,
    /// The bodies of their calls that are being received.
    receptions: Rc<Receptions>,
    /// The links to connected routers.
    routers: RefCell<HashMap<ConnectionId, Sender>>,
    /// Calls that wait for a reply of the core.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Reply>>>,
    next_ticket: Cell<u64>,
    /// Notified after each operation on the core, whose effects must be stored and sent.
    flush: Notify,
    /// The role at the last tick; `None` before the first one with an open replica.
    role: Cell<Option<Role>>,
    configuration: RefCell<CachedConfiguration>,
    /// Which software versions began the streams of routers.
    streams: RefCell<Streams>,
    unknown_fields: UnknownNames,
}

/// Runs a control machine until the process receives a stop signal.
pub fn run(settings: ControlSettings, dialect: Rc<dyn Dialect>) -> Result<(), DaemonError> {
    run_on_event_loop(run_on_loop(settings, dialect))
}

async fn run_on_loop(
    settings: ControlSettings,
    dialect: Rc<dyn Dialect>,
) -> Result<(), DaemonError> {
    let mut signals = Signals::new()?;
    let clock = Clock::start();
    let core = match folder::open(&settings) {
        Ok(core) => Some(core),
        Err(error) => {
            tracing::error!(event = "folder_failed", %error,
                "control: cannot open the data folder");
            None
        }
    };
    let metrics = Metrics::new();
    let max_client_bytes = memory_shares::client_bytes(settings.memory_bytes);
    let receptions = Receptions::new(max_client_bytes, &metrics.clients);
    let traffic = LinkTraffic::with_counters(metrics.link_bytes.clone());
    let traffic = Rc::new(traffic);
    let control = Rc::new(Control {
        core: RefCell::new(core),
        dialect,
        clock,
        metrics,
        peers: Peers::new(settings.internal_port, Rc::clone(&traffic)),
        traffic,
        back_ends: BackEnds::new(Upstreams::new(clock)),
        callers: RefCell::default(),
        receptions,
        routers: RefCell::default(),
        waiting: RefCell::default(),
        next_ticket: Cell::new(0),
        flush: Notify::new(),
        role: Cell::new(None),
        configuration: RefCell::default(),
        streams: RefCell::default(),
        unknown_fields: UnknownNames::default(),
        settings,
    });
    listen(&control)?;
    tokio::task::spawn_local(flush_on_request(Rc::clone(&control)));
    tokio::task::spawn_local(tick(Rc::clone(&control)));
    tokio::task::spawn_local(measure_event_loop_delay(Rc::clone(&control)));
    tokio::task::spawn_local(traffic_log::log_periodically(Rc::clone(&control)));
    tokio::task::spawn_local(store::follow_all(Rc::clone(&control)));
    tracing::info!(event = "started", role = "control", node = %control.settings.node,
        listen = %control.settings.listen, bootstrap = control.settings.bootstrap,
        "control: accepting calls");
    while signals.next().await == SignalRequest::Reload {
        tracing::info!(
            event = "reloaded",
            "control: received a reload signal; seeds read again"
        );
        control.reload_seeds();
    }
    stop::stop(&control).await;
    Ok(())
}

fn listen(control: &Rc<Control>) -> Result<(), DaemonError> {
    let settings = &control.settings;
    let limits = ConnectionLimits::new(settings.max_descriptors);
    let fitting = |most| memory_shares::connections(settings.memory_bytes, most);
    let unsent_bytes = UnsentBytes::new(settings.memory_bytes);
    let mut addresses = vec![("control", settings.listen, fitting(limits.control))];
    let directory = settings.directory_listen;
    addresses.extend(directory.map(|at| ("directory", at, fitting(limits.directory))));
    let params = ServerParams {
        idle_timeout: IDLE_TIMEOUT,
        max_connections: MAX_METRICS_CONNECTIONS,
        when_full: WhenFull::Close,
    };
    for (purpose, address, max_connections) in addresses {
        let params = ServerParams {
            max_connections,
            ..params
        };
        let listener = sockets::open_for_clients(purpose, address)?;
        let connections =
            Connections::with_receptions(max_connections, &control.receptions, unsent_bytes);
        control.callers.borrow_mut().push(connections.clone());
        let shared = Rc::clone(control);
        let answering = server::serve_until_closed(listener, params, connections, move |request| {
            api::serve(Rc::clone(&shared), request)
        });
        tokio::task::spawn_local(answering);
    }
    if let Some(address) = settings.metrics_listen {
        let listener = sockets::open_for_clients("metrics", address)?;
        let shared = Rc::clone(control);
        let answering = server::serve(listener, params, move |request: Request<CallerBody>| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, NoAnswer>(serve_operators(&shared, &request).await) }
        });
        tokio::task::spawn_local(answering);
    }
    let internal = (settings.ip, settings.internal_port).into();
    let listener = sockets::open("other processes", internal)?;
    tokio::task::spawn_local(peers::accept(Rc::clone(control), listener));
    Ok(())
}

/// Serves operators at the metrics address: calls about the quarantine, and metrics for any other request.
async fn serve_operators(
    control: &Rc<Control>,
    request: &Request<CallerBody>,
) -> Response<AnswerBody> {
    match quarantine::call_of(request.method(), request.uri().path()) {
        Some(call) => quarantine::serve(control, call).await,
        None => control.metrics.answer(request),
    }
}

/// Drives the core's timers, and opens the replica again after a disk failure.
async fn tick(control: Rc<Control>) {
    let mut ticks = interval(control.settings.params.tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if control.core.borrow().is_none() {
            control.reopen().await;
        }
        control.refresh_configuration();
        control.with_core(Core::on_tick);
        control.record_role();
    }
}

/// Measures the delay of the event loop; calls that wait for a reply of the core count as open requests.
async fn measure_event_loop_delay(control: Rc<Control>) {
    let delay = Rc::new(EventLoopDelay::new());
    let metrics = Rc::clone(&control.metrics);
    event_loop_delay::measure(delay, metrics, || control.waiting.borrow().len()).await;
}

async fn flush_on_request(control: Rc<Control>) {
    loop {
        control.flush.notified().await;
        control.flush_now();
    }
}

impl Control {
    /// Runs an operation on the core and schedules a flush of its effects. All operations until the event loop runs the
    /// flush share one sync of the disk. `None` while the disk fails.
    fn with_core<R>(&self, operation: impl FnOnce(&mut Core, Timestamp) -> R) -> Option<R> {
        let now = self.clock.now();
        let mut core = self.core.borrow_mut();
        let result = operation(core.as_mut()?, now);
        self.flush.notify_one();
        Some(result)
    }

    /// Submits a request to the core and waits for its reply; `Unavailable` while the disk fails.
    async fn ask(&self, operation: impl FnOnce(&mut Core, Timestamp, Ticket)) -> Reply {
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let submitted = self.with_core(|core, now| operation(core, now, ticket));
        if submitted.is_none() {
            self.waiting.borrow_mut().remove(&ticket);
            return Reply::Unavailable;
        }
        receiver.await.unwrap_or(Reply::Unavailable)
    }

    fn flush_now(self: &Rc<Self>) {
        let mut effects = Vec::new();
        let flushed = match self.core.borrow_mut().as_mut() {
            None => return,
            Some(core) => core.flush(&mut |effect| effects.push(effect)),
        };
        for effect in effects {
            self.execute(effect);
        }
        if let Err(error) = flushed {
            self.on_disk_failure(&error);
        }
    }

    fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::ToControl(address, message) => self.peers.send(address, &message),
            Effect::ToRouter(connection, message) => {
                if let Some(sender) = self.routers.borrow().get(&connection) {
                    sender.send(&message);
                }
            }
            Effect::ToRouters(connections, message) => {
                for wire in RouterWire::ALL {
                    self.send_to_all(&connections, &message, wire);
                }
            }
            Effect::Reply(ticket, reply) => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
                    let _ = waiting.send(reply);
                }
            }
            Effect::Applied { position, command } => applied::log(position, &command),
            Effect::FingerprintSuspected {
                fingerprint,
                crashes,
            } => {
                tracing::info!(
                    event = "work_suspected",
                    work = format_args!("{fingerprint:#}"),
                    scope = fingerprint.scope().as_str(),
                    ends = crashes,
                    "control: another back end crashed while serving requests with this fingerprint"
                );
            }
            Effect::CrashReported(report) => applied::log_crash(&self.metrics, &report),
            Effect::AccountLevelsWithheld(is_withheld) => tracing::info!(
                event = "account_levels_withheld",
                is_withheld,
                "control: the levels of tenants' limits are sent only while a quorum answers"
            ),
            Effect::SpeedChanged(change) => back_end_speeds::log(&change),
            Effect::NewsRefused => {
                self.metrics.count_decision("news_refused");
                tracing::warn!(
                    event = "news_refused",
                    "control: refused a message from another control machine that must not be forwarded to routers"
                );
            }
            Effect::LoadPlanned(plan) => applied::log_load_plan(&self.metrics, &plan),
            Effect::Order(order) => back_ends::send_order(self, order),
            Effect::RequestReport { instance, address } => {
                back_ends::query_report(self, instance, address)
            }
        }
    }

    /// Sends a message to those of the given routers that use this layout.
    fn send_to_all(&self, connections: &[ConnectionId], message: &Message, wire: RouterWire) {
        let routers = self.routers.borrow();
        let senders = connections.iter().filter_map(|link| routers.get(link));
        let mut senders = senders.filter(|sender| sender.wire() == wire).peekable();
        if senders.peek().is_none() {
            return;
        }
        let Some(frame) = Frame::of(message, wire) else {
            return;
        };
        for sender in senders {
            sender.send_frame(&frame);
        }
    }

    /// Drops the replica: it must confirm nothing until the data folder has been read again. Pending calls fail.
    fn on_disk_failure(&self, error: &ReplicaError) {
        tracing::error!(event = "disk_lost", %error, "control: the disk failed; the replica stops until the data folder can be read again");
        *self.core.borrow_mut() = None;
        self.waiting.borrow_mut().clear();
    }

    async fn reopen(&self) {
        tokio::time::sleep(REOPEN_DELAY).await;
        match folder::open(&self.settings) {
            Ok(core) => {
                tracing::info!(
                    event = "disk_regained",
                    "control: the disk works again; the replica was opened"
                );
                *self.core.borrow_mut() = Some(core);
                *self.configuration.borrow_mut() = CachedConfiguration::default();
            }
            Err(error) => {
                tracing::error!(event = "folder_failed", %error,
                    "control: cannot open the data folder")
            }
        }
    }

    fn reload_seeds(&self) {
        let seeds: Vec<Ipv4Addr> = (self.settings.seeds)();
        self.with_core(|core, _| core.set_seeds(seeds));
    }

    fn record_role(&self) {
        let core = self.core.borrow();
        let Some(core) = core.as_ref() else {
            return;
        };
        let role = Some(core.role());
        self.metrics.revision.set(core.state().revision() as i64);
        if self.role.replace(role) != role {
            tracing::info!(event = "role_changed", role = ?core.role(), term = core.term(),
                revision = core.state().revision(), members = core.controls().len(),
                "control: the replica's role changed");
        }
    }

    fn seed() -> u64 {
        rand::rng().random()
    }
}
