//! Orders to back ends to load weights, and the reports that back ends return.

use crate::{InstanceId, ModelName};

/// Identifies an order within the term of its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Matches the outcome to the order.
    pub id: OrderId,
    /// The incarnation that is to carry it out; any other one at the address rejects it.
    pub instance: InstanceId,
    /// Where the back end listens, IP:PORT.
    pub address: String,
    /// Model whose weights are loaded.
    pub model: ModelName,
    /// Version of the weights.
    pub version: u64,
    /// Name of the leader that sends the order.
    pub holder: String,
    /// Term of the leader: increases with each leader.
    pub fencing_token: u64,
    /// Orders that the back end has accepted so far, as far as the leader knows; it rejects the
    /// order if the number differs.
    pub expected_orders: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The back end accepted the order and carries it out.
    Taken,
    /// The back end holds the version already.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// A newer leader has sent orders.
    Fenced,
    /// Another incarnation listens at the address.
    Gone,
    /// No valid answer; the order may be carried out, even later.
    Unknown,
}

/// Report of a back end on its orders and weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEndReport {
    /// Orders that the back end has accepted.
    pub orders_taken: u64,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Models and the versions of their weights.
    pub models: Vec<(ModelName, u64)>,
}

/// Why a back end is taken out of service now to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// The back end.
    pub instance: InstanceId,
    /// Its pool.
    pub pool: String,
    /// Its zone.
    pub zone: String,
    /// Version that it holds.
    pub held: u64,
    /// Version that it is to load.
    pub version: u64,
    /// Percentage of the back end that is occupied.
    pub occupied_percent: u32,
    /// Percentage of the pool that is occupied.
    pub pool_occupied_percent: u32,
    /// Back ends of the pool that load or are about to, including this one.
    pub loading: usize,
    /// Back ends whose load is not finished.
    pub unfinished: usize,
    /// Back ends that the others can carry the load for.
    pub spare: usize,
    /// Back ends that have to load at once for all to finish in time.
    pub needed: usize,
    /// Limit beyond which loads do not finish sooner.
    pub limit: usize,
    /// Milliseconds left for all loads of the pool.
    pub time_left_ms: u64,
}

/// What permits a load of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReason {
    /// The other back ends of the pool can carry its load.
    SpareCapacity,
    /// The loads of the pool have to be finished by a deadline.
    Deadline,
}

impl LoadPlan {
    /// What permits the load.
    pub fn reason(&self) -> LoadReason {
        if self.loading <= self.spare {
            LoadReason::SpareCapacity
        } else {
            LoadReason::Deadline
        }
    }
}
