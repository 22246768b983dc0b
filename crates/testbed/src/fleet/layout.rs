//! Predefined fleets that fit on one machine.

use std::time::Duration;

use drumshore_core::ModelName;

use crate::engine::{EngineParams, EngineTiming};
use crate::workload::{Profile, WorkloadParams};

/// Tokens in a block of production engines ("a few thousand tokens").
const USERS_BLOCK_TOKENS: u32 = 2_048;

/// Tokens in a block of a test fleet. A block takes as long to compute as one in production, but
/// its text is small enough that twenty engines and all callers fit on one machine.
const BLOCK_TOKENS: u32 = 128;

/// Number of production tokens that one token of a test fleet stands for.
const SCALE: u32 = USERS_BLOCK_TOKENS / BLOCK_TOKENS;

/// The size and load of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of zones, all in one region.
    pub zones: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of control machines.
    pub controls: usize,
    /// Number of routers.
    pub routers: usize,
    /// Profile that decides the workload and the placement goal.
    pub profile: Profile,
    /// Mean number of requests per second.
    pub requests_per_second: f64,
    /// Cache capacity of an engine, in blocks. The working set is about three times the capacity of
    /// all engines.
    pub cache_blocks: usize,
    /// Default duration of a run.
    pub duration: Duration,
    /// Whether a run kills one engine and drains another half-way by default.
    pub faults: bool,
}

impl Layout {
    /// Names of all layouts.
    pub const NAMES: [&'static str; 3] = ["quickstart", "surtidor", "sohar-quay"];

    /// Returns the layout of this name, if it exists.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "quickstart" => Some(Self {
                name: "quickstart",
                zones: 2,
                engines: 4,
                controls: 1,
                routers: 2,
                profile: Profile::Surtidor,
                requests_per_second: 12.0,
                cache_blocks: 1_300,
                duration: Duration::from_secs(15),
                faults: false,
            }),
            "surtidor" => Some(Self {
                name: "surtidor",
                zones: 3,
                engines: 12,
                controls: 3,
                routers: 3,
                profile: Profile::Surtidor,
                requests_per_second: 40.0,
                cache_blocks: 440,
                duration: Duration::from_secs(60),
                faults: true,
            }),
            "sohar-quay" => Some(Self {
                name: "sohar-quay",
                zones: 4,
                engines: 20,
                controls: 3,
                routers: 4,
                profile: Profile::SoharQuay,
                requests_per_second: 12.0,
                cache_blocks: 660,
                duration: Duration::from_secs(60),
                faults: true,
            }),
            _ => None,
        }
    }

    /// Returns the number of tokens in a block.
    pub fn block_tokens(&self) -> u32 {
        BLOCK_TOKENS
    }

    /// Returns the zone of the engine or router with this number.
    pub fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.zones + 1)
    }

    /// Returns the loopback address of the zone of the process with this number.
    pub fn zone_address(&self, number: usize) -> String {
        format!("127.0.{}.1", number % self.zones + 1)
    }

    /// Returns the settings of the engine with this number, scaled to the smaller blocks.
    pub fn engine(&self, number: usize, model: &ModelName) -> EngineParams {
        let base = EngineTiming::default();
        EngineParams {
            name: format!("engine-{:02}", number + 1).as_str().into(),
            model: model.clone(),
            block_tokens: BLOCK_TOKENS,
            cache_blocks: self.cache_blocks,
            timing: EngineTiming {
                prefill_us_per_token: base.prefill_us_per_token * f64::from(SCALE),
                prefill_chunk_tokens: base.prefill_chunk_tokens / SCALE,
                ..base
            },
            ..EngineParams::default()
        }
    }

    /// Returns the workload, scaled to the smaller blocks.
    pub fn workload(&self) -> WorkloadParams {
        let base = self.profile.workload();
        let (low, high) = base.tail_tokens;
        WorkloadParams {
            tail_tokens: (low / SCALE + 1, high / SCALE + 1),
            ..base
        }
    }
}
