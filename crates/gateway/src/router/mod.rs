//! The router daemon: forwards callers' requests to back ends and keeps its view of the replicated state current over
//! links to control machines.

mod admission;
mod answer_limits;
mod answer_timer;
mod attempt;
mod control_links;
mod crash_detection;
mod declared_length;
mod demand_metrics;
mod end_cause;
mod event_scanner;
mod events;
mod exit_notice;
mod first_view;
mod forward;
mod forwarded_answer;
mod headers;
mod notices;
mod open_attempt;
mod open_requests;
mod paths;
mod peer_forwarding;
mod peers;
mod received_body;
mod refusal;
mod relay;
mod reports;
mod resume;
mod silence;
mod stop;
mod streams;
mod take_up;
mod timeliness;
mod undecided_crashes;
mod unread;
mod view_changes;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::RouterCore;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use tokio::sync::{watch, Notify};

use crate::answer::{self, AnswerBody};
use crate::body_reception::Receptions;
use crate::caller_body::CallerBody;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::event_loop_delay::{self, EventLoopDelay};
use crate::memory_shares::{self, UnsentBytes};
use crate::metrics::Metrics;
use crate::open_connections::Connections;
use crate::server::{self, NoAnswer, ServerParams, WhenFull};
use crate::settings::RouterSettings;
use crate::signals::{Request as SignalRequest, Signals};
use crate::sockets;
use crate::unknown_names::UnknownNames;
use crate::upstream::Upstreams;
use crate::{run_on_event_loop, DaemonError};

pub(crate) use peer_forwarding::PeerBody;
pub(crate) use relay::Relay;

use crash_detection::PendingProbes;
use exit_notice::ExitNotices;
use first_view::FirstView;
use open_requests::OpenRequests;
use peers::Peers;
use silence::SilenceMonitor;
use streams::Streams;
use undecided_crashes::UndecidedCrashes;

/// Interval at which idle connections to back ends are closed and the gauge of the view's age is set.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection may be idle; longer than any configuration lets callers keep an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
/// Connections of callers, where the memory of the machine suffices for them.
const MAX_CONNECTIONS: usize = 1_500;
/// On a machine with very few descriptors, too.
const MIN_CONNECTIONS: usize = 64;
/// Descriptors of a caller's connection and of the one to the back end that serves its request.
const DESCRIPTORS_PER_CONNECTION: usize = 2;
/// Descriptors reserved for listeners, links to control machines, and the 200 that the users' platform sets aside for files.
const RESERVED_DESCRIPTORS: usize = 280;
/// Connections to each of the readiness and metrics listeners.
const MAX_PLATFORM_CONNECTIONS: usize = 32;

/// State that the tasks of a router share.
pub(crate) struct Router {
    core: RefCell<RouterCore>,
    dialect: Rc<dyn Dialect>,
    upstreams: Upstreams,
    clock: Clock,
    settings: RouterSettings,
    metrics: Rc<Metrics>,
    event_loop_delay: Rc<EventLoopDelay>,
    /// When this process received the stop signal.
    stopping: Cell<Option<Timestamp>>,
    exit_notices: ExitNotices,
    open_requests: OpenRequests,
    /// The bodies of requests that are being received.
    receptions: Rc<Receptions>,
    peers: Peers,
    /// Notifies waiting requests that the path to the back ends of a pool was lost.
    path_lost: Notify,
    /// Notifies the links to control machines that the router's own status changed.
    status_changed: Notify,
    /// Lets requests wait that arrive before the view is confirmed for the first time.
    first_view: FirstView,
    caller_connections: Connections,
    /// Back ends that are probed because connections to them broke.
    pending_probes: PendingProbes,
    undecided_crashes: UndecidedCrashes,
    silence_monitor: SilenceMonitor,
    /// Notifies the links to control machines that the load of a back end changed by a long prompt.
    loads_changed: watch::Sender<()>,
    /// Notifies the links to control machines that there are new reports of crashes.
    crash_reports_changed: Notify,
    unknown_headers: UnknownNames,
    /// Which software versions began the streams that callers may take up.
    streams: Streams,
}

/// Runs a router until the process receives a stop signal.
pub fn run(settings: RouterSettings, dialect: Rc<dyn Dialect>) -> Result<(), DaemonError> {
    run_on_event_loop(run_on_loop(settings, dialect))
}

async fn run_on_loop(
    settings: RouterSettings,
    dialect: Rc<dyn Dialect>,
) -> Result<(), DaemonError> {
    let mut signals = Signals::new()?;
    let clock = Clock::start();
    let seed = rand::rng().random();
    let metrics = Metrics::new();
    let max_client_bytes = memory_shares::client_bytes(settings.memory_bytes);
    let receptions = Receptions::new(max_client_bytes, &metrics.clients);
    let max_connections = max_caller_connections(&settings);
    let router = Rc::new(Router {
        core: RefCell::new(RouterCore::new(settings.params.clone(), seed)),
        dialect,
        upstreams: Upstreams::new(clock),
        clock,
        metrics,
        event_loop_delay: Rc::new(EventLoopDelay::new()),
        stopping: Cell::new(None),
        exit_notices: ExitNotices::default(),
        open_requests: OpenRequests::default(),
        receptions: Rc::clone(&receptions),
        peers: Peers::default(),
        path_lost: Notify::new(),
        status_changed: Notify::new(),
        first_view: FirstView::default(),
        caller_connections: Connections::with_receptions(
            max_connections,
            &receptions,
            UnsentBytes::new(settings.memory_bytes),
        ),
        pending_probes: PendingProbes::default(),
        undecided_crashes: UndecidedCrashes::default(),
        silence_monitor: SilenceMonitor::default(),
        loads_changed: watch::channel(()).0,
        crash_reports_changed: Notify::new(),
        unknown_headers: UnknownNames::default(),
        streams: Streams::new(seed),
        settings,
    });
    listen(&router)?;
    control_links::start(&router);
    tokio::task::spawn_local(prune(Rc::clone(&router)));
    tokio::task::spawn_local(measure_event_loop_delay(Rc::clone(&router)));
    tracing::info!(event = "started", role = "router", node = %router.settings.node,
        listen = %router.settings.listen, "router: accepting requests");
    while signals.next().await == SignalRequest::Reload {
        tracing::info!(event = "reloaded", seeds = ?(router.settings.seeds)(),
            "router: received a reload signal; seeds read again");
    }
    stop::stop(&router).await;
    Ok(())
}

/// How many connections of callers the memory and the descriptors of the machine suffice for.
fn max_caller_connections(settings: &RouterSettings) -> usize {
    let by_memory = memory_shares::forwarding_connections(settings.memory_bytes, MAX_CONNECTIONS);
    let by_descriptors = settings.max_descriptors.map(|descriptors| {
        descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION
    });
    by_descriptors.map_or(by_memory, |most| by_memory.min(most.max(MIN_CONNECTIONS)))
}

fn listen(router: &Rc<Router>) -> Result<(), DaemonError> {
    let callers = sockets::open_for_clients("callers", router.settings.listen)?;
    let connections = router.caller_connections.clone();
    let params = ServerParams {
        idle_timeout: IDLE_TIMEOUT,
        max_connections: connections.max(),
        when_full: WhenFull::Wait,
    };
    let shared = Rc::clone(router);
    let forwarding = server::serve_until_closed(callers, params, connections, move |request| {
        forward::serve(Rc::clone(&shared), request)
    });
    tokio::task::spawn_local(forwarding);
    let platform = ServerParams {
        max_connections: MAX_PLATFORM_CONNECTIONS,
        ..params
    };
    let ready = sockets::open_for_clients("readiness", router.settings.ready_listen)?;
    let shared = Rc::clone(router);
    let answering = server::serve(ready, platform, move |_: Request<CallerBody>| {
        let response = readiness(&shared);
        async move { Ok::<_, NoAnswer>(response) }
    });
    tokio::task::spawn_local(answering);
    if let Some(address) = router.settings.metrics_listen {
        let listener = sockets::open_for_clients("metrics", address)?;
        let metrics = Rc::clone(&router.metrics);
        let answering = server::serve(listener, platform, move |request| {
            let response = metrics.answer(&request);
            async move { Ok::<_, NoAnswer>(response) }
        });
        tokio::task::spawn_local(answering);
    }
    Ok(())
}

fn readiness(router: &Router) -> Response<AnswerBody> {
    let configured = router.core.borrow().configuration_version() > 0;
    // A router without free connection slots accepts no caller until a connection ends, so it is not ready.
    let has_room = !router.caller_connections.all_occupied();
    if configured && has_room && router.stopping.get().is_none() {
        answer::plain(StatusCode::OK, "")
    } else {
        answer::plain(StatusCode::SERVICE_UNAVAILABLE, "")
    }
}

async fn prune(router: Rc<Router>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        router.upstreams.prune();
        let age = router.core.borrow().view_age(router.clock.now());
        let age_ms = age.map_or(i64::MAX, |age| age.as_millis() as i64);
        router.metrics.view_age_ms.set(age_ms);
    }
}

async fn measure_event_loop_delay(router: Rc<Router>) {
    let delay = Rc::clone(&router.event_loop_delay);
    let metrics = Rc::clone(&router.metrics);
    event_loop_delay::measure(delay, metrics, || router.open_requests.count()).await;
}
