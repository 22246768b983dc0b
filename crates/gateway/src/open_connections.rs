//! The open connections of a server: limited in number, and closed in order before the process exits.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// What happens to the connections of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Serving,
    /// None is accepted any more; idle ones are closed, and the others after the answer that they wait for.
    Closing,
    /// The others are closed as well.
    Cutting,
}

/// The connections of a server.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    slots: Arc<Semaphore>,
    open: Rc<Cell<usize>>,
    cut: Rc<Cell<usize>>,
    phase: Rc<watch::Sender<Phase>>,
}

/// A slot for one connection.
#[derive(Debug)]
pub(crate) struct Slot(#[allow(dead_code)] OwnedSemaphorePermit);

/// Counts a connection as open.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    open: Rc<Cell<usize>>,
    cut: Rc<Cell<usize>>,
    phase: watch::Receiver<Phase>,
    _slot: Slot,
}

impl Connections {
    /// At most `max_connections` may be open.
    pub fn new(max_connections: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(max_connections)),
            open: Rc::default(),
            cut: Rc::default(),
            phase: Rc::new(watch::channel(Phase::Serving).0),
        }
    }

    /// True while no slot is free. The server takes a slot before it accepts a connection, so one more connection may
    /// still be accepted.
    pub fn all_occupied(&self) -> bool {
        self.slots.available_permits() == 0
    }

    /// How many are open.
    pub fn count(&self) -> usize {
        self.open.get()
    }

    /// How many were closed before their answers had been sent.
    pub fn cut_count(&self) -> usize {
        self.cut.get()
    }

    /// Accepts no further ones, closes the idle ones, and the others after the answer that they wait for.
    pub fn close(&self) {
        self.enter(Phase::Closing);
    }

    /// Closes the connections whose answers have not been sent.
    pub fn cut(&self) {
        self.enter(Phase::Cutting);
    }

    fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// Completes when no further connections are accepted.
    pub async fn closing(&self) {
        reached(self.phase.subscribe(), Phase::Closing).await;
    }

    /// Waits for a free slot.
    pub async fn free_slot(&self) -> Slot {
        match Arc::clone(&self.slots).acquire_owned().await {
            Ok(permit) => Slot(permit),
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// A slot, if one is free.
    pub fn try_free_slot(&self) -> Option<Slot> {
        let permit = Arc::clone(&self.slots).try_acquire_owned();
        permit.ok().map(Slot)
    }

    /// Counts a connection as open until the returned value is dropped.
    pub fn open(&self, slot: Slot) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection {
            open: Rc::clone(&self.open),
            cut: Rc::clone(&self.cut),
            phase: self.phase.subscribe(),
            _slot: slot,
        }
    }
}

impl OpenConnection {
    /// Completes when the connection is to be closed after the answer that it waits for.
    pub async fn closing(&self) {
        reached(self.phase.clone(), Phase::Closing).await;
    }

    /// Completes when the connection is to be closed at once.
    pub async fn cutting(&self) {
        reached(self.phase.clone(), Phase::Cutting).await;
    }

    /// Counts it as closed before its answer had been sent.
    pub fn count_cut(&self) {
        self.cut.set(self.cut.get() + 1);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

async fn reached(mut phase: watch::Receiver<Phase>, wanted: Phase) {
    if phase.wait_for(|phase| *phase >= wanted).await.is_err() {
        // The server is gone, and with it whoever could close its connections.
        std::future::pending::<()>().await;
    }
}
