//! Requests that wait at this router until the core lets them in, see `RouterCore::enter`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{Arrival, ChoiceError, Entry, WaitDecision, WaitEstimate, WaitTicket};
use tokio::sync::oneshot;

use super::forward::Call;
use super::Router;

/// Interval at which the core is asked for decisions while requests wait.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request was not let in. It has not run.
#[derive(Clone, Copy, Debug)]
pub(super) enum NotLetIn {
    /// The core refused it.
    Refused(ChoiceError),
    /// The router is stopping.
    Stopping,
}

type Verdict = Result<(), NotLetIn>;

/// The waiting requests of a router.
#[derive(Debug, Default)]
pub(super) struct AdmissionWaits {
    verdicts: RefCell<HashMap<WaitTicket, oneshot::Sender<Verdict>>>,
    /// True while a task asks the core for decisions.
    is_advancing: Cell<bool>,
}

/// Frees the place of a request that waits, also when its caller disconnects.
struct WaitingCall<'a> {
    router: &'a Rc<Router>,
    call: &'a Call,
    entered: Timestamp,
    estimate: WaitEstimate,
    ticket: WaitTicket,
    has_verdict: bool,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.router
            .admission_waits
            .verdicts
            .borrow_mut()
            .remove(&self.ticket);
        if !self.has_verdict {
            self.router.core.borrow_mut().leave_queue(self.ticket);
            record_end(self.router, self.call, self.entered, self.estimate, "left");
        }
    }
}

/// Completes when the request is let in or refused.
pub(super) async fn wait_turn(router: &Rc<Router>, call: &Call) -> Result<(), NotLetIn> {
    let entered = router.clock.now();
    let arrival = Arrival {
        received: call.received,
        deadline: call.deadline,
        body_bytes: call.body.len(),
        fingerprint: call.fingerprint,
        may_wait: router.stopping.get().is_none(),
    };
    let prompt = call.prompt.as_ref();
    let entry = router
        .core
        .borrow_mut()
        .enter(entered, &call.admission, prompt, arrival);
    router.admission_waits.deliver(router);
    match entry {
        Entry::LetIn => Ok(()),
        Entry::Refused(error, estimate) => {
            if let Some(estimate) = estimate {
                log_wait(router, call, entered, estimate, "refused_at_once");
            }
            Err(NotLetIn::Refused(error))
        }
        Entry::Waits(ticket, estimate) => {
            let mut waiting = WaitingCall {
                router,
                call,
                entered,
                estimate,
                ticket,
                has_verdict: false,
            };
            let verdict = waiting.verdict().await;
            let outcome = match verdict {
                Ok(()) => "let_in",
                Err(NotLetIn::Refused(_)) => "refused",
                Err(NotLetIn::Stopping) => "stopping",
            };
            record_end(router, call, entered, estimate, outcome);
            verdict
        }
    }
}

impl WaitingCall<'_> {
    async fn verdict(&mut self) -> Verdict {
        let (sender, receiver) = oneshot::channel();
        let waits = &self.router.admission_waits;
        waits.verdicts.borrow_mut().insert(self.ticket, sender);
        advance_while_waiting(self.router);
        let verdict = receiver.await.unwrap_or(Err(NotLetIn::Stopping));
        self.has_verdict = true;
        verdict
    }
}

impl AdmissionWaits {
    /// Wakes the requests that the core has decided about, and updates the gauges.
    fn deliver(&self, router: &Router) {
        let decisions = router.core.borrow_mut().take_wait_decisions();
        for WaitDecision { ticket, refused } in decisions {
            let verdict = refused.map_or(Ok(()), |error| Err(NotLetIn::Refused(error)));
            self.wake(ticket, verdict);
        }
    }

    fn wake(&self, ticket: WaitTicket, verdict: Verdict) {
        if let Some(sender) = self.verdicts.borrow_mut().remove(&ticket) {
            let _ = sender.send(verdict);
        }
    }

    /// Refuses all waiting requests, because the router is stopping.
    pub fn stop(&self, router: &Router) {
        let tickets = router.core.borrow_mut().stop_waiting();
        for ticket in tickets {
            self.wake(ticket, Err(NotLetIn::Stopping));
        }
    }
}

/// Runs a task that asks the core for decisions until no request waits.
fn advance_while_waiting(router: &Rc<Router>) {
    if router.admission_waits.is_advancing.replace(true) {
        return;
    }
    let router = Rc::clone(router);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(ADVANCE_INTERVAL).await;
            let now = router.clock.now();
            router.core.borrow_mut().advance_queues(now);
            router.admission_waits.deliver(&router);
            let waiting = set_gauges(&router);
            if waiting == 0 {
                break;
            }
        }
        router.admission_waits.is_advancing.set(false);
    });
}

/// Sets the numbers of waiting requests by pool; returns their sum.
fn set_gauges(router: &Router) -> usize {
    let core = router.core.borrow();
    let mut sum = 0;
    for (pool, waiting) in core.waiting_requests() {
        router.metrics.set_waiting(pool.as_str(), waiting);
        sum += waiting;
    }
    sum
}

/// Counts and logs a request whose wait has ended.
fn record_end(
    router: &Router,
    call: &Call,
    entered: Timestamp,
    estimate: WaitEstimate,
    outcome: &'static str,
) {
    let waited = router.clock.now().since(entered);
    router.metrics.count_admission_wait(outcome);
    router.metrics.admission_wait.observe(waited.as_secs_f64());
    log_wait(router, call, entered, estimate, outcome);
}

fn log_wait(
    router: &Router,
    call: &Call,
    entered: Timestamp,
    estimate: WaitEstimate,
    outcome: &'static str,
) {
    let waited = router.clock.now().since(entered);
    tracing::info!(event = "admission_wait", id = %call.id, route = %call.admission.route.name,
        priority = call.admission.priority, outcome, place = estimate.position,
        will_be_late = estimate.is_late, slack_ms = estimate.slack.as_millis() as u64, predicted_ms = estimate.wait.as_millis() as u64,
        waited_ms = waited.as_millis() as u64,
        time_left_ms = call.deadline.since(call.received).as_millis() as u64,
        "router: a request had to wait for an overloaded pool");
}
