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
fn a_burst_of_retries_may_use_what_a_window_of_requests_allows() {
    // 158 streams broke at once in three crashes of scale-2, and a bucket of four let half go on.
    let pool = PoolName::new("models");
    let mut budget = budget(8);
    (0..100).for_each(|n| budget.on_request(at(20_000 + n * 100), &pool));
    let spent = spend_all(&mut budget, at(29_950), &pool);
    // 0.6 of 0.2 of 100 requests, and 0.6 of an eighth of 50.
    assert_eq!(spent, 15);
}

#[test]
fn no_window_sees_more_than_its_part() {
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
        // A slot that is half gone may count as gone.
        assert!(within.count() <= 20, "from step {step}");
    }
}

#[test]
fn each_pool_has_its_own_retries() {
    let (busy, idle) = (PoolName::new("busy"), PoolName::new("idle"));
    let mut budget = budget(8);
    (0..100).for_each(|_| budget.on_request(at(20_000), &busy));
    assert!(spend_all(&mut budget, at(20_000), &idle) <= 4);
    assert_eq!(spend_all(&mut budget, at(20_000), &busy), 15);
}

#[test]
fn a_process_that_has_just_started_uses_half_of_the_slack() {
    let pool = PoolName::new("models");
    assert_eq!(spend_all(&mut budget(1), at(100), &pool), 15);
    assert_eq!(spend_all(&mut budget(1), at(20_000), &pool), 30);
}
