//! Follows the stores of cached prompts while this machine leads: their events as they come, and
//! now and then their lists, for some events never come.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use drumshore_consensus::Role;
use drumshore_core::Timestamp;
use drumshore_gateway_core::{InstanceId, StoreId, StoreNews, StoredKey};
use hyper::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::Control;
use crate::dialect::{OutboundCall, StoreEvents};

/// How long a question may wait for events.
const POLL_WAIT: Duration = Duration::from_millis(700);
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Between two questions, so that events come in batches.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Between two looks at which stores there are, and after one that did not answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Where in a store's events this machine is.
#[derive(Clone, Copy, Debug)]
struct Position {
    epoch: u64,
    next: u64,
    listed_at: Timestamp,
}

/// While this machine leads, keeps one follower for each store that the configuration names.
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
                report(&control, address, StoreNews::Lost);
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

async fn follow(control: Rc<Control>, address: String) {
    let mut position: Option<Position> = None;
    loop {
        let new_position = match position {
            Some(position) => poll(&control, &address, position).await,
            None => resync(&control, &address).await,
        };
        if new_position.is_none() && position.is_some() {
            tracing::info!(event = "store_lost", %address, "control: a store does not answer");
        } else if new_position.is_some() && position.is_none() {
            tracing::info!(event = "store_found", %address, "control: a store answers");
        }
        if new_position.is_none() {
            report(&control, &address, StoreNews::Lost);
            sleep(CHECK_INTERVAL).await;
        }
        position = new_position;
        sleep(POLL_INTERVAL).await;
    }
}

/// Events first, then the list: what changes between the two is told again by the next events.
async fn resync(control: &Control, address: &str) -> Option<Position> {
    let events = query_events(control, address, 0, Duration::ZERO).await?;
    let list = query_list(control, address).await?;
    report(control, address, StoreNews::Holds(list));
    Some(Position {
        epoch: events.epoch,
        next: events.next,
        listed_at: control.clock.now(),
    })
}

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
            StoreNews::Changed {
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

fn report(control: &Control, address: &str, news: StoreNews) {
    let store = StoreId::at(address);
    control.with_core(|core, now| core.on_store_news(now, store, news));
}

impl Control {
    fn leads(&self) -> bool {
        self.role.get() == Some(Role::Leader)
    }
}
