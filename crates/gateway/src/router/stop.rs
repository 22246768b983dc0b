//! The end of a router: it drains its requests after a stop signal, and tells what is open when it exits.

use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use tokio::time::sleep;

use super::exit_notice::pass_turns;
use super::Router;

/// All requests are answered this long before the end of the grace period, when the process would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Shorter grace periods have a shorter margin, this part of them.
const MAX_EXIT_MARGIN_PART: u32 = 8;
/// After this part of the margin answers that have not ended are cut.
const CUT_PART: u32 = 4;
/// After this part of the margin the process exits, whatever has been sent by then.
const EXIT_PART: u32 = 2;
/// For so long after the stop signal requests are admitted that may outlast the process: their callers cannot know yet
/// that it stops.
const UNBOUNDED_ADMISSION: Duration = Duration::from_millis(2_800);
/// Of shorter grace periods, this part.
const MAX_UNBOUNDED_ADMISSION_PART: f64 = 0.35;
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Turns of a late event loop in which answers that have arrived are forwarded, from the cuts to the end of connections.
const MAX_TURNS_BEFORE_CUT: usize = 32;
/// How long the tasks of all connections may take to run once more when these are cut.
const CUT_TIMEOUT: Duration = Duration::from_secs(1);
/// Lines about single requests at the stop signal, and again at the exit.
const MAX_LISTED_REQUESTS: usize = 100;

/// What happens when, as times after the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StopSchedule {
    /// Until then, requests are admitted whatever their time limit.
    unbounded_admission: Duration,
    /// All requests whose answers have not begun get a final answer then.
    final_answers: Duration,
    /// Answers that have not ended are cut then.
    cuts: Duration,
    /// The process exits then, at the latest.
    exit: Duration,
}

impl StopSchedule {
    fn of(grace: Duration) -> Self {
        let margin = EXIT_MARGIN.min(grace / MAX_EXIT_MARGIN_PART);
        Self {
            unbounded_admission: grace
                .mul_f64(MAX_UNBOUNDED_ADMISSION_PART)
                .min(UNBOUNDED_ADMISSION),
            final_answers: grace - margin,
            cuts: grace - margin + margin / CUT_PART,
            exit: grace - margin + margin / EXIT_PART,
        }
    }
}

impl Router {
    /// Whether a request that must be answered within `time_limit` ends before the process does; true unless the process
    /// is stopping.
    pub(super) fn can_answer_before_exit(&self, time_limit: Duration) -> bool {
        let Some(stop_started) = self.stopping.get() else {
            return true;
        };
        let elapsed = self.clock.now().since(stop_started);
        let schedule = StopSchedule::of(self.settings.grace);
        elapsed <= schedule.unbounded_admission || elapsed + time_limit <= schedule.final_answers
    }

    /// Logs and counts a request that was admitted after the stop signal.
    pub(super) fn log_admission_while_stopping(&self, id: &str, route: &str, time_limit: Duration) {
        let Some(stop_started) = self.stopping.get() else {
            return;
        };
        self.metrics.stop.admitted_while_stopping.inc();
        let elapsed = self.clock.now().since(stop_started);
        let exits_in = StopSchedule::of(self.settings.grace)
            .exit
            .saturating_sub(elapsed);
        tracing::info!(event = "request_admitted", %id, route, time_limit_ms = time_limit.as_millis() as u64,
            stopping_for_ms = elapsed.as_millis() as u64, exits_in_ms = exits_in.as_millis() as u64,
            "router: admitted a request while the process stops");
    }
}

/// A stop in progress.
struct Stop<'a> {
    router: &'a Router,
    started: Timestamp,
}

impl Stop<'_> {
    fn elapsed(&self) -> Duration {
        self.router.clock.now().since(self.started)
    }

    /// Whether no caller can come by a cached directory answer, and no request is open.
    fn is_drained(&self) -> bool {
        let is_unlisted = self.elapsed() >= self.router.settings.directory_max_age;
        is_unlisted && self.router.open_requests.count() == 0
    }

    fn are_connections_closed(&self) -> bool {
        self.router.caller_connections.count() == 0
    }

    /// Waits until `limit` after the stop signal, or until `is_done`.
    async fn wait(&self, limit: Duration, interval: Duration, is_done: impl Fn(&Self) -> bool) {
        while !is_done(self) {
            let remaining = limit.saturating_sub(self.elapsed());
            if remaining.is_zero() {
                return;
            }
            sleep(remaining.min(interval)).await;
        }
    }

    /// Lets all tasks run in so many turns of the event loop, or until `is_done`.
    async fn pass_turns(&self, turns: usize, is_done: impl Fn(&Self) -> bool) {
        for _ in 0..turns {
            if is_done(self) {
                return;
            }
            pass_turns(1).await;
        }
    }
}

/// Stops the router. The directory no longer lists it, and each answer closes its connection, so that callers move to
/// other routers. Once cached directory answers have expired and no request is open, the connections are closed, and the
/// process ends when all has been sent on them. When the grace period is nearly over, requests that are still open get a
/// final answer.
pub(super) async fn stop(router: &Rc<Router>) {
    let schedule = StopSchedule::of(router.settings.grace);
    let stop = Stop {
        router,
        started: router.clock.now(),
    };
    router.stopping.set(Some(stop.started));
    router.status_changed.notify_waiters();
    log_stopping(&stop);
    let (connections, notices) = (&router.caller_connections, &router.exit_notices);
    let (closed, interval) = (Stop::are_connections_closed, FLUSH_CHECK_INTERVAL);
    let drained = Stop::is_drained;
    stop.wait(schedule.final_answers, STOP_CHECK_INTERVAL, drained)
        .await;
    connections.close();
    // A request that arrived while its connection was being closed is answered like the others.
    stop.wait(schedule.final_answers, interval, closed).await;
    if router.open_requests.count() > 0 {
        log_open_requests(router);
    }
    notices.final_answers.give();
    stop.wait(schedule.cuts, interval, closed).await;
    notices.cuts.give();
    stop.wait(schedule.exit, interval, closed).await;
    stop.pass_turns(MAX_TURNS_BEFORE_CUT, closed).await;
    connections.cut();
    // Each task sends what it can before it closes its connection, and many tasks may not have run since the final answers.
    let all_have_run = stop.elapsed() + CUT_TIMEOUT;
    stop.wait(all_have_run, interval, closed).await;
    tracing::info!(
        event = "stopped",
        open_requests = router.open_requests.count(),
        cut_connections = connections.cut_count(),
        "router: stopped serving"
    );
}

fn log_stopping(stop: &Stop<'_>) {
    let open = &stop.router.open_requests;
    tracing::info!(
        event = "stopping",
        open_requests = open.count(),
        "router: received a stop signal; draining open requests"
    );
    open.report(stop.started, MAX_LISTED_REQUESTS, "stopping");
}

/// Logs and counts the requests that are open when the time to stop is over.
fn log_open_requests(router: &Router) {
    let now = router.clock.now();
    let open = &router.open_requests;
    let by_stage = open.report(now, MAX_LISTED_REQUESTS, "exiting");
    for (stage, requests) in by_stage {
        router
            .metrics
            .stop
            .count_open_at_exit(stage.as_str(), requests);
    }
    let [receiving, unsent, sent, answering] = by_stage.map(|(_, requests)| requests);
    tracing::info!(
        event = "exiting",
        open_requests = open.count(),
        receiving,
        unsent,
        sent,
        answering,
        "router: the time to stop is nearly over; sending final answers to open requests"
    );
}

#[cfg(test)]
#[path = "stop_tests.rs"]
mod tests;
