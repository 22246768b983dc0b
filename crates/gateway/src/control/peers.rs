//! Links between control machines, and from routers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{ConnectionId, Message};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{Control, Core};
use crate::link::{self, Receiver, Redial, Sender};

/// Messages that wait for a link to come up; beyond it they are lost, as on a network.
const QUEUED_MESSAGES: usize = 128;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Outgoing links to other control machines, dialled on first use and again when they break.
pub(super) struct Peers {
    port: u16,
    queues: RefCell<HashMap<Ipv4Addr, mpsc::Sender<Message>>>,
}

impl Peers {
    pub fn new(port: u16) -> Self {
        Self {
            port,
            queues: RefCell::default(),
        }
    }

    /// Sends a message, or loses it.
    pub fn send(&self, address: Ipv4Addr, message: &Message) {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(address).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(QUEUED_MESSAGES);
            let target = SocketAddr::from((address, self.port));
            tokio::task::spawn_local(keep_sending(target, queue));
            sender
        });
        let _ = queue.try_send(message.clone());
    }
}

async fn keep_sending(target: SocketAddr, mut queue: mpsc::Receiver<Message>) {
    let mut lost = false;
    let mut redial = Redial::default();
    loop {
        let Ok((sender, mut receiver)) = redial.dial(target).await else {
            if !std::mem::replace(&mut lost, true) {
                tracing::info!(event = "peer_lost", peer = %target,
                    "control: a control machine is lost");
            }
            tokio::time::sleep(redial.pause()).await;
            // What has waited is outdated; the log sends it again.
            while queue.try_recv().is_ok() {}
            continue;
        };
        tracing::info!(event = "peer_linked", peer = %target,
            "control: linked to a control machine");
        loop {
            tokio::select! {
                message = queue.recv() => match message {
                    Some(message) if sender.send(&message) => {}
                    Some(_) if !sender.is_closed() => {}
                    Some(_) => break,
                    None => return,
                },
                _ = receiver.receive() => break,
            }
        }
        tracing::info!(event = "peer_lost", peer = %target, "control: a control machine is lost");
        lost = true;
        tokio::time::sleep(redial.pause()).await;
    }
}

/// Accepts links of control machines and routers.
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
                    "control: a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(control: Rc<Control>, connection: ConnectionId, stream: TcpStream) {
    let Ok((sender, mut receiver)) = link::accept(stream) else {
        return;
    };
    let Ok(first) = receiver.receive().await else {
        return;
    };
    if let Message::Router(status) = &first {
        let address = status.address.as_str().to_owned();
        tracing::info!(event = "router_linked", %address, "control: a router linked");
        control.routers.borrow_mut().insert(connection, sender);
        serve_router(&control, connection, first, receiver).await;
        control.routers.borrow_mut().remove(&connection);
        control.with_core(|core, _| core.on_router_gone(connection));
        tracing::info!(event = "router_lost", %address, "control: a router is lost");
    } else {
        serve_control(&control, sender, first, receiver).await;
    }
}

async fn serve_router(
    control: &Control,
    connection: ConnectionId,
    first: Message,
    mut receiver: Receiver,
) {
    let mut message = first;
    loop {
        control.with_core(|core, now| core.on_router(now, connection, message));
        match receiver.receive().await {
            Ok(next) => message = next,
            Err(_) => return,
        }
    }
}

async fn serve_control(control: &Control, _sender: Sender, first: Message, mut receiver: Receiver) {
    let mut message = first;
    loop {
        control.with_core(|core: &mut Core, now| core.on_control(now, message));
        match receiver.receive().await {
            Ok(next) => message = next,
            Err(_) => return,
        }
    }
}
