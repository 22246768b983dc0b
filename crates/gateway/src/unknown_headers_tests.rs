//! Tests of the counting of unknown headers.

use super::*;

fn name(number: usize) -> HeaderName {
    HeaderName::from_bytes(format!("new-word-{number}").as_bytes()).unwrap()
}

#[test]
fn names_beyond_the_limit_are_counted_together() {
    let unknown = UnknownHeaders::default();
    let back_end = InstanceId::new("i-1");
    for number in 0..MAX_NAMES {
        let name = name(number);
        assert_eq!(unknown.label(&name, &back_end), name.as_str());
    }
    assert_eq!(unknown.label(&name(MAX_NAMES), &back_end), OTHER_NAMES);
    assert_eq!(unknown.label(&name(0), &back_end), "new-word-0");
    assert_eq!(unknown.0.borrow().len(), MAX_NAMES);
}

#[test]
fn known_headers_are_not_counted() {
    let unknown = UnknownHeaders::default();
    let headers = [
        (name(1), "1".parse().unwrap()),
        (name(2), "1".parse().unwrap()),
    ];
    let headers: HeaderMap = headers.into_iter().collect();
    let metrics = Metrics::new();
    let back_end = InstanceId::new("i-1");
    unknown.record(|header| *header == name(1), &metrics, &back_end, &headers);
    assert!(!unknown.0.borrow().contains(&name(1)));
    assert!(unknown.0.borrow().contains(&name(2)));
}
