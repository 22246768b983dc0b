//! Links to control machines: what changed, and how surely it is current.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    Changes, FingerprintSuspicion, LinkAction, Message, Progress, ReportedLoads, RouterWire,
    ViewLinks,
};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64;

use super::reports;
use super::Router;
use crate::link::{Receiver, Redial, Sender};
use crate::traffic::LinkTraffic;

/// Between two looks at which control machines there are.
const FOLLOW_MEMBERS: Duration = Duration::from_millis(250);

/// Between two looks at what is due on links.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the links of a router share.
pub(super) struct Links {
    /// All control machines, as one of them said last.
    controls: RefCell<Vec<Ipv4Addr>>,
    pub tasks: RefCell<BTreeMap<Ipv4Addr, JoinHandle<()>>>,
    view_links: RefCell<ViewLinks>,
    traffic: Rc<LinkTraffic>,
    /// The links that are up.
    up: RefCell<BTreeMap<Ipv4Addr, Link>>,
    /// The leader, as one of them said last.
    pub leader: Cell<u32>,
    /// What the leader was told last of this router's load.
    pub loads_told: RefCell<ReportedLoads>,
    /// When it was last told what all routers put on back ends.
    pub loads_heard: Cell<Timestamp>,
}

/// A link that is up.
struct Link {
    sender: Sender,
    /// Notified when it is to end.
    given_up: Rc<Notify>,
}

impl Links {
    fn new(router: &Router) -> Self {
        let address = router.settings.listen.to_string();
        let seed = xxh3_64(address.as_bytes());
        Self {
            controls: RefCell::default(),
            tasks: RefCell::default(),
            view_links: RefCell::new(ViewLinks::new(&router.settings.params.zone, seed)),
            traffic: Rc::new(LinkTraffic::counted_by(router.metrics.link_bytes.clone())),
            up: RefCell::default(),
            leader: Cell::default(),
            loads_told: RefCell::default(),
            loads_heard: Cell::default(),
        }
    }

    /// A link has ended, or its control machine is no longer one.
    fn on_ended(&self, address: Ipv4Addr) {
        self.up.borrow_mut().remove(&address);
        self.view_links.borrow_mut().on_link_ended(address);
    }

    /// It is known how messages to a control machine are laid out.
    fn on_wire(&self, address: Ipv4Addr, wire: RouterWire) {
        if let Some(link) = self.up.borrow_mut().get_mut(&address) {
            link.sender = link.sender.clone().laid_out(wire);
        }
        if wire != RouterWire::Current {
            tracing::info!(event = "control_wire", %address, ?wire,
                "router: a control machine speaks as an earlier build");
        }
    }

    /// False when nothing is sent: the link has ended, or its queue is full.
    fn send(&self, to: Ipv4Addr, message: &Message) -> bool {
        let links = self.up.borrow();
        links.get(&to).is_some_and(|link| link.sender.send(message))
    }
}

pub(super) fn start(router: &Rc<Router>) {
    let links = Rc::new(Links::new(router));
    tokio::task::spawn_local(follow_members(Rc::clone(router), Rc::clone(&links)));
    tokio::task::spawn_local(poll_regularly(Rc::clone(router), links));
}

async fn poll_regularly(router: Rc<Router>, links: Rc<Links>) {
    loop {
        sleep(POLL_INTERVAL).await;
        poll(&router, &links);
    }
}

/// Does all that is due on links.
fn poll(router: &Router, links: &Links) {
    let now = router.clock.now();
    let position = router.core.borrow().position();
    let steps = links.view_links.borrow_mut().poll(now, position);
    for step in steps {
        take_step(router, links, step);
    }
}

fn take_step(router: &Router, links: &Links, step: LinkAction) {
    match step {
        LinkAction::Ping { to, sequence } => {
            links.send(to, &Message::Ping { sequence });
        }
        LinkAction::Follow { to, following } => {
            if links.send(to, &Message::Follow(following)) {
                links.view_links.borrow_mut().on_follow_sent(to, following);
                tracing::info!(event = "control_followed", address = %to, ?following,
                    "router: changes come from other control machines than before");
            }
        }
        LinkAction::Fetch {
            to,
            position,
            is_followed,
        } => {
            let message = Message::Fetch {
                since: position.held,
                source_revision: position.source_revision,
            };
            if links.send(to, &message) {
                links
                    .view_links
                    .borrow_mut()
                    .on_fetch_sent(router.clock.now(), to);
                router.metrics.count_fetch("asked");
                tracing::info!(event = "changes_asked", address = %to, held = position.held, is_followed,
                    "router: asked for changes");
            }
        }
        LinkAction::Close { to } => {
            if let Some(link) = links.up.borrow().get(&to) {
                link.given_up.notify_one();
            }
        }
    }
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
                    links.on_ended(*address);
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
            links.on_ended(address);
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
    let given_up = Rc::new(Notify::new());
    let link = Link {
        sender: sender.clone(),
        given_up: Rc::clone(&given_up),
    };
    sender.send(&reports::status(router));
    links.up.borrow_mut().insert(address, link);
    links.view_links.borrow_mut().on_linked(address);
    poll(router, links);
    let listening = listen(router, links, address, receiver);
    let telling = reports::tell_changes(router, &sender);
    let reporting = reports::report_loads(router, links, &sender, address);
    let reporting_work = reports::report_work(router, &sender);
    tokio::select! {
        () = given_up.notified() => "silent",
        reason = listening => reason,
        reason = telling => reason,
        reason = reporting => reason,
        reason = reporting_work => reason,
    }
}

async fn listen(
    router: &Rc<Router>,
    links: &Rc<Links>,
    address: Ipv4Addr,
    mut receiver: Receiver,
) -> &'static str {
    let Ok((wire, mut message)) = receiver.receive_first_of_control().await else {
        return "closed";
    };
    links.on_wire(address, wire);
    loop {
        on_message(router, links, address, wire, message);
        message = match receiver.receive().await {
            Ok(next) => next,
            Err(_) => return "closed",
        };
    }
}

fn on_message(
    router: &Rc<Router>,
    links: &Links,
    address: Ipv4Addr,
    wire: RouterWire,
    message: Message,
) {
    match message {
        Message::Announce(announcement) => {
            on_revision(router, links, address, announcement.revision);
        }
        Message::Changes(changes) => {
            apply(router, links, address, changes);
            poll(router, links);
        }
        Message::Pong {
            sequence,
            revision,
            routers,
            controls,
            leader,
        } => {
            links.leader.set(leader);
            let asked = links.view_links.borrow_mut().on_pong(address, sequence);
            if let Some(asked) = asked {
                let mut core = router.core.borrow_mut();
                core.on_confirmed(asked, revision, routers);
            }
            wake_waiting(router);
            if !controls.items.is_empty() {
                let controls = controls.items.into_iter().map(Ipv4Addr::from);
                *links.controls.borrow_mut() = controls.collect();
            }
            on_revision(router, links, address, revision);
        }
        Message::ControlZone(zone) => {
            links
                .view_links
                .borrow_mut()
                .on_zone(address, zone.as_str());
            poll(router, links);
        }
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
        Message::FingerprintSuspicions(suspicions) => {
            on_work_suspicions(router, address, &suspicions.items);
        }
        Message::PermitTrial(work) => {
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
            let now = router.clock.now();
            let mut told = links.loads_told.borrow_mut();
            let others = match wire {
                RouterWire::Current => told.without_own(now, &loads.items),
                RouterWire::BeforeViews => loads.items,
            };
            let mut core = router.core.borrow_mut();
            core.set_others_loads(whole != 0, &others);
        }
        _ => {}
    }
}

fn on_work_suspicions(router: &Router, address: Ipv4Addr, suspicions: &[FingerprintSuspicion]) {
    let now = router.clock.now();
    router.core.borrow_mut().on_work_suspicions(now, suspicions);
    router.work_reported.notify_waiters();
    for FingerprintSuspicion {
        fingerprint: work,
        crashes: ends,
    } in suspicions
    {
        tracing::info!(event = "work_suspected", %work, ends, by = %address,
            "router: a control machine suspects work");
    }
}

/// A control machine spoke of its revision.
fn on_revision(router: &Router, links: &Links, from: Ipv4Addr, revision: u64) {
    let now = router.clock.now();
    let held = router.core.borrow().revision();
    let mut view = links.view_links.borrow_mut();
    if view.on_revision(now, from, revision, held) {
        tracing::info!(event = "view_behind", address = %from, held, announced = revision,
            "router: a newer revision is known");
    }
    drop(view);
    poll(router, links);
}

/// Requests that came before the view was confirmed go on once it is.
fn wake_waiting(router: &Router) {
    let is_ready = router.core.borrow().is_ready(router.clock.now());
    if is_ready && router.first_view.on_confirmed() {
        router.status_changed.notify_waiters();
    }
}

fn apply(router: &Router, links: &Links, from: Ipv4Addr, changes: Changes) {
    let now = router.clock.now();
    let began = Instant::now();
    let behind = links.view_links.borrow().behind(now).unwrap_or_default();
    let (revision, newest) = (changes.revision, changes.newest);
    let (instances, removed) = (changes.instances.items.len(), changes.removed.items.len());
    let parse = |body: &[u8]| router.dialect.document(body);
    let applied = router.core.borrow_mut().apply(now, changes, parse);
    let core = router.core.borrow();
    let held = core.revision();
    let progress = match applied {
        Ok(()) => {
            router.metrics.revision.set(revision as i64);
            router.metrics.count_fetch("applied");
            tracing::info!(
                event = "view_changed",
                revision,
                %from,
                behind_ms = behind.as_millis() as u64,
                instances,
                removed,
                configuration = core.configuration_version(),
                took_us = began.elapsed().as_micros() as u64,
                "router: the view changed"
            );
            wake_waiting(router);
            router.work_reported.notify_waiters();
            Progress::Made { held }
        }
        Err(error) => {
            router.metrics.count_fetch("refused");
            tracing::info!(event = "view_refused", %from, revision, %error,
                "router: changes do not fit the view");
            Progress::None { held }
        }
    };
    drop(core);
    let mut view = links.view_links.borrow_mut();
    view.on_changes(now, from, newest, progress);
}
