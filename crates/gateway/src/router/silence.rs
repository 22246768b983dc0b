//! Detects back ends that have fallen silent while requests are in flight there.
//!
//! A machine without power or network closes no connection, and the kernel reports a connection as dead only after
//! seconds. When nothing has arrived from a back end for about a request's target, the router therefore opens a
//! new connection to it: a working back end accepts one within a network round trip, however busy it is. A back end
//! that does not is avoided by this router. A sound one may be silent for a second or so and then go on, so only one that
//! stays silent for longer, while others accept connections, is reported to all routers, and requests that may run twice
//! are sent elsewhere.
//! Requests that may run only once keep waiting, because the back end may have run them and may still answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{Choice, InstanceId};
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{paths, Router};
use crate::sockets;

/// Silence before the first probe, if the request's target is shorter. Streams send an event every few tens of
/// milliseconds, but a request in flight alone receives nothing while long prompts ahead of it are prefilled.
const MIN_SILENCE: Duration = Duration::from_millis(400);
/// Silence before the first probe, if the request's target is longer. This router may have lost its path, which has to be
/// known long before a slow request would be late.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// A working machine accepts a connection within a network round trip of a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Connection attempts that must fail in a row before a back end is avoided: one packet may be lost.
const FAILED_PROBES: usize = 2;
/// A sound back end may be silent for a shorter time than this.
const MAX_SOUND_SILENCE: Duration = Duration::from_secs(2);
/// After a successful probe, the back end is not probed again for this long.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The back ends with requests in flight that wait to learn whether the back end is silent.
#[derive(Default)]
pub(super) struct SilenceMonitor(RefCell<HashMap<InstanceId, Watched>>);

struct Watched {
    /// Notifies the requests in flight that the back end is silent. Dropped with the last of them.
    silent: Weak<Notify>,
    probing: bool,
    /// When the last probe succeeded.
    alive_at: Option<Timestamp>,
}

/// One request's interest in whether its back end is silent.
pub(super) struct Watch {
    router: Rc<Router>,
    instance: InstanceId,
    address: String,
    last_received_at: Rc<Cell<Timestamp>>,
    patience: Duration,
    silent: Rc<Notify>,
}

impl SilenceMonitor {
    /// The notification for requests in flight at a back end.
    fn notification(&self, instance: &InstanceId) -> Rc<Notify> {
        let mut watched = self.0.borrow_mut();
        watched.retain(|_, entry| entry.probing || entry.silent.strong_count() > 0);
        if let Some(notify) = watched
            .get(instance)
            .and_then(|entry| entry.silent.upgrade())
        {
            return notify;
        }
        let notify = Rc::new(Notify::new());
        let entry = watched.entry(instance.clone()).or_insert(Watched {
            silent: Weak::new(),
            probing: false,
            alive_at: None,
        });
        entry.silent = Rc::downgrade(&notify);
        notify
    }

    /// The requests in flight at a back end that wait to learn whether it is silent.
    fn waiting_requests(&self, instance: &InstanceId) -> usize {
        let watched = self.0.borrow();
        let entry = watched.get(instance);
        entry.map_or(0, |entry| entry.silent.strong_count())
    }

    /// Marks a back end as being probed; false if it is being probed already or was found alive recently.
    fn begin_probe(&self, now: Timestamp, instance: &InstanceId) -> bool {
        let mut watched = self.0.borrow_mut();
        let Some(entry) = watched.get_mut(instance) else {
            return false;
        };
        let is_recent = entry
            .alive_at
            .is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        if entry.probing || is_recent {
            return false;
        }
        entry.probing = true;
        true
    }

    /// Ends a probe; notifies the requests in flight if the back end is silent.
    fn end_probe(&self, now: Timestamp, instance: &InstanceId, finding: Finding) {
        let mut watched = self.0.borrow_mut();
        let Some(entry) = watched.get_mut(instance) else {
            return;
        };
        entry.probing = false;
        match finding {
            Finding::Silent => {
                if let Some(silent) = entry.silent.upgrade() {
                    silent.notify_waiters();
                }
            }
            Finding::Alive | Finding::Sending => entry.alive_at = Some(now),
            Finding::PathInDoubt => {}
        }
    }
}

impl Watch {
    /// Watches the back end of a request whose answer should begin within `target`.
    pub fn new(router: &Rc<Router>, choice: &Choice, target: Duration) -> Self {
        Self {
            router: Rc::clone(router),
            instance: choice.instance.clone(),
            address: choice.address.clone(),
            last_received_at: Rc::clone(&choice.last_received_at),
            patience: target.clamp(MIN_SILENCE, MAX_SILENCE),
            silent: router.silence_monitor.notification(&choice.instance),
        }
    }

    /// Waits until the back end is found silent, as [`Watch::silent`]. Unless `may_move`, probes it alike but never
    /// returns: the request has to keep waiting.
    pub async fn silent_if(&self, since: Timestamp, may_move: bool) {
        self.silent(since).await;
        if !may_move {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the back end is found silent. `since` is when the request was sent.
    pub async fn silent(&self, since: Timestamp) {
        let notified = self.silent.notified();
        tokio::pin!(notified);
        loop {
            tokio::select! {
                () = &mut notified => return,
                () = sleep(self.remaining_patience(since)) => self.probe_if_silent(since),
            }
        }
    }

    /// Time until the back end has been silent for too long; at least a probe's time, so that probes do not spin.
    fn remaining_patience(&self, since: Timestamp) -> Duration {
        let silence = self.silence(since);
        self.patience.saturating_sub(silence).max(CONNECT_TIMEOUT)
    }

    fn silence(&self, since: Timestamp) -> Duration {
        let last = self.last_received_at.get().max(since);
        self.router.clock.now().since(last)
    }

    fn probe_if_silent(&self, since: Timestamp) {
        let now = self.router.clock.now();
        if self.silence(since) < self.patience
            || !self.router.silence_monitor.begin_probe(now, &self.instance)
        {
            return;
        }
        let silence = self.silence(since);
        let probe = Probe {
            router: Rc::clone(&self.router),
            instance: self.instance.clone(),
            address: self.address.clone(),
            last_received_at: Rc::clone(&self.last_received_at),
            began: now,
            silence,
            connects: Cell::new(0),
        };
        tokio::task::spawn_local(async move {
            let finding = probe.run().await;
            on_probed(&probe, finding);
        });
    }
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// It accepts connections, or its process has ended and the connections to it are reset.
    Alive,
    /// Bytes arrived from it during the probe.
    Sending,
    /// It accepts no connection, and nothing was received from it, for longer than a sound one may be silent.
    Silent,
    /// It accepts no connection, and neither do others: this router's own path may be the cause.
    PathInDoubt,
}

impl Finding {
    fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Sending => "sending",
            Self::Silent => "silent",
            Self::PathInDoubt => "path_in_doubt",
        }
    }
}

/// A probe of one back end.
struct Probe {
    router: Rc<Router>,
    instance: InstanceId,
    address: String,
    last_received_at: Rc<Cell<Timestamp>>,
    began: Timestamp,
    /// How long nothing had been received when the probe began.
    silence: Duration,
    /// Connections that it has tried to open.
    connects: Cell<usize>,
}

impl Probe {
    /// Tries to connect until the back end accepts, sends something, or has been silent for longer than a sound one may
    /// be.
    async fn run(&self) -> Finding {
        let Ok(address) = self.address.parse::<SocketAddr>() else {
            return Finding::Alive;
        };
        for failed in 1.. {
            self.connects.set(failed);
            match sockets::connect(address, CONNECT_TIMEOUT).await {
                Ok(_) => {
                    let mut core = self.router.core.borrow_mut();
                    core.stop_avoiding(&self.instance);
                    return Finding::Alive;
                }
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
                // The machine is reachable, and the connections of a process that has ended are reset.
                Err(_) => return Finding::Alive,
            }
            if self.last_received_at.get() > self.began {
                let mut core = self.router.core.borrow_mut();
                core.stop_avoiding(&self.instance);
                return Finding::Sending;
            }
            let now = self.router.clock.now();
            if failed >= FAILED_PROBES {
                self.router.core.borrow_mut().avoid(now, &self.instance);
                paths::check(&self.router, &self.instance);
                if self.silence + now.since(self.began) >= MAX_SOUND_SILENCE {
                    return self.compare(address).await;
                }
            }
        }
        Finding::Alive
    }

    /// Whether another back end accepts a connection while this one does not.
    async fn compare(&self, address: SocketAddr) -> Finding {
        let others = paths::reaches_others(&self.router, &self.instance);
        let connecting = sockets::connect(address, CONNECT_TIMEOUT);
        let (reaches_others, connected) = tokio::join!(others, connecting);
        self.connects.set(self.connects.get() + 1);
        let is_sending = self.last_received_at.get() > self.began;
        if connected.is_ok() || is_sending {
            let mut core = self.router.core.borrow_mut();
            core.stop_avoiding(&self.instance);
        }
        match (connected.is_ok(), is_sending, reaches_others) {
            (true, _, _) => Finding::Alive,
            (_, true, _) => Finding::Sending,
            (_, _, Some(true)) => Finding::Silent,
            (_, _, Some(false) | None) => Finding::PathInDoubt,
        }
    }
}

fn on_probed(probe: &Probe, finding: Finding) {
    let (router, instance) = (&probe.router, &probe.instance);
    let now = router.clock.now();
    let is_silent = finding == Finding::Silent;
    router.metrics.count_back_end_probed(finding.as_str());
    tracing::info!(event = "back_end_probed", %instance, finding = finding.as_str(), silence_ms = probe.silence.as_millis() as u64,
        connects = probe.connects.get(), requests = router.silence_monitor.waiting_requests(instance), event_loop_late_ms = router.event_loop_delay.late_ms(),
                "router: probed a back end that sent nothing while requests were in flight");
    if is_silent {
        router.core.borrow_mut().on_silent(now, instance);
        router.upstreams.close_idle(instance);
        paths::check(router, instance);
    }
    router.silence_monitor.end_probe(now, instance, finding);
}
