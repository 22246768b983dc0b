//! The fleets that can be run on one machine.

use std::time::Duration;

use drumshore_core::ModelName;

use crate::engine::{EngineParams, EngineTiming};
use crate::workload::{Profile, WorkloadParams};

/// Tokens in a block of the users' engines ("a few thousand tokens").
const USERS_BLOCK_TOKENS: u32 = 2_048;

/// Tokens in a block here. A block stands for one of the users': it takes as long to compute,
/// but its text is small enough that twenty engines and all their callers fit one machine.
const BLOCK_TOKENS: u32 = 128;

/// The part of a token that one token of the users' engines is here.
const SCALE: u32 = USERS_BLOCK_TOKENS / BLOCK_TOKENS;

/// A fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Its name on the command line.
    pub name: &'static str,
    /// Zones, of one region.
    pub zones: usize,
    /// Engines.
    pub engines: usize,
    /// Control machines.
    pub controls: usize,
    /// Routers.
    pub routers: usize,
    /// Whose callers ask.
    pub profile: Profile,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Blocks that an engine holds; the working set is about three times what all hold.
    pub cache_blocks: usize,
    /// How long it runs when nothing else is said.
    pub duration: Duration,
    /// Whether an engine is killed and another drained half-way.
    pub faults: bool,
}

impl Layout {
    /// The layouts.
    pub const NAMES: [&'static str; 3] = ["quickstart", "surtidor", "sohar-quay"];

    /// A layout by name.
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

    /// Tokens in a block.
    pub fn block_tokens(&self) -> u32 {
        BLOCK_TOKENS
    }

    /// The zone of the engine or router of this number.
    pub fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.zones + 1)
    }

    /// The loopback address of a zone.
    pub fn zone_address(&self, number: usize) -> String {
        format!("127.0.{}.1", number % self.zones + 1)
    }

    /// An engine's settings.
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

    /// What callers ask, in this machine's tokens.
    pub fn workload(&self) -> WorkloadParams {
        let base = self.profile.workload();
        let (low, high) = base.tail_tokens;
        WorkloadParams {
            tail_tokens: (low / SCALE + 1, high / SCALE + 1),
            ..base
        }
    }
}
