//! How a router keeps its view of the replicated state current, over its links to control machines: whom it follows,
//! and when it asks whom for changes. Without I/O or a clock.

mod fetches;
mod sources;

pub use fetches::{Fetches, Progress};
pub use sources::Sources;
