//! The promises of the brief, checked from outside.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::{IdempotencyKey, RequestId, Timestamp};
use serde::Serialize;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// No trust in the cache of a dead engine, another tenant or older weights.
    CacheTrust,
    /// Streams reach their callers whole and in order.
    StreamOrder,
    /// A restarted router serves at once.
    ServesAfterRestart,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// "Not run" means that it did not run.
    NotRun,
    /// Work that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving engine gets no new work after a few seconds.
    LeavingIdle,
    /// A planned stop cuts off no request.
    PlannedStop,
    /// Accepted configuration is in force everywhere in seconds and never reverts.
    ConfigInForce,
    /// After the last fault the fleet serves again.
    Recovery,
    /// An order of an older leader is not obeyed.
    OrderFenced,
    /// The replicated log forgets nothing and says the same everywhere.
    ReplicatedLog,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Which.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// When, in microseconds of the run.
    pub at: u64,
    /// How.
    pub detail: String,
}

/// A leaving engine may still begin work for this long after the first sign.
pub(super) const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Accepted configuration is in force everywhere within this time.
pub(super) const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// What the checkers know.
#[derive(Debug, Default)]
pub(super) struct Checks {
    failures: Vec<Failure>,
    executed: BTreeMap<RequestId, u64>,
    executions_by_key: BTreeMap<IdempotencyKey, u64>,
    refused: BTreeMap<RequestId, Timestamp>,
    /// The highest revision that a router of this number was seen to apply.
    applied_revisions: BTreeMap<usize, u64>,
    /// The newest revision that was accepted, and which change made each.
    accepted: BTreeMap<u64, String>,
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

    /// An engine began to run a request.
    pub(super) fn on_execution(
        &mut self,
        id: RequestId,
        once: Option<&IdempotencyKey>,
        at: Timestamp,
    ) {
        *self.executed.entry(id).or_default() += 1;
        if self.refused.contains_key(&id) {
            let detail = format!("request {id} ran after it was refused as not run");
            self.fail(Invariant::NotRun, at, detail);
        }
        let Some(key) = once else {
            return;
        };
        let count = self.executions_by_key.entry(key.clone()).or_default();
        *count += 1;
        if *count > 1 {
            let detail = format!("work with key {key} ran {count} times");
            self.fail(Invariant::AtMostOnce, at, detail);
        }
    }

    /// A caller was told "not run".
    pub(super) fn on_not_run(&mut self, id: RequestId, at: Timestamp) {
        if self.executed.contains_key(&id) {
            let detail = format!("request {id} was refused as not run after it ran");
            self.fail(Invariant::NotRun, at, detail);
        }
        self.refused.insert(id, at);
    }

    /// A router applies a revision.
    pub(super) fn on_applied_revision(&mut self, router: usize, revision: u64, at: Timestamp) {
        let highest = self.applied_revisions.entry(router).or_default();
        if revision < *highest {
            let detail = format!("router {router} went back from revision {highest} to {revision}");
            self.fail(Invariant::ConfigInForce, at, detail);
        } else {
            *highest = revision;
        }
    }

    /// An operator's change was accepted.
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
                let detail = format!("changes {other} and {change} both are revision {revision}");
                self.fail(Invariant::ConfigInForce, at, detail);
            }
        }
        let from = (name.to_owned(), expected);
        if let Some(other) = self.accepted_from.insert(from, change.to_owned()) {
            if other != change {
                let detail =
                    format!("changes {other} and {change} were both accepted from {expected}");
                self.fail(Invariant::ConfigInForce, at, detail);
            }
        }
    }

    /// The newest revision that was accepted so far.
    pub(super) fn newest_accepted(&self) -> u64 {
        self.accepted.keys().last().copied().unwrap_or(0)
    }

    /// Requests that ran at all.
    pub(super) fn executions(&self) -> u64 {
        self.executed.values().sum()
    }
}
