use rstest::rstest;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn situation() -> PoolSituation {
    PoolSituation {
        back_ends: 90,
        occupied: 0.0,
        unfinished: 90,
        time_left: 12 * SECOND,
        cycle: Duration::from_millis(1_350),
        useful: 90,
    }
}

#[rstest]
#[case::idle(0.0, 23)]
#[case::half_occupied(45.0, 23)]
#[case::little_to_spare(56.0, 10)]
#[case::nothing_to_spare(70.0, 10)]
#[case::overloaded(90.0, 10)]
fn a_pool_loads_as_many_as_it_can_spare_and_at_least_what_its_deadline_needs(
    #[case] occupied: f64,
    #[case] places: usize,
) {
    let pool = PoolSituation {
        occupied,
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, places);
}

#[test]
fn an_overloaded_pool_with_few_outdated_back_ends_waits() {
    let pool = PoolSituation {
        occupied: 90.0,
        unfinished: 5,
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, 0);
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
    let mut waiting = pool.unfinished;
    while waiting > 0 {
        pool.time_left = situation().time_left.saturating_sub(now);
        ends.retain(|end| *end > now);
        pool.unfinished = waiting + ends.len();
        let places = LoadPace::of(&pool).places;
        while ends.len() < places && waiting > 0 {
            ends.push(now + pool.cycle);
            waiting -= 1;
        }
        now += step;
        assert!(now < 20 * SECOND);
    }
    let last = ends.into_iter().max().unwrap();
    assert!(last <= situation().time_left + pool.cycle, "{last:?}");
}

#[test]
fn more_loads_than_help_are_never_started() {
    let pool = PoolSituation {
        useful: 18,
        time_left: Duration::ZERO,
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
        unfinished: back_ends.max(2),
        useful: back_ends.max(2),
        time_left: Duration::ZERO,
        ..situation()
    };
    assert_eq!(LoadPace::of(&pool).places, places);
}
