//! How the memory of a machine is divided among what a process holds.
//!
//! The rest is for the process itself: its view of the system, links to other processes and answers on their way.

/// Memory for the bytes of requests: heads and bodies, from their arrival until their requests end.
const CLIENT_BYTES_DIVISOR: u64 = 5;

/// Limit of the bytes of requests that a process holds on a machine with so much memory, in bytes.
pub(crate) fn client_bytes(memory_bytes: u64) -> usize {
    usize::try_from(memory_bytes / CLIENT_BYTES_DIVISOR).unwrap_or(usize::MAX)
}
