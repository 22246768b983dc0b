//! The router on `stakker`: time, timers, and where effects go.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use drumshore_core::{RequestId, Timestamp};
use drumshore_guard::{enforced, Guard};
use drumshore_routing::AnswerReport;
use drumshore_wire::Message;
use stakker::{after, fwd, ret, Fwd, Ret, CX};

use crate::answer::RecordedAnswer;
use crate::core::{AdmitOutcome, AdmitRequest, Effect, RouterCore, StoredFile};
use crate::exchange::{AttemptFailure, Conclusion};
use crate::session::LinkId;

const TICK: Duration = Duration::from_millis(100);

/// Where the actor sends what it cannot do itself.
pub struct RouterOutputs {
    /// Make bytes last; returns once they do.
    pub persist: Box<dyn FnMut(StoredFile, Vec<u8>)>,
    /// Open a link to the control machine of this number.
    pub connect: Fwd<(LinkId, usize)>,
    /// Close a link.
    pub close: Fwd<LinkId>,
    /// Send a message.
    pub send: Fwd<(LinkId, Message)>,
}

/// The outcome of a request, with its id.
pub type Admitted = (RequestId, AdmitOutcome);

/// A router.
pub struct RouterActor {
    core: RouterCore,
    outputs: RouterOutputs,
    started: Instant,
    waiting: BTreeMap<RequestId, Ret<Admitted>>,
    on_drained: Vec<Ret<()>>,
}

impl RouterActor {
    /// Starts the router.
    pub fn init(cx: CX![], core: RouterCore, outputs: RouterOutputs) -> Option<Self> {
        let mut actor = Self {
            core,
            outputs,
            started: cx.start_instant(),
            waiting: BTreeMap::new(),
            on_drained: Vec::new(),
        };
        actor.tick(cx);
        Some(actor)
    }

    /// A request wants to run.
    pub fn admit(&mut self, cx: CX![], ask: AdmitRequest, ret: Ret<Admitted>) {
        self.set_now(cx);
        let id = self.core.admit(ask);
        self.waiting.insert(id, ret);
        self.carry_out();
    }

    /// An attempt's first token arrived.
    pub fn first_token(&mut self, cx: CX![], id: RequestId, report: AnswerReport) {
        self.set_now(cx);
        self.core.on_first_token(id, report);
        self.carry_out();
    }

    /// An attempt failed; the request wants another outcome.
    pub fn attempt_failed(
        &mut self,
        cx: CX![],
        id: RequestId,
        failure: AttemptFailure,
        ret: Ret<Admitted>,
    ) {
        self.set_now(cx);
        self.waiting.insert(id, ret);
        self.core.on_attempt_failed(id, &failure);
        self.carry_out();
    }

    /// A request is over.
    pub fn finished(
        &mut self,
        cx: CX![],
        id: RequestId,
        conclusion: Conclusion,
        answer: RecordedAnswer,
    ) {
        self.set_now(cx);
        self.core.on_finished(id, &conclusion, &answer);
        self.carry_out();
    }

    /// A link to a control machine is up.
    pub fn connected(&mut self, cx: CX![], link: LinkId) {
        self.set_now(cx);
        self.core.on_connected(link);
        self.carry_out();
    }

    /// A link ended or could not be opened.
    pub fn closed(&mut self, cx: CX![], link: LinkId) {
        self.set_now(cx);
        self.core.on_closed(link);
        self.carry_out();
    }

    /// The control machine said something.
    pub fn control_message(&mut self, cx: CX![], link: LinkId, message: Message) {
        self.set_now(cx);
        self.core.on_control_message(link, message);
        self.carry_out();
    }

    /// Takes nothing new, and tells when all that is open has ended. May be said again.
    pub fn stop(&mut self, cx: CX![], drained: Ret<()>) {
        self.set_now(cx);
        self.core.stop();
        if !enforced(Guard::DrainOnStop) {
            ret!([drained]);
            return;
        }
        self.on_drained.push(drained);
        self.carry_out();
    }

    /// The core, to be read with [`stakker::Actor::query`] where no calls wait in the queue.
    pub fn core(&self) -> &RouterCore {
        &self.core
    }

    /// Reads the core after the calls that were made before: a query would overtake those that
    /// still wait in the queue.
    pub fn inspect(&mut self, _cx: CX![], read: Box<dyn FnOnce(&RouterCore)>) {
        read(&self.core);
    }

    fn tick(&mut self, cx: CX![]) {
        self.set_now(cx);
        self.core.on_tick();
        self.carry_out();
        after!(TICK, [cx], tick());
    }

    fn set_now(&mut self, cx: CX![]) {
        let elapsed = cx.now().saturating_duration_since(self.started);
        self.core.set_now(Timestamp(elapsed.as_micros() as u64));
    }

    fn carry_out(&mut self) {
        for effect in self.core.take_effects() {
            match effect {
                Effect::Persist(file, bytes) => (self.outputs.persist)(file, bytes),
                Effect::Connect { link, peer } => fwd!([self.outputs.connect], link, peer),
                Effect::Close(link) => fwd!([self.outputs.close], link),
                Effect::Send(link, message) => fwd!([self.outputs.send], link, message),
                Effect::Answer(id, outcome) => {
                    if let Some(ret) = self.waiting.remove(&id) {
                        ret!([ret], id, outcome);
                    }
                }
            }
        }
        if self.core.is_drained() {
            for drained in self.on_drained.drain(..) {
                ret!([drained]);
            }
        }
    }
}
