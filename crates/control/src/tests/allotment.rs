use proptest::prelude::*;

use crate::allotment::divide;

proptest! {
    /// The shares add up to the limit, and no share is larger than one that is below its demand.
    #[test]
    fn limits_are_divided_max_min_fairly(
        total in 1.0..1_000.0_f64,
        demands in proptest::collection::vec(0.0..500.0_f64, 1..20)
    ) {
        let shares = divide(total, &demands);
        let sum: f64 = shares.iter().sum();
        prop_assert!((sum - total).abs() < 1e-6);
        let short = |(share, demand): (&f64, &f64)| *share + 1e-9 < *demand;
        let smallest_short = shares
            .iter()
            .zip(&demands)
            .filter(|pair| short((pair.0, pair.1)))
            .map(|(share, _)| *share)
            .fold(f64::INFINITY, f64::min);
        for share in &shares {
            prop_assert!(*share <= smallest_short + 1e-6 || smallest_short.is_infinite());
        }
    }
}
