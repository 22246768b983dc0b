//! Tests of how memory is divided.

use rstest::rstest;

use super::*;

#[rstest]
#[case::smallest_known(110_000_000, 419, 839)]
#[case::usual(260_000_000, 991, 1_500)]
#[case::very_little(1_000_000, 64, 64)]
fn connections_depend_on_the_memory(
    #[case] memory_bytes: u64,
    #[case] forwarding: usize,
    #[case] others: usize,
) {
    assert_eq!(forwarding_connections(memory_bytes, 1_500), forwarding);
    assert_eq!(connections(memory_bytes, 1_500), others);
}

#[test]
fn the_shares_leave_memory_for_the_process_and_for_copies_in_the_kernel() {
    let memory_bytes = 110_000_000;
    let held = client_bytes(memory_bytes) as u64;
    let connections = forwarding_connections(memory_bytes, usize::MAX) as u64;
    let connections = connections * FORWARDING_CONNECTION_BYTES;
    assert!(2 * held + connections <= memory_bytes * 4 / 5);
}
