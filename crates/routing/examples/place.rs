//! Places requests on three engines, as a project that embeds the crate does.

use drumshore_core::{
    EngineName, Incarnation, ModelName, PlacementGoal, PoolName, TenantName, Timestamp,
    WeightsVersion, ZoneName,
};
use drumshore_routing::{
    AnswerReport, Decision, EngineObservation, EngineState, Placer, PrefixChain, PrefixIndexParams,
    PrefixRoot, Prompt, RoutingRequest, Scheduler, SchedulerParams,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BLOCK_TOKENS: u32 = 16;
const REQUESTS: u64 = 5;

fn main() {
    let random = ChaCha8Rng::seed_from_u64(1);
    let scheduler = Scheduler::new(SchedulerParams::default(), random);
    let mut placer = Placer::new(scheduler, PrefixIndexParams::default());
    for name in ["a", "b", "c"] {
        placer.engines_mut().observe(EngineObservation {
            name: EngineName::new(name),
            address: "127.0.0.1:1".to_owned(),
            zone: ZoneName::new("zone-1"),
            pool: PoolName::new("main"),
            incarnation: Incarnation(1),
            weights_version: WeightsVersion(1),
            state: EngineState::Ready,
        });
    }
    let tenant = TenantName::new("cooperative");
    let root = PrefixRoot::new(&tenant, &ModelName::new("m"), WeightsVersion(1), None);
    let prompt = "a long prompt that many requests share, ".repeat(20);
    let chain = PrefixChain::new(root, Prompt::Text(&prompt), BLOCK_TOKENS);
    for request in 0..REQUESTS {
        let now = Timestamp(request * 1_000_000);
        let routing = RoutingRequest {
            pool: &PoolName::new("main"),
            weights_version: WeightsVersion(1),
            chain: &chain,
            goal: PlacementGoal::Latency,
            zone: &ZoneName::new("zone-1"),
            excluded: &[],
            index_answer: None,
            may_look_up: false,
        };
        match placer.place(request, &routing, now) {
            Ok(Decision::Placed(placement, choice)) => {
                let best = &choice.candidates[0];
                println!(
                    "request {request}: {} with {} of {} tokens expected cached",
                    best.engine,
                    choice.expected_cached_tokens,
                    chain.prompt_tokens()
                );
                placer.on_first_token(&placement, AnswerReport::default(), now);
                placer.on_ended(&placement);
            }
            Ok(Decision::Lookup(_)) => println!("request {request}: query the shared index"),
            Err(reason) => println!("request {request}: {reason:?}"),
        }
    }
}
