//! What a control machine's core asks its driver to do.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::order::Order;
use super::{ConnectionId, LoadPlan, Reply, SpeedChange, Ticket};
use crate::{Command, CrashEvidence, Fingerprint, InstanceId, Message, VerdictCounts};

/// A router's report of a crashed back end, summed over the fingerprints that it was serving.
#[derive(Clone, Copy, Debug)]
pub struct CrashReported {
    /// The back end's key, see [`crate::LoadEntry::key_of`].
    pub back_end: u32,
    /// The time since the crash, by the router's report.
    pub age: Duration,
    /// How many fingerprints the crash counts against, and why not against the others.
    pub verdicts: VerdictCounts,
    /// The incidents counted for the fingerprint with the most of them.
    pub most_crashes: u32,
}

impl CrashReported {
    pub(super) fn new(back_end: u32, age: Duration) -> Self {
        Self {
            back_end,
            age,
            verdicts: VerdictCounts::default(),
            most_crashes: 0,
        }
    }

    pub(super) fn add(&mut self, evidence: CrashEvidence) {
        self.verdicts.add(evidence.verdict);
        self.most_crashes = self.most_crashes.max(evidence.crashes);
    }
}

/// An output of the core for its driver to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another control machine.
    ToControl(Ipv4Addr, Message),
    /// Send a message to a router.
    ToRouter(ConnectionId, Message),
    /// Send the same message to several routers; encode it only once.
    ToRouters(Vec<ConnectionId>, Message),
    /// Reply to a caller.
    Reply(Ticket, Reply),
    /// Log that a command changed the state. A configuration comes without its body.
    Applied {
        /// Index of the log entry.
        position: u64,
        /// The command that was applied.
        command: Command,
    },
    /// Log that another back end crashed while serving requests with a fingerprint.
    FingerprintSuspected {
        /// The request fingerprint.
        fingerprint: Fingerprint,
        /// Distinct moments at which back ends crashed.
        crashes: u32,
    },
    /// Log a router's report of a crashed back end.
    CrashReported(CrashReported),
    /// Log that the levels of tenants' accounts are withheld from routers, or no longer are.
    AccountLevelsWithheld(bool),
    /// Log a new estimate of speed.
    SpeedChanged(SpeedChange),
    /// Log that another machine sent a message for routers that must not be passed on.
    NewsRefused,
    /// Log that a back end is taken out of service to load weights.
    LoadPlanned(LoadPlan),
    /// Send an order to a back end; its outcome goes to [`super::ControlCore::on_order_outcome`].
    Order(Order),
    /// Request a report from a back end; it goes to [`super::ControlCore::on_report`].
    RequestReport {
        /// The incarnation that is to answer.
        instance: InstanceId,
        /// Where it listens, IP:PORT.
        address: String,
    },
}
