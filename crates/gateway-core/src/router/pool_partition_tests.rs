//! Tests of the partition of a pool.

use super::*;

fn class(factor: f64) -> SpeedClass {
    SpeedClass::default().updated(factor)
}

fn shorts(partition: &PoolPartition, back_ends: &[(SpeedClass, u64)]) -> Vec<usize> {
    let is_short = |position: &(SpeedClass, u64)| Some(*position) <= partition.last_short;
    let classes = (0..SpeedClass::COUNT).map(|class| {
        let of_class = back_ends.iter().filter(|(other, _)| other.index() == class);
        of_class.filter(|position| is_short(position)).count()
    });
    classes.filter(|count| *count > 0).collect()
}

#[test]
fn short_prompts_get_their_share_of_the_capacity_from_the_slowest_back_ends() {
    let factors = [2.0, 1.0, 0.5];
    let back_ends = (0..30).map(|number| (class(factors[number % 3]), number as u64));
    let back_ends: Vec<(SpeedClass, u64)> = back_ends.collect();
    // Ten back ends of each speed 0.5, 1 and 2 are 35 in all.
    assert_eq!(shorts(&PoolPartition::of(&back_ends, 0.1), &back_ends), [7]);
    assert_eq!(
        shorts(&PoolPartition::of(&back_ends, 0.2), &back_ends),
        [10, 2]
    );
    assert_eq!(
        shorts(&PoolPartition::of(&back_ends, 0.6), &back_ends),
        [10, 10, 3]
    );
}

#[test]
fn each_kind_keeps_a_back_end() {
    let back_ends: Vec<(SpeedClass, u64)> = (0..5).map(|number| (class(1.0), number)).collect();
    assert_eq!(shorts(&PoolPartition::of(&back_ends, 0.0), &back_ends), [1]);
    assert_eq!(shorts(&PoolPartition::of(&back_ends, 1.0), &back_ends), [4]);
}
