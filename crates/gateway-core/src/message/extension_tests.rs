use drumshore_wire::{Blob, Text};
use rstest::rstest;

use super::*;
use crate::{InstanceRecord, Lifecycle, SoftwareVersion};

fn fetch(configuration: Option<ConfigurationHash>) -> Message {
    Message::Fetch {
        since: 7,
        source_revision: 9,
        configuration,
    }
}

fn changes(software: &str, is_patch: bool) -> Message {
    let record = InstanceRecord {
        instance: Text::new("i"),
        pool: Text::new("pool"),
        address: Text::new("10.0.0.1:80"),
        zone: Text::new("zone"),
        slots: 4,
        lifecycle: Lifecycle::Ready,
        models: List::default(),
        registered: 1,
        revision: 2,
        software: SoftwareVersion::new(software),
        started_ms: 0,
    };
    let body = b"{\"version\":3}".to_vec();
    let patch = ConfigurationPatch::between(&[], &body).unwrap();
    Message::Changes(Changes {
        instances: List::new(vec![record]),
        configuration: List::new(if is_patch {
            vec![]
        } else {
            vec![Blob::new(body)]
        }),
        patch: is_patch.then_some(patch),
        ..Changes::default()
    })
}

#[rstest]
#[case::fetch_of_an_earlier_build(fetch(None))]
#[case::fetch(fetch(Some(ConfigurationHash::of(b"held"))))]
#[case::whole(changes("", false))]
#[case::whole_with_software(changes("v1", false))]
#[case::patch(changes("", true))]
#[case::patch_with_software(changes("v1", true))]
fn fields_that_follow_a_message_are_read_again(#[case] message: Message) {
    assert_eq!(Message::decode(&message.encode()), Some(message));
}

#[test]
fn earlier_builds_find_the_fields_that_they_know_at_the_same_place() {
    let known = fetch(None).encode();
    assert!(fetch(Some(ConfigurationHash::of(b"held")))
        .encode()
        .starts_with(&known));
    let mut known = Vec::new();
    let Message::Changes(mut without) = changes("", true) else {
        unreachable!()
    };
    without.patch = None;
    known.extend(Message::Changes(without).encode());
    assert!(changes("", true).encode().starts_with(&known));
}
