//! How the memory of a machine is divided among what a process holds.
//!
//! The rest is for the process itself: its view of the system and links to other processes, and for what the kernel keeps of
//! bodies on their way to back ends.

/// Memory for the bytes of requests: heads and bodies, from their arrival until their requests end.
const CLIENT_BYTES_PERCENT: u64 = 15;
/// Memory for connections of clients.
const CONNECTIONS_PERCENT: u64 = 50;
/// Memory for answers that the kernel has not sent, divided by the connections that are open when one is accepted. The sum
/// for `n` connections is at most `1 + 1/2 + .. + 1/n` times as much.
const UNSENT_PERCENT: u64 = 2;
/// The same when a process exits, divided by the connections that answers are sent on.
const UNSENT_AT_EXIT_PERCENT: u64 = 10;
/// What one connection takes beside the charged bytes of its requests: its tasks, the buffers of its reader and writer, and
/// what the kernel keeps of bytes that nobody reads.
const CONNECTION_BYTES: u64 = 64 << 10;
/// The same with the connection to the back end whose answer is forwarded.
const FORWARDING_CONNECTION_BYTES: u64 = 176 << 10;
/// Bytes of answers that the kernel keeps of any connection before it has sent them. It takes more than that until the packet
/// that it fills is complete, 64 KiB at most.
pub(crate) const MIN_UNSENT_BYTES: u32 = 16 << 10;
/// On a machine with very little memory, too.
const MIN_CONNECTIONS: usize = 64;

/// How many connections of clients a machine with so much memory may keep open, of `most` that are wanted.
pub(crate) fn connections(memory_bytes: u64, most: usize) -> usize {
    fitting(memory_bytes, most, CONNECTION_BYTES)
}

/// The same where answers of back ends are forwarded on them.
pub(crate) fn forwarding_connections(memory_bytes: u64, most: usize) -> usize {
    fitting(memory_bytes, most, FORWARDING_CONNECTION_BYTES)
}

fn fitting(memory_bytes: u64, most: usize, bytes_each: u64) -> usize {
    let fitting = memory_bytes / 100 * CONNECTIONS_PERCENT / bytes_each;
    let fitting = usize::try_from(fitting).unwrap_or(usize::MAX);
    most.min(fitting.max(MIN_CONNECTIONS))
}

/// Limit of the bytes of requests that a process holds on a machine with so much memory, in bytes.
pub(crate) fn client_bytes(memory_bytes: u64) -> usize {
    usize::try_from(memory_bytes / 100 * CLIENT_BYTES_PERCENT).unwrap_or(usize::MAX)
}

/// Memory for the bytes of answers that the kernel keeps because it has not sent them, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UnsentBytes {
    while_serving: u64,
    at_exit: u64,
}

impl UnsentBytes {
    /// Of a machine with so much memory.
    pub fn new(memory_bytes: u64) -> Self {
        let percent = memory_bytes / 100;
        Self {
            while_serving: percent * UNSENT_PERCENT,
            at_exit: percent * UNSENT_AT_EXIT_PERCENT,
        }
    }

    /// The limit of a connection that is accepted when it makes so many.
    pub fn of_accepted(self, connections: usize) -> u32 {
        share(self.while_serving, connections)
    }

    /// The limit of each of so many connections that answers are sent on when the process exits.
    pub fn of_closing(self, connections: usize) -> u32 {
        share(self.at_exit, connections)
    }
}

fn share(bytes: u64, connections: usize) -> u32 {
    let each = bytes / (connections as u64).max(1);
    u32::try_from(each)
        .unwrap_or(u32::MAX)
        .max(MIN_UNSENT_BYTES)
}

#[cfg(test)]
#[path = "memory_shares_tests.rs"]
mod tests;
