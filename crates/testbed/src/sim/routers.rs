//! Routers of the simulated fleet, and their links to control machines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use drumshore_control::ConnectionId;
use drumshore_core::Timestamp;
use drumshore_router::{
    LinkId, RouterActor, RouterCore, RouterOutputs, RouterParams, StoredFile, StoredState,
};
use drumshore_wire::Message;
use stakker::{actor, call, ret_nop, ActorOwn, Fwd, Ret};

use super::checks::Invariant;
use super::cluster::{Event, Output, SimCluster};
use super::network::Node;

/// Time until a connection attempt to an unreachable control machine fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until a peer notices that a process has terminated.
const RESET_DELAY: Duration = Duration::from_millis(1);

/// Files that a router has stored; they survive its crashes.
type Store = Rc<RefCell<BTreeMap<StoredFile, Vec<u8>>>>;

pub(super) struct RouterHost {
    pub(super) actor: Option<ActorOwn<RouterActor>>,
    /// Number of starts; events for earlier starts are ignored.
    pub(super) generation: u64,
    pub(super) stopping: bool,
    /// Last time at which it was down, cut off, stopping or just started; changes of configuration
    /// need some time after that to reach it.
    pub(super) degraded_at: Timestamp,
    /// Time of a restart, until the first request after it is placed.
    pub(super) restarted_at: Option<Timestamp>,
    store: Store,
}

/// A connection between a router and a control machine, with the starts of both that it belongs
/// to.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimLink {
    pub(super) router: usize,
    pub(super) router_generation: u64,
    pub(super) link: LinkId,
    pub(super) control: usize,
    pub(super) control_generation: u64,
    pub(super) connection: ConnectionId,
    /// A message was lost in a cut. Later messages are never delivered, as on a TCP connection, and
    /// the next one that is sent outside a cut resets the link.
    pub(super) broken: bool,
}

impl RouterHost {
    pub(super) fn new() -> Self {
        Self {
            actor: None,
            generation: 0,
            stopping: false,
            degraded_at: Timestamp(0),
            restarted_at: None,
            store: Store::default(),
        }
    }
}

impl SimCluster {
    pub(super) fn start_router(&mut self, router: usize) {
        let seed = self.random_u64();
        let stored = {
            let store = self.routers[router].store.borrow();
            let file = |file| store.get(&file).map(Vec::as_slice);
            StoredState::decode(file(StoredFile::Config), file(StoredFile::Engines))
        };
        let stored = match stored {
            Ok(stored) => stored,
            Err(error) => {
                let detail = format!("router {router} cannot read its stored files: {error}");
                return self.fail(Invariant::ServesAfterRestart, detail);
            }
        };
        let first_start = stored.config.is_blank();
        let name = format!("router-{router}");
        let zone = format!("zone-{}", Node::Router(router).zone(self.plan.zones));
        let params = RouterParams::new(
            name.as_str().into(),
            zone.as_str().into(),
            self.plan.controls,
        );
        let mut params = params;
        params.scheduler.prefill_us_per_token = super::engines::PREFILL_US_PER_TOKEN;
        params.scheduler.index_stake_tokens = f64::from(super::engines::BLOCK_TOKENS);
        let core = RouterCore::new(params, stored, seed);
        let now = self.now;
        let host = &mut self.routers[router];
        host.generation += 1;
        host.stopping = false;
        host.degraded_at = now;
        host.restarted_at = (!first_start).then_some(now);
        let generation = host.generation;
        let outputs = outputs(router, generation, &host.store, &self.outbox);
        let actor = actor!(self.stakker, RouterActor::init(core, outputs), ret_nop!());
        self.routers[router].actor = Some(actor);
        self.note(format!("router {router} starts"));
    }

    /// Terminates a router's process at once; all its connections break.
    pub(super) fn crash_router(&mut self, router: usize) {
        if self.routers[router].actor.take().is_none() {
            return;
        }
        self.routers[router].degraded_at = self.now;
        self.note(format!("router {router} terminates"));
        let at = self.now.plus(RESET_DELAY);
        let ended: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.router == router)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.events.schedule(at, Event::LinkReset(id));
        }
        self.drop_exchanges_of(router);
    }

    /// Asks a router to stop gracefully; its process terminates when it reports that it has
    /// drained.
    pub(super) fn stop_router(&mut self, router: usize) {
        let outbox = Rc::clone(&self.outbox);
        let host = &mut self.routers[router];
        let Some(actor) = &host.actor else {
            return;
        };
        host.stopping = true;
        let generation = host.generation;
        let drained = Ret::new(move |drained: Option<()>| {
            if drained.is_some() {
                let output = Output::Drained { router, generation };
                outbox.borrow_mut().push(output);
            }
        });
        call!([actor], stop(drained));
        self.note(format!("router {router} is asked to stop"));
    }

    /// Handles a stopping router's report that it has drained: checks that it has no open requests,
    /// and schedules its restart.
    pub(super) fn on_drained(&mut self, router: usize, generation: u64) {
        const RESTART: Duration = Duration::from_millis(500);
        let host = &self.routers[router];
        if host.generation != generation || host.actor.is_none() {
            return;
        }
        let open = self.open_exchanges_of(router);
        if open > 0 {
            let detail = format!("router {router} stopped with {open} requests in flight");
            self.fail(Invariant::PlannedStop, detail);
        }
        self.crash_router(router);
        let at = self.now.plus(RESTART);
        self.events.schedule(at, Event::StartRouter(router));
    }

    pub(super) fn on_connect(&mut self, router: usize, generation: u64, link: LinkId, peer: usize) {
        let (from, to) = (Node::Router(router), Node::Control(peer));
        let reachable = self.controls[peer].actor.is_some()
            && !self.network.is_cut_either_way(from, to, self.now);
        if !reachable {
            let timeout = if self.controls[peer].actor.is_some() {
                CONNECT_TIMEOUT
            } else {
                RESET_DELAY
            };
            let at = self.now.plus(timeout);
            let closed = Event::LinkFailed {
                router,
                generation,
                link,
            };
            return self.events.schedule(at, closed);
        }
        let round_trip = self.network.delay(from, to, &mut self.random) * 2;
        self.next_link += 1;
        let sim_link = SimLink {
            router,
            router_generation: generation,
            link,
            control: peer,
            control_generation: self.controls[peer].generation,
            connection: ConnectionId(self.next_link),
            broken: false,
        };
        self.links.insert(self.next_link, sim_link);
        let at = self.now.plus(round_trip);
        self.events.schedule(at, Event::LinkOpened(self.next_link));
    }

    pub(super) fn on_link_opened(&mut self, id: u64) {
        let Some(link) = self.links.get(&id).copied() else {
            return;
        };
        if !self.link_is_alive(&link) {
            return self.reset_link(id);
        }
        let name = format!("router-{}", link.router);
        if let Some(control) = &self.controls[link.control].actor {
            call!([control], router_connected(link.connection, name));
        }
        if let Some(router) = &self.routers[link.router].actor {
            call!([router], connected(link.link));
        }
    }

    pub(super) fn link_is_alive(&self, link: &SimLink) -> bool {
        let (router, control) = (&self.routers[link.router], &self.controls[link.control]);
        router.actor.is_some()
            && router.generation == link.router_generation
            && control.actor.is_some()
            && control.generation == link.control_generation
    }

    /// Removes a link and closes it at both ends, unless they have restarted since.
    pub(super) fn reset_link(&mut self, id: u64) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let router = &self.routers[link.router];
        if let Some(actor) = &router.actor {
            if router.generation == link.router_generation {
                call!([actor], closed(link.link));
            }
        }
        let control = &self.controls[link.control];
        if let Some(actor) = &control.actor {
            if control.generation == link.control_generation {
                call!([actor], router_disconnected(link.connection));
            }
        }
    }

    pub(super) fn close_link(&mut self, router: usize, generation: u64, link: LinkId) {
        let found = self.find_link(router, generation, link);
        if let Some(id) = found {
            let at = self.now.plus(RESET_DELAY);
            self.events.schedule(at, Event::LinkReset(id));
        }
    }

    pub(super) fn router_sends(
        &mut self,
        router: usize,
        generation: u64,
        link: LinkId,
        message: Message,
    ) {
        if let Some(id) = self.find_link(router, generation, link) {
            let nodes = (Node::Router(router), Node::Control(self.links[&id].control));
            self.send_on_link(id, nodes, Event::ToControl { link: id, message });
        }
    }

    pub(super) fn control_sends(
        &mut self,
        control: usize,
        connection: ConnectionId,
        message: Message,
    ) {
        let id = connection.0;
        if let Some(link) = self.links.get(&id) {
            let nodes = (Node::Control(control), Node::Router(link.router));
            self.send_on_link(id, nodes, Event::ToRouter { link: id, message });
        }
    }

    fn send_on_link(&mut self, id: u64, (from, to): (Node, Node), event: Event) {
        let cut = self.network.is_cut(from, to, self.now);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if cut {
            link.broken = true;
            return;
        }
        if link.broken {
            let at = self.now.plus(RESET_DELAY);
            return self.events.schedule(at, Event::LinkReset(id));
        }
        let earliest = self
            .now
            .plus(self.network.delay(from, to, &mut self.random));
        let at = self.network.ordered_arrival((from, to, id), earliest);
        self.events.schedule(at, event);
    }

    pub(super) fn deliver_to_control(&mut self, id: u64, message: Message) {
        let Some(link) = self.links.get(&id).copied() else {
            return;
        };
        if !self.link_is_alive(&link) {
            return self.reset_link(id);
        }
        self.trace.mark(self.now, "to control", id);
        if let Some(actor) = &self.controls[link.control].actor {
            call!([actor], router_message(link.connection, message));
        }
    }

    pub(super) fn deliver_to_router(&mut self, id: u64, message: Message) {
        let Some(link) = self.links.get(&id).copied() else {
            return;
        };
        if !self.link_is_alive(&link) {
            return self.reset_link(id);
        }
        self.trace.mark(self.now, "to router", id);
        if let Some(actor) = &self.routers[link.router].actor {
            call!([actor], control_message(link.link, message));
        }
    }

    pub(super) fn link_failed(&mut self, router: usize, generation: u64, link: LinkId) {
        let host = &self.routers[router];
        if let Some(actor) = &host.actor {
            if host.generation == generation {
                call!([actor], closed(link));
            }
        }
    }

    /// Passes the revision that each router applies to the checkers.
    pub(super) fn observe_routers(&mut self) {
        for router in 0..self.routers.len() {
            if let Some(floor) = self.applied_revision(router) {
                self.checks.on_applied_revision(router, floor, self.now);
            }
        }
    }

    pub(super) fn applied_revision(&mut self, router: usize) -> Option<u64> {
        let actor = self.routers[router].actor.as_ref()?;
        actor.query(&mut self.stakker, |actor, _| {
            actor.core().config().floor().0
        })
    }

    fn find_link(&self, router: usize, generation: u64, link: LinkId) -> Option<u64> {
        let mut links = self.links.iter();
        links
            .find(|(_, sim)| {
                sim.router == router && sim.router_generation == generation && sim.link == link
            })
            .map(|(id, _)| *id)
    }
}

fn outputs(
    router: usize,
    generation: u64,
    store: &Store,
    outbox: &Rc<RefCell<Vec<Output>>>,
) -> RouterOutputs {
    let store = Rc::clone(store);
    let (connecting, closing, sending) = (Rc::clone(outbox), Rc::clone(outbox), Rc::clone(outbox));
    RouterOutputs {
        persist: Box::new(move |file, bytes| {
            store.borrow_mut().insert(file, bytes);
        }),
        connect: Fwd::new(move |(link, peer)| {
            connecting.borrow_mut().push(Output::Connect {
                router,
                generation,
                link,
                peer,
            });
        }),
        close: Fwd::new(move |link| {
            closing.borrow_mut().push(Output::Close {
                router,
                generation,
                link,
            });
        }),
        send: Fwd::new(move |(link, message)| {
            sending.borrow_mut().push(Output::RouterSends {
                router,
                generation,
                link,
                message,
            });
        }),
    }
}
