//! The back end that a router chooses for one attempt of a request.

use std::cell::Cell;
use std::rc::Rc;

use drumshore_core::Timestamp;

use super::placement_cost::Forecast;
use crate::back_end_speed::LoadAhead;
use crate::{load_change, InstanceId, SoftwareVersion, StoreId};

/// The chosen back end, and what an attempt to send the request there needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The chosen back end.
    pub instance: InstanceId,
    /// Its address, IP:PORT.
    pub address: String,
    /// Number of connections that this router may have open to it.
    pub connections: usize,
    /// Version of the model weights that the back end must hold; `None` for a request without a model.
    pub expected_version: Option<u64>,
    /// Version of the software that the back end runs, by this router's view.
    pub software: SoftwareVersion,
    /// Cached prompt parts are shared only between requests with the same salt.
    pub cache_salt: Option<String>,
    /// Hashes of the prefixes of a long prompt's shared parts under the salt, the shortest prefix first.
    pub prefixes: Vec<u32>,
    /// Prompt tokens that the back end is expected to prefill.
    pub tokens: u32,
    /// The same prefill in tokens without any before them that take as long, which is what loads count.
    pub work_tokens: u32,
    /// What the router expects of the placement.
    pub forecast: Forecast,
    /// Prompt tokens before those, which it is expected to have cached or to fetch.
    pub cached_tokens: u32,
    /// The load of the back end without this request.
    pub load_ahead: LoadAhead,
    /// Address of a cache store or back end to fetch cached prompt parts from.
    pub fetch_from: Option<String>,
    /// The store at `fetch_from`; `None` when that is a back end.
    pub fetch_store: Option<StoreId>,
    /// Estimated number of shared parts that the back end and the source of the fetch have cached.
    pub cache_estimate: CacheEstimate,
    /// Address of a cache store to save the prompt to.
    pub save_to: Option<String>,
    /// Back end that receives a copy of the run's cache as it grows and continues the run if the chosen back end
    /// is lost.
    pub copy: Option<RunCopy>,
    /// Time at which the router last received response bytes from the back end.
    pub last_received_at: Rc<Cell<Timestamp>>,
    /// Requests of this router in flight at the back end before this one, for logs.
    pub in_flight: u32,
    /// Rank of the back end among the homes of the prompt, for logs; 0 is the first home.
    pub rank: usize,
}

/// The back end that keeps a copy of a run on another back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// The back end that keeps the copy.
    pub instance: InstanceId,
    /// Its address, IP:PORT.
    pub address: String,
    /// Version of the weights that the run uses. A copy cannot be used under another version.
    pub version: Option<u64>,
}

/// Estimated number of leading shared parts of a prompt that back ends have cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheEstimate {
    /// Parts at the chosen back end.
    pub here: usize,
    /// Parts at the back end to fetch from; 0 when no other one is estimated to have more than the chosen one.
    pub at_source: usize,
    /// Milliseconds since that back end was last seen to use them.
    pub age_ms: u64,
}

impl Choice {
    /// Whether its prefill delays other requests at the back end for long.
    pub fn has_long_prefill(&self) -> bool {
        self.tokens >= load_change::URGENT_TOKENS
    }

    /// The kind of source of a fetch, as written to logs.
    pub fn fetch_source(&self) -> &'static str {
        match (&self.fetch_from, self.fetch_store) {
            (Some(_), Some(_)) => "store",
            (Some(_), None) => "home",
            (None, _) => "none",
        }
    }
}
