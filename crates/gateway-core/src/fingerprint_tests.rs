//! Tests of which requests share a fingerprint, and of its text forms.

use rstest::rstest;

use super::*;

const INPUT: FingerprintInput<'static> = FingerprintInput {
    method: "POST",
    host: "a.example",
    target: "/x/one?part=2",
    tenant: "t1",
    body: &[b"the body"],
};

#[test]
fn equal_requests_have_the_same_fingerprint() {
    let (key, same) = (FingerprintKey::generate(7), FingerprintKey::generate(7));
    assert_eq!(key.identify(&INPUT), same.identify(&INPUT));
}

#[rstest]
#[case::method(FingerprintInput { method: "GET", ..INPUT })]
#[case::host(FingerprintInput { host: "b.example", ..INPUT })]
#[case::target(FingerprintInput { target: "/x/one?part=3", ..INPUT })]
#[case::caller(FingerprintInput { tenant: "t2", ..INPUT })]
#[case::body(FingerprintInput { body: &[b"another body"], ..INPUT })]
#[case::moved_border(FingerprintInput { target: "/x/one?part=2t", tenant: "1", ..INPUT })]
fn a_difference_in_any_field_changes_the_fingerprint(#[case] other: FingerprintInput<'_>) {
    let key = FingerprintKey::generate(7);
    assert_ne!(key.identify(&INPUT), key.identify(&other));
}

#[rstest]
#[case::single_bytes(1)]
#[case::three_parts(3)]
fn the_cut_of_a_body_does_not_change_the_fingerprint(#[case] cut: usize) {
    let key = FingerprintKey::generate(7);
    let body: Vec<&[u8]> = b"the body".chunks(cut).collect();
    let cut = FingerprintInput {
        body: &body,
        ..INPUT
    };
    assert_eq!(key.identify(&INPUT), key.identify(&cut));
}

#[test]
fn another_key_gives_another_fingerprint() {
    assert_ne!(
        FingerprintKey::generate(7).identify(&INPUT),
        FingerprintKey::generate(8).identify(&INPUT)
    );
}

#[test]
fn logs_show_neither_the_key_nor_the_whole_fingerprint() {
    let key = FingerprintKey::generate(7);
    assert_eq!(format!("{key:?}"), "FingerprintKey(..)");
    assert_eq!(key.identify(&INPUT).to_string().len(), 2 * SHOWN_BYTES);
}

#[test]
fn prefixes_match_the_fingerprint_as_logs_show_it() {
    let key = FingerprintKey::generate(7);
    let (fingerprint, other) = (
        key.identify(&INPUT),
        key.identify(&FingerprintInput::default()),
    );
    for shown in [
        format!("{fingerprint}"),
        format!("{fingerprint:#}"),
        format!("{fingerprint}").to_uppercase(),
    ] {
        let prefix = FingerprintPrefix::parse(&shown).unwrap();
        assert!(prefix.matches(fingerprint) && !prefix.matches(other));
    }
    let too_short = &format!("{fingerprint}")[1..];
    assert_eq!(FingerprintPrefix::parse(too_short), None);
    assert_eq!(FingerprintPrefix::parse("not hex digits"), None);
}

/// Prints the time of computing a fingerprint by body size, as given in docs/design/quarantine.md.
#[test]
#[ignore = "prints figures"]
fn figures_of_identifying() {
    const ROUNDS: u32 = 2_000;
    let key = FingerprintKey::generate(7);
    for bytes in [600, 1_700, 18_000, 110_000] {
        let body = vec![7; bytes];
        let start = std::time::Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(key.identify(&FingerprintInput {
                body: &[&body],
                ..INPUT
            }));
        }
        println!(
            "{bytes} bytes: {:.1} us",
            start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
        );
    }
}

fn prompt(parts: &[&str]) -> Prompt {
    let part = |id: &&str| crate::PromptPart {
        id: (*id).to_owned(),
        tokens: 100,
    };
    Prompt {
        model: crate::ModelName::new("m"),
        parts: parts.iter().map(part).collect(),
        output: 10,
    }
}

#[test]
fn requests_that_share_a_prompt_part_share_its_fingerprint_whatever_else_differs() {
    let key = FingerprintKey::generate(7);
    let one = RequestFingerprints::new(&key, &INPUT, Some(&prompt(&["a", "b", "c"])));
    let other = FingerprintInput {
        tenant: "t2",
        host: "b.example",
        body: &[b"another body"],
        ..INPUT
    };
    let other = RequestFingerprints::new(&key, &other, Some(&prompt(&["b", "d"])));
    assert_ne!(one.request(), other.request());
    assert_eq!(one.parts()[1], other.parts()[0]);
    assert!(one.parts()[0] != other.parts()[0]);
}

#[test]
fn the_last_prompt_part_has_no_fingerprint() {
    let key = FingerprintKey::generate(7);
    let fingerprints = RequestFingerprints::new(&key, &INPUT, Some(&prompt(&["a", "b", "a", "c"])));
    assert_eq!(
        fingerprints.parts(),
        [key.identify_part("a"), key.identify_part("b")]
    );
    let of_one_part = RequestFingerprints::new(&key, &INPUT, Some(&prompt(&["c"])));
    assert_eq!(of_one_part.parts(), []);
}

#[test]
fn fingerprints_tell_prompt_parts_from_requests() {
    let key = FingerprintKey::generate(7);
    assert_eq!(key.identify(&INPUT).scope(), FingerprintScope::Request);
    assert_eq!(key.identify_part("a").scope(), FingerprintScope::PromptPart);
    assert_ne!(
        key.identify_part("a").to_string(),
        key.identify_part("b").to_string()
    );
}
