//! A `stakker` actor around [`RouterCore`]: it supplies the time, ticks the core and carries out
//! its effects.

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

/// Interval at which the core is ticked.
const TICK: Duration = Duration::from_millis(100);

/// The I/O that the actor's owner performs.
pub struct RouterOutputs {
    /// Writes bytes to a file and returns once they are durable.
    pub persist: Box<dyn FnMut(StoredFile, Vec<u8>)>,
    /// Opens a link to the control machine with this index, counted from 0.
    pub connect: Fwd<(LinkId, usize)>,
    /// Closes a link.
    pub close: Fwd<LinkId>,
    /// Sends a message over a link.
    pub send: Fwd<(LinkId, Message)>,
}

/// A request's id and the core's decision on it.
pub type Admitted = (RequestId, AdmitOutcome);

/// Runs a [`RouterCore`] and returns its decisions to the callers that wait for them.
pub struct RouterActor {
    core: RouterCore,
    outputs: RouterOutputs,
    started: Instant,
    waiting: BTreeMap<RequestId, Ret<Admitted>>,
    on_drained: Vec<Ret<()>>,
}

impl RouterActor {
    /// Starts the actor and its periodic tick.
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

    /// Admits a request; `ret` receives its id and the decision on it.
    pub fn admit(&mut self, cx: CX![], admit_request: AdmitRequest, ret: Ret<Admitted>) {
        self.set_now(cx);
        let id = self.core.admit(admit_request);
        self.waiting.insert(id, ret);
        self.carry_out();
    }

    /// Reports the first token of a request's current attempt.
    pub fn first_token(&mut self, cx: CX![], id: RequestId, report: AnswerReport) {
        self.set_now(cx);
        self.core.on_first_token(id, report);
        self.carry_out();
    }

    /// Reports a failed attempt; `ret` receives a new assignment or the final refusal.
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

    /// Reports the end of a request and releases what it occupied.
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

    /// Reports that a link to a control machine was opened.
    pub fn connected(&mut self, cx: CX![], link: LinkId) {
        self.set_now(cx);
        self.core.on_connected(link);
        self.carry_out();
    }

    /// Reports that a link was closed or could not be opened.
    pub fn closed(&mut self, cx: CX![], link: LinkId) {
        self.set_now(cx);
        self.core.on_closed(link);
        self.carry_out();
    }

    /// Handles a message from the control machine.
    pub fn control_message(&mut self, cx: CX![], link: LinkId, message: Message) {
        self.set_now(cx);
        self.core.on_control_message(link, message);
        self.carry_out();
    }

    /// Refuses new requests, and returns on `drained` once the open ones have ended and their
    /// outcomes are stored. May be called more than once.
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

    /// The core, for reading with [`stakker::Actor::query`] when no calls to the actor are queued.
    pub fn core(&self) -> &RouterCore {
        &self.core
    }

    /// Reads the core after all calls queued earlier, which a query would overtake.
    pub fn inspect(&mut self, _cx: CX![], inspection: Box<dyn FnOnce(&RouterCore)>) {
        inspection(&self.core);
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
