//! Tests of the wait for the first confirmed view: it is bounded in time and in the number of requests.

use rstest::rstest;

use super::*;

const fn ms(value: u64) -> Timestamp {
    Timestamp(value * 1_000)
}

#[rstest]
#[case::just_started(ms(100), ms(100), Some(800))]
#[case::has_waited(ms(600), ms(100), Some(300))]
#[case::waited_long_enough(ms(900), ms(100), None)]
#[case::start_period_nearly_over(ms(950), ms(950), Some(50))]
#[case::started_long_ago(ms(1_000), ms(1_000), None)]
#[case::no_longer_confirmed(ms(60_000), ms(60_000), None)]
fn requests_wait_only_in_the_start_period(
    #[case] now: Timestamp,
    #[case] received: Timestamp,
    #[case] expected_ms: Option<u64>,
) {
    let view = FirstView::default();
    let expected = expected_ms.map(Duration::from_millis);
    assert_eq!(view.remaining_wait(now, received), expected);
}

#[test]
fn waiting_requests_are_bounded_and_a_disconnect_frees_a_slot() {
    let view = FirstView::default();
    let mut waiting: Vec<Waiting<'_>> = (0..MAX_WAITING_REQUESTS).map(|_| view.waiting()).collect();
    assert_eq!(view.remaining_wait(ms(1), ms(1)), None);
    waiting.pop();
    assert!(view.remaining_wait(ms(1), ms(1)).is_some());
}

#[tokio::test(flavor = "current_thread")]
async fn a_confirmation_wakes_all_waiting_requests() {
    let view = FirstView::default();
    let (first, second) = (view.confirmed(), view.confirmed());
    view.on_confirmed();
    first.await;
    second.await;
}
