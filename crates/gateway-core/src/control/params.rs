//! Timeouts, intervals and limits of a control machine.

use std::time::Duration;

use drumshore_consensus::Params;

/// Timeouts, intervals and limits of a control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlParams {
    /// Zone of this machine; empty if unknown.
    pub zone: String,
    /// Capacity of this machine's network link, in bytes per second.
    pub link_bytes_per_second: f64,
    /// Interval between two heartbeats of a back end.
    pub heartbeat: Duration,
    /// Parameters of the replicated log.
    pub consensus: Params,
    /// Interval at which [`super::ControlCore::on_tick`] is called.
    pub tick: Duration,
    /// Minimum number of applied entries between two snapshots.
    pub snapshot_entries: u64,
    /// Target number of voting replicas.
    pub voters: usize,
    /// How long a caller waits for a quorum before it gets [`super::Reply::Unavailable`].
    pub reply_timeout: Duration,
    /// How long orders of a former leader may still arrive; a new leader waits this long before it
    /// sends orders to the same back ends.
    pub order_lease: Duration,
    /// Delay between notifying routers that a back end loads weights and sending it the order.
    pub load_order_delay: Duration,
    /// Time within which back ends must hold new weights after these became the target.
    pub load_deadline: Duration,
    /// A voter that is unresponsive for this long is replaced by a learner.
    pub voter_timeout: Duration,
}

/// Allowance for late heartbeats.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(100);

impl ControlParams {
    /// A running back end sends a heartbeat within this time, even if one heartbeat is lost.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat * 2 + HEARTBEAT_SLACK
    }
}

impl Default for ControlParams {
    fn default() -> Self {
        Self {
            zone: String::new(),
            link_bytes_per_second: 125e6,
            heartbeat: Duration::from_millis(1_200),
            consensus: Params {
                election_ticks: 12,
                first_election_ticks: 2,
                heartbeat_ticks: 3,
                ..Params::default()
            },
            tick: Duration::from_millis(50),
            snapshot_entries: 400,
            voters: 5,
            reply_timeout: Duration::from_millis(850),
            order_lease: Duration::from_millis(3_300),
            load_order_delay: Duration::from_millis(250),
            load_deadline: Duration::from_secs(6),
            voter_timeout: Duration::from_secs(5),
        }
    }
}
