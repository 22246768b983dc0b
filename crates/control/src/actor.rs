//! The control machine on `stakker`: time, ticks, and one flush for all that has gathered.

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

/// Where the actor sends what it cannot do itself.
pub struct ControlOutputs {
    /// Carries out an effect.
    pub effect: Fwd<Effect>,
    /// The disk failed; nothing may be acknowledged any more and the process should end.
    pub disk_failed: Fwd<ReplicaError>,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: Box<dyn Fn() -> u64>,
}

/// A control machine.
pub struct ControlActor<D: Directory + 'static> {
    core: ControlCore<D>,
    outputs: ControlOutputs,
    started: Instant,
    tick: Duration,
    flush_queued: bool,
    failed: bool,
}

impl<D: Directory + 'static> ControlActor<D> {
    /// Starts the machine; `tick` is the period of the replication clock.
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

    /// The platform's list arrived.
    pub fn machines(&mut self, cx: CX![], machines: Vec<MachineRecord>) {
        self.core.on_machines(&machines);
        self.queue_flush(cx);
    }

    /// An engine answered a probe, or did not.
    pub fn probe(
        &mut self,
        cx: CX![],
        engine: EngineName,
        result: Result<EngineProbe, ProbeFailed>,
    ) {
        self.core.on_probe(&engine, result);
        self.queue_flush(cx);
    }

    /// An engine's cache reported.
    pub fn cache_report(&mut self, _: CX![], engine: EngineName, report: CacheReport) {
        self.core.on_cache_report(&engine, &report);
    }

    /// A router connected and proved the cluster key.
    pub fn router_connected(&mut self, cx: CX![], connection: ConnectionId, router: String) {
        self.core.on_router_connected(connection, router);
        self.queue_flush(cx);
    }

    /// A router's connection ended.
    pub fn router_disconnected(&mut self, cx: CX![], connection: ConnectionId) {
        self.core.on_router_disconnected(connection);
        self.queue_flush(cx);
    }

    /// A router said something.
    pub fn router_message(&mut self, cx: CX![], connection: ConnectionId, message: Message) {
        self.core.on_router_message(connection, message);
        self.queue_flush(cx);
    }

    /// Another control machine said something.
    pub fn control_message(&mut self, cx: CX![], from: ReplicaId, message: Message) {
        self.core.on_control_message(from, message);
        self.queue_flush(cx);
    }

    /// An operator asks.
    pub fn operator(&mut self, cx: CX![], ticket: OperatorTicket, request: OperatorRequest) {
        self.core.on_operator(ticket, request);
        self.queue_flush(cx);
    }

    /// The core, to be read with [`stakker::Actor::query`].
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

    /// The lazy queue runs when all that has arrived is taken in, so one sync serves it all.
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
