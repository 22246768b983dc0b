//! A line that tells what a control machine sends, and how far behind it is.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::Control;

/// Between two lines that tell what is sent to other processes.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(1);

/// One line a second of what is sent to other processes, and how late this one is: a control machine that has
/// too much to do shows it here before anything else.
pub(super) async fn log_periodically(control: Rc<Control>) {
    let mut last_logged = Instant::now();
    loop {
        tokio::time::sleep(TRAFFIC_INTERVAL).await;
        let delay = last_logged.elapsed().saturating_sub(TRAFFIC_INTERVAL);
        last_logged = Instant::now();
        let recent = control.traffic.take_recent();
        let core = control.core.borrow();
        let Some(core) = core.as_ref() else {
            continue;
        };
        tracing::info!(event = "traffic", late_ms = delay.as_millis() as u64, sent = %recent,
            most_queued_bytes = recent.most_queued_bytes, dropped = recent.dropped,
            routers = control.routers.borrow().len(), log_entries = core.log_length(),
            revision = core.state().revision(), back_ends = core.state().instances().count(),
            "control: bytes sent to other processes");
    }
}
