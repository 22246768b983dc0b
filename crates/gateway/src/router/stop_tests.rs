use rstest::rstest;

use super::*;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[rstest]
#[case::none(ms(0), ms(0), ms(0), ms(0))]
#[case::short(ms(2_000), ms(700), ms(1_750), ms(1_875))]
#[case::usual(ms(8_000), ms(2_800), ms(7_600), ms(7_800))]
#[case::long(ms(30_000), ms(2_800), ms(29_600), ms(29_800))]
fn a_process_exits_within_its_grace_period(
    #[case] grace: Duration,
    #[case] unbounded_admission: Duration,
    #[case] final_answers: Duration,
    #[case] exit: Duration,
) {
    let schedule = StopSchedule {
        unbounded_admission,
        final_answers,
        exit,
    };
    assert_eq!(StopSchedule::of(grace), schedule);
}
