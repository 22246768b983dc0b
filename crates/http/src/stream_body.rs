//! The body of a streamed answer.

use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};

use chunked_transfer::Encoder;

/// The body of a streamed answer, sent in chunks. [`StreamBody::finish`] marks its end; one that is dropped before, as when
/// its thread panics, closes the connection without the last chunk, so that the caller sees that the answer is not whole.
pub struct StreamBody<'c> {
    encoder: Encoder<Output<'c>>,
    is_finished: bool,
}

/// The connection, until it is closed.
struct Output<'c> {
    stream: &'c TcpStream,
    is_closed: bool,
}

impl<'c> StreamBody<'c> {
    pub(crate) fn new(stream: &'c TcpStream) -> Self {
        let output = Output {
            stream,
            is_closed: false,
        };
        Self {
            encoder: Encoder::new(output),
            is_finished: false,
        }
    }

    /// Sends what is left and the last chunk.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Write for StreamBody<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.encoder.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.encoder.flush()
    }
}

impl Drop for StreamBody<'_> {
    fn drop(&mut self) {
        // The encoder sends the last chunk when it is dropped.
        if !self.is_finished {
            let output = self.encoder.get_mut();
            output.is_closed = true;
            // An error means that the caller has closed the connection.
            let _ = output.stream.shutdown(Shutdown::Both);
        }
    }
}

impl Write for Output<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_closed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        (&mut &*self.stream).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        (&mut &*self.stream).flush()
    }
}
