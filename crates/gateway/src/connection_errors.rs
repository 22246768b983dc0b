//! Tells from an error of the HTTP library why a connection ended inside a message.

use std::error::Error;
use std::io;

/// Why a connection ended inside a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionError {
    /// The peer closed it.
    Closed,
    /// The peer or a device in between reset it.
    Reset,
    /// The kernel ended it because the peer acknowledged neither data nor keep-alive probes.
    Unacknowledged,
    /// The kernel has no route to the peer.
    NoRoute,
    /// The peer sent something that is not HTTP.
    Malformed,
    /// The head of a request did not arrive in time.
    HeadTimeout,
    /// The errors do not tell.
    Unknown,
}

impl ConnectionError {
    /// Classifies an error by the first of its sources that tells the reason.
    pub fn of(error: &(dyn Error + 'static)) -> Self {
        let mut next = Some(error);
        while let Some(error) = next {
            if let Some(reason) = reason_of(error) {
                return reason;
            }
            next = source_of(error);
        }
        Self::Unknown
    }
}

fn reason_of(error: &(dyn Error + 'static)) -> Option<ConnectionError> {
    if let Some(error) = error.downcast_ref::<io::Error>() {
        return reason_of_io_error(error);
    }
    let error = error.downcast_ref::<hyper::Error>()?;
    if error.is_incomplete_message() {
        Some(ConnectionError::Closed)
    } else if error.is_parse() {
        Some(ConnectionError::Malformed)
    } else if error.is_timeout() {
        Some(ConnectionError::HeadTimeout)
    } else {
        None
    }
}

fn reason_of_io_error(error: &io::Error) -> Option<ConnectionError> {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => Some(ConnectionError::Closed),
        io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::BrokenPipe => Some(ConnectionError::Reset),
        // Without a code of the kernel, a timer of this process ran out.
        io::ErrorKind::TimedOut => error
            .raw_os_error()
            .map(|_| ConnectionError::Unacknowledged),
        io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
            Some(ConnectionError::NoRoute)
        }
        io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput => {
            Some(ConnectionError::Malformed)
        }
        _ => None,
    }
}

/// The source of an error. `source` of an `io::Error` skips the error that it wraps.
fn source_of<'a>(error: &'a (dyn Error + 'static)) -> Option<&'a (dyn Error + 'static)> {
    match error.downcast_ref::<io::Error>() {
        Some(error) => error
            .get_ref()
            .map(|wrapped| wrapped as &(dyn Error + 'static)),
        None => error.source(),
    }
}

#[cfg(test)]
#[path = "connection_errors_tests.rs"]
mod tests;
