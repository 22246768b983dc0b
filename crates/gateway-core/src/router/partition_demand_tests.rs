//! Tests of the share of a pool that short prompts need.

use rstest::rstest;

use super::*;

fn demand(in_flight: f64, long_prefills: f64) -> LoadOfPool {
    LoadOfPool {
        back_ends: 60.0,
        slots: 600.0,
        long_prefills,
        in_flight,
    }
}

const LONG_PREFILL: Duration = Duration::from_millis(250);

fn pool() -> PoolName {
    PoolName::new("models")
}

fn needs(target_ms: u64) -> PartitionDemand {
    let mut needs = PartitionDemand::default();
    needs.update(at(0), &pool(), &demand(0.0, 0.0));
    needs.note_target(&pool(), Duration::from_millis(target_ms));
    needs
}

fn share(needs: &PartitionDemand) -> f64 {
    needs.short_share(&pool(), 0.4, LONG_PREFILL)
}

fn at(ms: u64) -> Timestamp {
    Timestamp(1).plus(Duration::from_millis(ms))
}

#[rstest]
#[case::room_for_both(90.0, 10.0, 0.4..=0.4)]
#[case::a_surge_of_short_prompts(500.0, 6.0, 0.91..=0.92)]
#[case::a_surge_of_long_prompts(90.0, 50.0, 0.08..=0.17)]
#[case::too_much_of_both(400.0, 60.0, 0.42..=0.44)]
fn each_kind_gets_what_it_needs_if_there_is_room(
    #[case] in_flight: f64,
    #[case] long_prefills: f64,
    #[case] expected: std::ops::RangeInclusive<f64>,
) {
    let mut needs = needs(400);
    needs.update(at(1), &pool(), &demand(in_flight, long_prefills));
    let share = share(&needs);
    assert!(expected.contains(&share), "{share}");
}

/// A surge of five seconds is over before a router with some ten requests a second has seen a hundred of its prompts.
#[test]
fn a_surge_is_followed_at_once_and_forgotten_within_seconds() {
    let mut needs = needs(400);
    needs.update(at(0), &pool(), &demand(60.0, 6.0));
    needs.update(at(100), &pool(), &demand(500.0, 6.0));
    assert!(share(&needs) > 0.8);
    needs.update(at(600), &pool(), &demand(60.0, 6.0));
    assert!(share(&needs) > 0.7, "kept for a while");
    (7..70).for_each(|step| needs.update(at(step * 100), &pool(), &demand(60.0, 6.0)));
    assert!(share(&needs) < 0.45);
}

#[test]
fn prompts_that_can_wait_for_long_ones_get_no_more_than_their_share_of_the_work() {
    let mut needs = needs(2_500);
    needs.update(at(1), &pool(), &demand(500.0, 6.0));
    assert_eq!(share(&needs), 0.4);
}
