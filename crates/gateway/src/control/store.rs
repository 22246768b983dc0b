//! Follows the store of cached prompts while this machine leads: its events as they come, and
//! now and then its list, for some events never come.

use std::rc::Rc;
use std::time::Duration;

use drumshore_consensus::Role;
use drumshore_core::Timestamp;
use drumshore_gateway_core::{InstanceId, StoreNews, StoredKey};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use super::Control;
use crate::dialect::{OutboundCall, StoreEvents};

/// How long a question may wait for events.
const WAIT: Duration = Duration::from_millis(700);
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Between two questions, so that events come in batches.
const PAUSE: Duration = Duration::from_millis(60);
/// While there is no store, or this machine does not lead.
const IDLE: Duration = Duration::from_millis(200);
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Where in the store's events this machine is.
#[derive(Clone, Copy, Debug)]
struct Position {
    epoch: u64,
    next: u64,
    listed: Timestamp,
}

/// Follows the store until the process ends.
pub(super) async fn follow(control: Rc<Control>) {
    let mut position: Option<Position> = None;
    loop {
        let store = store_address(&control);
        let Some(address) = store.filter(|_| control.leads()) else {
            position = None;
            sleep(IDLE).await;
            continue;
        };
        let followed = match position {
            Some(position) => go_on(&control, &address, position).await,
            None => start(&control, &address).await,
        };
        if followed.is_none() && position.is_some() {
            tracing::info!(event = "store_lost", %address);
        } else if followed.is_some() && position.is_none() {
            tracing::info!(event = "store_found", %address);
        }
        if followed.is_none() {
            tell(&control, StoreNews::Lost);
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
    tell(control, StoreNews::Holds(list));
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
    let (came, went): (Vec<_>, Vec<_>) = events.events.into_iter().partition(|event| event.came);
    if !came.is_empty() || !went.is_empty() {
        tell(
            control,
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

fn tell(control: &Control, news: StoreNews) {
    control.with_core(|core, now| core.on_store_news(now, news));
}

/// The store that the configuration names.
fn store_address(control: &Control) -> Option<String> {
    let core = control.core.borrow();
    let state = core.as_ref()?.state();
    let mut known = control.store.borrow_mut();
    if known.version != state.configuration_version() {
        known.version = state.configuration_version();
        let document = control.dialect.document(state.configuration()?).ok();
        known.address = document.and_then(|document| {
            let mut stores = document.pools.into_iter().filter_map(|pool| pool.store);
            stores.next().map(|store| store.address)
        });
    }
    known.address.clone()
}

/// The store of a configuration, so that it need not be read each time.
#[derive(Debug, Default)]
pub(super) struct KnownStore {
    version: u64,
    address: Option<String>,
}

impl Control {
    fn leads(&self) -> bool {
        self.role.get() == Some(Role::Leader)
    }
}
