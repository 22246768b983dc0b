//! Tests of the cost of short and long prompts.

use rstest::rstest;

use super::*;
use crate::ModelName;

fn prompt(shared: u32, own: u32, output: u32) -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    Prompt {
        model: ModelName::new("model"),
        parts: vec![part("shared", shared), part("own", own)],
        output,
    }
}

#[rstest]
#[case::large_batches(64, 0.14..0.16)]
#[case::small_batches(16, 0.17..0.20)]
#[case::one_at_a_time(1, 0.50..0.60)]
fn the_share_of_short_prompts_grows_as_batches_get_smaller(
    #[case] slots: u32,
    #[case] expected: std::ops::Range<f64>,
) {
    // As many short prompts as long ones, with the token counts of the sqbc-large workload.
    let mut mix = PromptMix::default();
    for _ in 0..100 {
        mix.record_prompt(&prompt(6_300, 2_890, 5), 4_465, slots);
        mix.record_prompt(&prompt(198, 628, 29), 677, slots);
    }
    let share = mix.short_share().unwrap();
    assert!(expected.contains(&share), "{share}");
}

#[test]
fn a_pool_is_not_partitioned_for_prompts_of_one_kind() {
    let mut mix = PromptMix::default();
    (0..100).for_each(|_| mix.record_prompt(&prompt(6_300, 2_890, 5), 4_465, 16));
    assert_eq!(mix.short_share(), None);
}
