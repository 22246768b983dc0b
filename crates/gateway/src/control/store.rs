//! Tracks the contents of the stores of cached prompts while this machine is the leader: polls their events, and reads
//! their lists periodically, because some events are never sent.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use drumshore_consensus::Role;
use drumshore_core::Timestamp;
use drumshore_gateway_core::{InstanceId, StoreId, StoreUpdate, StoredKey};
use hyper::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::Control;
use crate::dialect::{OutboundCall, StoreEvents};

/// How long a store may hold a query until there are events.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// Timeout of a query.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay between queries, so that events arrive in batches.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between checks of which stores exist, and delay after a query that failed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a store's list is read again.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The position of this machine in a store's events.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Changes when the store restarts empty.
    epoch: u64,
    /// From where the next query continues.
    next: u64,
    /// When the list was read last.
    listed_at: Timestamp,
}

/// Runs a follower task for each store that the configuration lists, while this machine is the leader.
pub(super) async fn follow_all(control: Rc<Control>) {
    let mut followers: BTreeMap<String, JoinHandle<()>> = BTreeMap::new();
    loop {
        let wanted = if control.leads() {
            control.store_addresses()
        } else {
            Vec::new()
        };
        followers.retain(|address, follower| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                follower.abort();
                report(&control, address, StoreUpdate::Unreachable);
            }
            is_wanted
        });
        for address in wanted {
            followers.entry(address.clone()).or_insert_with(|| {
                let follower = follow(Rc::clone(&control), address);
                tokio::task::spawn_local(follower)
            });
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Follows one store, and reports it as lost while it does not respond.
async fn follow(control: Rc<Control>, address: String) {
    let mut position: Option<Position> = None;
    loop {
        let new_position = match position {
            Some(position) => poll(&control, &address, position).await,
            None => resync(&control, &address).await,
        };
        if new_position.is_none() && position.is_some() {
            tracing::info!(event = "store_lost", %address, "control: a store stopped responding");
        } else if new_position.is_some() && position.is_none() {
            tracing::info!(event = "store_found", %address, "control: a store responds; following its events");
        }
        if new_position.is_none() {
            report(&control, &address, StoreUpdate::Unreachable);
            sleep(CHECK_INTERVAL).await;
        }
        position = new_position;
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the store's event position first and its list second, so that a change between the two queries still arrives
/// as an event.
async fn resync(control: &Control, address: &str) -> Option<Position> {
    let events = query_events(control, address, 0, Duration::ZERO).await?;
    let list = query_list(control, address).await?;
    report(control, address, StoreUpdate::Contents(list));
    Some(Position {
        epoch: events.epoch,
        next: events.next,
        listed_at: control.clock.now(),
    })
}

/// Queries the next events and reports the changes; reads the list again when it is due or events were lost.
async fn poll(control: &Control, address: &str, mut position: Position) -> Option<Position> {
    let events = query_events(control, address, position.next, POLL_WAIT).await?;
    let now = control.clock.now();
    let needs_resync = events.lost
        || events.epoch != position.epoch
        || now.since(position.listed_at) >= LIST_INTERVAL;
    if needs_resync {
        return resync(control, address).await;
    }
    position.next = events.next;
    let (added_events, removed_events): (Vec<_>, Vec<_>) =
        events.events.into_iter().partition(|event| event.is_added);
    if !added_events.is_empty() || !removed_events.is_empty() {
        report(
            control,
            address,
            StoreUpdate::Changed {
                added: added_events.into_iter().map(|event| event.key).collect(),
                removed: removed_events.into_iter().map(|event| event.key).collect(),
            },
        );
    }
    Some(position)
}

async fn query_events(
    control: &Control,
    address: &str,
    since: u64,
    wait: Duration,
) -> Option<StoreEvents> {
    let call = control.dialect.store_events_call(since, wait);
    let body = query(control, address, call).await?;
    control.dialect.store_events(&body).ok()
}

async fn query_list(control: &Control, address: &str) -> Option<Vec<StoredKey>> {
    let call = control.dialect.store_list_call();
    let body = query(control, address, call).await?;
    control.dialect.store_list(&body).ok()
}

async fn query(control: &Control, address: &str, call: OutboundCall) -> Option<bytes::Bytes> {
    let name = InstanceId::new(address);
    let call_future = control.back_ends.call(control, &name, address, call, false);
    let answer = timeout(TIMEOUT, call_future).await.ok().flatten()?;
    (answer.status == StatusCode::OK).then_some(answer.body)
}

fn report(control: &Control, address: &str, update: StoreUpdate) {
    let store = StoreId::at(address);
    control.with_core(|core, now| core.on_store_update(now, store, update));
}

impl Control {
    fn leads(&self) -> bool {
        self.role.get() == Some(Role::Leader)
    }
}
