//! Majorities of the voters.

use std::cmp::Reverse;

use crate::{Membership, ReplicaId};

/// The number of voters that form a majority.
pub(crate) fn majority(membership: &Membership) -> usize {
    membership.voters().count() / 2 + 1
}

/// True when `holds` is true for a majority of the voters.
pub(crate) fn is_quorum(membership: &Membership, holds: impl Fn(ReplicaId) -> bool) -> bool {
    membership.voters().filter(|id| holds(*id)).count() >= majority(membership)
}

/// The highest value that a majority of the voters has reached or exceeded.
pub(crate) fn reached_by_majority<T: Ord + Copy + Default>(
    membership: &Membership,
    value_of: impl Fn(ReplicaId) -> T,
) -> T {
    let mut values: Vec<Reverse<T>> = membership
        .voters()
        .map(|id| Reverse(value_of(id)))
        .collect();
    values.sort_unstable();
    values
        .get(majority(membership) - 1)
        .map_or_else(T::default, |value| value.0)
}
