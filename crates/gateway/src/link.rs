//! Messages over TCP: one frame each.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use drumshore_gateway_core::{Message, RouterWire};
use drumshore_wire::frame::{encode_payload, FrameError, FrameHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::sockets;
use crate::traffic::{kind_of, LinkTraffic};

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

/// Frames that wait together are written together up to so many bytes, which spares calls to the kernel; a larger
/// one is written as it is, for a copy of it would cost as much memory again.
const MOST_BATCH_BYTES: usize = 16 << 10;

/// How long tries to reach a peer last, and the pauses between them; both grow.
#[derive(Debug, Default)]
pub(crate) struct Redial {
    failed: u32,
    traffic: Rc<LinkTraffic>,
}

impl Redial {
    /// Counts what is sent over the link.
    pub fn counted_by(traffic: Rc<LinkTraffic>) -> Self {
        Self { failed: 0, traffic }
    }

    /// Dials a peer; starts anew once it was reached.
    pub async fn dial(&mut self, address: SocketAddr) -> io::Result<(Sender, Receiver)> {
        let stream = sockets::connect(address, self.grown(FIRST_PATIENCE, LONGEST_PATIENCE)).await;
        self.failed = if stream.is_ok() { 0 } else { self.failed + 1 };
        Ok(split(stream?, Rc::clone(&self.traffic)))
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
pub(crate) struct Sender {
    queue: mpsc::Sender<Bytes>,
    traffic: Rc<LinkTraffic>,
    /// How messages to the peer are laid out.
    wire: RouterWire,
}

/// A message as it is written, for any number of links: they share one copy of its bytes.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    kind: &'static str,
    bytes: Bytes,
}

impl Frame {
    /// `None` when the peer cannot read the message, and, with a line, when it is too long.
    pub fn of(message: &Message, wire: RouterWire) -> Option<Self> {
        match encode_payload(&wire.encode(message)?) {
            Ok(frame) => Some(Self {
                kind: kind_of(message),
                bytes: Bytes::from(frame),
            }),
            Err(error) => {
                tracing::error!(event = "message_dropped", %error, "link: a message was too long");
                None
            }
        }
    }
}

impl Sender {
    /// The same link, on which messages are laid out so.
    pub fn laid_out(self, wire: RouterWire) -> Self {
        Self { wire, ..self }
    }

    /// How messages to the peer are laid out.
    pub fn wire(&self) -> RouterWire {
        self.wire
    }

    /// Queues a message. False when the link has ended, its peer does not keep up, or cannot read it.
    pub fn send(&self, message: &Message) -> bool {
        Frame::of(message, self.wire).is_some_and(|frame| self.send_frame(&frame))
    }

    /// The same for a message that goes to several peers.
    pub fn send_frame(&self, frame: &Frame) -> bool {
        let is_queued = self.queue.try_send(frame.bytes.clone()).is_ok();
        if is_queued {
            self.traffic.on_queued(frame.kind, frame.bytes.len());
        } else {
            self.traffic.on_dropped();
        }
        is_queued
    }

    /// True when the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receives messages.
pub(crate) struct Receiver {
    half: OwnedReadHalf,
    wire: RouterWire,
}

impl Receiver {
    /// The first message, by which it is known how those after it are laid out.
    pub async fn receive_first(&mut self) -> Result<(RouterWire, Message), FrameError> {
        let payload = self.receive_payload().await?;
        let first = RouterWire::detect_from_router(&payload).ok_or_else(no_message)?;
        self.wire = first.0;
        Ok(first)
    }

    /// The first message of a control machine, by which it is known how those after it are laid out.
    pub async fn receive_first_of_control(&mut self) -> Result<(RouterWire, Message), FrameError> {
        let payload = self.receive_payload().await?;
        let first = RouterWire::detect_from_control(&payload).ok_or_else(no_message)?;
        self.wire = first.0;
        Ok(first)
    }

    /// The next message.
    pub async fn receive(&mut self) -> Result<Message, FrameError> {
        let payload = self.receive_payload().await?;
        self.wire.decode(&payload).ok_or_else(no_message)
    }

    async fn receive_payload(&mut self) -> Result<Vec<u8>, FrameError> {
        let mut head = [0; FrameHead::BYTES];
        self.half.read_exact(&mut head).await?;
        let head = FrameHead::parse(head)?;
        let mut payload = vec![0; head.payload_bytes()];
        self.half.read_exact(&mut payload).await?;
        head.check(&payload)?;
        Ok(payload)
    }
}

fn no_message() -> FrameError {
    FrameError::Malformed("no such message".into())
}

/// Takes an accepted connection.
pub(crate) fn accept(
    stream: TcpStream,
    traffic: Rc<LinkTraffic>,
) -> io::Result<(Sender, Receiver)> {
    sockets::watch_peer(&stream)?;
    Ok(split(stream, traffic))
}

fn split(stream: TcpStream, traffic: Rc<LinkTraffic>) -> (Sender, Receiver) {
    let (read, write) = stream.into_split();
    let (queue, frames) = mpsc::channel(QUEUED_FRAMES);
    let queued = QueuedFrames {
        frames,
        traffic: Rc::clone(&traffic),
    };
    tokio::task::spawn_local(write_frames(write, queued));
    let wire = RouterWire::default();
    let sender = Sender {
        queue,
        traffic,
        wire,
    };
    (sender, Receiver { half: read, wire })
}

/// Frames on their way to a peer; those that are left when the link ends count as waiting no longer.
struct QueuedFrames {
    frames: mpsc::Receiver<Bytes>,
    traffic: Rc<LinkTraffic>,
}

impl QueuedFrames {
    fn try_next(&mut self) -> Option<Bytes> {
        let frame = self.frames.try_recv().ok()?;
        self.traffic.on_dequeued(frame.len());
        Some(frame)
    }

    async fn next(&mut self) -> Option<Bytes> {
        let frame = self.frames.recv().await?;
        self.traffic.on_dequeued(frame.len());
        Some(frame)
    }
}

impl Drop for QueuedFrames {
    fn drop(&mut self) {
        self.frames.close();
        while self.try_next().is_some() {}
    }
}

async fn write_frames(mut half: OwnedWriteHalf, mut queued: QueuedFrames) {
    let mut batch = BytesMut::new();
    while let Some(first) = queued.next().await {
        let mut next = Some(first);
        while let Some(frame) = next {
            if batch.len() + frame.len() > MOST_BATCH_BYTES {
                if half.write_all(&batch).await.is_err() || half.write_all(&frame).await.is_err() {
                    return;
                }
                batch.clear();
            } else {
                batch.extend_from_slice(&frame);
            }
            next = queued.try_next();
        }
        if half.write_all(&batch).await.is_err() {
            return;
        }
        // An idle link keeps no memory for what it sent last.
        batch = BytesMut::new();
    }
}
