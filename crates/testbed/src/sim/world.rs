//! The simulated fleet and its clock.

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

use super::callers::{Ask, CallerTotals, SimExchange};
use super::checks::{Checks, Failure, Promise};
use super::controls::{ControlHost, Lateness, Replacement};
use super::engines::{Call, CallNews, EngineHost};
use super::network::{EventQueue, Loss, Network};
use super::operators::{Asker, Operation, OrderTruth};
use super::plan::Plan;
use super::routers::{RouterHost, SimLink};
use super::trace::Trace;
use crate::platform::Platform;
use crate::workload::WorkloadGenerator;

/// How far the platform's list lags.
const PLATFORM_LAG: Duration = Duration::from_secs(1);

/// How often routers are looked at.
const OBSERVE_EVERY: Duration = Duration::from_millis(100);

/// The time of the run at which operators set the fleet up.
const SET_UP_AT: Duration = Duration::from_millis(1_500);

/// The time of the run at which callers begin.
const CALLERS_AT: Duration = Duration::from_millis(2_500);

/// Milliseconds since the Unix epoch at which every run begins.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What is to happen.
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
        truth: OrderTruth,
    },
    EngineReceives {
        id: u64,
        call: UpstreamCall,
    },
    CallNews {
        id: u64,
        news: CallNews,
    },
    Stall {
        exchange: u64,
        call: u64,
        progress: u64,
    },
    NextAsk,
    TryAsk(u64),
    Race,
    OperatorGivesUp {
        index: usize,
        sent: u64,
    },
    ReplacementStep(usize),
    CheckInForce(u64),
    CheckRestarted {
        router: usize,
        generation: u64,
    },
    Observe,
    SetUp,
    Fault(usize),
    StartRouter(usize),
    StartControl(usize, bool),
    StartEngine(usize),
    EngineTaken(usize),
    BackUp,
}

/// What the product's actors say.
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

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct SimReport {
    /// Promises broken, in order of time.
    pub failures: Vec<Failure>,
    /// Equal for equal seeds.
    pub trace_hash: String,
    /// Events that the hash covers.
    pub events: u64,
    /// Virtual seconds.
    pub virtual_seconds: f64,
    /// Requests that callers made.
    pub asked: u64,
    /// Of these, answered.
    pub answered: u64,
    /// Refusals as not run.
    pub refused: u64,
    /// Tries, the first ones included.
    pub tries: u64,
    /// Requests that engines began to run.
    pub executions: u64,
    /// Changes of configuration accepted.
    pub changes: u64,
    /// The last things that happened.
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

/// Something with a chance and an end.
pub(super) type Chance = Loss;

pub(super) struct World {
    pub(super) plan: Plan,
    pub(super) now: Timestamp,
    pub(super) random: ChaCha8Rng,
    pub(super) stakker: Stakker,
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
    pub(super) asks: BTreeMap<u64, Ask>,
    pub(super) next_ask_number: u64,
    pub(super) exchanges: BTreeMap<u64, SimExchange>,
    pub(super) next_exchange: u64,
    pub(super) generator: WorkloadGenerator,
    pub(super) last_blocks: Option<Vec<u64>>,
    pub(super) hot_offset: f64,
    pub(super) operations: Vec<Operation>,
    pub(super) askers: BTreeMap<(usize, u64, OperatorTicket), Asker>,
    pub(super) accepted_versions: BTreeMap<ResourceKey, u64>,
    pub(super) replacements: Vec<Replacement>,
    pub(super) next_replica: u64,
    pub(super) late_requests: Lateness,
    pub(super) late_orders: Lateness,
    pub(super) flaky: Chance,
    pub(super) disordered: Chance,
    pub(super) surge: Chance,
    /// The store itself was taken back by operators; only routers are bound to what was accepted.
    pub(super) restored: bool,
    pub(super) checks: Checks,
    pub(super) totals: CallerTotals,
    pub(super) trace: Trace,
}

/// Runs a plan with one guard taken out, or none.
pub fn run(plan: &Plan, seed: u64, without: Option<Guard>) -> SimReport {
    set_disabled(without);
    let outcome = catch_unwind(|| World::new(plan.clone(), seed).run());
    set_disabled(None);
    outcome.unwrap_or_else(|panic| panicked(&panic))
}

/// Runs a script of the replicated log.
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
        Ok(Err(violation)) => broken_log(format!("{violation:?}")),
        Err(panic) => panicked(&panic),
    }
}

/// The product refuses impossible states by a panic: somebody has broken a rule.
fn panicked(panic: &(dyn Any + Send)) -> SimReport {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    broken_log(format!("panic: {}", text.unwrap_or_default()))
}

fn broken_log(detail: String) -> SimReport {
    let failure = Failure {
        promise: Promise::ReplicatedLog,
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

/// A normal build holds every guard.
#[cfg(not(feature = "guards"))]
fn set_disabled(_: Option<Guard>) {}

impl World {
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
            asks: BTreeMap::new(),
            next_ask_number: 0,
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            generator,
            last_blocks: None,
            hot_offset: 0.0,
            operations: Vec::new(),
            askers: BTreeMap::new(),
            accepted_versions: BTreeMap::new(),
            replacements: Vec::new(),
            next_replica: plan.controls as u64,
            late_requests: Lateness::default(),
            late_orders: Lateness::default(),
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
            self.settle();
        }
        self.now = end;
        self.check_calm();
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
        self.events.schedule(at(CALLERS_AT), Event::NextAsk);
        self.events.schedule(at(CALLERS_AT), Event::Race);
        self.events
            .schedule(at(super::plan::WARM_UP), Event::BackUp);
        self.events.schedule(at(OBSERVE_EVERY), Event::Observe);
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

    /// Does all that is due now, until nothing more follows from it.
    fn settle(&mut self) {
        *self.clock_ms.borrow_mut() = EPOCH_MS + self.now.0 / 1_000;
        loop {
            self.run_actors();
            let mut worked = false;
            while let Some(event) = self.events.pop_due(self.now) {
                self.handle(event);
                worked = true;
                self.run_actors();
            }
            self.advance_engines();
            if !worked {
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
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
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

    fn handle(&mut self, event: Event) {
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
                truth,
            } => self.deliver_order(engine, &order, truth),
            Event::EngineReceives { id, call } => self.engine_receives(id, call),
            Event::CallNews { id, news } => self.on_call_news(id, news),
            Event::Stall {
                exchange,
                call,
                progress,
            } => self.on_stall(exchange, call, progress),
            Event::NextAsk => self.next_ask(),
            Event::TryAsk(number) => self.try_ask(number),
            Event::Race => self.race(),
            Event::OperatorGivesUp { index, sent } => self.operator_gives_up(index, sent),
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
                    self.test_restarted(router);
                }
            }
            Event::StartControl(control, first) => {
                if self.controls[control].actor.is_none() {
                    self.start_control(control, first);
                }
            }
            Event::StartEngine(engine) => {
                if self.engines[engine].core.is_none() {
                    self.start_engine(engine);
                }
            }
            Event::EngineTaken(engine) => self.take_engine(engine),
            Event::BackUp => self.back_up_controls(),
        }
    }

    fn observe(&mut self) {
        self.note_unwell_routers();
        self.observe_routers();
        self.events
            .schedule(self.now.plus(OBSERVE_EVERY), Event::Observe);
    }

    pub(super) fn draw(&mut self) -> u64 {
        self.random.next_u64()
    }

    pub(super) fn note(&mut self, line: impl AsRef<str>) {
        self.trace.note(self.now, line);
    }

    pub(super) fn fail(&mut self, promise: Promise, detail: impl Into<String>) {
        let detail = detail.into();
        self.trace
            .note(self.now, format!("BROKEN {promise:?}: {detail}"));
        self.checks.fail(promise, self.now, detail);
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
