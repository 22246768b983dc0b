//! Tests of accounts.

use std::time::Duration;

use drumshore_core::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

use super::*;

const LIMIT: TenantLimit = TenantLimit {
    rate_per_second: 1_000.0,
    burst: 500.0,
    unit: LimitUnit::Tokens,
    undeclared_tokens: 200,
};

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

#[rstest]
#[case::declared(LimitUnit::Tokens, Some(70), 70)]
#[case::not_declared(LimitUnit::Tokens, None, 200)]
#[case::requests_are_counted(LimitUnit::Requests, Some(70), 1)]
fn a_request_costs_what_the_limit_counts(
    #[case] unit: LimitUnit,
    #[case] declared: Option<u32>,
    #[case] cost: u32,
) {
    let limit = TenantLimit { unit, ..LIMIT };
    assert_eq!(limit.cost(declared), cost);
}

#[test]
fn what_was_overdrawn_is_paid_back_before_more_is_admitted() {
    let mut account = Account::new(at(0), LIMIT);
    account.charge(at(0), 1_500.0);
    assert_eq!(account.level(at(0)), -1_000.0);
    assert!(!account.admits(at(999)));
    assert!(account.admits(at(1_001)));
    assert_eq!(account.wait_for(at(0), 200), Duration::from_millis(1_200));
    assert_eq!(account.wait_for(at(0), 9_000), Duration::from_millis(1_500));
}

#[test]
fn a_lowered_limit_leaves_no_more_than_its_own_burst() {
    let mut account = Account::new(at(0), LIMIT);
    let lower = TenantLimit {
        rate_per_second: 10.0,
        burst: 20.0,
        ..LIMIT
    };
    account.set_limit(at(0), lower);
    assert_eq!(account.level(at(60_000)), 20.0);
}

#[test]
fn an_account_whose_past_is_unknown_holds_no_more_than_a_second_of_its_rate() {
    let large = TenantLimit {
        burst: 100_000.0,
        ..LIMIT
    };
    assert_eq!(Account::new(at(0), large).level(at(0)), 1_000.0);
}

#[test]
fn a_limit_without_burst_admits_one_request_at_a_time() {
    let strict = TenantLimit {
        burst: 0.0,
        ..LIMIT
    };
    let mut account = Account::new(at(0), strict);
    assert!(account.admits(at(10)));
    account.charge(at(10), 200.0);
    assert!(!account.admits(at(200)));
    assert!(account.admits(at(220)));
}

#[test]
fn the_parts_of_all_routers_add_up_to_the_limit() {
    let shares = [0.0, 0.1, 0.3, 0.6];
    let rate = |share: &f64| {
        let mut part = LimitShare::new(at(0), LIMIT, 4);
        part.set_usage_fraction(at(0), *share);
        part.account().limit().rate_per_second
    };
    let sum: f64 = shares.iter().map(rate).sum();
    assert!((sum - LIMIT.rate_per_second).abs() < 1e-6);
}

#[test]
fn what_was_used_long_ago_counts_less() {
    let mut usage = RecentUsage::default();
    usage.add(at(0), 100.0);
    usage.add(at(5_000), 100.0);
    assert!((usage.amount(at(5_000)) - 136.8).abs() < 0.1);
}

proptest! {
    /// In no window is more admitted than flowed in, the burst, and one request.
    #[test]
    fn a_window_holds_no_more_than_its_limit(
        requests in prop::collection::vec((0_u64..200, 1_u32..400), 1..300)
    ) {
        let mut account = Account::new(at(0), LIMIT);
        let mut now = 0;
        let mut admitted: Vec<(u64, u32)> = Vec::new();
        for (pause, cost) in requests {
            now += pause;
            if account.admits(at(now)) {
                account.charge(at(now), f64::from(cost));
                admitted.push((now, cost));
            }
        }
        for (index, (begin, _)) in admitted.iter().enumerate() {
            let mut sum = 0.0;
            for (end, cost) in &admitted[index..] {
                sum += f64::from(*cost);
                let flowed_in = (end - begin) as f64 / 1_000.0 * LIMIT.rate_per_second;
                prop_assert!(sum <= flowed_in + LIMIT.burst + 400.0 + 1e-6);
            }
        }
    }
}
