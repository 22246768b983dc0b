//! Counts the bytes of clients that a process holds, against one limit for all of them.

use std::cell::Cell;
use std::rc::Rc;

use prometheus_client::metrics::gauge::Gauge;

use crate::metrics::ClientMetrics;

/// Bytes of clients that are held, and their limit.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    limit: usize,
    held: Cell<usize>,
    held_gauge: Gauge,
}

impl MemoryAccount {
    /// An account with a limit in bytes.
    pub fn new(limit: usize, metrics: &ClientMetrics) -> Rc<Self> {
        metrics.max_held_bytes.set(limit as i64);
        Rc::new(Self {
            limit,
            held: Cell::new(0),
            held_gauge: metrics.held_bytes.clone(),
        })
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Charges bytes, unless more than `limit` would be held then.
    pub fn try_charge(self: &Rc<Self>, bytes: usize, limit: usize) -> Option<Charge> {
        (self.held() + bytes <= limit).then(|| self.charge(bytes))
    }

    /// Charges bytes whatever is held: copies of charged bytes, which replace them.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> Charge {
        self.set_held(self.held() + bytes);
        Charge {
            account: Rc::clone(self),
            bytes,
        }
    }

    fn set_held(&self, held: usize) {
        self.held.set(held);
        self.held_gauge.set(held as i64);
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    account: Rc<MemoryAccount>,
    bytes: usize,
}

impl Charge {
    /// How many bytes are charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds another charge to this one.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let held = self.account.held() - self.bytes;
        self.account.set_held(held);
    }
}

#[cfg(test)]
#[path = "memory_account_tests.rs"]
mod tests;
