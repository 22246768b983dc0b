//! Tests of which changes of load are reported at once.

use rstest::rstest;

use super::*;

fn load(key: u32, pending: u16) -> LoadEntry {
    LoadEntry {
        key,
        pending,
        in_flight: 1,
    }
}

#[rstest]
#[case::nothing_changed(&[load(1, 40)], &[load(1, 40)], false)]
#[case::a_short_prompt_began(&[], &[load(1, 6)], false)]
#[case::a_long_prompt_began(&[], &[load(1, 32)], true)]
#[case::a_long_prompt_was_answered(&[load(1, 100)], &[load(1, 10)], true)]
#[case::its_back_end_is_idle(&[load(1, 100)], &[], true)]
#[case::several_short_prompts_at_different_back_ends(
    &[load(1, 10), load(2, 10)], &[load(1, 20), load(2, 20), load(3, 20)], false)]
fn a_long_prompt_is_reported_at_once(
    #[case] before: &[LoadEntry],
    #[case] after: &[LoadEntry],
    #[case] expected: bool,
) {
    assert_eq!(is_urgent(before, after), expected);
}
