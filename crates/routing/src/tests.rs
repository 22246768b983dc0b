use std::time::Duration;

use drumshore_core::{
    EngineName, Incarnation, ModelName, PoolName, Priority, TenantLimits, TenantName, Timestamp,
    WeightsVersion, ZoneName,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::admission::{
    Admission, AdmissionDecision, AdmissionParams, AdmissionRequest, Allotment,
};
use crate::scheduler::{NoChoice, RoutingRequest};
use crate::{
    Choice, EngineObservation, EngineSet, EngineState, FairQueue, LoadReport, PrefixChain,
    PrefixIndex, PrefixIndexParams, PrefixRoot, Prompt, QueuedItem, RetryBudget, RetryParams,
    Scheduler, SchedulerParams, SequenceHash,
};

const NOW: Timestamp = Timestamp(1_000_000_000);

fn root(tenant: &str, version: u64) -> PrefixRoot {
    let model = ModelName::new("m");
    PrefixRoot::new(
        &TenantName::new(tenant),
        &model,
        WeightsVersion(version),
        None,
    )
}

fn observation(
    name: &str,
    incarnation: u64,
    version: u64,
    state: EngineState,
) -> EngineObservation {
    EngineObservation {
        name: EngineName::new(name),
        address: "127.0.0.1:1".to_owned(),
        zone: ZoneName::new("a"),
        pool: PoolName::new("p"),
        incarnation: Incarnation(incarnation),
        weights_version: WeightsVersion(version),
        state,
    }
}

struct SchedulerFixture {
    engines: EngineSet,
    index: PrefixIndex,
    scheduler: Scheduler,
    chain: PrefixChain,
}

impl SchedulerFixture {
    fn new(count: usize) -> Self {
        let mut engines = EngineSet::default();
        for number in 0..count {
            engines.observe(observation(&format!("e{number}"), 1, 1, EngineState::Ready));
        }
        let hashes = (1..=4).map(SequenceHash).collect();
        Self {
            engines,
            index: PrefixIndex::new(PrefixIndexParams::default()),
            scheduler: Scheduler::new(SchedulerParams::default(), ChaCha8Rng::seed_from_u64(1)),
            chain: PrefixChain::from_hashes(hashes, 2_048, 9_000),
        }
    }

    fn choose(&mut self) -> Result<Choice, NoChoice> {
        let request = RoutingRequest {
            pool: &PoolName::new("p"),
            weights_version: WeightsVersion(1),
            chain: &self.chain,
            zone: &ZoneName::new("a"),
            excluded: &[],
            goal: Default::default(),
            index_answer: None,
            may_look_up: false,
        };
        self.scheduler
            .choose(&self.engines, &self.index, &request, NOW)
    }

    fn record_cached(&mut self, name: &str, incarnation: u64) {
        let engine = EngineName::new(name).id();
        self.index
            .record_chain(&self.chain, engine, Incarnation(incarnation), NOW);
    }
}

fn chosen_name(fixture: &SchedulerFixture, choice: &Choice) -> String {
    fixture
        .engines
        .get(choice.engine)
        .unwrap()
        .observation
        .name
        .to_string()
}

#[test]
fn prefixes_of_different_tenants_or_versions_share_no_hashes() {
    let text = "x".repeat(1_000);
    let chain = |root| {
        PrefixChain::new(root, Prompt::Text(&text), 16)
            .hashes()
            .to_vec()
    };
    let own = chain(root("a", 1));
    assert_eq!(own.len(), 15);
    assert!(chain(root("b", 1)).iter().all(|hash| !own.contains(hash)));
    assert!(chain(root("a", 2)).iter().all(|hash| !own.contains(hash)));
}

#[test]
fn prompts_share_hashes_up_to_the_first_difference() {
    let first = "x".repeat(640);
    let second = format!("{}{}", "x".repeat(320), "y".repeat(320));
    let chain = |text: &str| PrefixChain::new(root("a", 1), Prompt::Text(text), 16);
    let (first, second) = (chain(&first), chain(&second));
    assert_eq!(first.hashes()[..5], second.hashes()[..5]);
    assert_ne!(first.hashes()[5], second.hashes()[5]);
}

#[test]
fn the_engine_that_holds_the_prefix_is_chosen() {
    let mut fixture = SchedulerFixture::new(8);
    fixture.record_cached("e5", 1);
    let choice = fixture.choose().unwrap();
    assert_eq!(chosen_name(&fixture, &choice), "e5");
    assert_eq!(choice.expected_cached_tokens, 8_192);
}

#[test]
fn index_entries_of_an_earlier_incarnation_are_ignored() {
    let mut fixture = SchedulerFixture::new(8);
    fixture.record_cached("e5", 1);
    fixture
        .engines
        .observe(observation("e5", 2, 1, EngineState::Ready));
    let choice = fixture.choose().unwrap();
    assert!(choice.index_overlap.is_none());
    let restarted = choice
        .candidates
        .iter()
        .find(|record| record.engine.as_str() == "e5");
    let expected = restarted.map_or(0, |record| record.expected_cached_tokens);
    assert!(expected < 8_192, "{expected}");
}

#[rstest]
#[case::leaving(1, EngineState::Leaving)]
#[case::joining(1, EngineState::Joining)]
#[case::older_weights(0, EngineState::Ready)]
fn an_ineligible_engine_receives_no_requests(#[case] version: u64, #[case] state: EngineState) {
    let mut fixture = SchedulerFixture::new(1);
    fixture
        .engines
        .observe(observation("e0", 1, version, state));
    fixture.record_cached("e0", 1);
    assert_eq!(fixture.choose().unwrap_err(), NoChoice::NoneReady);
}

#[test]
fn a_full_holder_is_skipped_and_all_full_is_reported() {
    let mut fixture = SchedulerFixture::new(2);
    fixture.record_cached("e0", 1);
    let busy = LoadReport {
        waiting_tokens: 500_000,
        running: 1,
        at: NOW,
    };
    fixture
        .engines
        .get_mut(EngineName::new("e0").id())
        .unwrap()
        .load = busy;
    let choice = fixture.choose().unwrap();
    assert_eq!(chosen_name(&fixture, &choice), "e1");
    fixture
        .engines
        .get_mut(EngineName::new("e1").id())
        .unwrap()
        .load = busy;
    assert_eq!(fixture.choose().unwrap_err(), NoChoice::AllFull);
}

#[test]
fn routers_agree_on_a_home_without_communication() {
    let chosen: Vec<String> = (0..5)
        .map(|seed| {
            let mut fixture = SchedulerFixture::new(100);
            let random = ChaCha8Rng::seed_from_u64(seed);
            fixture.scheduler = Scheduler::new(SchedulerParams::default(), random);
            let choice = fixture.choose().unwrap();
            chosen_name(&fixture, &choice)
        })
        .collect();
    assert!(chosen.iter().all(|name| *name == chosen[0]), "{chosen:?}");
}

#[test]
fn a_suspect_engine_is_a_last_resort() {
    let mut fixture = SchedulerFixture::new(2);
    fixture.record_cached("e0", 1);
    let engine = fixture.engines.get_mut(EngineName::new("e0").id()).unwrap();
    engine.suspect_until = Some(NOW.plus(Duration::from_secs(1)));
    let choice = fixture.choose().unwrap();
    assert_eq!(chosen_name(&fixture, &choice), "e1");
    fixture.engines.remove(EngineName::new("e1").id());
    assert!(fixture.choose().is_ok());
}

#[test]
fn requests_sent_since_the_load_report_count_as_load() {
    let mut fixture = SchedulerFixture::new(1);
    let engine = fixture.engines.get_mut(EngineName::new("e0").id()).unwrap();
    engine.on_sent(7, 900, NOW);
    assert_eq!(engine.waiting_tokens(), 900);
    let waited = engine.on_first_token(7, NOW.plus(Duration::from_millis(5)));
    assert_eq!(waited, Some(Duration::from_millis(5)));
    assert_eq!(engine.waiting_tokens(), 0);
    engine.on_ended(7);
    assert_eq!(engine.open_requests(), 0);
}

#[test]
fn retention_changes_only_on_a_contradicting_observation() {
    let mut fixture = SchedulerFixture::new(1);
    let engine = fixture.engines.get_mut(EngineName::new("e0").id()).unwrap();
    let initial = engine.retention;
    engine.observe_retention(Duration::from_secs(1), true);
    assert_eq!(engine.retention, initial);
    engine.observe_retention(Duration::from_secs(1), false);
    assert!(engine.retention < initial);
}

#[test]
fn the_prefix_index_stays_within_its_capacity() {
    let params = PrefixIndexParams {
        capacity: 100,
        holders_per_prefix: 2,
    };
    let mut index = PrefixIndex::new(params);
    for number in 0..10_000 {
        let chain = PrefixChain::from_hashes(vec![SequenceHash(number)], 16, 16);
        index.record_chain(&chain, EngineName::new("e").id(), Incarnation(1), NOW);
    }
    assert!(index.len() <= 100, "{}", index.len());
}

fn limits(rate: u32, open: u32) -> TenantLimits {
    TenantLimits {
        requests_per_second: rate,
        concurrent_requests: open,
        weight: 1,
    }
}

fn admit(admission: &mut Admission, limits: &TenantLimits, now: Timestamp) -> bool {
    let tenant = TenantName::new("t");
    let request = AdmissionRequest {
        tenant: &tenant,
        limits,
    };
    admission.admit(&request, now) == AdmissionDecision::Admitted
}

#[test]
fn a_rate_limit_is_enforced_and_refills() {
    let mut admission = Admission::new(AdmissionParams { max_open: 1_000 });
    let limits = limits(10, 1_000);
    let admitted = (0..50)
        .filter(|_| admit(&mut admission, &limits, NOW))
        .count();
    assert_eq!(admitted, 10);
    let later = NOW.plus(Duration::from_millis(500));
    let admitted = (0..50)
        .filter(|_| admit(&mut admission, &limits, later))
        .count();
    assert_eq!(admitted, 5);
}

#[test]
fn a_concurrency_limit_is_enforced_until_a_release() {
    let mut admission = Admission::new(AdmissionParams { max_open: 1_000 });
    let limits = limits(1_000, 2);
    assert!(admit(&mut admission, &limits, NOW));
    assert!(admit(&mut admission, &limits, NOW));
    assert!(!admit(&mut admission, &limits, NOW));
    admission.release(&TenantName::new("t"));
    assert!(admit(&mut admission, &limits, NOW));
}

#[test]
fn an_allotment_lowers_a_fleet_wide_limit() {
    let mut admission = Admission::new(AdmissionParams { max_open: 1_000 });
    let limits = limits(1_000, 100);
    assert!(admit(&mut admission, &limits, NOW));
    let allotment = Allotment {
        requests_per_second: 500.0,
        open: 3,
    };
    admission.set_allotment(&TenantName::new("t"), Some(allotment));
    let admitted = (0..50)
        .filter(|_| admit(&mut admission, &limits, NOW))
        .count();
    assert_eq!(admitted, 2);
}

fn queued(tenant: &str, priority: Priority, cost: u64, item: u32) -> QueuedItem<u32> {
    let tenant = TenantName::new(tenant);
    QueuedItem {
        item,
        tenant,
        priority,
        cost,
        deadline: NOW,
    }
}

#[test]
fn interactive_requests_precede_batch_requests() {
    let mut queue = FairQueue::new(10);
    queue.push(queued("a", Priority::Batch, 10, 1), 1);
    queue.push(queued("a", Priority::Interactive, 10, 2), 1);
    assert_eq!(queue.pop().unwrap().item, 2);
    assert_eq!(queue.pop().unwrap().item, 1);
    assert!(queue.pop().is_none());
}

#[test]
fn a_large_tenant_does_not_starve_a_small_one() {
    let mut queue = FairQueue::new(1_000);
    for item in 0..100 {
        queue.push(queued("large", Priority::Standard, 4_096, item), 1);
    }
    for item in 100..105 {
        queue.push(queued("small", Priority::Standard, 4_096, item), 1);
    }
    let first: Vec<u32> = (0..10).map(|_| queue.pop().unwrap().item).collect();
    assert_eq!(
        first.iter().filter(|item| **item >= 100).count(),
        5,
        "{first:?}"
    );
}

#[test]
fn a_full_queue_sheds_the_newest_of_the_lowest_priority() {
    let mut queue = FairQueue::new(2);
    assert!(queue.push(queued("a", Priority::Batch, 1, 1), 1).is_none());
    assert!(queue.push(queued("b", Priority::Batch, 1, 2), 1).is_none());
    let shed = queue
        .push(queued("c", Priority::Interactive, 1, 3), 1)
        .unwrap();
    assert_eq!(shed.priority, Priority::Batch);
    let shed = queue
        .push(queued("c", Priority::Interactive, 1, 4), 1)
        .unwrap();
    assert_eq!(shed.priority, Priority::Batch);
    let shed = queue.push(queued("a", Priority::Batch, 1, 5), 1).unwrap();
    assert_eq!(shed.item, 5);
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts() {
    let params = RetryParams {
        max_attempts: 3,
        percent: 10,
        reserve: 2,
    };
    let mut budget = RetryBudget::new(params);
    let tenant = TenantName::new("t");
    assert!(budget.withdraw(&tenant, 1));
    assert!(budget.withdraw(&tenant, 2));
    assert!(!budget.withdraw(&tenant, 1), "the reserve is used up");
    (0..10).for_each(|_| budget.deposit(&tenant));
    assert!(!budget.withdraw(&tenant, 3), "the attempts are used up");
    assert!(budget.withdraw(&tenant, 1));
    assert!(!budget.withdraw(&tenant, 1));
}

proptest! {
    #[test]
    fn every_queued_request_is_popped_or_shed(
        items in proptest::collection::vec((0u8..5, 0usize..3, 1u64..20_000), 0..60),
        capacity in 1usize..40,
    ) {
        let mut queue = FairQueue::new(capacity);
        let mut seen = Vec::new();
        for (number, (tenant, priority, cost)) in items.iter().enumerate() {
            let item = queued(&tenant.to_string(), Priority::ALL[*priority], *cost, number as u32);
            seen.extend(queue.push(item, 1).map(|shed| shed.item));
        }
        prop_assert!(queue.len() <= capacity);
        while let Some(item) = queue.pop() {
            seen.push(item.item);
        }
        seen.sort_unstable();
        prop_assert_eq!(seen, (0..items.len() as u32).collect::<Vec<_>>());
    }

    #[test]
    fn a_token_prompt_and_its_extension_share_their_blocks(
        tokens in proptest::collection::vec(any::<u32>(), 32..200), cut in 1usize..100,
    ) {
        let shorter = &tokens[..tokens.len().saturating_sub(cut).max(16)];
        let long = PrefixChain::new(root("a", 1), Prompt::Tokens(&tokens), 16);
        let short = PrefixChain::new(root("a", 1), Prompt::Tokens(shorter), 16);
        prop_assert_eq!(short.hashes(), &long.hashes()[..short.hashes().len()]);
    }
}
