use proptest::prelude::*;
use rstest::rstest;

use super::*;

fn configuration(version: u64, routes: usize) -> Vec<u8> {
    let routes: Vec<String> = (0..routes)
        .map(|route| {
            format!(
                r#"{{"name":"r-{route}","host":"h{}.example"}}"#,
                route * 7919
            )
        })
        .collect();
    format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

#[rstest]
#[case::from_nothing(Vec::new(), configuration(1, 100))]
#[case::one_route_more(configuration(1, 1_400), configuration(2, 1_401))]
#[case::routes_removed(configuration(1, 1_400), configuration(2, 3))]
#[case::to_an_empty_body(configuration(1, 10), Vec::new())]
fn a_patch_leads_from_its_base_to_its_result(#[case] base: Vec<u8>, #[case] body: Vec<u8>) {
    let patch = ConfigurationPatch::between(&base, &body).unwrap();
    assert_eq!(patch.apply(&base), Ok(body));
}

#[test]
fn one_changed_route_costs_no_more_than_itself() {
    let base = configuration(1, 9_000);
    let patch = ConfigurationPatch::between(&base, &configuration(2, 9_001)).unwrap();
    assert!(patch.bytes() < 1_024, "{} bytes", patch.bytes());
}

#[test]
fn a_patch_is_not_applied_to_another_configuration() {
    let patch = ConfigurationPatch::between(&configuration(1, 10), &configuration(2, 10)).unwrap();
    let applied = patch.apply(&configuration(3, 10));
    assert_eq!(applied, Err(PatchError::OtherBase));
}

#[test]
fn a_patch_that_leads_elsewhere_is_refused() {
    let mut patch = ConfigurationPatch::between(&[], &configuration(2, 10)).unwrap();
    patch.result = ConfigurationHash::of(b"another");
    assert_eq!(patch.apply(&[]), Err(PatchError::OtherResult));
}

proptest! {
    #[test]
    fn damaged_patches_are_refused(position in any::<usize>(), change in 1u8..) {
        let base = configuration(1, 50);
        let mut patch = ConfigurationPatch::between(&base, &configuration(2, 60)).unwrap();
        let position = position % patch.compressed.bytes.len();
        patch.compressed.bytes[position] ^= change;
        let applied = patch.apply(&base);
        prop_assert!(applied.is_err() || applied == Ok(configuration(2, 60)));
    }
}
