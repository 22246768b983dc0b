use rstest::rstest;

use super::*;

#[rstest]
#[case::idle(0, 12, 0, 0.0)]
#[case::half_of_the_slots(6, 12, 100, 0.5)]
#[case::half_a_chunk_waits(1, 12, 2_048, 0.5)]
#[case::a_queue_counts_as_full(40, 12, 90_000, 1.0)]
#[case::slots_unknown(1, 0, 0, 1.0)]
fn the_scarcer_of_slots_and_prefill_counts(
    #[case] in_flight: u32,
    #[case] slots: u32,
    #[case] pending_tokens: u32,
    #[case] expected: f64,
) {
    let actual = occupancy(in_flight, slots, pending_tokens);
    assert!((actual - expected).abs() < 0.01, "{actual}");
}
