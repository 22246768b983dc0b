//! Tests of the answers to requests that no back end answered.

use rstest::rstest;

use super::*;

const NONE_READY: Option<ChoiceError> = Some(ChoiceError::NoneReady);
const NO_BUDGET: Option<ChoiceError> = Some(ChoiceError::NoBudget);
const NONE_LEFT: Option<ChoiceError> = Some(ChoiceError::NoneLeft);

/// Only a request that has surely not run is answered with 503, and every such answer says when
/// to try again; time that has run out changes nothing about that.
#[rstest]
#[case::no_back_end_ready(Execution::NotRun, NONE_READY, false, 503, true)]
#[case::no_back_end_ready_and_late(Execution::NotRun, NONE_READY, true, 503, true)]
#[case::turned_away_everywhere(Execution::NotRun, NONE_LEFT, false, 503, true)]
#[case::turned_away_and_no_retry_left(Execution::NotRun, NO_BUDGET, false, 503, true)]
#[case::turned_away_as_often_as_allowed(Execution::NotRun, None, false, 503, true)]
#[case::turned_away_until_late(Execution::NotRun, None, true, 503, true)]
#[case::connection_broke(Execution::MayHaveRun, None, false, 502, false)]
#[case::connection_broke_and_none_left(Execution::MayHaveRun, NONE_LEFT, false, 502, false)]
#[case::connection_broke_and_no_retry_left(Execution::MayHaveRun, NO_BUDGET, false, 502, false)]
#[case::connection_broke_and_none_ready(Execution::MayHaveRun, NONE_READY, false, 502, false)]
#[case::silent_until_late(Execution::MayHaveRun, None, true, 504, false)]
#[case::failed_everywhere(Execution::Ran, NONE_LEFT, false, 502, false)]
#[case::failed_and_none_ready(Execution::Ran, NONE_READY, false, 502, false)]
#[case::failed_until_late(Execution::Ran, NO_BUDGET, true, 504, false)]
fn each_end_of_the_last_attempt_has_its_answer(
    #[case] worst: Execution,
    #[case] error: Option<ChoiceError>,
    #[case] is_late: bool,
    #[case] status: u16,
    #[case] says_when: bool,
) {
    let given_up = final_answer(worst, error, is_late);
    assert_eq!(given_up.status.as_u16(), status);
    assert_eq!(given_up.retry_after.is_some(), says_when);
}
