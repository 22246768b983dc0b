//! Messages over TCP: one frame each.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use drumshore_gateway_core::Message;
use drumshore_wire::frame::{encode_payload, FrameError, FrameHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::sockets;

/// Frames that wait for a slow peer; beyond it messages are lost, and asked for again.
const QUEUED_FRAMES: usize = 256;
/// The first try to reach a peer, and the pause after it. A peer whose machine has no power is not
/// heard to refuse, and it may be back at any moment.
const FIRST_PATIENCE: Duration = Duration::from_millis(120);
const FIRST_PAUSE: Duration = Duration::from_millis(30);
const LONGEST_PATIENCE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Tries of the first kind, before patience and pause grow.
const QUICK_TRIES: u32 = 12;

/// How long tries to reach a peer last, and the pauses between them; both grow.
#[derive(Debug, Default)]
pub(crate) struct Redial {
    failed: u32,
}

impl Redial {
    /// Dials a peer; starts anew once it was reached.
    pub async fn dial(&mut self, address: SocketAddr) -> io::Result<(Sender, Receiver)> {
        let stream = sockets::connect(address, self.grown(FIRST_PATIENCE, LONGEST_PATIENCE)).await;
        self.failed = if stream.is_ok() { 0 } else { self.failed + 1 };
        Ok(split(stream?))
    }

    /// Before the next try.
    pub fn pause(&self) -> Duration {
        self.grown(FIRST_PAUSE, LONGEST_PAUSE)
    }

    fn grown(&self, first: Duration, longest: Duration) -> Duration {
        let slower = self.failed.saturating_sub(QUICK_TRIES).min(8);
        (first * 2_u32.pow(slower)).min(longest)
    }
}

/// Sends messages; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Sender(mpsc::Sender<Bytes>);

impl Sender {
    /// Queues a message. False when the link has ended or its peer does not keep up.
    pub fn send(&self, message: &Message) -> bool {
        match encode_payload(&message.encode()) {
            Ok(frame) => self.0.try_send(Bytes::from(frame)).is_ok(),
            Err(error) => {
                tracing::error!(event = "message_dropped", %error, "link: a message was too long");
                false
            }
        }
    }

    /// True when the link has ended.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Receives messages.
pub(crate) struct Receiver {
    half: OwnedReadHalf,
}

impl Receiver {
    /// The next message.
    pub async fn receive(&mut self) -> Result<Message, FrameError> {
        let mut head = [0; FrameHead::BYTES];
        self.half.read_exact(&mut head).await?;
        let head = FrameHead::parse(head)?;
        let mut payload = vec![0; head.payload_bytes()];
        self.half.read_exact(&mut payload).await?;
        head.check(&payload)?;
        Message::decode(&payload).ok_or_else(|| FrameError::Malformed("no such message".into()))
    }
}

/// Takes an accepted connection.
pub(crate) fn accept(stream: TcpStream) -> io::Result<(Sender, Receiver)> {
    sockets::watch_peer(&stream)?;
    Ok(split(stream))
}

fn split(stream: TcpStream) -> (Sender, Receiver) {
    let (read, write) = stream.into_split();
    let (sender, queue) = mpsc::channel(QUEUED_FRAMES);
    tokio::task::spawn_local(write_frames(write, queue));
    (Sender(sender), Receiver { half: read })
}

async fn write_frames(mut half: OwnedWriteHalf, mut queue: mpsc::Receiver<Bytes>) {
    while let Some(frame) = queue.recv().await {
        let mut batch = frame.to_vec();
        while let Ok(next) = queue.try_recv() {
            batch.extend_from_slice(&next);
        }
        if half.write_all(&batch).await.is_err() {
            return;
        }
    }
}
