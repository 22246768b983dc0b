//! Tests of the prediction of the time until an answer begins.

use std::rc::Rc;

use rstest::rstest;

use super::super::tests::{admit_model_request, prompt_of, router_with_slots};
use super::*;
use crate::RequestKind;

fn route() -> Rc<Route> {
    let mut router = router_with_slots(4);
    admit_model_request(&mut router, RequestKind::Stream).route
}

#[test]
fn without_answers_a_part_of_the_target_is_predicted() {
    let prediction = ServicePrediction::default();
    let route = route();
    assert_eq!(
        prediction.predict(&route, &prompt_of(300)),
        route.target / 2
    );
}

#[rstest]
#[case::steady(&[300, 300, 300, 300], 300, 330)]
#[case::varying(&[100, 500, 100, 500], 400, 900)]
fn a_prediction_exceeds_the_mean_by_the_variation(
    #[case] took_ms: &[u64],
    #[case] at_least_ms: u128,
    #[case] at_most_ms: u128,
) {
    let mut prediction = ServicePrediction::default();
    let route = route();
    for took in took_ms.iter().cycle().take(100) {
        prediction.record(&route, &prompt_of(300), Duration::from_millis(*took));
    }
    let predicted = prediction.predict(&route, &prompt_of(300)).as_millis();
    assert!(
        (at_least_ms..=at_most_ms).contains(&predicted),
        "{predicted} ms"
    );
}

#[rstest]
#[case::of_its_length(10_000, 900)]
#[case::next_shorter(30_000, 900)]
#[case::next_longer(50, 200)]
fn answers_to_prompts_of_similar_length_count(#[case] tokens: u32, #[case] expected_ms: u64) {
    let mut prediction = ServicePrediction::default();
    let route = route();
    for _ in 0..200 {
        prediction.record(&route, &prompt_of(300), Duration::from_millis(200));
        prediction.record(&route, &prompt_of(9_000), Duration::from_millis(900));
    }
    let predicted = prediction.predict(&route, &prompt_of(tokens));
    assert_eq!(predicted.as_millis() as u64, expected_ms);
}
