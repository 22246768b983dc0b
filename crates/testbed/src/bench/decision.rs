//! Measures the time of a routing decision as a function of the number of engines, with a warm
//! prefix index.

use std::time::Instant;

use drumshore_core::{
    EngineName, Incarnation, ModelName, PlacementGoal, PoolName, TenantName, Timestamp,
    WeightsVersion, ZoneName,
};
use drumshore_routing::{
    AnswerReport, Decision, EngineObservation, EngineState, Placer, PrefixIndexParams, PrefixRoot,
    RoutingRequest, Scheduler, SchedulerParams,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::load::{histogram, Percentiles};
use crate::workload::{Profile, WorkloadGenerator};

const BLOCK_TOKENS: u32 = 2_048;
const WARM_UP: usize = 20_000;
const MEASURED: usize = 50_000;

/// The time of decisions for one pool size.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct DecisionReport {
    /// Number of engines in the pool.
    pub(super) engines: usize,
    /// Mean time of a decision, in microseconds.
    pub(super) mean_us: f64,
    /// Percentiles in microseconds, although [`Percentiles`] is documented as milliseconds.
    pub(super) microseconds: Percentiles,
}

/// Measures decisions for a pool of `engines` engines.
pub(super) fn measure(engines: usize, seed: u64) -> DecisionReport {
    let random = ChaCha8Rng::seed_from_u64(seed);
    let scheduler = Scheduler::new(SchedulerParams::default(), random);
    let mut placer = Placer::new(scheduler, PrefixIndexParams::default());
    for number in 0..engines {
        placer.engines_mut().observe(EngineObservation {
            name: EngineName::new(format!("engine-{number}")),
            address: String::new(),
            zone: ZoneName::new(format!("zone-{}", number % 18)),
            pool: PoolName::new("p"),
            incarnation: Incarnation(1),
            weights_version: WeightsVersion(1),
            state: EngineState::Ready,
        });
    }
    let mut generator = WorkloadGenerator::new(Profile::SoharQuay.workload(), seed);
    let mut nanoseconds = histogram();
    let mut total = 0.0;
    for number in 0..WARM_UP + MEASURED {
        let now = Timestamp(number as u64 * 10_000);
        let request = generator.next_request(now.0 as f64 / 1e6);
        let tenant = TenantName::new(format!("tenant-{}", request.tenant));
        let root = PrefixRoot::new(&tenant, &ModelName::new("m"), WeightsVersion(1), None);
        let chain = request.chain(root, BLOCK_TOKENS);
        let routing = RoutingRequest {
            pool: &PoolName::new("p"),
            weights_version: WeightsVersion(1),
            chain: &chain,
            goal: PlacementGoal::Latency,
            zone: &ZoneName::new("zone-1"),
            excluded: &[],
            index_answer: None,
            may_look_up: false,
        };
        let started = Instant::now();
        let placed = placer.place(number as u64, &routing, now);
        let decision_time = started.elapsed();
        if let Ok(Decision::Placed(placement, _)) = placed {
            placer.on_first_token(&placement, AnswerReport::default(), now);
            placer.on_ended(&placement);
        }
        if number >= WARM_UP {
            nanoseconds.saturating_record(decision_time.as_nanos() as u64);
            total += decision_time.as_secs_f64() * 1e6;
        }
    }
    // The histogram holds nanoseconds and `Percentiles::of` divides by 1,000, so the results are
    // microseconds.
    DecisionReport {
        engines,
        mean_us: total / MEASURED as f64,
        microseconds: Percentiles::of(&nanoseconds),
    }
}
