//! What a pool that is given more work than it can serve in time refuses.
//!
//! Streams last longer the more of them a back end runs and the more prompts it reads beside them, so
//! a pool whose slots are all taken serves fewer requests a second than one with room, and a queue
//! that has formed stays although the load that caused it has gone. A router therefore refuses a
//! part of the work while most slots of the pool are taken, the least urgent first, and tells callers
//! when those streams will have ended.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;

use super::{Admission, ChoiceError, Overload, Prompt, RouterCore};
use crate::{InstanceId, Pool, PoolName};

/// Refusing begins when this part of the pool's slots is taken. Of the values tried, see
/// docs/design/overload.md.
const REFUSE_FROM: f64 = 0.75;
/// Work that is refused at once, for each part of the slots taken beyond that. Of the values tried.
const REFUSED_PER_TAKEN: f64 = 0.7;
/// While more than this part of the slots is taken, more and more work is refused; while less is,
/// less and less.
const TAKEN_TARGET: f64 = 0.95;
/// How fast: work that is refused more after a second, for each part of the slots beyond the target.
const REFUSED_PER_TAKEN_SECOND: f64 = 1.0;
/// No step of that counts for longer than this: a router that had no request meanwhile does not know
/// what was taken.
const LONGEST_STEP: Duration = Duration::from_millis(250);
/// Of the requests of one urgency, at most this part is refused while more urgent ones are left: some
/// of each are always served.
const MOST_REFUSED: f64 = 0.7;
/// Of all requests, at most this part is refused.
const MOST_REFUSED_OF_ALL: f64 = 0.95;
/// The weight of the newest request in the running means.
const NEWEST: f64 = 0.005;
/// How long a request stays at its back end, before one has ended.
const FIRST_STAY: Duration = Duration::from_millis(800);
/// Callers are spread over this part of a stay before and after it.
const SPREAD: f64 = 0.5;

/// How urgent a request is, the most urgent first: a tenant's priority goes before the route's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    priority: u8,
    route_priority: u8,
}

impl Urgency {
    pub fn of(admission: &Admission) -> Self {
        Self {
            priority: admission.priority,
            route_priority: admission.route.priority,
        }
    }
}

/// What one router knows of the work and the streams of one pool.
#[derive(Debug)]
struct PoolLoad {
    /// Running means of the work of a request.
    work: BTreeMap<Urgency, f64>,
    seen: u32,
    /// How long a request stays at its back end, on the mean.
    stay: Duration,
    /// Part of the work that is refused because too many slots have been taken for a while.
    lasting_excess: f64,
    judged_at: Timestamp,
}

impl Default for PoolLoad {
    fn default() -> Self {
        Self {
            work: BTreeMap::new(),
            seen: 0,
            stay: FIRST_STAY,
            lasting_excess: 0.0,
            judged_at: Timestamp::default(),
        }
    }
}

impl PoolLoad {
    fn note_work(&mut self, urgency: Urgency, work: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = NEWEST.max(1.0 / f64::from(self.seen));
        self.work.entry(urgency).or_default();
        for (other, mean) in &mut self.work {
            let newest = if *other == urgency { work } else { 0.0 };
            *mean += weight * (newest - *mean);
        }
    }

    /// The part of all work that is to be refused when so much of the slots is taken: a proportional
    /// and integral controller.
    fn excess(&mut self, now: Timestamp, taken: f64) -> f64 {
        let step = now.since(self.judged_at).min(LONGEST_STEP).as_secs_f64();
        self.judged_at = now;
        let change = (taken - TAKEN_TARGET) * REFUSED_PER_TAKEN_SECOND * step;
        self.lasting_excess = (self.lasting_excess + change).clamp(0.0, MOST_REFUSED_OF_ALL);
        let at_once = (taken - REFUSE_FROM).max(0.0) * REFUSED_PER_TAKEN;
        (at_once + self.lasting_excess).min(MOST_REFUSED_OF_ALL)
    }

    /// The part of the requests of one urgency that is refused when `excess` is the part of all
    /// work that has to be: the less urgent ones go first.
    fn refused_part(&self, urgency: Urgency, excess: f64) -> f64 {
        let own = self.work.get(&urgency).copied().unwrap_or_default();
        if own <= 0.0 {
            return 0.0;
        }
        let all: f64 = self.work.values().sum();
        let less_urgent = self.work.iter().filter(|(other, _)| **other > urgency);
        let less_urgent: f64 = less_urgent.map(|(_, work)| work).sum();
        let left = excess * all - less_urgent * MOST_REFUSED;
        let in_order = (left / own).clamp(0.0, MOST_REFUSED);
        if excess > MOST_REFUSED {
            excess
        } else {
            in_order
        }
    }
}

/// What a router knows of the work and the streams of each pool.
#[derive(Debug, Default)]
pub(super) struct PoolLoads(HashMap<PoolName, PoolLoad>);

impl PoolLoads {
    /// A caller has asked for a prompt to be served.
    pub fn on_prompt(&mut self, pool: &Pool, urgency: Urgency, prompt: &Prompt) {
        let slots = pool.models.as_ref().map_or(1, |models| models.slots);
        let own = prompt.tokens() - prompt.shared_tokens();
        let load = self.0.entry(pool.name.clone()).or_default();
        load.note_work(urgency, prompt.cost(own, slots));
    }

    /// A request that was answered has left its back end after so long.
    pub fn on_answered(&mut self, pool: &PoolName, stay: Duration) {
        let Some(load) = self.0.get_mut(pool) else {
            return;
        };
        let weight = NEWEST.max(1.0 / f64::from(load.seen.max(1)));
        load.stay = load.stay.mul_f64(1.0 - weight) + stay.mul_f64(weight);
    }

    /// Whether one request is refused; `draw` decides, evenly from 0 to 1.
    pub fn judge(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        urgency: Urgency,
        taken: f64,
        draw: f64,
    ) -> Result<(), ChoiceError> {
        let Some(load) = self.0.get_mut(pool) else {
            return Ok(());
        };
        let excess = load.excess(now, taken);
        let refused = load.refused_part(urgency, excess);
        if draw >= refused {
            return Ok(());
        }
        // What is left of the draw is even from 0 to 1 again.
        let spread = 1.0 - SPREAD + 2.0 * SPREAD * draw / refused;
        Err(ChoiceError::Overloaded(Overload {
            retry_after: load.stay.mul_f64(spread),
            utilization_percent: percent(taken),
            refused_percent: percent(refused),
        }))
    }
}

impl RouterCore {
    /// Refuses a part of the prompts while their pool has too much work.
    pub(super) fn refuse_overload(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: &Prompt,
    ) -> Result<(), ChoiceError> {
        let document = self.view.document();
        let Some(pool) = document.and_then(|document| document.pool(&admission.pool)) else {
            return Ok(());
        };
        let taken = self.endpoints.slot_utilization(now, &pool.name);
        let draw = self.random.random();
        let loads = &mut self.pool_loads;
        let urgency = Urgency::of(admission);
        loads.on_prompt(pool, urgency, prompt);
        loads.judge(now, &pool.name, urgency, taken, draw)
    }

    /// A request that was answered has left its back end after so long.
    pub(super) fn note_stay(&mut self, instance: &InstanceId, stay: Duration) {
        if let Some(endpoint) = self.endpoints.get(instance) {
            let pool = PoolName::new(endpoint.record.pool.as_str());
            self.pool_loads.on_answered(&pool, stay);
        }
    }
}

fn percent(part: f64) -> u32 {
    (part * 100.0).round() as u32
}

#[cfg(test)]
#[path = "overload_tests.rs"]
mod tests;
