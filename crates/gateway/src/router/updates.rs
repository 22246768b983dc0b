//! Links to control machines: what changed, and how surely it is current.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    Changes, Following, LoadEntry, Message, Position, RouterStatus, WorkSuspicion,
};
use drumshore_wire::{List, Text};
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64;

use super::fetch::Fetches;
use super::sources::Sources;
use super::Router;
use crate::link::{Receiver, Redial, Sender};
use crate::traffic::LinkTraffic;

/// Between two questions to any control machine.
const PING_SPACING: Duration = Duration::from_millis(300);
/// Between two questions on the same link, however many there are: a control machine hands callers no router
/// that asked nothing for 4 s.
const LONGEST_SPACING: Duration = Duration::from_millis(2_000);
/// A link on which a question got no answer for so long is given up.
const UNANSWERED: Duration = Duration::from_millis(2_500);
const FOLLOW_MEMBERS: Duration = Duration::from_millis(250);
/// Between two reports to the leader of this router's load.
const LOADS_INTERVAL: Duration = Duration::from_millis(80);
/// Load that does not change is reported again after this long.
const LOADS_CONFIRM: Duration = Duration::from_millis(300);
/// What the leader told of other routers' load counts for so long.
const LOADS_COUNT_FOR: Duration = Duration::from_millis(1_000);

struct Links {
    /// All control machines, as one of them said last.
    controls: RefCell<Vec<Ipv4Addr>>,
    tasks: RefCell<BTreeMap<Ipv4Addr, JoinHandle<()>>>,
    fetches: Fetches,
    sources: Sources,
    traffic: Rc<LinkTraffic>,
    /// The leader, as one of them said last.
    leader: Cell<u32>,
    /// What the leader was told last of this router's load.
    loads_told: RefCell<Vec<LoadEntry>>,
    /// When it was last told what all routers put on back ends.
    loads_heard: Cell<Timestamp>,
}

impl Links {
    fn new(router: &Router) -> Self {
        let address = router.settings.listen.to_string();
        let seed = xxh3_64(address.as_bytes());
        Self {
            controls: RefCell::default(),
            tasks: RefCell::default(),
            fetches: Fetches::default(),
            sources: Sources::new(&router.settings.params.zone, seed),
            traffic: Rc::new(LinkTraffic::counted_by(router.metrics.link_bytes.clone())),
            leader: Cell::default(),
            loads_told: RefCell::default(),
            loads_heard: Cell::default(),
        }
    }
}

pub(super) fn start(router: &Rc<Router>) {
    let links = Rc::new(Links::new(router));
    tokio::task::spawn_local(follow_members(Rc::clone(router), links));
}

/// Keeps one link to each control machine that seeds or control machines name.
async fn follow_members(router: Rc<Router>, links: Rc<Links>) {
    loop {
        let mut wanted = (router.settings.seeds)();
        wanted.extend(links.controls.borrow().iter());
        wanted.sort_unstable();
        wanted.dedup();
        {
            let mut tasks = links.tasks.borrow_mut();
            tasks.retain(|address, task| {
                let keep = wanted.contains(address);
                if !keep {
                    task.abort();
                }
                keep
            });
            for address in wanted {
                tasks.entry(address).or_insert_with(|| {
                    let link = keep_linked(Rc::clone(&router), Rc::clone(&links), address);
                    tokio::task::spawn_local(link)
                });
            }
        }
        sleep(FOLLOW_MEMBERS).await;
    }
}

async fn keep_linked(router: Rc<Router>, links: Rc<Links>, address: Ipv4Addr) {
    let target = SocketAddr::from((address, router.settings.internal_port));
    let mut redial = Redial::counted_by(Rc::clone(&links.traffic));
    loop {
        if let Ok((sender, receiver)) = redial.dial(target).await {
            tracing::info!(event = "control_linked", %address,
                "router: linked to a control machine");
            let reason = converse(&router, &links, address, sender, receiver).await;
            links.fetches.on_link_ended(address);
            links.sources.on_link_ended(address);
            tracing::info!(event = "control_lost", %address, reason,
                "router: a control machine is lost");
        }
        sleep(redial.pause()).await;
    }
}

/// Speaks until the link ends; says why it did.
async fn converse(
    router: &Rc<Router>,
    links: &Rc<Links>,
    address: Ipv4Addr,
    sender: Sender,
    receiver: Receiver,
) -> &'static str {
    let asked: Rc<RefCell<BTreeMap<u64, Timestamp>>> = Rc::default();
    sender.send(&status(router));
    links.sources.on_linked(address);
    let asking = ask_regularly(router, links, &sender, &asked);
    let listening = listen(router, links, address, &sender, receiver, &asked);
    let telling = tell_changes(router, &sender);
    let reporting = report_loads(router, links, &sender, address);
    let reporting_work = report_work(router, &sender);
    let following = follow(links, &sender, address);
    tokio::select! {
        reason = asking => reason,
        reason = listening => reason,
        reason = telling => reason,
        reason = reporting => reason,
        reason = reporting_work => reason,
        reason = following => reason,
    }
}

fn status(router: &Router) -> Message {
    Message::Router(RouterStatus {
        address: Text::new(router.settings.listen.to_string()),
        zone: Text::new(router.settings.params.zone.as_str()),
        accepting: u8::from(router.stopping.get().is_none()),
    })
}

async fn tell_changes(router: &Rc<Router>, sender: &Sender) -> &'static str {
    loop {
        router.status_changed.notified().await;
        if !sender.send(&status(router)) {
            return "closed";
        }
    }
}

/// Tells a control machine what this router is to be told on this link, whenever that changes.
async fn follow(links: &Links, sender: &Sender, address: Ipv4Addr) -> &'static str {
    let mut told = Following::Nothing;
    loop {
        let following = links.sources.following(address);
        if following != told {
            tracing::info!(event = "control_followed", %address, ?following,
                "router: changes come from other control machines than before");
            if !sender.send(&Message::Follow(following)) {
                return "closed";
            }
            told = following;
        }
        links.sources.changed.notified().await;
    }
}

async fn ask_regularly(
    router: &Rc<Router>,
    links: &Rc<Links>,
    sender: &Sender,
    asked: &Rc<RefCell<BTreeMap<u64, Timestamp>>>,
) -> &'static str {
    let mut sequence = 0;
    loop {
        let now = router.clock.now();
        let oldest = asked.borrow().values().next().copied();
        if oldest.is_some_and(|at| now.since(at) > UNANSWERED) {
            return "silent";
        }
        sequence += 1;
        asked.borrow_mut().insert(sequence, now);
        if !sender.send(&Message::Ping { sequence }) || sender.is_closed() {
            return "closed";
        }
        let machines = links.tasks.borrow().len().max(1) as u32;
        sleep((PING_SPACING * machines).min(LONGEST_SPACING)).await;
    }
}

async fn listen(
    router: &Rc<Router>,
    links: &Rc<Links>,
    address: Ipv4Addr,
    sender: &Sender,
    mut receiver: Receiver,
    asked: &Rc<RefCell<BTreeMap<u64, Timestamp>>>,
) -> &'static str {
    loop {
        let Ok(message) = receiver.receive().await else {
            return "closed";
        };
        match message {
            Message::Announce(announcement) => {
                fetch(router, links, address, sender, announcement.revision);
            }
            Message::Changes(changes) => {
                let newest = changes.newest;
                apply(router, links, changes);
                fetch(router, links, address, sender, newest);
            }
            Message::Pong {
                sequence,
                revision,
                routers,
                controls,
                leader,
            } => {
                links.leader.set(leader);
                links.sources.on_answer(address);
                let at = asked.borrow_mut().remove(&sequence);
                asked.borrow_mut().retain(|other, _| *other > sequence);
                if let Some(at) = at {
                    let mut core = router.core.borrow_mut();
                    core.on_confirmed(at, revision, routers);
                }
                wake_waiting(router);
                if !controls.items.is_empty() {
                    let controls = controls.items.into_iter().map(Ipv4Addr::from);
                    *links.controls.borrow_mut() = controls.collect();
                }
                fetch(router, links, address, sender, revision);
            }
            Message::ControlZone(zone) => links.sources.on_zone(address, zone.as_str()),
            Message::Stored {
                store,
                known,
                reset,
                added,
                removed,
            } => {
                let mut core = router.core.borrow_mut();
                core.on_stored(store, known != 0, reset != 0, &added.items, &removed.items);
            }
            Message::Suspects(keys) => {
                let now = router.clock.now();
                let silent = router.core.borrow_mut().on_suspects(now, &keys.items);
                for instance in silent {
                    tracing::info!(event = "back_end_suspected", %instance, by = "another router",
                        "router: a back end fell silent");
                    router.upstreams.close_idle(&instance);
                }
            }
            Message::Refusing(keys) => {
                let now = router.clock.now();
                router.core.borrow_mut().on_refusing(now, &keys.items);
                tracing::info!(
                    event = "back_ends_refusing",
                    count = keys.items.len(),
                    "router: back ends turn other routers' requests away"
                );
            }
            Message::WorkSuspicions(suspicions) => {
                on_work_suspicions(router, address, &suspicions.items);
            }
            Message::TryWork(work) => {
                let now = router.clock.now();
                router.core.borrow_mut().on_trial_permitted(now, work);
                tracing::info!(event = "work_trial", %work, by = %address,
                    "router: one run of quarantined work is permitted");
            }
            Message::Holders(entries) => {
                let now = router.clock.now();
                router.core.borrow_mut().on_holders(now, &entries.items);
            }
            Message::AccountLevels(levels) => {
                let now = router.clock.now();
                let mut core = router.core.borrow_mut();
                core.on_account_levels(now, &levels.items);
            }
            Message::LoadsOfAll { whole, loads } => {
                links.loads_heard.set(router.clock.now());
                let others = LoadEntry::without(&loads.items, &links.loads_told.borrow());
                let mut core = router.core.borrow_mut();
                core.set_others_loads(whole != 0, &others);
            }
            _ => {}
        }
    }
}

/// Tells the leader what this router puts on back ends, when that has changed or is to be
/// confirmed; the leader tells the others.
async fn report_loads(
    router: &Rc<Router>,
    links: &Rc<Links>,
    sender: &Sender,
    address: Ipv4Addr,
) -> &'static str {
    let mut told_at = router.clock.now();
    loop {
        sleep(LOADS_INTERVAL).await;
        let now = router.clock.now();
        if now.since(links.loads_heard.get()) > LOADS_COUNT_FOR {
            links.loads_heard.set(now);
            router.core.borrow_mut().set_others_loads(true, &[]);
        }
        if links.leader.get() != u32::from(address) {
            continue;
        }
        let suspects = router.core.borrow_mut().take_suspects();
        if !suspects.is_empty() && !sender.send(&Message::Suspects(List::new(suspects))) {
            return "closed";
        }
        let refusing = router.core.borrow_mut().take_refusing();
        if !refusing.is_empty() && !sender.send(&Message::Refusing(List::new(refusing))) {
            return "closed";
        }
        let learned = router.core.borrow_mut().take_holder_news();
        if !learned.is_empty() && !sender.send(&Message::Holders(List::new(learned))) {
            return "closed";
        }
        let usage = router.core.borrow_mut().take_usage(now);
        if !usage.is_empty() && !sender.send(&Message::Usage(List::new(usage))) {
            return "closed";
        }
        let loads = router.core.borrow().own_loads();
        let unconfirmed = now.since(told_at) >= LOADS_CONFIRM && !loads.is_empty();
        if loads == *links.loads_told.borrow() && !unconfirmed {
            continue;
        }
        links.loads_told.borrow_mut().clone_from(&loads);
        told_at = now;
        if !sender.send(&Message::Loads(List::new(loads))) {
            return "closed";
        }
    }
}

/// Tells a control machine, also one that links later, what this router saw of work that back ends ended
/// under. All of them are told: any may be the one that the next router hears.
async fn report_work(router: &Rc<Router>, sender: &Sender) -> &'static str {
    let mut cursor = 0;
    loop {
        let now = router.clock.now();
        let reports = router.core.borrow().work_reports_since(now, &mut cursor);
        if !reports.is_empty() && !sender.send(&Message::WorkReports(List::new(reports))) {
            return "closed";
        }
        router.work_reported.notified().await;
    }
}

fn on_work_suspicions(router: &Router, address: Ipv4Addr, suspicions: &[WorkSuspicion]) {
    let now = router.clock.now();
    router.core.borrow_mut().on_work_suspicions(now, suspicions);
    router.work_reported.notify_waiters();
    for WorkSuspicion { work, ends } in suspicions {
        tracing::info!(event = "work_suspected", %work, ends, by = %address,
            "router: a control machine suspects work");
    }
}

/// Asks for changes, unless an answer may still come.
fn fetch(router: &Router, links: &Links, from: Ipv4Addr, sender: &Sender, revision: u64) {
    let Position { held, begun } = router.core.borrow().position();
    let now = router.clock.now();
    let is_followed = links.sources.following(from).has_changes();
    let message = Message::Fetch { since: held, begun };
    if links.fetches.is_due(now, is_followed, revision, held) && sender.send(&message) {
        links.fetches.on_asked(now, from);
    }
}

/// Requests that came before the view was confirmed go on once it is.
fn wake_waiting(router: &Router) {
    if router.core.borrow().is_ready(router.clock.now()) {
        router.first_view.on_confirmed();
    }
}

fn apply(router: &Router, links: &Links, changes: Changes) {
    links.fetches.on_answer();
    let now = router.clock.now();
    let began = Instant::now();
    let revision = changes.revision;
    let (instances, removed) = (changes.instances.items.len(), changes.removed.items.len());
    let parse = |body: &[u8]| router.dialect.document(body);
    let applied = router.core.borrow_mut().apply(now, changes, parse);
    match applied {
        Ok(()) => {
            router.metrics.revision.set(revision as i64);
            let core = router.core.borrow();
            tracing::info!(
                event = "view_changed",
                revision,
                instances,
                removed,
                configuration = core.configuration_version(),
                took_us = began.elapsed().as_micros() as u64,
                "router: the view changed"
            );
            drop(core);
            wake_waiting(router);
            router.work_reported.notify_waiters();
        }
        Err(error) => {
            tracing::info!(event = "view_refused", revision, %error,
                "router: changes do not fit the view")
        }
    }
}
