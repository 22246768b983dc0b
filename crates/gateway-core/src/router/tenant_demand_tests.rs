//! Tests of tenants' shares as one router computes them.

use drumshore_wire::List;
use rstest::rstest;

use super::*;
use crate::limits::TenantLimit;
use crate::{ModelPool, TenantName};

const MS: Duration = Duration::from_millis(1);
const START: Timestamp = Timestamp(1_000_000);

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: Vec::new(),
        priority: None,
        isolated: false,
        limit: None,
    }
}

fn limited(name: &str, rate_per_second: f64, unit: LimitUnit) -> Tenant {
    let limit = TenantLimit {
        rate_per_second,
        burst: rate_per_second,
        unit,
        undeclared_tokens: 1,
    };
    Tenant {
        limit: Some(limit),
        ..tenant(name)
    }
}

fn pool(models: bool) -> Pool {
    let models = models.then(|| ModelPool {
        link_megabits_per_second: 0,
        token_bytes: 0,
        slots: 16,
        cache_tokens: 1,
        copies_runs: false,
        models: Vec::new(),
    });
    Pool {
        name: PoolName::new("pool"),
        max_connections: 0,
        models,
        store: None,
    }
}

fn demand(name: &str, cost_per_second: u32) -> TenantDemand {
    TenantDemand {
        tenant: TenantKey::of(&TenantName::new(name)),
        cost_per_second,
    }
}

fn configured(tenants: Vec<Tenant>) -> TenantDemands {
    let mut demands = TenantDemands::default();
    demands.set_tenants(&Document {
        tenants,
        ..Document::default()
    });
    demands
}

/// The demands at a router whose configuration has these tenants, and one with a limit that sends nothing.
fn demands_of(
    mut tenants: Vec<Tenant>,
    listed: &[TenantDemand],
    others: (u32, f64),
) -> TenantDemands {
    tenants.push(limited("idle", 200.0, LimitUnit::Tokens));
    let mut demands = configured(tenants);
    let key = PoolKey::of(&pool(true).name);
    demands.on_demands(START, key, listed, others.0, others.1);
    demands
}

fn share(demands: &mut TenantDemands, tenant: &Tenant, excess: f64) -> TenantShare {
    let share = demands.share_of(START, &pool(true).name, tenant, excess);
    share.expect("demands are known")
}

#[rstest]
#[case::room(pool(true), 0.5, 0)]
#[case::nearly_full(pool(true), 0.7, 1)]
#[case::not_a_pool_of_models(pool(false), 0.7, 0)]
fn demand_is_reported_only_for_pools_of_models_that_are_nearly_full(
    #[case] pool: Pool,
    #[case] utilization: f64,
    #[case] entries: usize,
) {
    let mut demands = demands_of(Vec::new(), &[], (0, 0.0));
    for _ in 0..3 {
        demands.on_prompt(&pool, &tenant("a"), utilization, 100.4);
    }
    let report = demands.take_report(START);
    assert_eq!(report.len(), entries);
    assert!(report.iter().all(|entry| entry.cost == 301));
    assert!(demands.take_report(START.plus(1_000 * MS)).is_empty());
}

#[test]
fn nothing_is_reported_or_divided_where_no_tenant_has_a_limit() {
    let mut demands = configured(vec![tenant("a")]);
    demands.on_prompt(&pool(true), &tenant("a"), 1.0, 100.0);
    assert!(demands.take_report(START).is_empty());
    let key = PoolKey::of(&pool(true).name);
    demands.on_demands(START, key, &[demand("a", 5_000)], 0, 0.0);
    let share = demands.share_of(START, &pool(true).name, &tenant("a"), 0.5);
    assert!(share.is_none());
}

#[test]
fn reports_are_bounded_and_the_rest_follows() {
    let mut demands = demands_of(Vec::new(), &[], (0, 0.0));
    for number in 0..3_000 {
        let name = tenant(&number.to_string());
        demands.on_prompt(&pool(true), &name, 1.0, f64::from(number));
    }
    assert_eq!(demands.unreported.len(), MAX_UNREPORTED);
    let first = demands.take_report(START);
    assert_eq!(first.len(), MAX_REPORTED);
    assert!(demands.take_report(START.plus(249 * MS)).is_empty());
    let next = demands.take_report(START.plus(REPORT_INTERVAL));
    assert_eq!(next.len(), MAX_REPORTED);
    assert!(next[0].cost < first[MAX_REPORTED - 1].cost);
    demands.discard_unreported();
    assert!(demands
        .take_report(START.plus(2 * REPORT_INTERVAL))
        .is_empty());
}

#[test]
fn the_tenant_that_surges_is_refused_down_to_its_share_and_no_other() {
    let listed: Vec<TenantDemand> = (0..16)
        .map(|number| demand(&number.to_string(), if number == 0 { 600 } else { 100 }))
        .collect();
    let mut demands = demands_of(Vec::new(), &listed, (0, 0.0));
    let excess = 440.0 / 2_100.0;
    let hot = share(&mut demands, &tenant("0"), excess);
    assert!((hot.share - 160.0).abs() < 1e-6, "{hot:?}");
    assert!((hot.excess() - 440.0 / 600.0).abs() < 1e-9);
    let usual = share(&mut demands, &tenant("1"), excess);
    assert_eq!(usual.excess(), 0.0);
    assert!(usual
        .to_string()
        .starts_with("tenant asks for 100 tokens a second of a fair share of 160,"));
}

#[test]
fn shares_are_proportional_to_limits_of_one_unit() {
    let tenants = vec![
        limited("a", 100.0, LimitUnit::Tokens),
        limited("b", 300.0, LimitUnit::Tokens),
        limited("c", 7.0, LimitUnit::Requests),
        tenant("d"),
    ];
    let listed = ["a", "b", "c", "d"].map(|name| demand(name, 1_000));
    let mut demands = demands_of(tenants.clone(), &listed, (0, 0.0));
    for (tenant, expected) in tenants.iter().zip([200.0, 600.0, 400.0, 400.0]) {
        let share = share(&mut demands, tenant, 0.6).share;
        assert!((share - expected).abs() < 1e-6, "{tenant:?}: {share}");
    }
}

#[test]
fn tenants_of_another_priority_do_not_compete() {
    let urgent = Tenant {
        priority: Some(0),
        ..tenant("urgent")
    };
    let listed = [demand("urgent", 1_000), demand("a", 100), demand("b", 300)];
    let mut demands = demands_of(vec![urgent.clone()], &listed, (0, 0.0));
    assert_eq!(share(&mut demands, &tenant("b"), 0.5).share, 100.0);
    assert_eq!(share(&mut demands, &urgent, 0.0).excess(), 0.0);
}

/// The leader lists the largest tenants only.
#[test]
fn a_tenant_that_is_not_listed_counts_as_one_of_the_others() {
    let listed = [demand("hot", 5_000)];
    let mut demands = demands_of(Vec::new(), &listed, (100, 1_000.0));
    let small = share(&mut demands, &tenant("small"), 0.5);
    assert_eq!((small.demand, small.excess()), (10.0, 0.0));
    assert!(share(&mut demands, &tenant("hot"), 0.5).excess() > 0.5);
}

#[test]
fn a_tenant_without_any_demand_yet_is_not_refused() {
    let mut demands = demands_of(Vec::new(), &[demand("hot", 5_000)], (0, 0.0));
    assert_eq!(share(&mut demands, &tenant("new"), 0.5).excess(), 0.0);
}

#[test]
fn old_demands_are_not_used() {
    let mut demands = demands_of(Vec::new(), &[demand("a", 5_000)], (0, 0.0));
    let name = pool(true).name;
    let later = START.plus(DEMANDS_TTL);
    assert!(demands.share_of(later, &name, &tenant("a"), 0.5).is_none());
    assert!(demands.largest(later, 8).is_empty());
    let other = PoolName::new("another pool");
    assert!(demands.share_of(START, &other, &tenant("a"), 0.5).is_none());
}

/// The costs of two routes, the first the more urgent one.
fn costs(tenant_priority: Option<u8>) -> [(Urgency, f64); 2] {
    [0, 1].map(|route| {
        (
            Urgency::for_test(tenant_priority.unwrap_or(route), route),
            100.0,
        )
    })
}

#[rstest]
#[case::nothing_to_refuse(0.0, 0.0, 0.0)]
#[case::the_less_urgent_first(0.2, 0.0, 0.4)]
#[case::then_the_more_urgent(0.5, 0.3, 0.7)]
fn a_lone_tenant_is_refused_like_all_were(
    #[case] excess: f64,
    #[case] urgent: f64,
    #[case] less_urgent: f64,
) {
    for priority in [None, Some(3)] {
        let own = Tenant {
            priority,
            ..tenant("a")
        };
        let known = demands_of(vec![own.clone()], &[demand("a", 1_000)], (0, 0.0));
        for mut demands in [known, TenantDemands::default()] {
            let costs = CostByUrgency::from(costs(priority));
            let refused = costs.keys().map(|urgency| {
                let contender = Contender::new(&mut demands, &own);
                let name = pool(true).name;
                contender
                    .refused_fraction(START, &name, &costs, *urgency, excess)
                    .0
            });
            let refused: Vec<f64> = refused.collect();
            assert!((refused[0] - urgent).abs() < 1e-9, "{refused:?}");
            assert!((refused[1] - less_urgent).abs() < 1e-9, "{refused:?}");
        }
    }
}

#[test]
fn a_report_takes_sixteen_bytes_an_entry() {
    let entry = DemandEntry {
        pool: PoolKey(1),
        tenant: TenantKey(2),
        cost: 3,
    };
    let message = |count: usize| crate::Message::DemandReport(List::new(vec![entry; count]));
    let added = message(10).encode().len() - message(0).encode().len();
    assert_eq!(added, 10 * DemandEntry::BYTES);
}
