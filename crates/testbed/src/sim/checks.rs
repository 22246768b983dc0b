//! The invariants that every run has to keep, checked by what is observable from outside.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{IdempotencyKey, RequestId, Timestamp};
use serde::Serialize;

/// A property that holds in every run, whatever fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A request never uses cache contents of an earlier start of an engine, of another tenant or
    /// of other weights.
    CacheTrust,
    /// Callers receive streams complete and in order.
    StreamOrder,
    /// A restarted router reads its stored files and places requests right away.
    ServesAfterRestart,
    /// A caller that repeats a request gets the complete recorded answer to that same request.
    OwnAnswer,
    /// A request that was refused with "not run" never runs at an engine.
    NotRun,
    /// A request with an idempotency key runs at most once.
    AtMostOnce,
    /// An engine that leaves gets no new requests after a few seconds.
    LeavingIdle,
    /// A router that stops gracefully completes all its requests first.
    PlannedStop,
    /// Accepted configuration applies at all healthy routers within seconds and is never reverted.
    ConfigInForce,
    /// The fleet serves normally again some time after the last fault.
    Recovery,
    /// Engines do not execute orders of an earlier leader after those of a later one.
    OrderFenced,
    /// The replicated log loses no committed entry and is the same at all replicas.
    ReplicatedLog,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// The invariant that was violated.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// Time since the start of the run, in microseconds.
    pub at: u64,
    /// What was observed, as text.
    pub detail: String,
}

/// Time after the first sign that an engine leaves in which it may still start new requests.
pub(super) const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Time within which accepted configuration applies at all healthy routers.
pub(super) const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Observations of the checkers and the violations found so far.
#[derive(Debug, Default)]
pub(super) struct Checks {
    failures: Vec<Failure>,
    executed: BTreeMap<RequestId, u64>,
    executions_by_key: BTreeMap<IdempotencyKey, u64>,
    refused: BTreeMap<RequestId, Timestamp>,
    /// The highest revision that each router was seen to apply, by router index.
    applied_revisions: BTreeMap<usize, u64>,
    /// Accepted revisions, each with the id of the change that made it.
    accepted: BTreeMap<u64, String>,
    /// Accepted changes by resource name and expected version.
    accepted_from: BTreeMap<(String, u64), String>,
}

impl Checks {
    pub(super) fn fail(&mut self, invariant: Invariant, at: Timestamp, detail: impl Into<String>) {
        const MAX_FAILURES: usize = 20;
        if self.failures.len() < MAX_FAILURES {
            self.failures.push(Failure {
                invariant,
                at: at.0,
                detail: detail.into(),
            });
        }
    }

    pub(super) fn failures(&self) -> &[Failure] {
        &self.failures
    }

    /// Records that an engine started to run a request.
    pub(super) fn on_execution(
        &mut self,
        id: RequestId,
        idempotency_key: Option<&IdempotencyKey>,
        at: Timestamp,
    ) {
        *self.executed.entry(id).or_default() += 1;
        if self.refused.contains_key(&id) {
            let detail = format!("request {id} ran after it was refused as not run");
            self.fail(Invariant::NotRun, at, detail);
        }
        let Some(key) = idempotency_key else {
            return;
        };
        let count = self.executions_by_key.entry(key.clone()).or_default();
        *count += 1;
        if *count > 1 {
            let detail = format!("request with idempotency key {key} ran {count} times");
            self.fail(Invariant::AtMostOnce, at, detail);
        }
    }

    /// Records that a caller received a refusal with "not run".
    pub(super) fn on_not_run(&mut self, id: RequestId, at: Timestamp) {
        if self.executed.contains_key(&id) {
            let detail = format!("request {id} was refused as not run after it ran");
            self.fail(Invariant::NotRun, at, detail);
        }
        self.refused.insert(id, at);
    }

    /// Records the revision that a router applies, which must never decrease.
    pub(super) fn on_applied_revision(&mut self, router: usize, revision: u64, at: Timestamp) {
        let highest = self.applied_revisions.entry(router).or_default();
        if revision < *highest {
            let detail = format!("router {router} went back from revision {highest} to {revision}");
            self.fail(Invariant::ConfigInForce, at, detail);
        } else {
            *highest = revision;
        }
    }

    /// Records an accepted change. No two changes may get the same revision, or be accepted for the
    /// same resource with the same expected version.
    pub(super) fn on_accepted(
        &mut self,
        name: &str,
        expected: u64,
        revision: u64,
        change: &str,
        at: Timestamp,
    ) {
        if let Some(other) = self.accepted.insert(revision, change.to_owned()) {
            if other != change {
                let detail = format!(
                    "changes {other} and {change} were both accepted as revision {revision}"
                );
                self.fail(Invariant::ConfigInForce, at, detail);
            }
        }
        let from = (name.to_owned(), expected);
        if let Some(other) = self.accepted_from.insert(from, change.to_owned()) {
            if other != change {
                let detail = format!(
                    "changes {other} and {change} were both accepted at version {expected}"
                );
                self.fail(Invariant::ConfigInForce, at, detail);
            }
        }
    }

    /// The newest revision accepted so far, 0 if there is none.
    pub(super) fn newest_accepted(&self) -> u64 {
        self.accepted.keys().last().copied().unwrap_or(0)
    }

    /// Number of times that engines started to run a request.
    pub(super) fn executions(&self) -> u64 {
        self.executed.values().sum()
    }
}
