//! Authenticated, framed connections to other drumshore processes (links). Each link has one
//! reader thread and one writer thread.

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, Receiver, Sender};
use drumshore_core::SecretKey;
use drumshore_wire::frame::encode_frame;
use drumshore_wire::{handshake, read_frame, HandshakeError, Identity, Message};

use crate::metrics::Scrape;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const STACK_BYTES: usize = 256 * 1024;

/// Capacity of a link's send queue, in messages. If a slow peer lets it overflow, the link is
/// closed; a new link starts with an empty queue.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// Frames and bytes that a process has sent and received over links.
#[derive(Debug, Default)]
pub struct Traffic {
    sent_frames: AtomicU64,
    sent_bytes: AtomicU64,
    received_frames: AtomicU64,
    received_bytes: AtomicU64,
}

/// Traffic of this process over all its links.
pub static TRAFFIC: Traffic = Traffic {
    sent_frames: AtomicU64::new(0),
    sent_bytes: AtomicU64::new(0),
    received_frames: AtomicU64::new(0),
    received_bytes: AtomicU64::new(0),
};

impl Traffic {
    /// Adds the counters to a scrape.
    pub fn add_to(&self, scrape: &mut Scrape) {
        let counts = [
            (
                "link_sent_frames",
                "Frames sent over links",
                &self.sent_frames,
            ),
            ("link_sent_bytes", "Bytes sent over links", &self.sent_bytes),
            (
                "link_received_frames",
                "Frames received over links",
                &self.received_frames,
            ),
            (
                "link_received_bytes",
                "Bytes received over links",
                &self.received_bytes,
            ),
        ];
        for (name, help, count) in counts {
            scrape.counter(name, help, count.load(Ordering::Relaxed));
        }
    }

    fn on_sent(&self, bytes: usize) {
        self.sent_frames.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn on_received(&self, bytes: u64) {
        self.received_frames.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A reader that counts the bytes read through it.
struct CountingReader<R> {
    inner: R,
    bytes: u64,
}

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.inner.read(buffer)?;
        self.bytes += count as u64;
        Ok(count)
    }
}

/// What a process presents in the handshake of a link.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The identity that it claims.
    pub identity: Identity,
    /// The cluster key, with which it proves that it belongs to the cluster.
    pub key: SecretKey,
}

/// The sending half of a link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: Sender<Message>,
    stream: Arc<TcpStream>,
}

impl LinkSender {
    /// Queues a message. Drops it and closes the link if the queue is full.
    pub fn send(&self, message: Message) {
        if self.queue.try_send(message).is_err() {
            self.close();
        }
    }

    /// Closes the link in both directions.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// An open link, after its handshake.
pub struct Link {
    /// The identity that the peer claimed; the peer has proved that it holds the cluster key.
    pub peer: Identity,
    /// Sends messages to the peer.
    pub sender: LinkSender,
    stream: Arc<TcpStream>,
}

impl Link {
    /// Connects to a process and performs the handshake.
    pub fn connect(address: SocketAddr, credentials: &Credentials) -> Result<Self, HandshakeError> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        Self::establish(stream, credentials)
    }

    /// Performs the mutual handshake on a new connection and starts the writer thread.
    pub fn establish(
        mut stream: TcpStream,
        credentials: &Credentials,
    ) -> Result<Self, HandshakeError> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let identity = credentials.identity.clone();
        let peer = handshake(&mut stream, &credentials.key, identity, &mut rand::rng())?;
        stream.set_read_timeout(None)?;
        let stream = Arc::new(stream);
        let (queue, queued) = bounded(MAX_QUEUED_MESSAGES);
        let sender = LinkSender {
            queue,
            stream: Arc::clone(&stream),
        };
        let writer_stream = Arc::clone(&stream);
        thread::Builder::new()
            .name("link-writer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run_writer(&writer_stream, &queued))?;
        Ok(Self {
            peer,
            sender,
            stream,
        })
    }

    /// Reads messages until the link is closed or fails.
    pub fn read(self, mut on_message: impl FnMut(Message)) {
        let mut reader = CountingReader {
            inner: BufReader::new(&*self.stream),
            bytes: 0,
        };
        loop {
            match read_frame(&mut reader) {
                Ok(message) => {
                    TRAFFIC.on_received(std::mem::take(&mut reader.bytes));
                    on_message(message);
                }
                Err(error) => {
                    tracing::debug!("link: closing the connection after a failed read: {error}");
                    break;
                }
            }
        }
        self.sender.close();
    }
}

fn run_writer(stream: &TcpStream, queued: &Receiver<Message>) {
    let mut writer = BufWriter::new(stream);
    while let Ok(message) = queued.recv() {
        if write_batch(&mut writer, message, queued).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// Writes the first message and all others that are queued, then flushes once.
fn write_batch(
    writer: &mut BufWriter<&TcpStream>,
    first: Message,
    queued: &Receiver<Message>,
) -> Result<(), drumshore_wire::FrameError> {
    write_counted(writer, &first)?;
    while let Ok(message) = queued.try_recv() {
        write_counted(writer, &message)?;
    }
    writer.flush()?;
    Ok(())
}

fn write_counted(
    writer: &mut BufWriter<&TcpStream>,
    message: &Message,
) -> Result<(), drumshore_wire::FrameError> {
    let frame = encode_frame(message)?;
    writer.write_all(&frame)?;
    TRAFFIC.on_sent(frame.len());
    Ok(())
}

/// Accepts links in the background; `on_link` runs on a separate thread for each link. Returns the
/// bound address.
pub fn listen(
    address: SocketAddr,
    credentials: Credentials,
    on_link: impl Fn(Link) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let on_link = Arc::new(on_link);
    thread::Builder::new()
        .name("link-accept".to_owned())
        .spawn(move || accept(&listener, &credentials, &on_link))?;
    Ok(local)
}

fn accept<F: Fn(Link) + Send + Sync + 'static>(
    listener: &TcpListener,
    credentials: &Credentials,
    on_link: &Arc<F>,
) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let on_link = Arc::clone(on_link);
        let credentials = credentials.clone();
        let spawned = thread::Builder::new()
            .name("link-reader".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || match Link::establish(stream, &credentials) {
                Ok(link) => on_link(link),
                Err(error) => tracing::warn!(
                    "link: rejected an incoming connection in the handshake: {error}"
                ),
            });
        if let Err(error) = spawned {
            tracing::warn!("link: cannot spawn a thread for an incoming connection: {error}");
        }
    }
}
