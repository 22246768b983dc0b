//! How the memory of a machine is divided among what a process holds.
//!
//! The rest is for the process itself: its view of the system, links to other processes and answers on their way.

/// Memory for the bytes of requests: heads and bodies, from their arrival until their requests end.
const CLIENT_BYTES_DIVISOR: u64 = 5;

/// Memory for connections of clients.
const CONNECTIONS_PERCENT: u64 = 40;
/// What one connection takes at most beside the charged bytes of its requests: the buffers of its reader and writer, its
/// tasks, and what the kernel keeps of bytes that nobody has read.
const CONNECTION_BYTES: u64 = 64 << 10;
/// On a machine with very little memory, too.
const MIN_CONNECTIONS: usize = 64;

/// How many connections of clients a machine with so much memory may keep open, of `most` that are wanted.
pub(crate) fn connections(memory_bytes: u64, most: usize) -> usize {
    let fitting = memory_bytes / 100 * CONNECTIONS_PERCENT / CONNECTION_BYTES;
    let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
    most.min(fitting.max(MIN_CONNECTIONS))
}

/// Limit of the bytes of requests that a process holds on a machine with so much memory, in bytes.
pub(crate) fn client_bytes(memory_bytes: u64) -> usize {
    usize::try_from(memory_bytes / CLIENT_BYTES_DIVISOR).unwrap_or(usize::MAX)
}
