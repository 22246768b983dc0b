//! Bounds and periods of a control machine.

use std::time::Duration;

use drumshore_consensus::Params;

/// Bounds and periods of a control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlParams {
    /// The zone of this machine; empty when it is not known.
    pub zone: String,
    /// What this machine's link to the network carries in a second, in bytes.
    pub link_bytes_per_second: f64,
    /// Between two heartbeats of a back end.
    pub heartbeat: Duration,
    /// Of the replicated log.
    pub consensus: Params,
    /// How often [`ControlCore::on_tick`] is called.
    pub tick: Duration,
    /// Entries applied between two snapshots, at least.
    pub snapshot_entries: u64,
    /// Replicas that vote, when as many are there.
    pub voters: usize,
    /// How long a caller waits for a quorum.
    pub patience: Duration,
    /// How long a former leader's orders may still arrive; a new one waits that long.
    pub order_lease: Duration,
    /// Between telling routers that a back end loads weights and ordering it to.
    pub load_notice: Duration,
    /// Back ends hold new weights within this time after they were named.
    pub load_deadline: Duration,
    /// A voter that was silent this long gives way to a replica that waits to vote.
    pub voter_silence: Duration,
}

/// Heartbeats may come late by this much.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(100);

impl ControlParams {
    /// A back end that sends heartbeats is heard within this time, also when one of them is lost.
    pub fn two_heartbeats(&self) -> Duration {
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
            patience: Duration::from_millis(850),
            order_lease: Duration::from_millis(3_300),
            load_notice: Duration::from_millis(250),
            load_deadline: Duration::from_secs(6),
            voter_silence: Duration::from_secs(5),
        }
    }
}
