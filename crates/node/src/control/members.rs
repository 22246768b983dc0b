//! Links between control machines, and from routers to this machine.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use drumshore_consensus::ReplicaId;
use drumshore_control::ConnectionId;
use drumshore_core::settings::ControlSettings;
use drumshore_wire::Identity;
use stakker::call;

use super::{ControlHandle, SharedRegistry};
use crate::links::{Credentials, Link};

const REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Serves links that other processes opened.
pub(super) struct Acceptor {
    registry: SharedRegistry,
    handle: ControlHandle,
}

impl Acceptor {
    pub(super) fn new(registry: SharedRegistry, handle: ControlHandle) -> Self {
        Self { registry, handle }
    }

    /// Handles the messages of a link until it is closed.
    pub(super) fn serve(&self, link: Link) {
        match link.peer.clone() {
            Identity::Router(name) => self.serve_router(link, name.as_str().to_owned()),
            Identity::Control(id) => {
                serve_control(link, ReplicaId(id), &self.registry, &self.handle)
            }
        }
    }

    fn serve_router(&self, link: Link, name: String) {
        let connection = {
            let mut registry = self.registry.lock();
            registry.next_connection += 1;
            let connection = ConnectionId(registry.next_connection);
            registry.routers.insert(connection, link.sender.clone());
            connection
        };
        tracing::info!("control: router {name} connected");
        self.handle.post(move |_, context| {
            call!([context.actor], router_connected(connection, name));
        });
        link.read(|message| {
            self.handle.post(move |_, context| {
                call!([context.actor], router_message(connection, message));
            });
        });
        self.registry.lock().routers.remove(&connection);
        self.handle.post(move |_, context| {
            call!([context.actor], router_disconnected(connection));
        });
    }
}

/// Keeps a link open to every other control machine in the settings. A machine that is not listed
/// there, because it was added later, connects to this machine, which replies over that link.
pub(super) fn dial_peers(
    settings: &ControlSettings,
    credentials: &Credentials,
    registry: &SharedRegistry,
    handle: &ControlHandle,
) {
    for peer in settings.peers.iter().filter(|peer| peer.id != settings.id) {
        let (id, address) = (ReplicaId(peer.id), peer.address);
        let credentials = credentials.clone();
        let registry = registry.clone();
        let handle = handle.clone();
        let spawned = thread::Builder::new()
            .name("control-dial".to_owned())
            .spawn(move || loop {
                dial(id, address, &credentials, &registry, &handle);
                thread::sleep(REDIAL_DELAY);
            });
        if let Err(error) = spawned {
            tracing::error!(
                "control: cannot spawn the thread that connects to replica {id}: {error}"
            );
        }
    }
}

fn dial(
    id: ReplicaId,
    address: SocketAddr,
    credentials: &Credentials,
    registry: &SharedRegistry,
    handle: &ControlHandle,
) {
    let Ok(link) = Link::connect(address, credentials) else {
        return;
    };
    if link.peer != Identity::Control(id.0) {
        tracing::warn!("control: closing the link to {address}: the peer is not replica {id}");
        return;
    }
    serve_control(link, id, registry, handle);
}

/// Handles the messages of a link to a control machine. Messages to the machine are sent over its
/// newest link; those it sends are accepted on all its links.
fn serve_control(link: Link, id: ReplicaId, registry: &SharedRegistry, handle: &ControlHandle) {
    let sender = link.sender.clone();
    registry.lock().controls.insert(id, sender);
    link.read(|message| {
        handle.post(move |_, context| {
            call!([context.actor], control_message(id, message));
        });
    });
}
