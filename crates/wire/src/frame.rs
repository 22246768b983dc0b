//! Framing: each message is sent as magic, version, length, checksum and payload.

use std::io::{Cursor, Read, Write};

use binrw::{binrw, BinRead, BinWrite};

use crate::Message;

/// The version of the frame layout and the messages.
pub const PROTOCOL_VERSION: u16 = 1;

/// The largest payload, in bytes. Snapshots are sent in chunks that stay below it.
pub const MAX_PAYLOAD_BYTES: u32 = 16 << 20;

const HEADER_BYTES: usize = 14;

/// Why a frame cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The byte stream failed or ended early.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes do not decode to a frame header or a message.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {0}, this process uses {PROTOCOL_VERSION}")]
    Version(u16),
    /// The payload is larger than the receiver allows.
    #[error("payload of {0} bytes exceeds {MAX_PAYLOAD_BYTES}")]
    TooLarge(u32),
    /// The payload was corrupted in transit.
    #[error("payload checksum does not match")]
    Checksum,
}

impl From<binrw::Error> for FrameError {
    fn from(error: binrw::Error) -> Self {
        FrameError::Malformed(error.to_string())
    }
}

#[binrw]
#[brw(little, magic = b"DSHR")]
struct Header {
    version: u16,
    length: u32,
    checksum: u32,
}

/// Encodes a `binrw` value in its wire layout.
pub(crate) fn encode<T>(value: &T) -> Result<Vec<u8>, FrameError>
where
    T: for<'a> BinWrite<Args<'a> = ()> + binrw::meta::WriteEndian,
{
    let mut cursor = Cursor::new(Vec::new());
    value.write(&mut cursor)?;
    Ok(cursor.into_inner())
}

/// Writes a message as one frame, with a single `write_all` call.
pub fn write_frame(stream: &mut impl Write, message: &Message) -> Result<(), FrameError> {
    let bytes = encode_frame(message)?;
    stream.write_all(&bytes)?;
    Ok(())
}

/// Encodes a message as one frame.
pub fn encode_frame(message: &Message) -> Result<Vec<u8>, FrameError> {
    encode_payload(&encode(message)?)
}

/// Encodes a frame around a payload that is already encoded.
pub fn encode_payload(payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    if length > MAX_PAYLOAD_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    let checksum = crc32fast::hash(payload);
    let mut bytes = encode(&Header {
        version: PROTOCOL_VERSION,
        length,
        checksum,
    })?;
    bytes.extend_from_slice(payload);
    Ok(bytes)
}

/// A parsed frame header, for callers that read the header and the payload without blocking.
#[derive(Clone, Copy, Debug)]
pub struct FrameHead {
    length: u32,
    checksum: u32,
}

impl FrameHead {
    /// The encoded size of a header, in bytes.
    pub const BYTES: usize = HEADER_BYTES;

    /// Parses a header. Refuses another protocol version and payloads above
    /// [`MAX_PAYLOAD_BYTES`].
    pub fn parse(bytes: [u8; HEADER_BYTES]) -> Result<Self, FrameError> {
        let header = Header::read(&mut Cursor::new(bytes))?;
        if header.version != PROTOCOL_VERSION {
            return Err(FrameError::Version(header.version));
        }
        if header.length > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLarge(header.length));
        }
        Ok(Self {
            length: header.length,
            checksum: header.checksum,
        })
    }

    /// The size of the payload that follows, in bytes.
    pub fn payload_bytes(&self) -> usize {
        self.length as usize
    }

    /// Checks the payload against the checksum in the header.
    pub fn check(&self, payload: &[u8]) -> Result<(), FrameError> {
        if crc32fast::hash(payload) != self.checksum {
            return Err(FrameError::Checksum);
        }
        Ok(())
    }
}

/// Reads one frame, blocking, and decodes its message.
pub fn read_frame(stream: &mut impl Read) -> Result<Message, FrameError> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let head = FrameHead::parse(header)?;
    let mut payload = vec![0; head.payload_bytes()];
    stream.read_exact(&mut payload)?;
    head.check(&payload)?;
    Ok(Message::read(&mut Cursor::new(payload))?)
}
