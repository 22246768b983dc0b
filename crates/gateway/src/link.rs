//! Links between processes: TCP connections that carry one message per frame.

use std::cell::Cell;
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

/// Frames queued for a slow peer; further messages are dropped, and requested again later.
const QUEUED_FRAMES: usize = 256;
/// Timeout of the first attempts to connect. A machine without power refuses no connection, so an attempt must time out;
/// the machine may be back at any moment.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Delay after each of the first attempts.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(30);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Attempts before the timeout and the delay start to grow.
const QUICK_ATTEMPTS: u32 = 12;

/// Queued frames are written in batches of up to this many bytes to save system calls. A frame that does not fit is
/// written without copying it, because the copy of a large one would double its memory.
const MAX_BATCH_BYTES: usize = 16 << 10;

/// Connects to a peer repeatedly; the timeout of the attempts and the delay between them grow.
#[derive(Debug, Default)]
pub(crate) struct Redial {
    failed: u32,
    traffic: Rc<LinkTraffic>,
}

impl Redial {
    /// Counts the traffic of the links in `traffic`.
    pub fn with_traffic(traffic: Rc<LinkTraffic>) -> Self {
        Self { failed: 0, traffic }
    }

    /// Connects to a peer; a success resets the timeout and the delay.
    pub async fn dial(&mut self, address: SocketAddr) -> io::Result<(Sender, Receiver)> {
        let stream = sockets::connect(
            address,
            self.increased(FIRST_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT),
        )
        .await;
        self.failed = if stream.is_ok() { 0 } else { self.failed + 1 };
        Ok(split(stream?, Rc::clone(&self.traffic)))
    }

    /// The delay before the next attempt.
    pub fn retry_delay(&self) -> Duration {
        self.increased(FIRST_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    fn increased(&self, first: Duration, max: Duration) -> Duration {
        let doublings = self.failed.saturating_sub(QUICK_ATTEMPTS).min(8);
        (first * 2_u32.pow(doublings)).min(max)
    }
}

/// The sending half of a link; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    queue: mpsc::Sender<Bytes>,
    traffic: Rc<LinkTraffic>,
    /// The layout of messages to the peer, the same for all clones.
    wire: Rc<Cell<RouterWire>>,
}

/// An encoded message, which any number of links can send without copying its bytes.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    kind: &'static str,
    bytes: Bytes,
}

impl Frame {
    /// Encodes a message; `None` when the layout has no such message, or when the message is too long, which is logged.
    pub fn of(message: &Message, wire: RouterWire) -> Option<Self> {
        match encode_payload(&wire.encode(message)?) {
            Ok(frame) => Some(Self {
                kind: kind_of(message),
                bytes: Bytes::from(frame),
            }),
            Err(error) => {
                tracing::error!(event = "message_dropped", %error, "link: dropped a message that is too long for a frame");
                None
            }
        }
    }
}

impl Sender {
    /// Sets the layout of messages to the peer.
    pub fn set_wire(&self, wire: RouterWire) {
        self.wire.set(wire);
    }

    /// The layout of messages to the peer.
    pub fn wire(&self) -> RouterWire {
        self.wire.get()
    }

    /// Queues a first or keep-alive message, which shows the peer what this build decodes.
    pub fn send_marked(&self, message: &Message) -> bool {
        let frame = Frame::of(message, RouterWire::WithDepartures);
        frame.is_some_and(|frame| self.send_frame(&frame))
    }

    /// Queues a message; false when the link has ended, its queue is full, or the peer's layout has no such message.
    pub fn send(&self, message: &Message) -> bool {
        Frame::of(message, self.wire()).is_some_and(|frame| self.send_frame(&frame))
    }

    /// Queues a frame that is sent to several peers; false when the link has ended or its queue is full.
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

/// How much of a message that is being received has arrived.
#[derive(Debug, Default)]
pub(crate) struct PartialMessage {
    bytes: Cell<usize>,
    seen_bytes: Cell<usize>,
}

impl PartialMessage {
    /// Whether a message is incomplete, and a part of it arrived since the last call.
    pub fn take_progress(&self) -> bool {
        let bytes = self.bytes.get();
        bytes > 0 && bytes != self.seen_bytes.replace(bytes)
    }

    /// The bytes of the incomplete message that have arrived; 0 between messages.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    fn on_received(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn reset(&self) {
        self.bytes.set(0);
        self.seen_bytes.set(0);
    }
}

/// The receiving half of a link.
pub(crate) struct Receiver {
    stream_half: OwnedReadHalf,
    wire: RouterWire,
    partial: Rc<PartialMessage>,
}

impl Receiver {
    /// How much of the next message has arrived.
    pub fn partial_message(&self) -> Rc<PartialMessage> {
        Rc::clone(&self.partial)
    }

    /// Receives the first message from a router or control machine, which determines the layout of those that follow.
    pub async fn receive_first(&mut self) -> Result<(RouterWire, Message), FrameError> {
        let payload = self.receive_payload().await?;
        let first = RouterWire::detect_from_router(&payload).ok_or_else(unknown_message)?;
        self.wire = first.0;
        Ok(first)
    }

    /// Receives the first message from a control machine to a router, which determines the layout of those that follow.
    pub async fn receive_first_of_control(&mut self) -> Result<(RouterWire, Message), FrameError> {
        let payload = self.receive_payload().await?;
        let first = RouterWire::detect_from_control(&payload).ok_or_else(unknown_message)?;
        self.wire = first.0;
        Ok(first)
    }

    /// Receives a message from another control machine; only its keep-alive messages show which layout it decodes.
    pub async fn receive_from_peer(&mut self) -> Result<(RouterWire, Message), FrameError> {
        let payload = self.receive_payload().await?;
        RouterWire::detect_from_peer(&payload).ok_or_else(unknown_message)
    }

    /// Receives the next message.
    pub async fn receive(&mut self) -> Result<Message, FrameError> {
        let payload = self.receive_payload().await?;
        self.wire.decode(&payload).ok_or_else(unknown_message)
    }

    async fn receive_payload(&mut self) -> Result<Vec<u8>, FrameError> {
        let mut head = [0; FrameHead::BYTES];
        self.stream_half.read_exact(&mut head).await?;
        let head = FrameHead::parse(head)?;
        let mut payload = vec![0; head.payload_bytes()];
        let mut received = 0;
        while received < payload.len() {
            match self.stream_half.read(&mut payload[received..]).await? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                count => {
                    received += count;
                    self.partial.on_received(count);
                }
            }
        }
        self.partial.reset();
        head.check(&payload)?;
        Ok(payload)
    }
}

fn unknown_message() -> FrameError {
    FrameError::Malformed("unknown message".into())
}

/// Sets up a link on an accepted connection.
pub(crate) fn accept(
    stream: TcpStream,
    traffic: Rc<LinkTraffic>,
) -> io::Result<(Sender, Receiver)> {
    sockets::enable_dead_peer_detection(&stream)?;
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
        wire: Rc::new(Cell::new(wire)),
    };
    (
        sender,
        Receiver {
            stream_half: read,
            wire,
            partial: Rc::default(),
        },
    )
}

/// Frames queued for a peer. When the link ends, the remaining frames no longer count as queued.
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

async fn write_frames(mut stream_half: OwnedWriteHalf, mut queued: QueuedFrames) {
    let mut batch = BytesMut::new();
    while let Some(first) = queued.next().await {
        let mut next = Some(first);
        while let Some(frame) = next {
            if batch.len() + frame.len() > MAX_BATCH_BYTES {
                if stream_half.write_all(&batch).await.is_err()
                    || stream_half.write_all(&frame).await.is_err()
                {
                    return;
                }
                batch.clear();
            } else {
                batch.extend_from_slice(&frame);
            }
            next = queued.try_next();
        }
        if stream_half.write_all(&batch).await.is_err() {
            return;
        }
        // Frees the buffer, so that an idle link keeps no memory.
        batch = BytesMut::new();
    }
}
