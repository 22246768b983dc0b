//! How fast waiting requests are let in, and what those are told that are refused.

use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;

use super::admission_queue::{PromisedReturn, WaitingRequest};
use super::endpoints::SlotUsage;
use super::overload::{percent, Urgency, REFUSAL_START_UTILIZATION, RETRY_JITTER};
use super::{ChoiceError, Overload, RouterCore};
use crate::PoolName;

/// Time over which the slots that are free now are used up: twice the age of the loads by which routers know them, so
/// that most of what is let in is known before the next free slots are used.
const ROOM_USE_TIME: Duration = Duration::from_millis(500);
/// A request stays in the queue until its predicted start is too late by more than this, because the prediction varies
/// with each arrival.
const PREDICTION_TOLERANCE: Duration = Duration::from_millis(250);
/// A caller that is told to return later than after this part of its remaining time returns then all the same.
const LONGEST_ABSENCE_DIVISOR: u32 = 3;

/// What lets requests into a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Release {
    utilization: f64,
    /// This router's share of the free slots.
    pub free_slots: f64,
    /// Requests per second that this router lets into free slots.
    pub into_room: f64,
}

impl RouterCore {
    /// Lets waiting requests into free slots, and refuses those that can no longer be in time. Called every few
    /// hundredths of a second while requests wait.
    pub fn advance_queues(&mut self, now: Timestamp) {
        for pool in self.admission_queues.pools_with_waiting() {
            let release = self.release(now, &pool);
            let queue = self.admission_queues.queue(&pool);
            let let_in = queue.use_room(now, release.into_room);
            let hopeless = queue.remove_hopeless_late(now, release.into_room > 0.0);
            let urgencies = queue.urgencies();
            self.admission_queues.let_in(let_in);
            self.refuse_waiting(now, &pool, release, hopeless);
            for (urgency, mean_cost) in urgencies {
                let rate = self.release_rate(now, &pool, urgency, mean_cost, release);
                let queue = self.admission_queues.queue(&pool);
                let hopeless = queue.remove_hopeless(now, urgency, rate, PREDICTION_TOLERANCE);
                self.refuse_waiting(now, &pool, release, hopeless);
            }
        }
    }

    fn refuse_waiting(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        release: Release,
        requests: Vec<WaitingRequest>,
    ) {
        for request in requests {
            let error = self.overloaded(now, pool, release, request);
            self.admission_queues.refuse(request.place.ticket, error);
        }
    }

    pub(super) fn release(&self, now: Timestamp, pool: &PoolName) -> Release {
        let usage = self.endpoints.slot_usage(now, pool);
        let free = free_slots(usage) / f64::from(self.router_count.get().max(1));
        let utilization = usage.utilization();
        Release {
            utilization,
            free_slots: free,
            into_room: free / ROOM_USE_TIME.as_secs_f64(),
        }
    }

    /// Cost per second that this router lets in of an urgency, by what the controller admits of the demand and by free
    /// slots.
    pub(super) fn release_rate(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        urgency: Urgency,
        mean_cost: f64,
        release: Release,
    ) -> f64 {
        let loads = &mut self.pool_loads;
        let admitted = loads.admitted_fraction(now, pool, urgency, release.utilization);
        let demand = self.admission_queues.queue(pool).demand(now, urgency);
        demand * admitted + release.into_room * mean_cost
    }

    /// Refuses a request, and promises its caller room at its return.
    pub(super) fn overloaded(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        release: Release,
        request: WaitingRequest,
    ) -> ChoiceError {
        let urgency = request.place.urgency;
        let release_rate = self.release_rate(now, pool, urgency, request.cost, release);
        let loads = &mut self.pool_loads;
        let admitted = loads.admitted_fraction(now, pool, urgency, release.utilization);
        let sample: f64 = self.random.random();
        let spread = 1.0 - RETRY_JITTER + 2.0 * RETRY_JITTER * sample;
        let remaining = request.deadline.since(now);
        let promise = PromisedReturn {
            cost: request.cost,
            release_rate,
            shortest: loads.service_time(pool).mul_f64(spread),
            longest: remaining / LONGEST_ABSENCE_DIVISOR,
            sample,
        };
        let queue = self.admission_queues.queue(pool);
        ChoiceError::Overloaded(Overload {
            retry_after: queue.promise_return(now, urgency, promise),
            utilization_percent: percent(release.utilization),
            refused_percent: percent(1.0 - admitted),
        })
    }
}

/// Slots that may be occupied until the controller refuses requests: beyond that, a slot is needed by what arrives.
fn free_slots(usage: SlotUsage) -> f64 {
    let usable = f64::from(usage.slots) * REFUSAL_START_UTILIZATION;
    (usable - f64::from(usage.occupied)).max(0.0)
}
