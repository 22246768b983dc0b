//! Tests of how memory is divided.

use rstest::rstest;

use super::*;

#[rstest]
#[case::smallest_known(110_000_000, 305, 839)]
#[case::usual(260_000_000, 721, 1_500)]
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

#[test]
fn the_unsent_bytes_of_all_connections_are_bounded_whatever_their_order() {
    let memory_bytes = 110_000_000;
    let unsent = UnsentBytes::new(memory_bytes);
    let connections = forwarding_connections(memory_bytes, usize::MAX);
    let accepted = (1..=connections).map(|number| unsent.of_accepted(number) - MIN_UNSENT_BYTES);
    let all: u64 = accepted.map(u64::from).sum();
    assert!(all <= memory_bytes / 8, "{all}");
    let closing = u64::from(unsent.of_closing(connections)) * connections as u64;
    assert!(closing <= memory_bytes / 8, "{closing}");
}
