use super::*;
use crate::{FingerprintKey, TenantName};

fn at(seconds: u64) -> Timestamp {
    Timestamp(1 + seconds * 1_000_000)
}

fn software(version: &str) -> SoftwareKey {
    SoftwareKey::of_names("pool", version)
}

fn origin(tenant: &str, request: u32, version: &str) -> StreamOrigin {
    StreamOrigin::new(
        key(tenant, request),
        TenantKey::of(&TenantName::new(tenant)),
        software(version),
        Duration::from_secs(10),
    )
}

fn key(tenant: &str, request: u32) -> StreamKey {
    let secret = FingerprintKey::generate(1);
    StreamKey::of(&secret, tenant, &request.to_string())
}

#[test]
fn an_origin_is_found_until_its_caller_stops_waiting() {
    let mut origins = StreamOrigins::new(8);
    origins.record(at(0), &origin("t", 1, "v1"));
    assert_eq!(origins.find(at(9), key("t", 1)), Some(software("v1")));
    assert_eq!(origins.find(at(10), key("t", 1)), None);
    assert_eq!(origins.find(at(0), key("t", 2)), None);
}

#[test]
fn a_take_up_extends_the_lifetime() {
    let mut origins = StreamOrigins::new(8);
    origins.record(at(0), &origin("t", 1, "v1"));
    origins.record(at(8), &origin("t", 1, "v1"));
    assert_eq!(origins.find(at(15), key("t", 1)), Some(software("v1")));
}

#[test]
fn a_stream_with_contradicting_origins_is_unknown() {
    let mut origins = StreamOrigins::new(8);
    origins.record(at(0), &origin("t", 1, "v1"));
    origins.record(at(1), &origin("t", 1, "v2"));
    origins.record(at(2), &origin("t", 1, "v1"));
    assert_eq!(origins.find(at(3), key("t", 1)), None);
}

#[test]
fn a_tenant_cannot_name_the_stream_of_another_one() {
    let mut origins = StreamOrigins::new(8);
    origins.record(at(0), &origin("one", 1, "v1"));
    assert_eq!(origins.find(at(1), key("other", 1)), None);
}

#[test]
fn a_tenant_with_endless_streams_displaces_only_its_own() {
    let mut origins = StreamOrigins::new(1_000);
    for request in 0..50 {
        origins.record(at(0), &origin("few", request, "v1"));
    }
    for request in 0..20_000 {
        origins.record(at(1), &origin("many", request, "v2"));
        assert!(origins.len() <= 1_000);
    }
    let kept = (0..50).filter(|request| origins.find(at(2), key("few", *request)).is_some());
    assert_eq!(kept.count(), 50);
    assert_eq!(
        origins.find(at(2), key("many", 19_999)),
        Some(software("v2"))
    );
}

#[test]
fn expired_origins_are_removed() {
    let mut origins = StreamOrigins::new(1_000);
    for request in 0..500 {
        origins.record(at(0), &origin("t", request, "v1"));
    }
    origins.record(at(20), &origin("t", 500, "v1"));
    assert_eq!(origins.len(), 1);
    assert_eq!(origins.live(at(20)).count(), 1);
}
