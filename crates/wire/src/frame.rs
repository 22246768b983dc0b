//! One message in one frame: magic, version, length, checksum, payload.

use std::io::{Cursor, Read, Write};

use binrw::{binrw, BinRead, BinWrite};

use crate::Message;

/// The version of the frame layout and the messages.
pub const PROTOCOL_VERSION: u16 = 1;

/// The largest payload, in bytes. Snapshots travel in chunks below it.
pub const MAX_PAYLOAD_BYTES: u32 = 16 << 20;

const HEADER_BYTES: usize = 14;

/// Why a frame cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The byte stream failed or ended.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are not a message.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this process speaks {PROTOCOL_VERSION}")]
    Version(u16),
    /// The payload exceeds the bound.
    #[error("payload of {0} bytes exceeds {MAX_PAYLOAD_BYTES}")]
    TooLarge(u32),
    /// The payload was damaged on the way.
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

/// Encodes any `binrw` value into bytes.
pub(crate) fn encode<T>(value: &T) -> Result<Vec<u8>, FrameError>
where
    T: for<'a> BinWrite<Args<'a> = ()> + binrw::meta::WriteEndian,
{
    let mut cursor = Cursor::new(Vec::new());
    value.write(&mut cursor)?;
    Ok(cursor.into_inner())
}

/// Writes one message as one frame, in a single write.
pub fn write_frame(stream: &mut impl Write, message: &Message) -> Result<(), FrameError> {
    let bytes = encode_frame(message)?;
    stream.write_all(&bytes)?;
    Ok(())
}

/// The bytes of one message as one frame.
pub fn encode_frame(message: &Message) -> Result<Vec<u8>, FrameError> {
    encode_payload(&encode(message)?)
}

/// The bytes of one frame around a payload of another layer.
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

/// The head of a frame whose payload is still to be read, for callers that read without blocking.
#[derive(Clone, Copy, Debug)]
pub struct FrameHead {
    length: u32,
    checksum: u32,
}

impl FrameHead {
    /// Bytes of a head.
    pub const BYTES: usize = HEADER_BYTES;

    /// Reads a head.
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

    /// Bytes of the payload that follows.
    pub fn payload_bytes(&self) -> usize {
        self.length as usize
    }

    /// Checks the payload against the head.
    pub fn check(&self, payload: &[u8]) -> Result<(), FrameError> {
        if crc32fast::hash(payload) != self.checksum {
            return Err(FrameError::Checksum);
        }
        Ok(())
    }
}

/// Reads one frame and its message.
pub fn read_frame(stream: &mut impl Read) -> Result<Message, FrameError> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let head = FrameHead::parse(header)?;
    let mut payload = vec![0; head.payload_bytes()];
    stream.read_exact(&mut payload)?;
    head.check(&payload)?;
    Ok(Message::read(&mut Cursor::new(payload))?)
}
