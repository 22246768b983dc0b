//! Tests of the retry budget.

use super::*;

const WINDOW: Duration = Duration::from_secs(10);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

fn budget(routers: u16) -> RetryBudget {
    let mut budget = RetryBudget::new(&RouterParams {
        zone: "zone".to_owned(),
        key_lease: Duration::from_secs(4),
        absence_lease: Duration::from_secs(2),
        version_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: WINDOW,
    });
    budget.set_routers(routers);
    budget
}

fn spend_all(budget: &mut RetryBudget, now: Timestamp, pool: &PoolName) -> u32 {
    let mut spent = 0;
    while budget.may_retry(now, pool) {
        budget.on_retry(now, pool);
        spent += 1;
    }
    spent
}

#[test]
fn a_burst_may_use_all_retries_of_a_window() {
    // In a load test with three crashes, 158 streams broke at once, and a token bucket of four let only half of them
    // be retried. A sliding window lets a burst use the whole budget of the window.
    let pool = PoolName::new("models");
    let mut budget = budget(8);
    (0..100).for_each(|n| budget.on_request(at(20_000 + n * 100), &pool));
    let spent = spend_all(&mut budget, at(29_950), &pool);
    // 0.6 * 0.2 * 100 requests, plus 0.6 of an eighth of the slack of 50.
    assert_eq!(spent, 15);
}

#[test]
fn retries_in_any_window_stay_within_this_routers_share() {
    let pool = PoolName::new("models");
    let mut budget = budget(8);
    let mut retries = Vec::new();
    for step in 0..600_u64 {
        let now = at(20_000 + step * 100);
        budget.on_request(now, &pool);
        (0..spend_all(&mut budget, now, &pool)).for_each(|_| retries.push(step));
    }
    for step in 0..500 {
        let within = retries.iter().filter(|at| (step..step + 100).contains(*at));
        // A slot leaves the window when its start does, although some of its retries are still within it.
        assert!(within.count() <= 20, "from step {step}");
    }
}

#[test]
fn each_pool_has_its_own_budget() {
    let (busy, idle) = (PoolName::new("busy"), PoolName::new("idle"));
    let mut budget = budget(8);
    (0..100).for_each(|_| budget.on_request(at(20_000), &busy));
    assert!(spend_all(&mut budget, at(20_000), &idle) <= 4);
    assert_eq!(spend_all(&mut budget, at(20_000), &busy), 15);
}

#[test]
fn the_first_window_of_a_process_gets_half_of_the_slack() {
    let pool = PoolName::new("models");
    assert_eq!(spend_all(&mut budget(1), at(100), &pool), 15);
    assert_eq!(spend_all(&mut budget(1), at(20_000), &pool), 30);
}
