//! Tests of the counting of unknown names.

use super::*;

fn name(number: usize) -> String {
    format!("new-word-{number}")
}

fn header(number: usize) -> HeaderName {
    HeaderName::from_bytes(name(number).as_bytes()).unwrap()
}

#[test]
fn names_beyond_the_limit_are_counted_together() {
    let unknown = UnknownNames::default();
    for number in 0..MAX_NAMES {
        let name = name(number);
        assert_eq!(unknown.label(&name), (name.as_str(), true));
    }
    assert_eq!(unknown.label(&name(MAX_NAMES)), (OTHER_NAMES, false));
    assert_eq!(unknown.label(&name(0)), ("new-word-0", false));
    assert_eq!(unknown.0.borrow().len(), MAX_NAMES);
}

#[test]
fn known_headers_are_not_counted() {
    let unknown = UnknownNames::default();
    let headers = [
        (header(1), "1".parse().unwrap()),
        (header(2), "1".parse().unwrap()),
    ];
    let headers: HeaderMap = headers.into_iter().collect();
    let metrics = Metrics::new();
    let back_end = InstanceId::new("i-1");
    unknown.record_headers(|name| *name == header(1), &metrics, &back_end, &headers);
    assert!(!unknown.0.borrow().contains(&name(1)));
    assert!(unknown.0.borrow().contains(&name(2)));
}
