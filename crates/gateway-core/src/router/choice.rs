//! What a router decided for one attempt of a request.

use std::cell::Cell;
use std::rc::Rc;

use drumshore_core::Timestamp;

use crate::{InstanceId, StoreId};

/// Where a request goes, and what goes with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The back end.
    pub instance: InstanceId,
    /// IP:PORT.
    pub address: String,
    /// Connections that this router may have open to it.
    pub connections: usize,
    /// The weights that the back end must hold.
    pub expected_version: Option<u64>,
    /// Cached prompts are shared under the same salt only.
    pub cache_salt: Option<String>,
    /// Stand for the shared parts of a long prompt under its salt, the shortest prefix first.
    pub prefixes: Vec<u32>,
    /// Tokens that the back end is expected to read.
    pub tokens: u32,
    /// A store to fetch the prompt from.
    pub fetch_from: Option<String>,
    /// The store that this is, when it is not another back end.
    pub fetches_from_store: Option<StoreId>,
    /// Shared parts that the back end is believed to hold, and those that the source is.
    pub cache_estimate: CacheEstimate,
    /// A store to save the prompt to.
    pub save_to: Option<String>,
    /// Where the run is copied as it grows, so that it can go on when its back end is lost.
    pub copy: Option<RunCopy>,
    /// When bytes of an answer came last from the back end.
    pub last_received_at: Rc<Cell<Timestamp>>,
    /// Why: the requests in flight here, and the rank of the prompt's home, for logs.
    pub in_flight: u32,
    /// 0 when the back end is the first home of the prompt.
    pub rank: usize,
}

/// A back end that keeps a copy of another one's run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The back end.
    pub instance: InstanceId,
    /// IP:PORT.
    pub address: String,
    /// The weights of the run; a copy is of no use under others.
    pub version: Option<u64>,
}

/// Leading shared parts of a prompt that are believed to be held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheEstimate {
    /// At the chosen back end.
    pub here: usize,
    /// At the back end to fetch from, when one is believed to hold more.
    pub at_source: usize,
    /// Age of that belief, in milliseconds.
    pub age_ms: u64,
}

impl Choice {
    /// Where shared parts are fetched from, for logs.
    pub fn fetch_source(&self) -> &'static str {
        match (&self.fetch_from, self.fetches_from_store) {
            (Some(_), Some(_)) => "store",
            (Some(_), None) => "home",
            (None, _) => "none",
        }
    }
}
