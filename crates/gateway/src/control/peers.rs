//! Links to other control machines, and links accepted from them and from routers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{ConnectionId, Following, Message, RouterWire};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{interval, timeout, Instant};

use super::{Control, Core};
use crate::link::{self, Receiver, Redial, Sender};
use crate::traffic::LinkTraffic;

/// Messages queued while a link connects; further ones are dropped, as a network may do.
const QUEUED_MESSAGES: usize = 128;
/// Delay after an error of the listener.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval of keep-alive messages on a link. A link may stop carrying data for good while new ones work, and a device
/// on the path may acknowledge data that it drops, so that the kernel does not detect the failure.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A link is reconnected when nothing was received on it for this long, in which three keep-alive messages were sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_200);
/// An accepted link is closed when nothing was received on it for this long: its peer has reconnected by then.
const ACCEPTED_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Outgoing links to other control machines, connected on first use and again when they break.
pub(super) struct Peers {
    port: u16,
    traffic: Rc<LinkTraffic>,
    queues: RefCell<HashMap<Ipv4Addr, mpsc::Sender<Message>>>,
    /// The linked control machines of earlier builds, which know no software versions.
    earlier_builds: Rc<RefCell<BTreeSet<SocketAddr>>>,
}

impl Peers {
    pub fn new(port: u16, traffic: Rc<LinkTraffic>) -> Self {
        Self {
            port,
            traffic,
            queues: RefCell::default(),
            earlier_builds: Rc::default(),
        }
    }

    /// Whether a linked control machine knows no software versions of back ends.
    pub fn has_earlier_build(&self) -> bool {
        !self.earlier_builds.borrow().is_empty()
    }

    /// Queues a message for a control machine; drops it when the queue is full.
    pub fn send(&self, address: Ipv4Addr, message: &Message) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(address).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
            let target = SocketAddr::from((address, self.port));
            let redial = Redial::with_traffic(Rc::clone(&self.traffic));
            let earlier_builds = Rc::clone(&self.earlier_builds);
            tokio::task::spawn_local(async move {
                maintain_link(target, redial, queue, &earlier_builds).await;
                earlier_builds.borrow_mut().remove(&target);
            });
            sender
        });
        let _ = queue.try_send(message.clone());
    }
}

/// Keeps a link connected and sends what is queued, until the queue is closed.
async fn maintain_link(
    target: SocketAddr,
    mut redial: Redial,
    mut queue: mpsc::Receiver<Message>,
    earlier_builds: &RefCell<BTreeSet<SocketAddr>>,
) {
    let mut loss_logged = false;
    loop {
        let Ok((sender, receiver)) = redial.dial(target).await else {
            if !std::mem::replace(&mut loss_logged, true) {
                tracing::info!(event = "peer_lost", peer = %target,
                    "control: cannot connect to another control machine");
            }
            tokio::time::sleep(redial.retry_delay()).await;
            // Queued messages are outdated by now; the replicated log sends their content again.
            while queue.try_recv().is_ok() {}
            continue;
        };
        tracing::info!(event = "peer_linked", peer = %target,
            "control: connected to another control machine");
        let on_wire = |wire: RouterWire| {
            let mut earlier_builds = earlier_builds.borrow_mut();
            if wire.has_streams() {
                earlier_builds.remove(&target);
            } else if earlier_builds.insert(target) {
                tracing::info!(event = "earlier_build", peer = %target, ?wire,
                    "control: another control machine runs an earlier build, which does not record software versions");
            }
        };
        let reason = match run_link(&sender, receiver, &mut queue, on_wire).await {
            LinkEnd::Unneeded => return,
            LinkEnd::Closed => "closed",
            LinkEnd::Unresponsive => "silent",
        };
        tracing::info!(event = "peer_lost", peer = %target, reason,
            "control: lost the connection to another control machine");
        loss_logged = true;
        tokio::time::sleep(redial.retry_delay()).await;
    }
}

/// Why a link to another control machine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// The connection was closed.
    Closed,
    /// Nothing was received for [`RESPONSE_TIMEOUT`].
    Unresponsive,
    /// The queue was closed: this process needs the link no more.
    Unneeded,
}

/// Sends queued messages until the link ends.
async fn run_link(
    sender: &Sender,
    receiver: Receiver,
    queue: &mut mpsc::Receiver<Message>,
    on_wire: impl Fn(RouterWire),
) -> LinkEnd {
    let last_received = Rc::new(Cell::new(Instant::now()));
    let receiving = record_receipts(sender, on_wire, receiver, Rc::clone(&last_received));
    tokio::pin!(receiving);
    let mut keep_alive = interval(KEEP_ALIVE_INTERVAL);
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) if sender.send(&message) => {}
                Some(_) if !sender.is_closed() => {}
                Some(_) => return LinkEnd::Closed,
                None => return LinkEnd::Unneeded,
            },
            _ = &mut receiving => return LinkEnd::Closed,
            _ = keep_alive.tick() => {
                if last_received.get().elapsed() > RESPONSE_TIMEOUT {
                    return LinkEnd::Unresponsive;
                }
                sender.send_marked(&Message::KeepAlive);
            }
        }
    }
}

/// Records when messages are received, and which layout they show, until the link is closed.
async fn record_receipts(
    sender: &Sender,
    on_wire: impl Fn(RouterWire),
    mut receiver: Receiver,
    last_received: Rc<Cell<Instant>>,
) {
    while let Ok((wire, _)) = receiver.receive_from_peer().await {
        sender.set_wire(wire);
        on_wire(wire);
        last_received.set(Instant::now());
    }
}

/// Accepts links from control machines and routers.
pub(super) async fn accept(control: Rc<Control>, listener: TcpListener) {
    let mut next = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                next += 1;
                let connection = ConnectionId(next);
                tokio::task::spawn_local(serve(Rc::clone(&control), connection, stream));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error,
                    "control: failed to accept a link");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(control: Rc<Control>, connection: ConnectionId, stream: TcpStream) {
    let Ok((sender, mut receiver)) = link::accept(stream, Rc::clone(&control.traffic)) else {
        return;
    };
    let Ok((wire, first)) = receiver.receive_first().await else {
        return;
    };
    if let Message::Router(status) = &first {
        let address = status.address.as_str().to_owned();
        tracing::info!(event = "router_linked", %address, ?wire, "control: a router connected");
        sender.set_wire(wire);
        control.routers.borrow_mut().insert(connection, sender);
        serve_router(&control, connection, wire, first, receiver).await;
        control.routers.borrow_mut().remove(&connection);
        control.with_core(|core, _| core.on_router_gone(connection));
        tracing::info!(event = "router_lost", %address, "control: lost the connection to a router");
    } else {
        serve_control(&control, sender, first, receiver).await;
    }
}

async fn serve_router(
    control: &Control,
    connection: ConnectionId,
    wire: RouterWire,
    first: Message,
    mut receiver: Receiver,
) {
    control.with_core(|core, now| {
        core.on_router(now, connection, first);
        if wire == RouterWire::BeforeViews {
            // The earlier layout has no message for what a router follows, so each control machine sends it everything.
            let all = Message::Follow(Following::ChangesAndNews);
            core.on_router(now, connection, all);
        }
    });
    loop {
        match receiver.receive().await {
            Ok(message) => on_router_message(control, connection, message),
            Err(_) => return,
        }
    }
}

fn on_router_message(control: &Control, connection: ConnectionId, message: Message) {
    let now = control.clock.now();
    match message {
        Message::StreamOrigins(origins) => {
            let mut streams = control.streams.borrow_mut();
            streams.record(now, &origins.items);
            control.metrics.streams.origins.set(streams.len() as i64);
        }
        Message::FetchStreamOrigin(stream) => {
            let answer = control.streams.borrow().answer(now, stream);
            if let Some(sender) = control.routers.borrow().get(&connection) {
                sender.send(&answer);
            }
        }
        message => {
            control.with_core(|core, now| core.on_router(now, connection, message));
        }
    }
}

async fn serve_control(control: &Control, sender: Sender, first: Message, mut receiver: Receiver) {
    let mut message = first;
    loop {
        if message == Message::KeepAlive {
            sender.send_marked(&Message::KeepAlive);
        } else {
            control.with_core(|core: &mut Core, now| core.on_control(now, message));
        }
        match timeout(ACCEPTED_IDLE_TIMEOUT, receiver.receive()).await {
            Ok(Ok(next)) => message = next,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
