//! Tests of the bounds on connections.

use rstest::rstest;

use super::*;

#[rstest]
#[case::the_users_machines(4_096, 2_382, 794)]
#[case::the_usual_limit(1_024, 256, 256)]
#[case::hardly_any(64, 256, 256)]
fn connections_follow_the_descriptors(
    #[case] descriptors: usize,
    #[case] control: usize,
    #[case] directory: usize,
) {
    let limits = ConnectionLimits::new(descriptors);
    assert_eq!(limits, ConnectionLimits { control, directory });
}
