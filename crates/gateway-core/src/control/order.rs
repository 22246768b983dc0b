//! Orders to back ends, and what they say of themselves.

use crate::{InstanceId, ModelName};

/// Tells orders apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Tells it apart.
    pub id: OrderId,
    /// The back end; another one at its address refuses.
    pub instance: InstanceId,
    /// IP:PORT.
    pub address: String,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// Who gives the order.
    pub holder: String,
    /// Rises with each leader.
    pub fencing_token: u64,
    /// Orders that the back end has taken so far.
    pub expected_orders: u64,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being done.
    Taken,
    /// The back end holds the version already.
    Holds,
    /// Another order is under way, or another number of orders was expected.
    Conflict,
    /// A newer leader has given orders.
    Fenced,
    /// Another incarnation listens there.
    Gone,
    /// No answer; it may be carried out, even later.
    Unknown,
}

/// What a back end answers when asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// True while it carries one out.
    pub busy: bool,
    /// The weights it holds.
    pub models: Vec<(ModelName, u64)>,
}
