//! The router daemon: callers on one side, back ends on the other, control machines beside it.

mod attempt;
mod control_links;
mod crash_detection;
mod events;
mod first_view;
mod forward;
mod headers;
mod notices;
mod refusal;
mod relay;
mod reports;
mod resume;
mod timeliness;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{RequestKind, RouterCore};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use tokio::sync::Notify;

use crate::answer::{self, AnswerBody};
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::server::{self, ConnectionSlots, NoAnswer, ServerParams, WhenFull};
use crate::settings::RouterSettings;
use crate::signals::{Request as SignalRequest, Signals};
use crate::sockets;
use crate::unknown_headers::UnknownHeaders;
use crate::upstream::Upstreams;
use crate::{run_on_event_loop, DaemonError};

pub(crate) use relay::Relay;

use crash_detection::PendingProbes;
use first_view::FirstView;

const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection may rest this long; longer than any configuration lets callers rest.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
const MAX_CONNECTIONS: usize = 1_500;
const MAX_PLATFORM_CONNECTIONS: usize = 32;
/// Before the process is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Streams may last longer than a stop does; later than this into it none begins.
const LATEST_STREAM_START: Duration = Duration::from_millis(2_800);
/// Another request that begins later than this before the end would be cut.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(1_200);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the tasks of a router share.
pub(crate) struct Router {
    core: RefCell<RouterCore>,
    dialect: Rc<dyn Dialect>,
    upstreams: Upstreams,
    clock: Clock,
    settings: RouterSettings,
    metrics: Rc<Metrics>,
    /// When this process began to stop.
    stopping: Cell<Option<Timestamp>>,
    /// Requests between their head and the end of their answer.
    open_requests: Cell<usize>,
    /// Wakes the links to control machines when the router's own status changed.
    status_changed: Notify,
    /// For requests that come before the view is confirmed.
    first_view: FirstView,
    /// Room for connections of callers.
    caller_slots: ConnectionSlots,
    /// Back ends whose connections broke.
    pending_probes: PendingProbes,
    /// Wakes the links to control machines when there are reports of work.
    crash_reports_changed: Notify,
    unknown_headers: UnknownHeaders,
}

/// Runs a router until it is told to stop.
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
    let router = Rc::new(Router {
        core: RefCell::new(RouterCore::new(settings.params.clone(), seed)),
        dialect,
        upstreams: Upstreams::new(clock),
        clock,
        metrics: Metrics::new(),
        stopping: Cell::new(None),
        open_requests: Cell::new(0),
        status_changed: Notify::new(),
        first_view: FirstView::default(),
        caller_slots: ConnectionSlots::new(MAX_CONNECTIONS),
        pending_probes: PendingProbes::default(),
        crash_reports_changed: Notify::new(),
        unknown_headers: UnknownHeaders::default(),
        settings,
    });
    listen(&router)?;
    control_links::start(&router);
    tokio::task::spawn_local(prune(Rc::clone(&router)));
    tracing::info!(event = "started", role = "router", node = %router.settings.node,
        listen = %router.settings.listen, "router: started");
    while signals.next().await == SignalRequest::Reload {
        tracing::info!(event = "reloaded", seeds = ?(router.settings.seeds)(),
            "router: settings read again");
    }
    stop(&router).await;
    Ok(())
}

fn listen(router: &Rc<Router>) -> Result<(), DaemonError> {
    let callers = sockets::open("callers", router.settings.listen)?;
    let params = ServerParams {
        idle_timeout: IDLE_TIMEOUT,
        max_connections: MAX_CONNECTIONS,
        when_full: WhenFull::Wait,
    };
    let shared = Rc::clone(router);
    let slots = router.caller_slots.clone();
    let forwarding = server::serve_with_slots(callers, params, slots, move |request| {
        forward::serve(Rc::clone(&shared), request)
    });
    tokio::task::spawn_local(forwarding);
    let platform = ServerParams {
        max_connections: MAX_PLATFORM_CONNECTIONS,
        ..params
    };
    let ready = sockets::open("readiness", router.settings.ready_listen)?;
    let shared = Rc::clone(router);
    let answering = server::serve(ready, platform, move |_: Request<Incoming>| {
        let response = readiness(&shared);
        async move { Ok::<_, NoAnswer>(response) }
    });
    tokio::task::spawn_local(answering);
    if let Some(address) = router.settings.metrics_listen {
        let listener = sockets::open("metrics", address)?;
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
    // A router whose room is taken accepts nobody until a connection ends: it must not be called ready.
    let has_room = !router.caller_slots.all_taken();
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

impl Router {
    /// True when a request would not end before this process does.
    fn stops_too_soon_for(&self, kind: RequestKind) -> bool {
        let Some(begun) = self.stopping.get() else {
            return false;
        };
        let elapsed = self.clock.now().since(begun);
        if kind.is_stream() {
            return elapsed > LATEST_STREAM_START;
        }
        let stop_limit = self.settings.grace.saturating_sub(EXIT_MARGIN);
        elapsed + MIN_ANSWER_TIME > stop_limit
    }
}

/// Callers learn from the directory and from each answer to go elsewhere; the process ends when
/// they have had the time to, and no request is open.
async fn stop(router: &Rc<Router>) {
    let begun = router.clock.now();
    router.stopping.set(Some(begun));
    router.status_changed.notify_waiters();
    tracing::info!(
        event = "stopping",
        open_requests = router.open_requests.get(),
        "router: stopping"
    );
    let stop_limit = router.settings.grace.saturating_sub(EXIT_MARGIN);
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        let elapsed = router.clock.now().since(begun);
        let is_drained =
            elapsed >= router.settings.directory_max_age && router.open_requests.get() == 0;
        if elapsed >= stop_limit || is_drained {
            break;
        }
    }
    tracing::info!(
        event = "stopped",
        open_requests = router.open_requests.get(),
        "router: stopped"
    );
}
