//! The simulated fleet, its clock and its event loop.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::catch_unwind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use drumshore_consensus::ReplicaId;
use drumshore_consensus_harness::Violation;
use drumshore_control::{Effect, EngineOrder, EngineProbe, OperatorTicket, ProbeFailed};
use drumshore_core::{EngineName, RequestId, ResourceKey, Timestamp};
use drumshore_guard::Guard;
use drumshore_router::{AdmitOutcome, LinkId, UpstreamCall};
use drumshore_routing::CacheReport;
use drumshore_wire::Message;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stakker::Stakker;

use super::callers::{CallerRequest, CallerTotals, SimExchange};
use super::checks::{Checks, Failure, Invariant};
use super::controls::{ControlHost, ExtraDelay, Replacement};
use super::engines::{Call, CallEvent, EngineHost};
use super::network::{EventQueue, Loss, Network};
use super::operators::{Operation, ReplyTarget, SenderPosition};
use super::plan::Plan;
use super::routers::{RouterHost, SimLink};
use super::trace::Trace;
use crate::platform::Platform;
use crate::workload::WorkloadGenerator;

/// Lag of the platform's list of machines.
const PLATFORM_LAG: Duration = Duration::from_secs(1);

/// Interval at which the checkers observe the routers.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

/// Time of the run at which operators write the initial configuration.
const SET_UP_AT: Duration = Duration::from_millis(1_500);

/// Time of the run at which callers and concurrent changes start.
const CALLERS_START_AT: Duration = Duration::from_millis(2_500);

/// Wall-clock time at which every run starts, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// A scheduled event.
#[derive(Debug)]
pub(super) enum Event {
    LinkOpened(u64),
    LinkReset(u64),
    LinkFailed {
        router: usize,
        generation: u64,
        link: LinkId,
    },
    ToControl {
        link: u64,
        message: Message,
    },
    ToRouter {
        link: u64,
        message: Message,
    },
    ControlToControl {
        from: ReplicaId,
        to: usize,
        message: Message,
    },
    Poll {
        control: usize,
        generation: u64,
    },
    ProbeAnswer {
        control: usize,
        generation: u64,
        name: EngineName,
        result: Result<EngineProbe, ProbeFailed>,
        report: Option<CacheReport>,
    },
    Order {
        engine: usize,
        order: EngineOrder,
        sender_position: SenderPosition,
    },
    EngineReceives {
        id: u64,
        call: UpstreamCall,
    },
    RouterReceives {
        id: u64,
        call_event: CallEvent,
    },
    Stall {
        exchange: u64,
        call: u64,
        /// Progress of the exchange when the timeout was set.
        progress: u64,
    },
    NextArrival,
    SendCallerRequest(u64),
    ConcurrentChanges,
    OperatorTimeout {
        index: usize,
        /// Value of the operation's counter when the timeout was set.
        sent: u64,
    },
    /// Index of the replacement.
    ReplacementStep(usize),
    /// The accepted revision.
    CheckInForce(u64),
    CheckRestarted {
        router: usize,
        generation: u64,
    },
    Observe,
    SetUp,
    /// Index of the fault in the plan.
    Fault(usize),
    StartRouter(usize),
    /// The control machine, and whether an empty disk bootstraps a new cluster.
    StartControl(usize, bool),
    StartEngine(usize),
    RemoveEngine(usize),
    BackUp,
}

/// An output of the production actors, handled after they have run.
#[derive(Debug)]
pub(super) enum Output {
    Connect {
        router: usize,
        generation: u64,
        link: LinkId,
        peer: usize,
    },
    Close {
        router: usize,
        generation: u64,
        link: LinkId,
    },
    RouterSends {
        router: usize,
        generation: u64,
        link: LinkId,
        message: Message,
    },
    Admitted {
        exchange: u64,
        id: RequestId,
        outcome: AdmitOutcome,
    },
    Drained {
        router: usize,
        generation: u64,
    },
    Control {
        control: usize,
        generation: u64,
        effect: Effect,
    },
    DiskFailed {
        control: usize,
        generation: u64,
    },
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct SimReport {
    /// Violations of invariants, in order of time.
    pub failures: Vec<Failure>,
    /// Hash over all events; runs of one build with the same plan and seed have the same hash.
    pub trace_hash: String,
    /// Number of events that the hash covers.
    pub events: u64,
    /// Duration of the run on the virtual clock.
    pub virtual_seconds: f64,
    /// Requests that callers made, without retries.
    pub asked: u64,
    /// Of these, those that got a complete answer.
    pub answered: u64,
    /// Refusals with "not run" that callers received.
    pub refused: u64,
    /// Attempts by callers, first attempts included.
    pub tries: u64,
    /// Number of times that engines started to run a request.
    pub executions: u64,
    /// The newest accepted configuration revision.
    pub changes: u64,
    /// The last lines of the trace.
    #[serde(skip)]
    pub last_lines: Vec<String>,
}

impl SimReport {
    fn empty() -> Self {
        Self {
            failures: Vec::new(),
            trace_hash: String::new(),
            events: 0,
            virtual_seconds: 0.0,
            asked: 0,
            answered: 0,
            refused: 0,
            tries: 0,
            executions: 0,
            changes: 0,
            last_lines: Vec::new(),
        }
    }
}

/// A probability that applies until a time; as `SimCluster::surge`, a factor of the request rate.
pub(super) type Chance = Loss;

/// The simulated fleet with everything around it, and the event loop's state.
pub(super) struct SimCluster {
    pub(super) plan: Plan,
    pub(super) now: Timestamp,
    pub(super) random: ChaCha8Rng,
    pub(super) stakker: Stakker,
    /// The instant of `stakker` at which virtual time is 0.
    base: Instant,
    pub(super) clock_ms: Rc<RefCell<u64>>,
    pub(super) outbox: Rc<RefCell<Vec<Output>>>,
    pub(super) events: EventQueue<Event>,
    pub(super) network: Network,
    pub(super) platform: Platform,
    pub(super) routers: Vec<RouterHost>,
    pub(super) controls: Vec<ControlHost>,
    pub(super) engines: Vec<EngineHost>,
    pub(super) links: BTreeMap<u64, SimLink>,
    pub(super) next_link: u64,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) next_call: u64,
    pub(super) caller_requests: BTreeMap<u64, CallerRequest>,
    pub(super) next_caller_request: u64,
    pub(super) exchanges: BTreeMap<u64, SimExchange>,
    pub(super) next_exchange: u64,
    pub(super) generator: WorkloadGenerator,
    /// Prompt blocks of the previous request, for prompts that several tenants share.
    pub(super) last_blocks: Option<Vec<u64>>,
    /// Virtual seconds that the workload generator is ahead, which makes other prefixes hot.
    pub(super) hot_offset: f64,
    pub(super) operations: Vec<Operation>,
    pub(super) reply_targets: BTreeMap<(usize, u64, OperatorTicket), ReplyTarget>,
    pub(super) accepted_versions: BTreeMap<ResourceKey, u64>,
    pub(super) replacements: Vec<Replacement>,
    pub(super) next_replica: u64,
    pub(super) late_requests: ExtraDelay,
    pub(super) late_orders: ExtraDelay,
    pub(super) flaky: Chance,
    pub(super) disordered: Chance,
    pub(super) surge: Chance,
    /// Operators restored the control machines from older copies. Accepted changes may be lost, so
    /// from then on only the revision that a router applies is checked for never decreasing.
    pub(super) restored: bool,
    pub(super) checks: Checks,
    pub(super) totals: CallerTotals,
    pub(super) trace: Trace,
}

/// Runs a plan, with the guard `without` disabled if there is one.
pub fn run(plan: &Plan, seed: u64, without: Option<Guard>) -> SimReport {
    set_disabled(without);
    let outcome = catch_unwind(|| SimCluster::new(plan.clone(), seed).run());
    set_disabled(None);
    outcome.unwrap_or_else(|panic| panic_report(&panic))
}

/// Runs a script of the replicated log, with the guard `without` disabled if there is one.
pub(super) fn run_script(
    script: fn(u64) -> Result<(), Violation>,
    seed: u64,
    without: Option<Guard>,
) -> SimReport {
    set_disabled(without);
    let outcome = catch_unwind(|| script(seed));
    set_disabled(None);
    match outcome {
        Ok(Ok(())) => SimReport::empty(),
        Ok(Err(violation)) => log_violation_report(format!("{violation:?}")),
        Err(panic) => panic_report(&panic),
    }
}

/// Reports a panic as a violation: production code panics on states that its invariants exclude.
fn panic_report(panic: &(dyn Any + Send)) -> SimReport {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    log_violation_report(format!("panic: {}", text.unwrap_or_default()))
}

fn log_violation_report(detail: String) -> SimReport {
    let failure = Failure {
        invariant: Invariant::ReplicatedLog,
        at: 0,
        detail,
    };
    SimReport {
        failures: vec![failure],
        ..SimReport::empty()
    }
}

#[cfg(feature = "guards")]
fn set_disabled(guard: Option<Guard>) {
    drumshore_guard::set_disabled(guard);
}

/// Without the feature `guards` no guard can be disabled.
#[cfg(not(feature = "guards"))]
fn set_disabled(_: Option<Guard>) {}

impl SimCluster {
    fn new(plan: Plan, seed: u64) -> Self {
        let base = Instant::now();
        let generator = WorkloadGenerator::new(plan.workload.clone(), seed);
        let controls = (1..=plan.controls as u64).map(|id| ControlHost::new(ReplicaId(id)));
        let engines = (0..plan.engines).map(|number| EngineHost::new(number, plan.cache_blocks));
        Self {
            now: Timestamp(0),
            random: ChaCha8Rng::seed_from_u64(seed),
            stakker: Stakker::new(base),
            base,
            clock_ms: Rc::new(RefCell::new(EPOCH_MS)),
            outbox: Rc::default(),
            events: EventQueue::new(),
            network: Network::new(plan.zones),
            platform: Platform::new(PLATFORM_LAG),
            routers: (0..plan.routers).map(|_| RouterHost::new()).collect(),
            controls: controls.collect(),
            engines: engines.collect(),
            links: BTreeMap::new(),
            next_link: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            caller_requests: BTreeMap::new(),
            next_caller_request: 0,
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            generator,
            last_blocks: None,
            hot_offset: 0.0,
            operations: Vec::new(),
            reply_targets: BTreeMap::new(),
            accepted_versions: BTreeMap::new(),
            replacements: Vec::new(),
            next_replica: plan.controls as u64,
            late_requests: ExtraDelay::default(),
            late_orders: ExtraDelay::default(),
            flaky: Chance::default(),
            disordered: Chance::default(),
            surge: Chance::default(),
            restored: false,
            checks: Checks::default(),
            totals: CallerTotals::default(),
            trace: Trace::new(),
            plan,
        }
    }

    fn run(mut self) -> SimReport {
        self.start();
        let end = self.plan.ends_at;
        while let Some(at) = self.next_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.process_due_events();
        }
        self.now = end;
        self.check_steady_period();
        if !self.restored {
            self.check_converged();
        }
        self.report()
    }

    fn start(&mut self) {
        for control in 0..self.plan.controls {
            self.start_control(control, true);
        }
        for engine in 0..self.plan.engines {
            self.start_engine(engine);
        }
        for router in 0..self.plan.routers {
            self.start_router(router);
        }
        let at = |after: Duration| Timestamp(0).plus(after);
        self.events.schedule(at(SET_UP_AT), Event::SetUp);
        self.events
            .schedule(at(CALLERS_START_AT), Event::NextArrival);
        self.events
            .schedule(at(CALLERS_START_AT), Event::ConcurrentChanges);
        self.events
            .schedule(at(super::plan::WARM_UP), Event::BackUp);
        self.events.schedule(at(OBSERVE_INTERVAL), Event::Observe);
        for (number, timed) in self.plan.faults.iter().enumerate() {
            self.events.schedule(timed.at, Event::Fault(number));
        }
    }

    fn next_at(&mut self) -> Option<Timestamp> {
        let expiry = self.stakker.next_expiry().map(|at| {
            let micros = at.saturating_duration_since(self.base).as_nanos();
            Timestamp(micros.div_ceil(1_000) as u64)
        });
        let engines = self.engines.iter().filter_map(EngineHost::next_event_at);
        let engines = engines.min();
        [expiry, engines, self.events.next_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Processes everything that is due now, until it causes no further events at this time.
    fn process_due_events(&mut self) {
        *self.clock_ms.borrow_mut() = EPOCH_MS + self.now.0 / 1_000;
        loop {
            self.run_actors();
            let mut progressed = false;
            while let Some(event) = self.events.pop_due(self.now) {
                self.handle_event(event);
                progressed = true;
                self.run_actors();
            }
            self.advance_engines();
            if !progressed {
                return;
            }
        }
    }

    fn run_actors(&mut self) {
        let now = self.base + Duration::from_micros(self.now.0);
        loop {
            self.stakker.run(now, false);
            let outputs = std::mem::take(&mut *self.outbox.borrow_mut());
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.handle_output(output);
            }
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Connect {
                router,
                generation,
                link,
                peer,
            } => self.on_connect(router, generation, link, peer),
            Output::Close {
                router,
                generation,
                link,
            } => self.close_link(router, generation, link),
            Output::RouterSends {
                router,
                generation,
                link,
                message,
            } => self.router_sends(router, generation, link, message),
            Output::Admitted {
                exchange,
                id,
                outcome,
            } => self.on_admitted(exchange, id, outcome),
            Output::Drained { router, generation } => self.on_drained(router, generation),
            Output::Control {
                control,
                generation,
                effect,
            } => self.on_control_effect(control, generation, effect),
            Output::DiskFailed {
                control,
                generation,
            } => {
                if self.controls[control].generation == generation {
                    self.crash_control(control);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::LinkOpened(id) => self.on_link_opened(id),
            Event::LinkReset(id) => self.reset_link(id),
            Event::LinkFailed {
                router,
                generation,
                link,
            } => self.link_failed(router, generation, link),
            Event::ToControl { link, message } => self.deliver_to_control(link, message),
            Event::ToRouter { link, message } => self.deliver_to_router(link, message),
            Event::ControlToControl { from, to, message } => {
                self.deliver_control(from, to, message);
            }
            Event::Poll {
                control,
                generation,
            } => self.poll(control, generation),
            Event::ProbeAnswer {
                control,
                generation,
                name,
                result,
                report,
            } => {
                self.on_cache_report(control, generation, &name, report);
                self.on_probe_answer(control, generation, name, result);
            }
            Event::Order {
                engine,
                order,
                sender_position,
            } => self.deliver_order(engine, &order, sender_position),
            Event::EngineReceives { id, call } => self.engine_receives(id, call),
            Event::RouterReceives { id, call_event } => self.on_call_event(id, call_event),
            Event::Stall {
                exchange,
                call,
                progress,
            } => self.on_stall(exchange, call, progress),
            Event::NextArrival => self.next_arrival(),
            Event::SendCallerRequest(number) => self.send_caller_request(number),
            Event::ConcurrentChanges => self.start_concurrent_changes(),
            Event::OperatorTimeout { index, sent } => self.on_operator_timeout(index, sent),
            Event::ReplacementStep(index) => self.replacement_step(index),
            Event::CheckInForce(revision) => {
                if !self.restored {
                    self.check_in_force(revision);
                }
            }
            Event::CheckRestarted { router, generation } => {
                self.check_restarted(router, generation);
            }
            Event::Observe => self.observe(),
            Event::SetUp => self.set_up(),
            Event::Fault(number) => self.apply_fault(number),
            Event::StartRouter(router) => {
                if self.routers[router].actor.is_none() {
                    self.start_router(router);
                    self.probe_restarted_router(router);
                }
            }
            Event::StartControl(control, bootstrap) => {
                if self.controls[control].actor.is_none() {
                    self.start_control(control, bootstrap);
                }
            }
            Event::StartEngine(engine) => {
                if self.engines[engine].core.is_none() {
                    self.start_engine(engine);
                }
            }
            Event::RemoveEngine(engine) => self.remove_engine(engine),
            Event::BackUp => self.back_up_controls(),
        }
    }

    fn observe(&mut self) {
        self.update_degraded_routers();
        self.observe_routers();
        self.events
            .schedule(self.now.plus(OBSERVE_INTERVAL), Event::Observe);
    }

    pub(super) fn random_u64(&mut self) -> u64 {
        self.random.next_u64()
    }

    pub(super) fn note(&mut self, line: impl AsRef<str>) {
        self.trace.note(self.now, line);
    }

    pub(super) fn fail(&mut self, invariant: Invariant, detail: impl Into<String>) {
        let detail = detail.into();
        self.trace
            .note(self.now, format!("BROKEN {invariant:?}: {detail}"));
        self.checks.fail(invariant, self.now, detail);
    }

    fn report(self) -> SimReport {
        SimReport {
            failures: self.checks.failures().to_vec(),
            trace_hash: format!("{:016x}", self.trace.hash()),
            events: self.trace.events(),
            virtual_seconds: self.now.0 as f64 / 1e6,
            asked: self.totals.asked,
            answered: self.totals.answered,
            refused: self.totals.refused,
            tries: self.totals.tries,
            executions: self.checks.executions(),
            changes: self.checks.newest_accepted(),
            last_lines: self.trace.into_lines(),
        }
    }
}
