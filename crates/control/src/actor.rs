//! The control machine as a `stakker` actor. It drives the core's clock and flushes the core once
//! for each batch of events.

use std::time::{Duration, Instant};

use drumshore_consensus::{Directory, ReplicaError, ReplicaId};
use drumshore_core::{EngineName, Timestamp};
use drumshore_routing::CacheReport;
use drumshore_wire::Message;
use stakker::{after, fwd, lazy, Fwd, CX};

use crate::core::{Clock, ControlCore, Effect};
use crate::fleet::{EngineProbe, MachineRecord, ProbeFailed};
use crate::operator::{OperatorRequest, OperatorTicket};
use crate::subscription::ConnectionId;

/// The connections of the actor to its environment.
pub struct ControlOutputs {
    /// Receives the effects to carry out.
    pub effect: Fwd<Effect>,
    /// Receives a disk failure. Nothing may be acknowledged after it, and the process should exit.
    pub disk_failed: Fwd<ReplicaError>,
    /// Reads the wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: Box<dyn Fn() -> u64>,
}

/// The actor of one control machine.
pub struct ControlActor<D: Directory + 'static> {
    core: ControlCore<D>,
    outputs: ControlOutputs,
    started: Instant,
    tick: Duration,
    flush_queued: bool,
    failed: bool,
}

impl<D: Directory + 'static> ControlActor<D> {
    /// Starts the actor. `tick` is the period of the replication clock.
    pub fn init(
        cx: CX![],
        core: ControlCore<D>,
        outputs: ControlOutputs,
        tick: Duration,
    ) -> Option<Self> {
        let mut actor = Self {
            core,
            outputs,
            started: cx.start_instant(),
            tick,
            flush_queued: false,
            failed: false,
        };
        actor.tick(cx);
        Some(actor)
    }

    /// Handles a new machine list of the platform.
    pub fn machines(&mut self, cx: CX![], machines: Vec<MachineRecord>) {
        self.core.on_machines(&machines);
        self.queue_flush(cx);
    }

    /// Handles the result of a probe of an engine.
    pub fn probe(
        &mut self,
        cx: CX![],
        engine: EngineName,
        result: Result<EngineProbe, ProbeFailed>,
    ) {
        self.core.on_probe(&engine, result);
        self.queue_flush(cx);
    }

    /// Handles a report of an engine's cache. It changes only the index and needs no flush.
    pub fn cache_report(&mut self, _: CX![], engine: EngineName, report: CacheReport) {
        self.core.on_cache_report(&engine, &report);
    }

    /// Handles a new connection of a router that has authenticated with the cluster key.
    pub fn router_connected(&mut self, cx: CX![], connection: ConnectionId, router: String) {
        self.core.on_router_connected(connection, router);
        self.queue_flush(cx);
    }

    /// Handles the end of a router's connection.
    pub fn router_disconnected(&mut self, cx: CX![], connection: ConnectionId) {
        self.core.on_router_disconnected(connection);
        self.queue_flush(cx);
    }

    /// Handles a message from a router.
    pub fn router_message(&mut self, cx: CX![], connection: ConnectionId, message: Message) {
        self.core.on_router_message(connection, message);
        self.queue_flush(cx);
    }

    /// Handles a message from another control machine.
    pub fn control_message(&mut self, cx: CX![], from: ReplicaId, message: Message) {
        self.core.on_control_message(from, message);
        self.queue_flush(cx);
    }

    /// Handles an operator's request; the reply carries the same ticket.
    pub fn operator(&mut self, cx: CX![], ticket: OperatorTicket, request: OperatorRequest) {
        self.core.on_operator(ticket, request);
        self.queue_flush(cx);
    }

    /// The core, for reads through [`stakker::Actor::query`].
    pub fn core(&self) -> &ControlCore<D> {
        &self.core
    }

    fn tick(&mut self, cx: CX![]) {
        let elapsed = cx.now().saturating_duration_since(self.started);
        self.core.on_tick(Clock {
            now: Timestamp(elapsed.as_micros() as u64),
            unix_ms: (self.outputs.unix_ms)(),
        });
        self.queue_flush(cx);
        after!(self.tick, [cx], tick());
    }

    /// Queues a flush on the lazy queue, which runs after all events that have arrived are handled,
    /// so that one disk sync covers them all.
    fn queue_flush(&mut self, cx: CX![]) {
        if !self.flush_queued {
            self.flush_queued = true;
            lazy!([cx], flush());
        }
    }

    fn flush(&mut self, _: CX![]) {
        self.flush_queued = false;
        if self.failed {
            return;
        }
        let effects = &self.outputs.effect;
        let flushed = self.core.flush(&mut |effect| fwd!([effects], effect));
        if let Err(error) = flushed {
            self.failed = true;
            fwd!([self.outputs.disk_failed], error);
        }
    }
}
