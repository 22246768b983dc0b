//! The admission queues of one router: one for each pool, with common bounds, and the decisions about waiting requests
//! that have not been handed out yet.

use std::collections::HashMap;

use super::admission_queue::{AdmissionQueue, WaitTicket};
use super::ChoiceError;
use crate::PoolName;

/// Requests of all pools that may wait at the same time.
const MAX_WAITING_REQUESTS: usize = 256;
/// Memory that the bodies of the waiting requests may take.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// The end of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitDecision {
    /// The request that waited.
    pub ticket: WaitTicket,
    /// `None` if a back end is to be chosen for it now, otherwise why it is refused.
    pub refused: Option<ChoiceError>,
}

/// See the module.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueues {
    by_pool: HashMap<PoolName, AdmissionQueue>,
    last_ticket: u64,
    decisions: Vec<WaitDecision>,
}

impl AdmissionQueues {
    pub fn queue(&mut self, pool: &PoolName) -> &mut AdmissionQueue {
        self.by_pool.entry(pool.clone()).or_default()
    }

    /// Pools for which requests wait.
    pub fn pools_with_waiting(&self) -> Vec<PoolName> {
        let waiting = self.by_pool.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Number of waiting requests by pool.
    pub fn lengths(&self) -> impl Iterator<Item = (&PoolName, usize)> {
        self.by_pool.iter().map(|(pool, queue)| (pool, queue.len()))
    }

    /// False when the bounds leave no room for a further request with a body of this size.
    pub fn have_room_for(&self, body_bytes: usize) -> bool {
        let requests: usize = self.by_pool.values().map(AdmissionQueue::len).sum();
        let bytes: usize = self.by_pool.values().map(AdmissionQueue::bytes).sum();
        requests < MAX_WAITING_REQUESTS && bytes + body_bytes <= MAX_WAITING_BYTES
    }

    pub fn new_ticket(&mut self) -> WaitTicket {
        self.last_ticket += 1;
        WaitTicket(self.last_ticket)
    }

    /// Removes a request whose caller has left.
    pub fn remove(&mut self, ticket: WaitTicket) {
        for queue in self.by_pool.values_mut() {
            queue.remove(ticket);
        }
        self.decisions.retain(|decision| decision.ticket != ticket);
    }

    /// Removes all requests; returns their tickets.
    pub fn take_all(&mut self) -> Vec<WaitTicket> {
        let queues = self.by_pool.values_mut();
        queues.flat_map(AdmissionQueue::take_all).collect()
    }

    pub fn let_in(&mut self, tickets: impl IntoIterator<Item = WaitTicket>) {
        let decisions = tickets.into_iter().map(|ticket| WaitDecision {
            ticket,
            refused: None,
        });
        self.decisions.extend(decisions);
    }

    pub fn refuse(&mut self, ticket: WaitTicket, error: ChoiceError) {
        self.decisions.push(WaitDecision {
            ticket,
            refused: Some(error),
        });
    }

    pub fn take_decisions(&mut self) -> Vec<WaitDecision> {
        std::mem::take(&mut self.decisions)
    }
}
