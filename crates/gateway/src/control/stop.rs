//! The end of a control machine: it hands its leadership over, and answers the calls that wait.

use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::Control;
use crate::open_connections::Connections;

/// Time between the start of the leadership transfer and the end of the process.
const LEADERSHIP_TRANSFER: Duration = Duration::from_millis(400);
/// How long sending the last answers may take.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Stops a control machine. Calls that are not decided when it ends are answered as unavailable, so that their callers
/// ask another machine.
pub(super) async fn stop(control: &Control) {
    tracing::info!(
        event = "stopping",
        open_calls = control.waiting.borrow().len(),
        "control: received a stop signal; transferring leadership"
    );
    control.with_core(|core, _| core.step_down());
    sleep(LEADERSHIP_TRANSFER).await;
    let undecided = std::mem::take(&mut *control.waiting.borrow_mut());
    let undecided_calls = undecided.len();
    drop(undecided);
    let callers = control.callers.borrow().clone();
    for connections in &callers {
        connections.close();
    }
    let open = || -> usize { callers.iter().map(Connections::count).sum() };
    let until = Instant::now() + FLUSH_TIMEOUT;
    while open() > 0 && Instant::now() < until {
        sleep(FLUSH_CHECK_INTERVAL).await;
    }
    tracing::info!(
        event = "stopped",
        undecided_calls,
        cut_connections = open(),
        "control: stopped serving"
    );
}
