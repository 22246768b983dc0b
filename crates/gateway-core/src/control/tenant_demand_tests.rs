//! Tests of the sums of tenants' demand.

use super::*;
use crate::{PoolName, RouterWire, TenantName};

const SECOND: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const FRAME_BYTES: usize = 16;

fn pool(number: u32) -> PoolKey {
    PoolKey::of(&PoolName::new(&number.to_string()))
}

fn tenant(number: u32) -> TenantKey {
    TenantKey::of(&TenantName::new(&number.to_string()))
}

fn entry(pool_number: u32, tenant_number: u32, cost: u32) -> DemandEntry {
    DemandEntry {
        pool: pool(pool_number),
        tenant: tenant(tenant_number),
        cost,
    }
}

/// Reports the entries at each report interval; returns all updates of that time.
fn report(
    demands: &mut TenantDemands,
    now: &mut Timestamp,
    time: Duration,
    entries: &[DemandEntry],
) -> Vec<Message> {
    let end = now.plus(time);
    let mut updates = Vec::new();
    while *now < end {
        *now = now.plus(REPORT_INTERVAL);
        demands.add(*now, entries);
        updates.extend(demands.take_updates(*now));
    }
    updates
}

fn listed(message: &Message) -> Vec<(TenantKey, u32)> {
    let Message::TenantDemands { tenants, .. } = message else {
        panic!("{message:?}")
    };
    let tenants = tenants.items.iter();
    tenants
        .map(|demand| (demand.tenant, demand.cost_per_second))
        .collect()
}

#[test]
fn the_sum_reaches_the_rate_and_falls_within_seconds() {
    let mut demands = TenantDemands::default();
    let mut now = Timestamp(1);
    let both = [entry(1, 1, 500), entry(1, 2, 250)];
    let updates = report(&mut demands, &mut now, 5 * SECOND, &both);
    let last = listed(updates.last().unwrap());
    assert_eq!((last[0].0, last[1].0), (tenant(1), tenant(2)));
    assert!((1_700..2_500).contains(&last[0].1), "{last:?}");
    assert!(last[0].1.abs_diff(2 * last[1].1) <= 2, "{last:?}");
    let updates = report(&mut demands, &mut now, 2 * SECOND, &both[1..]);
    let last = listed(updates.last().unwrap());
    assert_eq!(last[0].0, tenant(2));
    assert!(last[1].1 < 400, "{last:?}");
}

#[test]
fn nothing_is_sent_or_kept_without_reports() {
    let mut demands = TenantDemands::default();
    let mut now = Timestamp(1);
    assert!(demands.take_updates(now).is_empty());
    report(&mut demands, &mut now, SECOND, &[entry(1, 1, 500)]);
    now = now.plus(QUIET_AFTER);
    assert!(demands.take_updates(now).is_empty());
    now = now.plus(FORGET_AFTER);
    assert!(demands.take_updates(now).is_empty());
    assert!(demands.pools.is_empty());
}

#[test]
fn the_smallest_tenants_are_sent_as_one_sum() {
    let mut demands = TenantDemands::default();
    let mut now = Timestamp(1);
    let entries: Vec<DemandEntry> = (1..=100).map(|number| entry(1, number, number)).collect();
    let updates = report(&mut demands, &mut now, 4 * SECOND, &entries);
    let Some(Message::TenantDemands {
        tenants,
        other_tenants,
        other_cost_per_second,
        ..
    }) = updates.last()
    else {
        panic!("no update")
    };
    assert_eq!(tenants.items.len(), MAX_LISTED_TENANTS);
    assert_eq!(tenants.items[0].tenant, tenant(100));
    assert_eq!(*other_tenants, 36);
    let others: u32 = (1..=36).sum::<u32>() * 4;
    assert!(other_cost_per_second.abs_diff(others) < others / 5);
}

/// 9,000 tenants of 36 models, all of whose pools are nearly full at once.
#[test]
fn updates_of_a_large_fleet_stay_within_their_bandwidth() {
    for pools in [1, 2, 8, 36] {
        let mut demands = TenantDemands::default();
        let mut now = Timestamp(1);
        let entries = (0..9_000).map(|number| entry(number % pools, number, 100 + number));
        let entries: Vec<DemandEntry> = entries.collect();
        report(&mut demands, &mut now, 4 * SECOND, &entries);
        let updates = report(&mut demands, &mut now, 20 * SECOND, &entries);
        let bytes = updates.iter().map(|update| {
            let payload = RouterWire::WithMeasurements.encode(update).unwrap();
            payload.len() + FRAME_BYTES
        });
        let per_second = bytes.sum::<usize>() as f64 / 20.0;
        assert!(per_second <= MAX_BYTES_PER_SECOND, "{pools}: {per_second}");
        println!("{pools} pools: {per_second} bytes a second");
        let kept: usize = demands.pools.values().map(|pool| pool.tenants.len()).sum();
        let entry_bytes = size_of::<TenantKey>() + size_of::<DemandRate>();
        assert!(kept * entry_bytes < 1 << 20, "{kept} of {entry_bytes}");
    }
}

#[test]
fn builds_without_measurements_are_sent_none() {
    let update = PoolDemand::default().message(Timestamp(1), pool(1), MAX_LISTED_TENANTS);
    let report = Message::DemandReport(List::new(vec![entry(1, 1, 1)]));
    for message in [update, report] {
        assert!(RouterWire::WithMeasurements.encode(&message).is_some());
        assert!(RouterWire::Current.encode(&message).is_none());
        assert!(RouterWire::BeforeViews.encode(&message).is_none());
    }
}
