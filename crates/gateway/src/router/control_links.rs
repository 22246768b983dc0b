//! Links to control machines: keep the view of the replicated state up to date and confirmed as current.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{LinkAction, Message, ReportedLoads, RouterWire, ViewLinks};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use super::Router;
use super::{crash_detection, demand_metrics, reports, streams, view_changes};
use crate::link::{PartialMessage, Receiver, Redial, Sender};
use crate::traffic::LinkTraffic;

/// Interval between checks of which control machines exist.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks of which messages are due on the links.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State that the links of a router share.
pub(super) struct Links {
    /// All control machines, as last reported by one of them.
    controls: RefCell<Vec<Ipv4Addr>>,
    /// The task that maintains the link to each control machine.
    pub tasks: RefCell<BTreeMap<Ipv4Addr, JoinHandle<()>>>,
    view_links: RefCell<ViewLinks>,
    /// Notified when the view may have been confirmed.
    view_confirmed: Notify,
    traffic: Rc<LinkTraffic>,
    /// The links that are connected.
    open_links: RefCell<BTreeMap<Ipv4Addr, Link>>,
    /// The address of the leader, as last reported by a control machine; 0 when none is known.
    pub leader: Cell<u32>,
    /// The recent reports of this router's load to the leader.
    pub reported_loads: RefCell<ReportedLoads>,
    /// When this router last received the loads of all routers.
    pub loads_received_at: Cell<Timestamp>,
}

/// A connected link.
struct Link {
    sender: Sender,
    /// Notified to close the link.
    close_requested: Rc<Notify>,
    /// How much of the next message from the control machine has arrived.
    partial_message: Rc<PartialMessage>,
}

impl Links {
    fn new(router: &Router) -> Self {
        let address = router.settings.listen.to_string();
        let seed = xxh3_64(address.as_bytes());
        Self {
            controls: RefCell::default(),
            tasks: RefCell::default(),
            view_links: RefCell::new(ViewLinks::new(&router.settings.params.zone, seed)),
            view_confirmed: Notify::new(),
            traffic: Rc::new(LinkTraffic::with_counters(
                router.metrics.link_bytes.clone(),
            )),
            open_links: RefCell::default(),
            leader: Cell::default(),
            reported_loads: RefCell::default(),
            loads_received_at: Cell::default(),
        }
    }

    /// Handles the end of a link, or the removal of its control machine from the members.
    fn on_closed(&self, address: Ipv4Addr) {
        self.open_links.borrow_mut().remove(&address);
        self.view_links.borrow_mut().on_link_ended(address);
    }

    /// Sets the layout of messages to a control machine, which its first message shows.
    fn set_wire(&self, address: Ipv4Addr, wire: RouterWire) {
        if let Some(link) = self.open_links.borrow().get(&address) {
            link.sender.set_wire(wire);
        }
        if wire == RouterWire::BeforeViews {
            tracing::info!(event = "control_wire", %address, ?wire,
                "router: a control machine of an earlier build uses an older message layout");
        }
    }

    /// The control machines that decode messages about streams.
    pub fn with_streams(&self) -> Vec<Ipv4Addr> {
        let links = self.open_links.borrow();
        let decoding = links
            .iter()
            .filter(|(_, link)| link.sender.wire().has_streams());
        decoding.map(|(address, _)| *address).collect()
    }

    /// Notes the links on which a part of a message has arrived.
    fn note_partial_messages(&self, now: Timestamp) {
        let mut view_links = self.view_links.borrow_mut();
        for (address, link) in self.open_links.borrow().iter() {
            if link.partial_message.take_progress() {
                view_links.on_partial_message(now, *address);
            }
        }
    }

    /// The bytes that have arrived of incomplete messages, over all links.
    fn partial_bytes(&self) -> usize {
        let links = self.open_links.borrow();
        links
            .values()
            .map(|link| link.partial_message.bytes())
            .sum()
    }

    /// Queues a message; false when the link has ended or its queue is full.
    pub fn send(&self, to: Ipv4Addr, message: &Message) -> bool {
        let links = self.open_links.borrow();
        links.get(&to).is_some_and(|link| link.sender.send(message))
    }
}

pub(super) fn start(router: &Rc<Router>) {
    let links = Rc::new(Links::new(router));
    router.streams.set_links(&links);
    tokio::task::spawn_local(maintain_links(Rc::clone(router), Rc::clone(&links)));
    tokio::task::spawn_local(poll_periodically(Rc::clone(router), links));
}

async fn poll_periodically(router: Rc<Router>, links: Rc<Links>) {
    loop {
        sleep(POLL_INTERVAL).await;
        poll(&router, &links);
    }
}

/// Executes all actions that are due on the links.
fn poll(router: &Router, links: &Links) {
    let now = router.clock.now();
    links.note_partial_messages(now);
    let position = router.core.borrow().position();
    let actions = links.view_links.borrow_mut().poll(now, position);
    for action in actions {
        execute_action(router, links, action);
    }
    fetch_peers_if_due(router, links);
}

/// Asks whether the view is current, and waits until it holds all that was accepted up to `at`; false if it does not
/// within `limit`.
pub(super) async fn confirm_view(
    router: &Router,
    links: &Links,
    at: Timestamp,
    limit: Duration,
) -> bool {
    links.view_links.borrow_mut().await_confirmation(at);
    poll(router, links);
    let confirmed = async {
        loop {
            let changed = links.view_confirmed.notified();
            if router.core.borrow().is_confirmed_after(at) {
                return;
            }
            changed.await;
        }
    };
    timeout(limit, confirmed).await.is_ok()
}

/// Asks any control machine for the routers to forward requests to.
fn fetch_peers_if_due(router: &Router, links: &Links) {
    let has_lost_path = router.core.borrow().has_lost_any_path();
    let links = links.open_links.borrow();
    let senders = links.values().map(|link| &link.sender);
    let senders: Vec<&Sender> = senders.filter(|sender| sender.wire().has_peers()).collect();
    let now = router.clock.now();
    if senders.is_empty() || !router.peers.is_fetch_due(now, has_lost_path) {
        return;
    }
    // Successive fetches go to different machines, as one of them may be cut off.
    let fetches = router.peers.count_fetch();
    senders[fetches % senders.len()].send(&Message::FetchPeers);
}

fn execute_action(router: &Router, links: &Links, action: LinkAction) {
    match action {
        LinkAction::Ping { to, sequence } => {
            links.send(to, &Message::Ping { sequence });
        }
        LinkAction::Follow { to, following } => {
            if links.send(to, &Message::Follow(following)) {
                links.view_links.borrow_mut().on_follow_sent(to, following);
                tracing::info!(event = "control_followed", address = %to, ?following,
                    "router: requested this set of updates from a control machine");
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
                configuration: router.core.borrow().configuration_patch_base(),
            };
            if links.send(to, &message) {
                links
                    .view_links
                    .borrow_mut()
                    .on_fetch_sent(router.clock.now(), to);
                router.metrics.count_fetch("asked");
                tracing::info!(event = "changes_asked", address = %to, held = position.held, is_followed,
                    partial_bytes = links.partial_bytes(),
                    "router: requested changes from a control machine");
            }
        }
        LinkAction::Close { to } => {
            if let Some(link) = links.open_links.borrow().get(&to) {
                link.close_requested.notify_one();
            }
        }
    }
}

/// Keeps one link to each control machine that the seeds or another control machine list.
async fn maintain_links(router: Rc<Router>, links: Rc<Links>) {
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
                    links.on_closed(*address);
                }
                keep
            });
            for address in wanted {
                tasks.entry(address).or_insert_with(|| {
                    let link = maintain_link(Rc::clone(&router), Rc::clone(&links), address);
                    tokio::task::spawn_local(link)
                });
            }
        }
        sleep(MEMBERSHIP_INTERVAL).await;
    }
}

async fn maintain_link(router: Rc<Router>, links: Rc<Links>, address: Ipv4Addr) {
    let target = SocketAddr::from((address, router.settings.internal_port));
    let mut redial = Redial::with_traffic(Rc::clone(&links.traffic));
    loop {
        if let Ok((sender, receiver)) = redial.dial(target).await {
            tracing::info!(event = "control_linked", %address,
                "router: connected to a control machine");
            let reason = run_link(&router, &links, address, sender, receiver).await;
            links.on_closed(address);
            streams::on_links_changed(&router, &links);
            tracing::info!(event = "control_lost", %address, reason,
                "router: lost the connection to a control machine");
        }
        sleep(redial.retry_delay()).await;
    }
}

/// Exchanges messages until the link ends; returns the reason.
async fn run_link(
    router: &Rc<Router>,
    links: &Rc<Links>,
    address: Ipv4Addr,
    sender: Sender,
    receiver: Receiver,
) -> &'static str {
    let close_requested = Rc::new(Notify::new());
    let link = Link {
        sender: sender.clone(),
        close_requested: Rc::clone(&close_requested),
        partial_message: receiver.partial_message(),
    };
    sender.send_marked(&reports::status(router));
    links.open_links.borrow_mut().insert(address, link);
    links.view_links.borrow_mut().on_linked(address);
    poll(router, links);
    let receiving = receive_messages(router, links, address, receiver);
    let sending_status = reports::send_status_changes(router, &sender);
    let sending_loads = reports::send_load_reports(router, links, &sender, address);
    let sending_crash_reports = reports::send_crash_reports(router, &sender);
    tokio::select! {
        () = close_requested.notified() => "silent",
        reason = receiving => reason,
        reason = sending_status => reason,
        reason = sending_loads => reason,
        reason = sending_crash_reports => reason,
    }
}

async fn receive_messages(
    router: &Rc<Router>,
    links: &Rc<Links>,
    address: Ipv4Addr,
    mut receiver: Receiver,
) -> &'static str {
    let Ok((wire, mut message)) = receiver.receive_first_of_control().await else {
        return "closed";
    };
    links.set_wire(address, wire);
    streams::on_links_changed(router, links);
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
            let mut view_links = links.view_links.borrow_mut();
            view_changes::apply(router, &mut view_links, address, changes);
            drop(view_links);
            links.view_confirmed.notify_waiters();
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
            let ping_sent_at = links.view_links.borrow_mut().on_pong(address, sequence);
            if let Some(ping_sent_at) = ping_sent_at {
                let mut core = router.core.borrow_mut();
                core.on_confirmed(ping_sent_at, revision, routers);
            }
            links.view_confirmed.notify_waiters();
            wake_waiting_requests(router);
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
        Message::StoreContents {
            store,
            known,
            reset,
            added,
            removed,
        } => {
            let mut core = router.core.borrow_mut();
            core.on_store_contents(store, known != 0, reset != 0, &added.items, &removed.items);
        }
        Message::UnresponsiveBackEnds(keys) => {
            let now = router.clock.now();
            let unresponsive = router.core.borrow_mut().on_suspects(now, &keys.items);
            for instance in unresponsive {
                tracing::info!(event = "back_end_suspected", %instance, by = "another router",
                        "router: another router reported an unresponsive back end");
                router.upstreams.close_idle(&instance);
            }
        }
        Message::RefusingBackEnds(keys) => {
            let now = router.clock.now();
            router.core.borrow_mut().on_refusing(now, &keys.items);
            tracing::info!(
                event = "back_ends_refusing",
                count = keys.items.len(),
                "router: other routers reported back ends that refuse requests"
            );
        }
        Message::FingerprintSuspicions(suspicions) => {
            crash_detection::on_suspicions(router, address, &suspicions.items);
        }
        Message::PermitTrial(fingerprint) => {
            let now = router.clock.now();
            router
                .core
                .borrow_mut()
                .on_trial_permitted(now, fingerprint);
            tracing::info!(event = "work_trial", work = %fingerprint, scope = fingerprint.scope().as_str(), by = %address,
                    "router: a control machine permitted one trial run of a quarantined fingerprint");
        }
        Message::Holders(entries) => {
            let now = router.clock.now();
            router.core.borrow_mut().on_holders(now, &entries.items);
        }
        Message::BackEndSpeeds(news) => {
            let now = router.clock.now();
            router.core.borrow_mut().on_back_end_speeds(now, &news);
        }
        Message::Peers(addresses) => {
            let addresses = addresses.items.iter();
            let addresses = addresses.map(|address| address.as_str().to_owned());
            router.peers.set(router.clock.now(), addresses.collect());
        }
        Message::StreamSoftware { stream, software } => {
            let software = software.items.first().copied();
            router.streams.on_answer(stream, software);
        }
        Message::AccountLevels(levels) => {
            let now = router.clock.now();
            let mut core = router.core.borrow_mut();
            core.on_account_levels(now, &levels.items);
        }
        Message::TenantDemands {
            pool,
            tenants,
            other_tenants,
            other_cost_per_second,
        } => {
            let now = router.clock.now();
            router.core.borrow_mut().on_tenant_demands(
                now,
                pool,
                &tenants.items,
                other_tenants,
                other_cost_per_second,
            );
            demand_metrics::on_demands(router);
        }
        Message::LoadsOfAll { whole, loads } => {
            links.loads_received_at.set(router.clock.now());
            let now = router.clock.now();
            let mut reported = links.reported_loads.borrow_mut();
            let others = match wire {
                RouterWire::BeforeViews => loads.items,
                _ => reported.without_own(now, &loads.items),
            };
            let mut core = router.core.borrow_mut();
            core.set_others_loads(whole != 0, &others);
        }
        _ => {}
    }
}

/// Handles the revision that a control machine reported.
fn on_revision(router: &Router, links: &Links, from: Ipv4Addr, revision: u64) {
    let now = router.clock.now();
    let held = router.core.borrow().revision();
    let mut view = links.view_links.borrow_mut();
    if view.on_revision(now, from, revision, held) {
        tracing::info!(event = "view_behind", address = %from, held, announced = revision,
            "router: a control machine reported a newer revision than the view has");
    }
    drop(view);
    poll(router, links);
}

/// Wakes the requests that wait for the first confirmed view, once it is confirmed.
pub(super) fn wake_waiting_requests(router: &Router) {
    let is_ready = router.core.borrow().is_ready(router.clock.now());
    if is_ready && router.first_view.on_confirmed() {
        router.status_changed.notify_waiters();
    }
}
