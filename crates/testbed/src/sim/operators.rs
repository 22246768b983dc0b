//! Operators of the simulated fleet: they race, resend, and read back what was accepted.

use std::time::Duration;

use drumshore_control::{ChangeOutcome, OperatorReply, OperatorRequest, OperatorTicket};
use drumshore_core::{
    ChangeId, EngineName, EnginePoolSpec, ModelName, ModelSpec, OperatorName, PriorityClassSpec,
    ResourceKey, ResourceKind, ResourceSpec, Revision, RolloutSpec, RolloutState, SecretKey,
    TenantSpec, WeightsVersion,
};
use rand::Rng;
use stakker::call;

use super::callers::tenant_key;
use super::checks::{Promise, IN_FORCE_LIMIT};
use super::engines::{BLOCK_TOKENS, MODEL, POOL};
use super::world::{Event, World};

const ANSWER_PATIENCE: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(300);

/// Accepted changes that are sent once more, as if the answer had been lost.
const RESENT: f64 = 0.3;

/// Who waits for a control machine's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asker {
    Operation(usize),
    Replacement(usize),
}

/// What an operator wants to have written.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Wish {
    /// Write this, if nothing is there yet.
    Setup(String, ResourceSpec),
    /// A class that nobody uses, with a new number in it.
    Pump(u64),
    /// One more engine gets nothing new.
    Drain(EngineName),
    /// A rollout in this state.
    Rollout(RolloutState),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Reading {
        newest: u64,
    },
    Writing {
        expected: Revision,
    },
    Resending {
        expected: Revision,
        first: ChangeOutcome,
    },
    Over,
}

/// One operator's work on one wish.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    wish: Wish,
    change: u64,
    stage: Stage,
    sent: u64,
    spec: Option<ResourceSpec>,
}

impl Wish {
    fn key(&self) -> ResourceKey {
        let (kind, name) = match self {
            Wish::Setup(name, spec) => (spec.kind(), name.as_str()),
            Wish::Pump(_) => (ResourceKind::PriorityClass, "pump"),
            Wish::Drain(_) => (ResourceKind::EnginePool, POOL),
            Wish::Rollout(_) => (ResourceKind::Rollout, "next"),
        };
        ResourceKey {
            kind,
            name: name.to_owned(),
        }
    }

    /// What to write over what is there; `None` when nothing needs to be.
    fn spec(&self, current: Option<&ResourceSpec>) -> Option<ResourceSpec> {
        match self {
            Wish::Setup(_, spec) => current.is_none().then(|| spec.clone()),
            Wish::Pump(number) => Some(ResourceSpec::PriorityClass(PriorityClassSpec {
                priority: Default::default(),
                deadline_ms: 1_000 + number,
            })),
            Wish::Drain(engine) => {
                let Some(ResourceSpec::EnginePool(pool)) = current else {
                    return None;
                };
                let mut pool = pool.clone();
                pool.draining.insert(engine.clone());
                Some(ResourceSpec::EnginePool(pool))
            }
            Wish::Rollout(state) => Some(ResourceSpec::Rollout(RolloutSpec {
                model: ModelName::new(MODEL),
                from_version: WeightsVersion(1),
                to_version: WeightsVersion(2),
                max_loading: 2,
                state: *state,
            })),
        }
    }
}

impl World {
    /// Writes what the fleet needs to serve.
    pub(super) fn set_up(&mut self) {
        let model = ResourceSpec::Model(ModelSpec {
            weights_version: WeightsVersion(1),
            block_tokens: BLOCK_TOKENS,
            goal: Default::default(),
        });
        let pool = ResourceSpec::EnginePool(EnginePoolSpec {
            model: ModelName::new(MODEL),
            draining: Default::default(),
        });
        self.wish(Wish::Setup(MODEL.to_owned(), model));
        self.wish(Wish::Setup(POOL.to_owned(), pool));
        for tenant in 0..self.plan.workload.tenants {
            let spec = ResourceSpec::Tenant(TenantSpec {
                key_hashes: [SecretKey::new(tenant_key(tenant)).hash()].into(),
                models: Default::default(),
                limits: Default::default(),
                default_priority: Default::default(),
            });
            self.wish(Wish::Setup(format!("tenant-{tenant}"), spec));
        }
    }

    /// Two operators change the same thing at the same time; another pair follows.
    pub(super) fn race(&mut self) {
        let rate = self.plan.changes_per_second;
        // The last changes get the time to come into force before the run ends.
        let settled = self.now.plus(IN_FORCE_LIMIT) < self.plan.ends_at;
        if rate <= 0.0 || !settled {
            return;
        }
        let gap: f64 = self.random.random_range(0.5..1.5);
        let at = self.now.plus(Duration::from_secs_f64(gap / rate));
        self.events.schedule(at, Event::Race);
        let number = self.operations.len() as u64;
        self.wish(Wish::Pump(number));
        self.wish(Wish::Pump(number + 1));
    }

    /// An operator sets to work.
    pub(super) fn wish(&mut self, wish: Wish) {
        let change = self.draw();
        self.operations.push(Operation {
            wish,
            change,
            stage: Stage::Over,
            sent: 0,
            spec: None,
        });
        self.read_first(self.operations.len() - 1);
    }

    fn read_first(&mut self, index: usize) {
        let newest = self.newest_known(&self.operations[index].wish.key());
        let operation = &mut self.operations[index];
        operation.stage = Stage::Reading { newest };
        let request = OperatorRequest::Get(operation.wish.key());
        self.send(index, request);
    }

    /// Sends the operation's request to some control machine, and watches for the answer.
    fn send(&mut self, index: usize, request: OperatorRequest) {
        let control = self.random.random_range(0..self.controls.len());
        let operation = &mut self.operations[index];
        operation.sent += 1;
        let sent = operation.sent;
        self.ask_control(control, request, Asker::Operation(index));
        let at = self.now.plus(ANSWER_PATIENCE);
        self.events
            .schedule(at, Event::OperatorGivesUp { index, sent });
    }

    pub(super) fn ask_control(&mut self, control: usize, request: OperatorRequest, asker: Asker) {
        let host = &mut self.controls[control];
        let Some(actor) = &host.actor else {
            return;
        };
        host.next_ticket += 1;
        let ticket = OperatorTicket(host.next_ticket);
        let key = (control, host.generation, ticket);
        call!([actor], operator(ticket, request));
        self.askers.insert(key, asker);
    }

    pub(super) fn on_reply(
        &mut self,
        control: usize,
        ticket: OperatorTicket,
        reply: OperatorReply,
    ) {
        let key = (control, self.controls[control].generation, ticket);
        match self.askers.remove(&key) {
            Some(Asker::Replacement(index)) => {
                if let OperatorReply::Members(result) = reply {
                    self.on_replacement_reply(index, result);
                }
            }
            Some(Asker::Operation(index)) => self.on_operation_reply(index, reply),
            None => {}
        }
    }

    /// No answer came: the same is asked again, of another machine.
    pub(super) fn operator_gives_up(&mut self, index: usize, sent: u64) {
        if self.operations[index].sent == sent {
            self.ask_again(index);
        }
    }

    fn ask_again(&mut self, index: usize) {
        match self.operations[index].stage.clone() {
            Stage::Over => {}
            Stage::Reading { .. } => self.read_first(index),
            Stage::Writing { expected } | Stage::Resending { expected, .. } => {
                self.write(index, expected);
            }
        }
    }

    fn on_operation_reply(&mut self, index: usize, reply: OperatorReply) {
        let operation = &mut self.operations[index];
        operation.sent += 1;
        match (operation.stage.clone(), reply) {
            (Stage::Reading { newest }, OperatorReply::Resource(resource)) => {
                let version = resource.as_ref().map_or(0, |resource| resource.version.0);
                let spec = operation
                    .wish
                    .spec(resource.as_ref().map(|resource| &resource.spec));
                operation.spec.clone_from(&spec);
                if version < newest && !self.restored {
                    let detail = format!("version {version} was read after {newest} was accepted");
                    self.fail(Promise::ConfigInForce, detail);
                }
                match spec {
                    Some(_) => self.write(index, Revision(version)),
                    None => self.operations[index].stage = Stage::Over,
                }
            }
            (Stage::Writing { expected }, OperatorReply::Change(outcome)) => {
                self.on_outcome(index, expected, outcome);
            }
            (Stage::Resending { first, .. }, OperatorReply::Change(outcome)) => {
                self.operations[index].stage = Stage::Over;
                if outcome != first && !self.restored {
                    let detail = format!("a resent change gave {outcome:?} after {first:?}");
                    self.fail(Promise::ConfigInForce, detail);
                }
            }
            (_, OperatorReply::Unavailable) => {
                let sent = self.operations[index].sent;
                let at = self.now.plus(PAUSE);
                self.events
                    .schedule(at, Event::OperatorGivesUp { index, sent });
            }
            _ => {}
        }
    }

    fn on_outcome(&mut self, index: usize, expected: Revision, outcome: ChangeOutcome) {
        let operation = &mut self.operations[index];
        match &outcome {
            ChangeOutcome::Accepted { revision } => {
                let revision = *revision;
                let (change, wish) = (operation.change, operation.wish.clone());
                let key = wish.key();
                let name = format!("{}/{}", key.kind.as_str(), key.name);
                operation.stage = Stage::Resending {
                    expected,
                    first: outcome,
                };
                let change = format!("{change:016x}");
                if !self.restored {
                    self.checks
                        .on_accepted(&name, expected.0, revision.0, &change, self.now);
                }
                self.accepted_versions.insert(key, revision.0);
                self.on_granted(&wish, revision);
                let at = self.now.plus(IN_FORCE_LIMIT);
                self.events.schedule(at, Event::CheckInForce(revision.0));
                if self.random.random::<f64>() < RESENT {
                    self.write_again(index, expected);
                } else {
                    self.operations[index].stage = Stage::Over;
                }
            }
            // Another operator was first; what it wrote is read, and the wish is put on top.
            ChangeOutcome::Conflict { .. } => {
                let change = self.draw();
                self.operations[index].change = change;
                let once = matches!(self.operations[index].wish, Wish::Pump(_));
                if once {
                    self.operations[index].stage = Stage::Over;
                } else {
                    self.read_first(index);
                }
            }
            ChangeOutcome::Invalid { message } => {
                let detail = format!("a valid document was refused: {message}");
                self.operations[index].stage = Stage::Over;
                self.fail(Promise::ConfigInForce, detail);
            }
        }
    }

    fn on_granted(&mut self, wish: &Wish, revision: Revision) {
        self.note(format!("{wish:?} is accepted as revision {revision}"));
        if let Wish::Drain(engine) = wish {
            if let Some(engine) = self.engine_named(engine) {
                self.engines[engine].leaving_since.get_or_insert(self.now);
            }
        }
    }

    fn write(&mut self, index: usize, expected: Revision) {
        let operation = &mut self.operations[index];
        let first = match &operation.stage {
            Stage::Resending { first, .. } => Some(first.clone()),
            _ => None,
        };
        operation.stage = match first {
            Some(first) => Stage::Resending { expected, first },
            None => Stage::Writing { expected },
        };
        let Some(spec) = operation.spec.clone() else {
            return;
        };
        let request = OperatorRequest::Put {
            change_id: ChangeId::new(format!("{:016x}", operation.change)),
            operator: OperatorName::new(format!("operator-{}", index % 2)),
            expected,
            name: operation.wish.key().name,
            spec,
        };
        self.send(index, request);
    }

    fn write_again(&mut self, index: usize, expected: Revision) {
        self.write(index, expected);
    }

    /// Every router that has been well for long enough applies the revision by now.
    pub(super) fn check_in_force(&mut self, revision: u64) {
        for router in 0..self.routers.len() {
            let well_for = self.now.since(self.routers[router].unwell_at);
            if well_for < IN_FORCE_LIMIT {
                continue;
            }
            let Some(floor) = self.floor_of(router) else {
                continue;
            };
            if floor < revision {
                let detail = format!("router {router} applies {floor}, {revision} was accepted");
                self.fail(Promise::ConfigInForce, detail);
            }
        }
    }

    /// At the end every router applies the newest revision.
    pub(super) fn check_converged(&mut self) {
        let newest = self.checks.newest_accepted();
        for router in 0..self.routers.len() {
            match self.floor_of(router) {
                Some(floor) if floor >= newest => {}
                Some(floor) => {
                    let detail = format!("router {router} ends with {floor}, newest is {newest}");
                    self.fail(Promise::ConfigInForce, detail);
                }
                None => {
                    let detail = format!("router {router} does not run at the end");
                    self.fail(Promise::Recovery, detail);
                }
            }
        }
    }

    fn newest_known(&self, key: &ResourceKey) -> u64 {
        self.accepted_versions.get(key).copied().unwrap_or(0)
    }
}

/// The time of an order's truth, for the checkers: the sender's term and revision.
pub(super) type OrderTruth = (u64, u64);
