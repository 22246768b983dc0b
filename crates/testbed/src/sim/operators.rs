//! Operators of the simulated fleet: they make concurrent changes, resend them, and read the
//! resulting configuration.

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
use super::checks::{Invariant, IN_FORCE_LIMIT};
use super::cluster::{Event, SimCluster};
use super::engines::{BLOCK_TOKENS, MODEL, POOL};

/// Time after which an operator repeats a request that got no reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before an operator repeats a request that was answered with "unavailable".
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Fraction of accepted changes that are sent once more, as if the reply had been lost.
const RESEND_PROBABILITY: f64 = 0.3;

/// The operation or replacement, by index, that a control machine's reply belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyTarget {
    Operation(usize),
    Replacement(usize),
}

/// A configuration change that an operator wants to make.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum DesiredChange {
    /// Create a resource of this name, unless it exists.
    Setup(String, ResourceSpec),
    /// Overwrite a priority class that no request uses, with this number in its deadline, to create
    /// changes that have no other effect.
    Pump(u64),
    /// Drain one more engine of the pool.
    Drain(EngineName),
    /// Set the rollout to this state.
    Rollout(RolloutState),
}

/// The request of an operation whose reply is outstanding.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Reading {
        /// Newest version accepted before the read, which must not return an older one.
        newest: u64,
    },
    Writing {
        expected: Revision,
    },
    Resending {
        expected: Revision,
        first: ChangeOutcome,
    },
    Done,
}

/// Progress of one desired change of one operator.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    desired: DesiredChange,
    /// Source of the change id; retries of one write keep it.
    change: u64,
    stage: Stage,
    /// Counts requests and replies, so that outdated timeouts are recognized.
    sent: u64,
    spec: Option<ResourceSpec>,
}

impl DesiredChange {
    fn key(&self) -> ResourceKey {
        let (kind, name) = match self {
            DesiredChange::Setup(name, spec) => (spec.kind(), name.as_str()),
            DesiredChange::Pump(_) => (ResourceKind::PriorityClass, "pump"),
            DesiredChange::Drain(_) => (ResourceKind::EnginePool, POOL),
            DesiredChange::Rollout(_) => (ResourceKind::Rollout, "next"),
        };
        ResourceKey {
            kind,
            name: name.to_owned(),
        }
    }

    /// The spec to write in place of the current one; `None` if no write is needed.
    fn spec(&self, current: Option<&ResourceSpec>) -> Option<ResourceSpec> {
        match self {
            DesiredChange::Setup(_, spec) => current.is_none().then(|| spec.clone()),
            DesiredChange::Pump(number) => Some(ResourceSpec::PriorityClass(PriorityClassSpec {
                priority: Default::default(),
                deadline_ms: 1_000 + number,
            })),
            DesiredChange::Drain(engine) => {
                let Some(ResourceSpec::EnginePool(pool)) = current else {
                    return None;
                };
                let mut pool = pool.clone();
                pool.draining.insert(engine.clone());
                Some(ResourceSpec::EnginePool(pool))
            }
            DesiredChange::Rollout(state) => Some(ResourceSpec::Rollout(RolloutSpec {
                model: ModelName::new(MODEL),
                from_version: WeightsVersion(1),
                to_version: WeightsVersion(2),
                max_loading: 2,
                state: *state,
            })),
        }
    }
}

impl SimCluster {
    /// Writes the model, pool and tenants that the fleet needs to serve requests.
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
        self.start_operation(DesiredChange::Setup(MODEL.to_owned(), model));
        self.start_operation(DesiredChange::Setup(POOL.to_owned(), pool));
        for tenant in 0..self.plan.workload.tenants {
            let spec = ResourceSpec::Tenant(TenantSpec {
                key_hashes: [SecretKey::new(tenant_key(tenant)).hash()].into(),
                models: Default::default(),
                limits: Default::default(),
                default_priority: Default::default(),
            });
            self.start_operation(DesiredChange::Setup(format!("tenant-{tenant}"), spec));
        }
    }

    /// Starts two concurrent changes of the same resource, and schedules the next pair.
    pub(super) fn start_concurrent_changes(&mut self) {
        let rate = self.plan.changes_per_second;
        // No changes start near the end, so that the last ones can come into force before it.
        let in_time = self.now.plus(IN_FORCE_LIMIT) < self.plan.ends_at;
        if rate <= 0.0 || !in_time {
            return;
        }
        let gap: f64 = self.random.random_range(0.5..1.5);
        let at = self.now.plus(Duration::from_secs_f64(gap / rate));
        self.events.schedule(at, Event::ConcurrentChanges);
        let number = self.operations.len() as u64;
        self.start_operation(DesiredChange::Pump(number));
        self.start_operation(DesiredChange::Pump(number + 1));
    }

    /// Starts an operation for a desired change: reads the resource, then writes it.
    pub(super) fn start_operation(&mut self, desired: DesiredChange) {
        let change = self.random_u64();
        self.operations.push(Operation {
            desired,
            change,
            stage: Stage::Done,
            sent: 0,
            spec: None,
        });
        self.start_read(self.operations.len() - 1);
    }

    fn start_read(&mut self, index: usize) {
        let newest = self.newest_accepted_version(&self.operations[index].desired.key());
        let operation = &mut self.operations[index];
        operation.stage = Stage::Reading { newest };
        let request = OperatorRequest::Get(operation.desired.key());
        self.send(index, request);
    }

    /// Sends the operation's request to a random control machine, and schedules a timeout.
    fn send(&mut self, index: usize, request: OperatorRequest) {
        let control = self.random.random_range(0..self.controls.len());
        let operation = &mut self.operations[index];
        operation.sent += 1;
        let sent = operation.sent;
        self.send_operator_request(control, request, ReplyTarget::Operation(index));
        let at = self.now.plus(REPLY_TIMEOUT);
        self.events
            .schedule(at, Event::OperatorTimeout { index, sent });
    }

    pub(super) fn send_operator_request(
        &mut self,
        control: usize,
        request: OperatorRequest,
        reply_target: ReplyTarget,
    ) {
        let host = &mut self.controls[control];
        let Some(actor) = &host.actor else {
            return;
        };
        host.next_ticket += 1;
        let ticket = OperatorTicket(host.next_ticket);
        let key = (control, host.generation, ticket);
        call!([actor], operator(ticket, request));
        self.reply_targets.insert(key, reply_target);
    }

    pub(super) fn on_reply(
        &mut self,
        control: usize,
        ticket: OperatorTicket,
        reply: OperatorReply,
    ) {
        let key = (control, self.controls[control].generation, ticket);
        match self.reply_targets.remove(&key) {
            Some(ReplyTarget::Replacement(index)) => {
                if let OperatorReply::Members(result) = reply {
                    self.on_replacement_reply(index, result);
                }
            }
            Some(ReplyTarget::Operation(index)) => self.on_operation_reply(index, reply),
            None => {}
        }
    }

    /// Repeats the request at a random control machine if it has had no reply.
    pub(super) fn on_operator_timeout(&mut self, index: usize, sent: u64) {
        if self.operations[index].sent == sent {
            self.retry_operation(index);
        }
    }

    fn retry_operation(&mut self, index: usize) {
        match self.operations[index].stage.clone() {
            Stage::Done => {}
            Stage::Reading { .. } => self.start_read(index),
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
                    .desired
                    .spec(resource.as_ref().map(|resource| &resource.spec));
                operation.spec.clone_from(&spec);
                if version < newest && !self.restored {
                    let detail = format!(
                        "a read returned version {version} after version {newest} was accepted"
                    );
                    self.fail(Invariant::ConfigInForce, detail);
                }
                match spec {
                    Some(_) => self.write(index, Revision(version)),
                    None => self.operations[index].stage = Stage::Done,
                }
            }
            (Stage::Writing { expected }, OperatorReply::Change(outcome)) => {
                self.on_outcome(index, expected, outcome);
            }
            (Stage::Resending { first, .. }, OperatorReply::Change(outcome)) => {
                self.operations[index].stage = Stage::Done;
                if outcome != first && !self.restored {
                    let detail = format!("a resent change got {outcome:?} after {first:?}");
                    self.fail(Invariant::ConfigInForce, detail);
                }
            }
            (_, OperatorReply::Unavailable) => {
                let sent = self.operations[index].sent;
                let at = self.now.plus(RETRY_DELAY);
                self.events
                    .schedule(at, Event::OperatorTimeout { index, sent });
            }
            _ => {}
        }
    }

    fn on_outcome(&mut self, index: usize, expected: Revision, outcome: ChangeOutcome) {
        let operation = &mut self.operations[index];
        match &outcome {
            ChangeOutcome::Accepted { revision } => {
                let revision = *revision;
                let (change, desired) = (operation.change, operation.desired.clone());
                let key = desired.key();
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
                self.on_change_accepted(&desired, revision);
                let at = self.now.plus(IN_FORCE_LIMIT);
                self.events.schedule(at, Event::CheckInForce(revision.0));
                if self.random.random::<f64>() < RESEND_PROBABILITY {
                    self.resend_write(index, expected);
                } else {
                    self.operations[index].stage = Stage::Done;
                }
            }
            // Another operator changed the resource first. The operation reads the new version and
            // applies its change to that; a `Pump` is not repeated.
            ChangeOutcome::Conflict { .. } => {
                let change = self.random_u64();
                self.operations[index].change = change;
                let once = matches!(self.operations[index].desired, DesiredChange::Pump(_));
                if once {
                    self.operations[index].stage = Stage::Done;
                } else {
                    self.start_read(index);
                }
            }
            ChangeOutcome::Invalid { message } => {
                let detail = format!("a valid resource was refused as invalid: {message}");
                self.operations[index].stage = Stage::Done;
                self.fail(Invariant::ConfigInForce, detail);
            }
        }
    }

    fn on_change_accepted(&mut self, desired: &DesiredChange, revision: Revision) {
        self.note(format!("{desired:?} was accepted as revision {revision}"));
        if let DesiredChange::Drain(engine) = desired {
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
            name: operation.desired.key().name,
            spec,
        };
        self.send(index, request);
    }

    fn resend_write(&mut self, index: usize, expected: Revision) {
        self.write(index, expected);
    }

    /// Checks that every router that has been healthy for [`IN_FORCE_LIMIT`] applies the revision.
    pub(super) fn check_in_force(&mut self, revision: u64) {
        for router in 0..self.routers.len() {
            let healthy_for = self.now.since(self.routers[router].degraded_at);
            if healthy_for < IN_FORCE_LIMIT {
                continue;
            }
            let Some(floor) = self.applied_revision(router) else {
                continue;
            };
            if floor < revision {
                let detail = format!(
                    "router {router} applies revision {floor}, but {revision} was accepted"
                );
                self.fail(Invariant::ConfigInForce, detail);
            }
        }
    }

    /// Checks at the end that every router runs and applies the newest accepted revision.
    pub(super) fn check_converged(&mut self) {
        let newest = self.checks.newest_accepted();
        for router in 0..self.routers.len() {
            match self.applied_revision(router) {
                Some(floor) if floor >= newest => {}
                Some(floor) => {
                    let detail = format!(
                        "router {router} ends at revision {floor}, but the newest is {newest}"
                    );
                    self.fail(Invariant::ConfigInForce, detail);
                }
                None => {
                    let detail = format!("router {router} is not running at the end");
                    self.fail(Invariant::Recovery, detail);
                }
            }
        }
    }

    fn newest_accepted_version(&self, key: &ResourceKey) -> u64 {
        self.accepted_versions.get(key).copied().unwrap_or(0)
    }
}

/// Term and revision of the control machine that sends an order, compared in this order.
pub(super) type SenderPosition = (u64, u64);
