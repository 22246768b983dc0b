//! Tests of the selection of the k smallest items.

use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn the_k_smallest_are_the_first_k_in_sorted_order(
        items in proptest::collection::vec(0_u32..50, 0..60),
        count in 0_usize..5,
    ) {
        let mut ordered = items.clone();
        ordered.sort();
        ordered.truncate(count);
        prop_assert_eq!(k_smallest_by_key(items.into_iter(), count, |item| *item), ordered);
    }
}
