//! The open connections of a server: limited in number, and closed in order before the process exits.
//!
//! While all slots are in use, connections whose clients make no progress give way to new ones: first those with an unfinished
//! request, then those that are idle after an answer, then those whose clients read nothing of their answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

use crate::body_reception::Receptions;
use crate::client_activity::Activity;
use crate::memory_shares::UnsentBytes;

/// How long a connection that gave way may take to free its slot before another one gives way as well.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of the heads that clients send, and of the time between their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeadLimits {
    /// Bytes of a head.
    pub bytes: usize,
    /// Time from the first byte of a head to its last.
    pub time: Duration,
    /// How long a connection may be idle; `None` if only the server's own limit holds.
    pub idle: Option<Duration>,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            bytes: 16 << 10,
            time: Duration::from_secs(3),
            idle: None,
        }
    }
}

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
    max: usize,
    slots: Arc<Semaphore>,
    open: Rc<RefCell<BTreeMap<u64, Rc<Activity>>>>,
    next: Rc<Cell<u64>>,
    cut: Rc<Cell<usize>>,
    phase: Rc<watch::Sender<Phase>>,
    head_limits: Rc<Cell<HeadLimits>>,
    /// The bodies that are being received on these connections.
    receptions: Option<Rc<Receptions>>,
    unsent_bytes: UnsentBytes,
}

/// A slot for one connection.
#[derive(Debug)]
pub(crate) struct Slot(#[allow(dead_code)] OwnedSemaphorePermit);

/// Counts a connection as open.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Connections,
    number: u64,
    activity: Rc<Activity>,
    phase: watch::Receiver<Phase>,
    _slot: Slot,
}

impl Connections {
    /// At most `max_connections` may be open.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max: max_connections,
            slots: Arc::new(Semaphore::new(max_connections)),
            open: Rc::default(),
            next: Rc::default(),
            cut: Rc::default(),
            phase: Rc::new(watch::channel(Phase::Serving).0),
            head_limits: Rc::default(),
            receptions: None,
            unsent_bytes: UnsentBytes::default(),
        }
    }

    /// The same, with connections on which these bodies are received, and so much memory for unsent answers.
    pub fn with_receptions(
        max_connections: usize,
        receptions: &Rc<Receptions>,
        unsent_bytes: UnsentBytes,
    ) -> Self {
        Self {
            receptions: Some(Rc::clone(receptions)),
            unsent_bytes,
            ..Self::new(max_connections)
        }
    }

    /// Sets the limits of connections that are accepted from now on.
    pub fn set_head_limits(&self, limits: HeadLimits) {
        self.head_limits.set(limits);
    }

    /// The limits of the next connection.
    pub fn head_limits(&self) -> HeadLimits {
        self.head_limits.get()
    }

    /// True while no slot is free. One more connection may have been accepted, which waits for a slot.
    pub fn all_occupied(&self) -> bool {
        self.slots.available_permits() == 0
    }

    /// How many may be open.
    pub fn max(&self) -> usize {
        self.max
    }

    /// How many are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// How many were closed before their answers had been sent.
    pub fn cut_count(&self) -> usize {
        self.cut.get()
    }

    /// Accepts no further ones, closes the idle ones, and the others after the answer that they wait for. The kernel keeps
    /// more of these answers, for clients that read them after the process has exited.
    pub fn close(&self) {
        let open = self.open.borrow();
        let serving = open.values().filter(|activity| activity.is_serving());
        let unsent_limit = self.unsent_bytes.of_closing(serving.count());
        for activity in open.values() {
            activity.set_unsent_limit(unsent_limit);
        }
        drop(open);
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

    /// Waits for a free slot; connections whose clients send nothing give way for it.
    pub async fn free_slot(&self) -> Slot {
        loop {
            if let Some(slot) = self.try_free_slot() {
                return slot;
            }
            self.evict_one();
            if let Some(slot) = self.freed_slot().await {
                return slot;
            }
        }
    }

    /// A slot, if one is free or a connection gives way.
    pub async fn slot_at_once(&self) -> Option<Slot> {
        let free = self.try_free_slot();
        if free.is_some() || !self.evict_one() {
            return free;
        }
        self.freed_slot().await
    }

    async fn freed_slot(&self) -> Option<Slot> {
        let freed = Arc::clone(&self.slots).acquire_owned();
        let permit = timeout(EVICTION_INTERVAL, freed).await.ok()?;
        // The semaphore is never closed.
        permit.ok().map(Slot)
    }

    /// Lets one connection give way; false if all clients are being served.
    fn evict_one(&self) -> bool {
        let head = self.longest(Activity::stalled_head_since);
        let body = self.receptions.as_ref();
        let body = body.and_then(|receptions| receptions.longest_stall().zip(Some(receptions)));
        match (head, body) {
            (Some((head_since, _)), Some((since, receptions))) if since < head_since => {
                receptions.evict_stalled()
            }
            (None, Some((_, receptions))) => receptions.evict_stalled(),
            (head, _) => {
                let waiting = head
                    .or_else(|| self.longest(Activity::idle_since))
                    .or_else(|| self.longest(Activity::unread_since));
                if let Some((_, connection)) = &waiting {
                    connection.evict();
                }
                waiting.is_some()
            }
        }
    }

    /// The connection that has been in a state for longest, and since when.
    fn longest(
        &self,
        since: impl Fn(&Activity) -> Option<Instant>,
    ) -> Option<(Instant, Rc<Activity>)> {
        let open = self.open.borrow();
        let candidates = open
            .values()
            .filter_map(|activity| Some((since(activity)?, activity)));
        let longest = candidates.min_by_key(|(since, _)| *since);
        longest.map(|(since, activity)| (since, Rc::clone(activity)))
    }

    /// A slot, if one is free.
    pub fn try_free_slot(&self) -> Option<Slot> {
        let permit = Arc::clone(&self.slots).try_acquire_owned();
        permit.ok().map(Slot)
    }

    /// Counts a connection as open until the returned value is dropped.
    pub fn open(&self, slot: Slot) -> OpenConnection {
        let number = self.next.get();
        self.next.set(number + 1);
        let activity = Rc::<Activity>::default();
        let mut all = self.open.borrow_mut();
        all.insert(number, Rc::clone(&activity));
        activity.set_unsent_limit(self.unsent_bytes.of_accepted(all.len()));
        OpenConnection {
            connections: self.clone(),
            number,
            activity,
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

    /// What its client is doing.
    pub fn activity(&self) -> &Rc<Activity> {
        &self.activity
    }

    /// Whether another connection waits for the slot.
    pub fn is_slot_needed(&self) -> bool {
        self.connections.all_occupied()
    }

    /// The limits of heads on it.
    pub fn head_limits(&self) -> HeadLimits {
        self.connections.head_limits()
    }

    /// Logs and counts that it is closed because of what its client sent.
    pub fn log_rejected(&self, peer: IpAddr, reason: &'static str) {
        if let Some(receptions) = &self.connections.receptions {
            receptions.count_rejected(reason);
        }
        tracing::info!(event = "connection_rejected", %peer, reason, open = self.connections.count(),
            max = self.connections.max(), "server: closed the connection of a client without an answer to a request");
    }

    /// Counts it as closed before its answer had been sent.
    pub fn count_cut(&self) {
        let cut = &self.connections.cut;
        cut.set(cut.get() + 1);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}

async fn reached(mut phase: watch::Receiver<Phase>, wanted: Phase) {
    if phase.wait_for(|phase| *phase >= wanted).await.is_err() {
        // The server is gone, and with it whoever could close its connections.
        std::future::pending::<()>().await;
    }
}
