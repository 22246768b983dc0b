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
const WAIT: Duration = Duration::from_millis(700);
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Between two questions, so that events come in batches.
const PAUSE: Duration = Duration::from_millis(60);
/// Between two looks at which stores there are, and after one that did not answer.
const IDLE: Duration = Duration::from_millis(200);
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Where in a store's events this machine is.
#[derive(Clone, Copy, Debug)]
struct Position {
    epoch: u64,
    next: u64,
    listed: Timestamp,
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
            let keep = wanted.contains(address);
            if !keep {
                follower.abort();
                tell(&control, address, StoreNews::Lost);
            }
            keep
        });
        for address in wanted {
            followers.entry(address.clone()).or_insert_with(|| {
                let follower = follow(Rc::clone(&control), address);
                tokio::task::spawn_local(follower)
            });
        }
        sleep(IDLE).await;
    }
}

async fn follow(control: Rc<Control>, address: String) {
    let mut position: Option<Position> = None;
    loop {
        let followed = match position {
            Some(position) => go_on(&control, &address, position).await,
            None => start(&control, &address).await,
        };
        if followed.is_none() && position.is_some() {
            tracing::info!(event = "store_lost", %address, "control: a store does not answer");
        } else if followed.is_some() && position.is_none() {
            tracing::info!(event = "store_found", %address, "control: a store answers");
        }
        if followed.is_none() {
            tell(&control, &address, StoreNews::Lost);
            sleep(IDLE).await;
        }
        position = followed;
        sleep(PAUSE).await;
    }
}

/// Events first, then the list: what changes between the two is told again by the next events.
async fn start(control: &Control, address: &str) -> Option<Position> {
    let events = ask_events(control, address, 0, Duration::ZERO).await?;
    let list = ask_list(control, address).await?;
    tell(control, address, StoreNews::Holds(list));
    Some(Position {
        epoch: events.epoch,
        next: events.next,
        listed: control.clock.now(),
    })
}

async fn go_on(control: &Control, address: &str, mut position: Position) -> Option<Position> {
    let events = ask_events(control, address, position.next, WAIT).await?;
    let now = control.clock.now();
    let outdated = events.lost
        || events.epoch != position.epoch
        || now.since(position.listed) >= LIST_INTERVAL;
    if outdated {
        return start(control, address).await;
    }
    position.next = events.next;
    let (came, went): (Vec<_>, Vec<_>) =
        events.events.into_iter().partition(|event| event.is_added);
    if !came.is_empty() || !went.is_empty() {
        tell(
            control,
            address,
            StoreNews::Changed {
                added: came.into_iter().map(|event| event.key).collect(),
                removed: went.into_iter().map(|event| event.key).collect(),
            },
        );
    }
    Some(position)
}

async fn ask_events(
    control: &Control,
    address: &str,
    since: u64,
    wait: Duration,
) -> Option<StoreEvents> {
    let call = control.dialect.store_events_call(since, wait);
    let body = ask(control, address, call).await?;
    control.dialect.store_events(&body).ok()
}

async fn ask_list(control: &Control, address: &str) -> Option<Vec<StoredKey>> {
    let call = control.dialect.store_list_call();
    let body = ask(control, address, call).await?;
    control.dialect.store_list(&body).ok()
}

async fn ask(control: &Control, address: &str, call: OutboundCall) -> Option<bytes::Bytes> {
    let name = InstanceId::new(address);
    let calling = control.back_ends.call(control, &name, address, call, false);
    let answer = timeout(PATIENCE, calling).await.ok().flatten()?;
    (answer.status == StatusCode::OK).then_some(answer.body)
}

fn tell(control: &Control, address: &str, news: StoreNews) {
    let store = StoreId::at(address);
    control.with_core(|core, now| core.on_store_news(now, store, news));
}

impl Control {
    fn leads(&self) -> bool {
        self.role.get() == Some(Role::Leader)
    }
}
