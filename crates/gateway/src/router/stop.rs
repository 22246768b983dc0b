//! The end of a router: it drains its requests after a stop signal, and tells what is open when it exits.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

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
/// How long the tasks of all connections may take to run once more after that.
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

/// Stops the router. The directory no longer lists it, and each answer closes its connection, so that callers move to
/// other routers. Once cached directory answers have expired and no request is open, the connections are closed, and the
/// process ends when all has been sent on them. When the grace period is nearly over, requests that are still open get a
/// final answer.
pub(super) async fn stop(router: &Rc<Router>) {
    let schedule = StopSchedule::of(router.settings.grace);
    let stop_started = router.clock.now();
    router.stopping.set(Some(stop_started));
    router.status_changed.notify_waiters();
    tracing::info!(
        event = "stopping",
        open_requests = router.open_requests.count(),
        "router: received a stop signal; draining open requests"
    );
    router
        .open_requests
        .report(stop_started, MAX_LISTED_REQUESTS, "stopping");
    let since_stop = || router.clock.now().since(stop_started);
    let is_drained =
        || since_stop() >= router.settings.directory_max_age && router.open_requests.count() == 0;
    while since_stop() < schedule.final_answers && !is_drained() {
        let remaining = schedule.final_answers.saturating_sub(since_stop());
        sleep(remaining.min(STOP_CHECK_INTERVAL)).await;
    }
    let connections = &router.caller_connections;
    connections.close();
    // A request that arrived while its connection was being closed is answered like the others.
    while since_stop() < schedule.final_answers && connections.count() > 0 {
        sleep(FLUSH_CHECK_INTERVAL).await;
    }
    if router.open_requests.count() > 0 {
        log_open_requests(router);
        router.exit_notices.final_answers.give();
    }
    while since_stop() < schedule.cuts && connections.count() > 0 {
        sleep(FLUSH_CHECK_INTERVAL).await;
    }
    router.exit_notices.cuts.give();
    while since_stop() < schedule.exit && connections.count() > 0 {
        sleep(FLUSH_CHECK_INTERVAL).await;
    }
    connections.cut();
    // Each task sends what it can before it closes its connection, and many tasks may not have run since the final answers.
    let cut_until = since_stop() + CUT_TIMEOUT;
    while since_stop() < cut_until && connections.count() > 0 {
        sleep(FLUSH_CHECK_INTERVAL).await;
    }
    tracing::info!(
        event = "stopped",
        open_requests = router.open_requests.count(),
        cut_connections = connections.cut_count(),
        "router: stopped serving"
    );
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
