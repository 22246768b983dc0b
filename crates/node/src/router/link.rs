//! The router's links to control machines.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use drumshore_router::LinkId;
use drumshore_wire::{Identity, Message};
use stakker::call;

use super::{RouterHandle, Senders};
use crate::links::{Credentials, Link, LinkSender};

/// Opens, closes and sends over links on behalf of the router's actor.
pub(super) struct ControlLinks {
    addresses: Vec<SocketAddr>,
    credentials: Credentials,
    handle: RouterHandle,
    senders: Arc<Mutex<Senders>>,
}

impl ControlLinks {
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
        credentials: Credentials,
        handle: RouterHandle,
    ) -> Self {
        Self {
            addresses,
            credentials,
            handle,
            senders: Arc::new(Mutex::new(Senders::new())),
        }
    }

    /// Opens a link to control machine number `peer` of the settings on a new thread, which then
    /// reads from the link.
    pub(super) fn connect(&self, id: LinkId, peer: usize) {
        let Some(address) = self.addresses.get(peer).copied() else {
            return;
        };
        let credentials = self.credentials.clone();
        let handle = self.handle.clone();
        let senders = Arc::clone(&self.senders);
        let spawned = thread::Builder::new()
            .name("control-link".to_owned())
            .spawn(move || {
                run_link(id, address, &credentials, &handle, &senders);
                handle.post(move |_, context| call!([context.actor], closed(id)));
            });
        if let Err(error) = spawned {
            tracing::warn!(
                "router: cannot spawn a thread for a link to a control machine: {error}"
            );
        }
    }

    pub(super) fn close(&self, id: LinkId) {
        if let Some(sender) = self.lock().remove(&id) {
            sender.close();
        }
    }

    pub(super) fn send(&self, id: LinkId, message: Message) {
        if let Some(sender) = self.lock().get(&id) {
            sender.send(message);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Senders> {
        lock(&self.senders)
    }
}

fn lock(senders: &Mutex<Senders>) -> std::sync::MutexGuard<'_, Senders> {
    senders.lock().unwrap_or_else(PoisonError::into_inner)
}

fn run_link(
    id: LinkId,
    address: SocketAddr,
    credentials: &Credentials,
    handle: &RouterHandle,
    senders: &Mutex<Senders>,
) {
    let link = match Link::connect(address, credentials) {
        Ok(link) => link,
        Err(error) => {
            tracing::info!("router: cannot connect to control machine {address}: {error}");
            return;
        }
    };
    if !matches!(link.peer, Identity::Control(_)) {
        tracing::warn!("router: closing the link to {address}: the peer is not a control machine");
        return;
    }
    let sender: LinkSender = link.sender.clone();
    lock(senders).insert(id, sender);
    tracing::info!("router: connected to control machine {address}");
    handle.post(move |_, context| call!([context.actor], connected(id)));
    link.read(|message| {
        handle.post(move |_, context| call!([context.actor], control_message(id, message)));
    });
    lock(senders).remove(&id);
}
