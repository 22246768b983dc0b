//! Tests of the limits of connections.

use rstest::rstest;

use super::*;

#[rstest]
#[case::the_users_machines(4_096, 2_382, 794)]
#[case::the_usual_limit(1_024, 256, 256)]
#[case::very_low_limit(64, 256, 256)]
fn connection_limits_depend_on_the_descriptors(
    #[case] descriptors: usize,
    #[case] control: usize,
    #[case] directory: usize,
) {
    let limits = ConnectionLimits::new(descriptors);
    assert_eq!(limits, ConnectionLimits { control, directory });
}
