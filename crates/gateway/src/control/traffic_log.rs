//! Periodic log lines with the traffic and the scheduling delay of a control machine, and its periodic gauges.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::{back_end_speeds, Control};

/// Interval between the lines.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the bytes sent to other processes once per interval, and the delay of the line itself: an overloaded control
/// machine shows in this delay first. Sets the gauges of tenants' demand as often.
pub(super) async fn log_periodically(control: Rc<Control>) {
    let mut last_logged = Instant::now();
    loop {
        tokio::time::sleep(TRAFFIC_INTERVAL).await;
        let delay = last_logged.elapsed().saturating_sub(TRAFFIC_INTERVAL);
        last_logged = Instant::now();
        control.record_demands();
        let recent = control.traffic.take_recent();
        back_end_speeds::update_gauges(&control);
        let core = control.core.borrow();
        let Some(core) = core.as_ref() else {
            continue;
        };
        tracing::info!(event = "traffic", late_ms = delay.as_millis() as u64, sent = %recent,
            most_queued_bytes = recent.most_queued_bytes, dropped = recent.dropped,
            routers = control.routers.borrow().len(), log_entries = core.log_length(),
            revision = core.state().revision(), back_ends = core.state().instances().count(),
            "control: sent this traffic to other processes since the last line");
    }
}
