use std::io::{Cursor, Read, Write};
use std::net::{TcpListener, TcpStream};

use drumshore_core::SecretKey;
use proptest::prelude::*;
use rand::SeedableRng;
use rstest::rstest;

use crate::frame::encode_frame;
use crate::{
    handshake, read_frame, Blob, ClaimGrant, ClaimResponse, EngineLoad, FrameError, HandshakeError,
    Identity, List, LoadUpdate, Message, Subscribe, Text,
};

fn samples() -> Vec<Message> {
    vec![
        Message::Consensus(Blob::new(vec![1, 2, 3])),
        Message::Subscribe(Subscribe {
            floor: 9,
            tenants: List::new(vec![Text::new("acme")]),
            region: Text::new("north"),
        }),
        Message::ClaimResponse(ClaimResponse {
            ticket: 4,
            grant: ClaimGrant::Completed(Blob::new(b"answer".to_vec())),
        }),
        Message::AppliedRevision(77),
    ]
}

#[test]
fn messages_round_trip_through_a_frame() {
    for message in samples() {
        let bytes = encode_frame(&message).unwrap();
        assert_eq!(read_frame(&mut Cursor::new(bytes)).unwrap(), message);
    }
}

#[test]
fn a_load_record_takes_six_bytes() {
    let load = EngineLoad {
        slot: 1,
        waiting: 2,
        running: 3,
        age: 4,
    };
    let frame = |count| {
        let loads = LoadUpdate {
            loads: List::new(vec![load; count]),
        };
        encode_frame(&Message::Loads(loads)).unwrap().len()
    };
    assert_eq!(frame(11) - frame(1), 60);
}

#[rstest]
#[case::magic(0)]
#[case::version(4)]
#[case::length(6)]
#[case::checksum(10)]
#[case::payload(15)]
fn a_flipped_byte_is_rejected(#[case] position: usize) {
    let mut bytes = encode_frame(&samples()[0]).unwrap();
    bytes[position] ^= 0x40;
    assert!(read_frame(&mut Cursor::new(bytes)).is_err());
}

#[test]
fn a_huge_length_is_refused_before_it_is_allocated() {
    let mut bytes = encode_frame(&samples()[0]).unwrap();
    bytes[6..10].copy_from_slice(&u32::MAX.to_le_bytes());
    let error = read_frame(&mut Cursor::new(bytes)).unwrap_err();
    assert!(matches!(error, FrameError::TooLarge(_)), "{error}");
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_frame(&mut Cursor::new(&bytes));
        let mut framed = encode_frame(&Message::AppliedRevision(1)).unwrap();
        framed.truncate(14);
        framed.extend_from_slice(&bytes);
        framed[6..10].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
        framed[10..14].copy_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        let _ = read_frame(&mut Cursor::new(framed));
    }
}

fn run_handshake(
    mut stream: TcpStream,
    key: &str,
    identity: Identity,
    seed: u64,
) -> Result<Identity, HandshakeError> {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    handshake(&mut stream, &SecretKey::new(key), identity, &mut random)
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

#[test]
fn peers_with_the_same_key_learn_each_others_identity() {
    let (client, server) = pair();
    let router = Identity::Router(Text::new("router-1"));
    let expected = router.clone();
    let thread = std::thread::spawn(move || run_handshake(client, "cluster-key", router, 1));
    assert_eq!(
        run_handshake(server, "cluster-key", Identity::Control(3), 2).unwrap(),
        expected
    );
    assert_eq!(thread.join().unwrap().unwrap(), Identity::Control(3));
}

#[test]
fn a_peer_with_another_key_is_refused() {
    let (client, server) = pair();
    let thread =
        std::thread::spawn(move || run_handshake(client, "guess", Identity::Control(1), 1));
    let error = run_handshake(server, "cluster-key", Identity::Control(3), 2).unwrap_err();
    assert!(matches!(error, HandshakeError::WrongKey), "{error}");
    assert!(thread.join().unwrap().is_err());
}

/// A peer without the key that sends back whatever it receives.
struct ReflectingPeer(std::collections::VecDeque<u8>);

impl Read for ReflectingPeer {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.0.read(buffer)
    }
}

impl Write for ReflectingPeer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reflected_proof_is_refused() {
    let mut random = rand::rngs::StdRng::seed_from_u64(1);
    let mut peer = ReflectingPeer(Default::default());
    let key = SecretKey::new("cluster-key");
    let error = handshake(&mut peer, &key, Identity::Control(1), &mut random).unwrap_err();
    assert!(matches!(error, HandshakeError::WrongKey), "{error}");
}
