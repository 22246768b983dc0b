//! Mutual authentication with the cluster key before any frame is read.
//!
//! Each side sends a hello with a nonce and its identity, then an HMAC over its own and the peer's
//! hello. The order of the hellos differs between the sides, so a proof cannot be reflected to its
//! sender. Confidentiality and integrity of the frames against an attacker on the network path are
//! left to TLS.

use std::io::{Cursor, Read, Write};

use binrw::{binrw, BinRead};
use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

use drumshore_core::SecretKey;

use crate::frame::encode;
use crate::{FrameError, Text};

const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const MAX_HELLO_BYTES: u16 = 512;

/// The identity that a process claims in its hello.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Identity {
    /// A router, identified by name.
    #[brw(magic(1u8))]
    Router(Text),
    /// A control machine, identified by replica number.
    #[brw(magic(2u8))]
    Control(u64),
}

#[binrw]
#[brw(little, magic = b"DSHK")]
struct Hello {
    nonce: [u8; NONCE_BYTES],
    identity: Identity,
}

/// Why a connection is refused.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The byte stream failed, or the hello is malformed or too large.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer's proof is wrong, or the peer reflected this side's hello.
    #[error("peer does not hold the cluster key")]
    WrongKey,
}

impl From<std::io::Error> for HandshakeError {
    fn from(error: std::io::Error) -> Self {
        HandshakeError::Frame(FrameError::Io(error))
    }
}

/// Proves knowledge of the key to the peer and verifies the peer's proof. Returns the peer's
/// identity.
pub fn handshake(
    stream: &mut (impl Read + Write),
    key: &SecretKey,
    identity: Identity,
    random: &mut impl RngCore,
) -> Result<Identity, HandshakeError> {
    let mut nonce = [0; NONCE_BYTES];
    random.fill_bytes(&mut nonce);
    let own = encode(&Hello { nonce, identity })?;
    write_hello(stream, &own)?;
    let peer = read_hello(stream)?;
    if peer == own {
        return Err(HandshakeError::WrongKey);
    }
    stream.write_all(&proof(key, &own, &peer).finalize().into_bytes())?;
    let mut peer_proof = [0; PROOF_BYTES];
    stream.read_exact(&mut peer_proof)?;
    let expected = proof(key, &peer, &own);
    expected
        .verify_slice(&peer_proof)
        .map_err(|_| HandshakeError::WrongKey)?;
    let hello = Hello::read(&mut Cursor::new(peer)).map_err(FrameError::from)?;
    Ok(hello.identity)
}

fn proof(key: &SecretKey, prover: &[u8], verifier: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key.as_bytes())
        .expect("HMAC takes a key of any length");
    mac.update(prover);
    mac.update(verifier);
    mac
}

fn write_hello(stream: &mut impl Write, hello: &[u8]) -> Result<(), HandshakeError> {
    let length = u16::try_from(hello.len()).unwrap_or(u16::MAX);
    if length > MAX_HELLO_BYTES {
        return Err(FrameError::TooLarge(u32::from(length)).into());
    }
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(hello);
    stream.write_all(&bytes)?;
    Ok(())
}

fn read_hello(stream: &mut impl Read) -> Result<Vec<u8>, HandshakeError> {
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let length = u16::from_le_bytes(length);
    if length > MAX_HELLO_BYTES {
        return Err(FrameError::TooLarge(u32::from(length)).into());
    }
    let mut hello = vec![0; usize::from(length)];
    stream.read_exact(&mut hello)?;
    Ok(hello)
}
