use rstest::rstest;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn due(time_left: Duration, count: usize) -> BTreeMap<Duration, usize> {
    BTreeMap::from([(time_left, count)])
}

fn situation() -> PoolSituation {
    PoolSituation {
        back_ends: 90,
        occupied: 0.0,
        unfinished: due(12 * SECOND, 90),
        cycle: Duration::from_millis(1_350),
        useful: 90,
    }
}

#[rstest]
#[case::idle(0.0, 23)]
#[case::half_occupied(45.0, 23)]
#[case::little_to_spare(56.0, 10)]
#[case::nothing_to_spare(70.0, 0)]
#[case::overloaded(90.0, 0)]
fn a_pool_loads_as_many_as_it_can_spare(#[case] occupied: f64, #[case] places: usize) {
    let pool = PoolSituation {
        occupied,
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, places);
}

/// 90 back ends load in 6 cycles of 1.35 s, 15 at a time.
#[rstest]
#[case::can_wait(8_200, 90, 0)]
#[case::has_to_begin(8_000, 90, 15)]
#[case::few_can_wait_longer(1_400, 5, 0)]
#[case::few_have_to_begin(1_300, 5, 5)]
#[case::past_the_deadline(0, 90, 23)]
fn an_overloaded_pool_waits_as_long_as_a_few_at_a_time_meet_the_deadline(
    #[case] time_left_ms: u64,
    #[case] unfinished: usize,
    #[case] places: usize,
) {
    let pool = PoolSituation {
        occupied: 90.0,
        unfinished: due(Duration::from_millis(time_left_ms), unfinished),
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, places);
}

/// Orders that were carried out late and back ends that crashed made loads look so long that only one at a time seemed
/// useful; nearly all back ends then kept their old weights beyond the deadline.
#[rstest]
#[case::overloaded(90.0)]
#[case::idle(0.0)]
fn loads_that_look_long_do_not_stop_a_rollout(#[case] occupied: f64) {
    let pool = PoolSituation {
        occupied,
        unfinished: due(SECOND, 78),
        useful: 1,
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, 15);
}

#[test]
fn an_overloaded_pool_finishes_by_its_deadline() {
    // A load takes one cycle; each free place is taken at once.
    let mut pool = PoolSituation {
        occupied: 90.0,
        ..situation()
    };
    let step = Duration::from_millis(50);
    let mut ends: Vec<Duration> = Vec::new();
    let mut now = Duration::ZERO;
    let mut waiting = 90;
    while waiting > 0 {
        ends.retain(|end| *end > now);
        let time_left = (12 * SECOND).saturating_sub(now);
        pool.unfinished = due(time_left, waiting + ends.len());
        let places = LoadPace::of(&pool).places;
        while ends.len() < places && waiting > 0 {
            ends.push(now + pool.cycle);
            waiting -= 1;
        }
        now += step;
        assert!(now < 20 * SECOND);
    }
    let last = ends.into_iter().max().unwrap();
    assert!(last <= 12 * SECOND + pool.cycle, "{last:?}");
}

#[test]
fn more_loads_than_help_are_never_started() {
    let pool = PoolSituation {
        useful: 18,
        unfinished: due(Duration::ZERO, 90),
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, 18);
}

#[rstest]
#[case::one(1, 2)]
#[case::eight(8, 2)]
#[case::nine(9, 3)]
#[case::many(10_000, 2_500)]
fn at_most_a_quarter_of_a_pool_loads_past_the_deadline(
    #[case] back_ends: usize,
    #[case] places: usize,
) {
    let pool = PoolSituation {
        back_ends,
        unfinished: due(Duration::ZERO, back_ends.max(2)),
        useful: back_ends.max(2),
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, places);
}

#[test]
fn back_ends_of_a_later_name_have_until_its_deadline() {
    // 20 hold weights that were replaced some time ago; the others loaded those that were replaced just now.
    let pool = PoolSituation {
        occupied: 90.0,
        unfinished: BTreeMap::from([(3 * SECOND, 20), (12 * SECOND, 70)]),
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).needed, 0);
    let alike = PoolSituation {
        unfinished: due(3 * SECOND, 90),
        ..pool
    };
    assert_eq!(LoadPace::of(&alike).needed, 15);
}
