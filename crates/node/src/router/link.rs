//! The router's links to control machines.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use drumshore_router::LinkId;
use drumshore_wire::{Identity, Message};
use stakker::call;

use super::{RouterHandle, Senders};
use crate::links::{Credentials, Link, LinkSender};

/// Opens, uses and closes links on behalf of the actor.
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

    /// Opens a link on a thread of its own, which then reads from it.
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
            tracing::warn!("router: no thread for a link: {error}");
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
            tracing::info!("router: control machine {address} not reached: {error}");
            return;
        }
    };
    if !matches!(link.peer, Identity::Control(_)) {
        tracing::warn!("router: {address} is no control machine");
        return;
    }
    let sender: LinkSender = link.sender.clone();
    lock(senders).insert(id, sender);
    tracing::info!("router: linked to control machine {address}");
    handle.post(move |_, context| call!([context.actor], connected(id)));
    link.read(|message| {
        handle.post(move |_, context| call!([context.actor], control_message(id, message)));
    });
    lock(senders).remove(&id);
}
