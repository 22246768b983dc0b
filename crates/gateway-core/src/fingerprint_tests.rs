//! What makes requests the same work.

use rstest::rstest;

use super::*;

const WORK: FingerprintInput<'static> = FingerprintInput {
    method: "POST",
    host: "a.example",
    target: "/x/one?part=2",
    tenant: "t1",
    body: b"the body",
};

#[test]
fn the_same_work_has_the_same_identifier() {
    let (key, same) = (FingerprintKey::generate(7), FingerprintKey::generate(7));
    assert_eq!(key.identify(&WORK), same.identify(&WORK));
}

#[rstest]
#[case::method(FingerprintInput { method: "GET", ..WORK })]
#[case::host(FingerprintInput { host: "b.example", ..WORK })]
#[case::target(FingerprintInput { target: "/x/one?part=3", ..WORK })]
#[case::caller(FingerprintInput { tenant: "t2", ..WORK })]
#[case::body(FingerprintInput { body: b"another body", ..WORK })]
#[case::moved_border(FingerprintInput { target: "/x/one?part=2t", tenant: "1", ..WORK })]
fn other_work_has_another(#[case] other: FingerprintInput<'_>) {
    let key = FingerprintKey::generate(7);
    assert_ne!(key.identify(&WORK), key.identify(&other));
}

#[test]
fn nobody_without_the_key_can_make_one() {
    assert_ne!(
        FingerprintKey::generate(7).identify(&WORK),
        FingerprintKey::generate(8).identify(&WORK)
    );
}

#[test]
fn logs_show_neither_key_nor_whole_identifier() {
    let key = FingerprintKey::generate(7);
    assert_eq!(format!("{key:?}"), "WorkKey(..)");
    assert_eq!(key.identify(&WORK).to_string().len(), 2 * SHOWN_BYTES);
}

#[test]
fn an_operator_names_work_as_logs_show_it() {
    let key = FingerprintKey::generate(7);
    let (fingerprint, other) = (
        key.identify(&WORK),
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
    let cut = &format!("{fingerprint}")[1..];
    assert_eq!(FingerprintPrefix::parse(cut), None);
    assert_eq!(FingerprintPrefix::parse("ends back ends"), None);
}

/// What identifying costs on the path; prints the figures that docs/design/quarantine.md gives.
#[test]
#[ignore = "prints figures"]
fn figures_of_identifying() {
    const ROUNDS: u32 = 2_000;
    let key = FingerprintKey::generate(7);
    for bytes in [600, 1_700, 18_000, 110_000] {
        let body = vec![7; bytes];
        let begun = std::time::Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(key.identify(&FingerprintInput {
                body: &body,
                ..WORK
            }));
        }
        println!(
            "{bytes} bytes: {:.1} us",
            begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
        );
    }
}
