//! Tests of the router's own answers to requests that no back end answered.

use rstest::rstest;

use super::*;
use drumshore_gateway_core::Overload;

const NONE_READY: Option<ChoiceError> = Some(ChoiceError::NoneReady);
const NO_BUDGET: Option<ChoiceError> = Some(ChoiceError::NoBudget);
const NONE_LEFT: Option<ChoiceError> = Some(ChoiceError::NoneLeft);

const OVERLOADED: Option<ChoiceError> = Some(ChoiceError::Overloaded(Overload {
    retry_after: Duration::from_millis(1_300),
    utilization_percent: 110,
    refused_percent: 30,
    tenant_share: None,
}));

/// Only a request that certainly has not run is answered with 503, and every such answer says when to retry, also when
/// the deadline has passed.
#[rstest]
#[case::no_back_end_ready(Execution::NotRun, NONE_READY, false, 503, true)]
#[case::no_back_end_ready_and_late(Execution::NotRun, NONE_READY, true, 503, true)]
#[case::turned_away_everywhere(Execution::NotRun, NONE_LEFT, false, 503, true)]
#[case::turned_away_and_no_retry_left(Execution::NotRun, NO_BUDGET, false, 503, true)]
#[case::turned_away_as_often_as_allowed(Execution::NotRun, None, false, 503, true)]
#[case::turned_away_until_late(Execution::NotRun, None, true, 503, true)]
#[case::overloaded(Execution::NotRun, OVERLOADED, false, 503, true)]
#[case::connection_broke(Execution::MayHaveRun, None, false, 502, false)]
#[case::connection_broke_and_none_left(Execution::MayHaveRun, NONE_LEFT, false, 502, false)]
#[case::connection_broke_and_no_retry_left(Execution::MayHaveRun, NO_BUDGET, false, 502, false)]
#[case::connection_broke_and_none_ready(Execution::MayHaveRun, NONE_READY, false, 502, false)]
#[case::unresponsive_until_late(Execution::MayHaveRun, None, true, 504, false)]
#[case::failed_everywhere(Execution::Ran, NONE_LEFT, false, 502, false)]
#[case::failed_and_none_ready(Execution::Ran, NONE_READY, false, 502, false)]
#[case::failed_until_late(Execution::Ran, NO_BUDGET, true, 504, false)]
fn only_a_request_that_has_not_run_is_answered_with_503(
    #[case] worst: Execution,
    #[case] error: Option<ChoiceError>,
    #[case] is_late: bool,
    #[case] status: u16,
    #[case] has_retry_after: bool,
) {
    let given_up = final_answer(worst, Unserved::NoBackEnd(error), is_late);
    assert_eq!(given_up.status.as_u16(), status);
    assert_eq!(given_up.retry_after.is_some(), has_retry_after);
}

/// No caller is asked to retry before the limit allows its request, and retries are spread after that moment.
#[rstest]
#[case::soonest(100, 0.0, 100)]
#[case::latest(100, 1.0, 400)]
#[case::without_debt(0, 0.5, 100)]
#[case::very_long(600_000, 1.0, 30_000)]
fn callers_over_their_limit_retry_when_it_allows_the_request(
    #[case] wait_ms: u64,
    #[case] sample: f64,
    #[case] after_ms: u64,
) {
    let after = retry_after_limit(Duration::from_millis(wait_ms), sample);
    assert_eq!(after, Duration::from_millis(after_ms));
}

#[test]
fn an_overloaded_pool_sets_the_time_of_the_retry() {
    let given_up = final_answer(Execution::NotRun, Unserved::NoBackEnd(OVERLOADED), false);
    let answer = (given_up.reason, given_up.retry_after);
    assert_eq!(answer, ("overloaded", Some(Duration::from_millis(1_300))));
}

#[rstest]
#[case::not_run(Execution::NotRun, StatusCode::SERVICE_UNAVAILABLE)]
#[case::sent(Execution::MayHaveRun, StatusCode::GATEWAY_TIMEOUT)]
#[case::ran(Execution::Ran, StatusCode::GATEWAY_TIMEOUT)]
fn a_process_that_exits_tells_whether_the_request_may_have_run(
    #[case] worst: Execution,
    #[case] status: StatusCode,
) {
    let own_answer = final_answer(worst, Unserved::Exiting, false);
    assert_eq!(own_answer.status, status);
    let is_promise = status == StatusCode::SERVICE_UNAVAILABLE;
    assert_eq!(own_answer.retry_after.is_some(), is_promise);
}
