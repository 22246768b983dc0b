//! The end of a control machine: it hands its leadership over, and answers the calls that wait.

use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::Control;
use crate::open_connections::Connections;

/// Time between the start of the leadership transfer and the end of the process.
const LEADERSHIP_TRANSFER: Duration = Duration::from_millis(400);
/// How long calls may take whose bodies are still arriving then.
const LAST_CALLS: Duration = Duration::from_millis(150);
/// How long sending the last answers may take.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);
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
    let mut undecided_calls = answer_undecided(control);
    let callers = control.callers.borrow().clone();
    for connections in &callers {
        connections.close();
    }
    wait_until_closed(&callers, LAST_CALLS).await;
    undecided_calls += answer_undecided(control);
    wait_until_closed(&callers, FLUSH_TIMEOUT).await;
    tracing::info!(
        event = "stopped",
        undecided_calls,
        cut_connections = open_connections(&callers),
        "control: stopped serving"
    );
}

/// Lets the calls that wait for a decision be answered as unavailable; returns how many there were.
fn answer_undecided(control: &Control) -> usize {
    let undecided = std::mem::take(&mut *control.waiting.borrow_mut());
    undecided.len()
}

async fn wait_until_closed(callers: &[Connections], limit: Duration) {
    let until = Instant::now() + limit;
    while open_connections(callers) > 0 && Instant::now() < until {
        sleep(FLUSH_CHECK_INTERVAL).await;
    }
}

fn open_connections(callers: &[Connections]) -> usize {
    callers.iter().map(Connections::count).sum()
}
