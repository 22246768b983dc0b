//! The least few of many, without putting all of them in order.

/// The `count` items with the least keys, the least first; each key is computed once.
pub(super) fn least_by_key<T, K: Ord>(
    items: impl Iterator<Item = T>,
    count: usize,
    key: impl Fn(&T) -> K,
) -> Vec<T> {
    let mut least: Vec<(K, T)> = Vec::with_capacity(count + 1);
    for item in items {
        let key = key(&item);
        if least.len() == count && least.last().is_none_or(|(most, _)| key >= *most) {
            continue;
        }
        let place = least.partition_point(|(known, _)| *known <= key);
        least.insert(place, (key, item));
        least.truncate(count);
    }
    least.into_iter().map(|(_, item)| item).collect()
}

#[cfg(test)]
#[path = "least_tests.rs"]
mod tests;
