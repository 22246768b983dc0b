//! Tests of tenant limits: accounts, shares of a limit and recent usage.

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
fn an_overdrawn_account_admits_nothing_until_it_has_refilled() {
    let mut account = Account::new(at(0), LIMIT);
    account.charge(at(0), 1_500.0);
    assert_eq!(account.level(at(0)), -1_000.0);
    assert!(!account.admits(at(999)));
    assert!(account.admits(at(1_001)));
    assert_eq!(account.wait_for(at(0), 200), Duration::from_millis(1_200));
    assert_eq!(account.wait_for(at(0), 9_000), Duration::from_millis(1_500));
}

#[test]
fn lowering_a_limit_caps_the_level_at_the_new_burst() {
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
fn a_new_account_holds_at_most_one_second_of_its_rate() {
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
fn the_shares_of_all_routers_add_up_to_the_limit() {
    let usage_fractions = [0.0, 0.1, 0.3, 0.6];
    let rate = |usage_fraction: &f64| {
        let mut share = LimitShare::new(at(0), LIMIT, 4);
        share.set_usage_fraction(at(0), *usage_fraction);
        share.account().limit().rate_per_second
    };
    let sum: f64 = usage_fractions.iter().map(rate).sum();
    assert!((sum - LIMIT.rate_per_second).abs() < 1e-6);
}

#[test]
fn recent_usage_decays() {
    let mut usage = RecentUsage::default();
    usage.add(at(0), 100.0);
    usage.add(at(5_000), 100.0);
    assert!((usage.amount(at(5_000)) - 136.8).abs() < 0.1);
}

proptest! {
    /// In any window, admissions stay within the refill, the burst and one request.
    #[test]
    fn admissions_in_any_window_stay_within_the_limit(
        requests in prop::collection::vec((0_u64..200, 1_u32..400), 1..300)
    ) {
        let mut account = Account::new(at(0), LIMIT);
        let mut now = 0;
        let mut admitted: Vec<(u64, u32)> = Vec::new();
        for (gap, cost) in requests {
            now += gap;
            if account.admits(at(now)) {
                account.charge(at(now), f64::from(cost));
                admitted.push((now, cost));
            }
        }
        for (index, (begin, _)) in admitted.iter().enumerate() {
            let mut sum = 0.0;
            for (end, cost) in &admitted[index..] {
                sum += f64::from(*cost);
                let refill = (end - begin) as f64 / 1_000.0 * LIMIT.rate_per_second;
                prop_assert!(sum <= refill + LIMIT.burst + 400.0 + 1e-6);
            }
        }
    }
}
