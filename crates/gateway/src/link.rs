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
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// Sends messages; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Sender(mpsc::Sender<Bytes>);

impl Sender {
    /// Queues a message. False when the link has ended or its peer does not keep up.
    pub fn send(&self, message: &Message) -> bool {
        match encode_payload(&message.encode()) {
            Ok(frame) => self.0.try_send(Bytes::from(frame)).is_ok(),
            Err(error) => {
                tracing::error!(event = "message_dropped", %error);
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

/// Dials a peer.
pub(crate) async fn dial(address: SocketAddr) -> io::Result<(Sender, Receiver)> {
    let stream = sockets::connect(address, CONNECT_PATIENCE).await?;
    Ok(split(stream))
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
