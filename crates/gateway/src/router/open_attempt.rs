//! An attempt in progress at a back end, and what is learned from its end.

use std::rc::Rc;
use std::time::Duration;

use drumshore_core::{Execution, Timestamp};
use drumshore_gateway_core::{Choice, Fingerprint, Outcome};
use hyper::StatusCode;

use super::attempt::AttemptBasis;
use super::crash_detection::{self, BrokenRun};
use super::forward::Call;
use super::{paths, Router};

/// A run whose answer has gone on for this long shows that the parts of its prompt are sound, before it has ended: a part
/// that crashes back ends does so when the answer begins. Streams may last longer than the crashes of a pool.
const PROVEN_AFTER: Duration = Duration::from_secs(2);

/// An attempt in progress at a back end. When dropped, it reports how the attempt ended, so that the number of requests
/// in flight stays correct on every path.
pub(crate) struct OpenAttempt {
    pub router: Rc<Router>,
    pub choice: Choice,
    pub basis: AttemptBasis,
    /// The time within which the answer should begin.
    pub target: Duration,
    answered: bool,
    /// When the answer began; `None` before, or if the back end reported a failure.
    began_to_answer_at: Option<Timestamp>,
    /// Whether the run has shown that the parts of its prompt are sound.
    is_proven: bool,
    outcome: Outcome,
    execution: Execution,
    /// The request as sent.
    pub run: BrokenRun,
}

impl OpenAttempt {
    pub fn new(router: &Rc<Router>, call: &Call, choice: &Choice) -> Self {
        if choice.has_long_prefill() {
            router.loads_changed.send_replace(());
        }
        Self {
            target: call.admission.route.target,
            router: Rc::clone(router),
            choice: choice.clone(),
            basis: AttemptBasis::now(router),
            answered: false,
            began_to_answer_at: None,
            is_proven: false,
            outcome: Outcome::Abandoned,
            execution: Execution::MayHaveRun,
            run: BrokenRun {
                id: call.id.clone(),
                fingerprints: call.fingerprints.clone(),
                sent_at: router.clock.now(),
            },
        }
    }

    /// When the attempt began.
    pub fn began_at(&self) -> Timestamp {
        self.run.sent_at
    }

    /// When the request was sent, once it has a connection.
    pub fn sent_at(&self) -> Timestamp {
        self.began_at().plus(self.basis.connection_wait)
    }

    /// Milliseconds since the request was sent, for logs.
    pub fn sent_ms_ago(&self) -> u64 {
        let now = self.router.clock.now();
        now.since(self.sent_at()).as_millis() as u64
    }

    /// Records that the head of the answer has arrived.
    pub fn answered(&mut self, status: StatusCode) {
        self.on_bytes_received();
        if status.is_success() {
            self.began_to_answer_at = Some(self.router.clock.now());
        }
        let latency = self.router.clock.now().since(self.run.sent_at);
        self.record_answered(Some(latency));
    }

    /// Records that bytes of the answer have arrived.
    pub fn on_bytes_received(&mut self) {
        let now = self.router.clock.now();
        self.choice.last_received_at.set(now);
        let began_at = self.began_to_answer_at;
        let is_long = began_at.is_some_and(|began_at| now.since(began_at) >= PROVEN_AFTER);
        if is_long && !std::mem::replace(&mut self.is_proven, true) {
            self.clear_suspicion(self.run.fingerprints.parts().iter().copied());
        }
    }

    fn record_answered(&mut self, latency: Option<Duration>) {
        if !std::mem::replace(&mut self.answered, true) {
            let now = self.router.clock.now();
            let mut core = self.router.core.borrow_mut();
            core.answered(now, &self.choice, latency, self.target);
            if self.choice.has_long_prefill() {
                self.router.loads_changed.send_replace(());
            }
        }
    }

    /// Records that the back end did not crash during the run, which clears these fingerprints of suspicion.
    fn clear_suspicion(&self, fingerprints: impl Iterator<Item = Fingerprint>) {
        let now = self.router.clock.now();
        for fingerprint in fingerprints {
            let mut core = self.router.core.borrow_mut();
            let was_suspected = core.on_fingerprint_completed(now, fingerprint);
            drop(core);
            if was_suspected {
                tracing::info!(event = "work_cleared", id = %self.run.id, work = %fingerprint, scope = fingerprint.scope().as_str(),
                    instance = %self.choice.instance, "router: a request with a suspected fingerprint ran well");
                self.router.crash_reports_changed.notify_waiters();
            }
        }
    }

    /// Clears what the end of the run shows to be sound. A back end may fail a request before it reads the prompt, so
    /// only an answer is evidence for prompt parts.
    fn record_completed(&self) {
        let fingerprints = &self.run.fingerprints;
        match self.outcome {
            Outcome::Answered if self.began_to_answer_at.is_some() => {
                self.clear_suspicion(fingerprints.iter());
            }
            Outcome::Answered | Outcome::Failed => {
                self.clear_suspicion(fingerprints.request().into_iter())
            }
            _ => {}
        }
    }

    /// Sets how the attempt ended, which is reported when it is dropped.
    pub fn end(&mut self, outcome: Outcome, execution: Execution) {
        self.outcome = outcome;
        self.execution = execution;
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.record_answered(None);
        let now = self.router.clock.now();
        let instance = &self.choice.instance;
        let mut core = self.router.core.borrow_mut();
        let became_unresponsive = core.finished(now, instance, self.run.sent_at, self.outcome);
        drop(core);
        if became_unresponsive {
            tracing::info!(event = "back_end_suspected", %instance, by = "this router",
                outcome = outcome_name(self.outcome), "router: suspecting a back end that became unresponsive");
            self.router.upstreams.close_idle(instance);
        }
        if became_unresponsive || self.outcome == Outcome::Unreachable {
            paths::check(&self.router, instance);
        }
        self.router
            .metrics
            .count_attempt(outcome_name(self.outcome));
        self.record_completed();
        if self.outcome == Outcome::Broken && self.execution != Execution::NotRun {
            let address = &self.choice.address;
            crash_detection::probe(&self.router, instance, address, self.run.clone());
        }
    }
}

/// Milliseconds since this router last received bytes from a back end, for logs; `None` if it never did.
pub(super) fn received_ms_ago(router: &Router, choice: &Choice) -> Option<u64> {
    let received_at = choice.last_received_at.get();
    let ago = router.clock.now().since(received_at);
    (received_at != Timestamp::default()).then_some(ago.as_millis() as u64)
}

/// The name of an outcome in logs and metrics.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Failed => "failed",
        Outcome::Shed => "shed",
        Outcome::Misdirected => "misdirected",
        Outcome::OtherWeights => "other_weights",
        Outcome::NoFreeConnection => "no_free_connection",
        Outcome::Unreachable => "unreachable",
        Outcome::Withheld => "withheld",
        Outcome::Broken => "broken",
        Outcome::LimitExceeded => "limit_exceeded",
        Outcome::TimedOut => "timed_out",
        Outcome::Abandoned => "abandoned",
    }
}
