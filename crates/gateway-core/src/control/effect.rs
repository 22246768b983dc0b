//! What a control machine's core asks its driver to do.

use std::net::Ipv4Addr;

use super::order::Order;
use super::{ConnectionId, LoadPlan, Reply, SpeedChange, Ticket};
use crate::{Command, Fingerprint, InstanceId, Message};

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
