use rstest::rstest;

use super::*;

/// Loads `count` back ends with a free place taken at once, each load as long as `base` times the loads in progress
/// over `shared_by`, if that is more. Returns the durations' state, the time of the last finish, and the largest number
/// in progress after the first half.
fn load_all(limit: usize, shared_by: f64, count: usize) -> (LoadDurations, u64, usize) {
    let base = 1_100.0;
    let mut durations = LoadDurations::default();
    let mut running: Vec<(u64, String)> = Vec::new();
    let (mut now, mut next, mut most_late) = (0_u64, 0, 0);
    while next < count || !running.is_empty() {
        running.sort();
        while running.first().is_some_and(|(end, _)| *end <= now) {
            let (end, name) = running.remove(0);
            durations.on_finished(Timestamp(end * 1_000), "pool", &name);
        }
        while next < count && running.len() < limit.min(durations.useful("pool")) {
            let name = format!("i-{next}");
            let concurrent = running.len() + 1;
            let duration = base * (concurrent as f64 / shared_by).max(1.0);
            durations.on_ordered(&name, Timestamp(now * 1_000), concurrent);
            running.push((now + duration as u64, name));
            next += 1;
            if next > count / 2 {
                most_late = most_late.max(concurrent);
            }
        }
        now += 10;
    }
    (durations, now, most_late)
}

#[test]
fn the_limit_settles_where_further_loads_only_make_all_of_them_longer() {
    let (durations, learned_end, most_late) = load_all(45, 18.0, 360);
    let useful = durations.useful("pool");
    assert!((15..=22).contains(&useful), "{useful}");
    assert!((15..=22).contains(&most_late), "{most_late}");
    let floor = 360.0 / 18.0 * 1_100.0;
    assert!(
        (learned_end as f64) < floor * 1.15,
        "{learned_end} of {floor}"
    );
}

#[rstest]
#[case::a_few(4)]
#[case::many(60)]
fn loads_that_do_not_disturb_each_other_are_not_limited(#[case] limit: usize) {
    let (durations, ..) = load_all(limit, 1_000.0, 120);
    assert!(durations.useful("pool") >= limit);
}

#[test]
fn single_long_loads_do_not_limit_the_others() {
    let mut durations = LoadDurations::default();
    for number in 0..40_u64 {
        let name = format!("i-{number}");
        let duration = if number % 4 == 3 { 9_000 } else { 1_000 };
        durations.on_ordered(&name, Timestamp(0), 10);
        durations.on_finished(Timestamp(duration * 1_000), "pool", &name);
    }
    assert_eq!(durations.useful("pool"), usize::MAX);
}

#[test]
fn a_load_whose_order_was_not_answered_is_not_learned_from() {
    let mut durations = LoadDurations::default();
    durations.on_ordered("i-1", Timestamp(0), 1);
    durations.forget("i-1");
    durations.on_finished(Timestamp(9_000_000), "pool", "i-1");
    assert_eq!(durations.expected("pool"), INITIAL_DURATION);
}

#[test]
fn weights_that_take_longer_to_load_become_the_expectation() {
    let mut durations = LoadDurations::default();
    for number in 0..400 {
        let name = format!("i-{number}");
        let duration = if number < 10 { 500_000 } else { 2_000_000 };
        durations.on_ordered(&name, Timestamp(0), 1);
        durations.on_finished(Timestamp(duration), "pool", &name);
    }
    assert!(durations.expected("pool") > Duration::from_millis(1_900));
}
