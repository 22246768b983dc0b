//! Tests of the error of predicted waits.

use rstest::rstest;

use super::*;

const PREDICTED: Duration = Duration::from_millis(1_000);

#[rstest]
#[case::as_predicted(&[1_000], 1_000, 1_000)]
#[case::shorter_than_predicted(&[600], 590, 620)]
#[case::much_shorter_than_predicted(&[100], 400, 400)]
#[case::longer_than_predicted(&[1_500], 1_450, 1_600)]
#[case::varying(&[500, 1_500], 1_400, 1_600)]
#[case::out_of_all_proportion(&[90_000], 3_900, 4_100)]
fn predictions_are_corrected_by_their_error(
    #[case] waited_ms: &[u64],
    #[case] at_least_ms: u128,
    #[case] at_most_ms: u128,
) {
    let mut error = WaitError::default();
    for waited in waited_ms.iter().cycle().take(200) {
        error.record(PREDICTED, Duration::from_millis(*waited));
    }
    let corrected = error.corrected(PREDICTED).as_millis();
    assert!(
        (at_least_ms..=at_most_ms).contains(&corrected),
        "{corrected} ms"
    );
}

#[test]
fn short_predictions_tell_nothing() {
    let mut error = WaitError::default();
    error.record(Duration::from_millis(1), Duration::from_millis(20));
    assert_eq!(error.corrected(PREDICTED), PREDICTED);
}
