//! Tests of the gauges of tenants' demand.

use prometheus_client::encoding::text::encode;

use super::*;

fn text(registry: &Registry) -> String {
    let mut text = String::new();
    encode(&mut text, registry).unwrap();
    text
}

#[test]
fn gauges_are_there_only_while_demand_is_known() {
    let gauges = TenantDemandGauges::default();
    let mut registry = Registry::default();
    gauges.register(&mut registry);
    gauges.set("pool", "a", 600.0, Some(160.0));
    gauges.set("pool", "b", 100.0, Some(f64::INFINITY));
    gauges.set("pool", "c", 50.0, None);
    let known = text(&registry);
    assert!(known.contains("tenant_demand{pool=\"pool\",tenant=\"a\"} 600"));
    assert!(known.contains("tenant_share{pool=\"pool\",tenant=\"a\"} 160"));
    assert_eq!(known.matches("tenant_share{").count(), 1);
    assert_eq!(known.matches("tenant_demand{").count(), 3);
    gauges.clear();
    assert!(!text(&registry).contains("tenant="));
}
