//! Selection of the k smallest items without sorting all of them.

/// The `count` items with the smallest keys in ascending order. Computes each key once.
pub(super) fn k_smallest_by_key<T, K: Ord>(
    items: impl Iterator<Item = T>,
    count: usize,
    key: impl Fn(&T) -> K,
) -> Vec<T> {
    let mut smallest: Vec<(K, T)> = Vec::with_capacity(count + 1);
    for item in items {
        let key = key(&item);
        if smallest.len() == count && smallest.last().is_none_or(|(largest, _)| key >= *largest) {
            continue;
        }
        let position = smallest.partition_point(|(known, _)| *known <= key);
        smallest.insert(position, (key, item));
        smallest.truncate(count);
    }
    smallest.into_iter().map(|(_, item)| item).collect()
}

#[cfg(test)]
#[path = "k_smallest_tests.rs"]
mod tests;
