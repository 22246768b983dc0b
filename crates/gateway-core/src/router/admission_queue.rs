//! Requests for one pool that wait at this router while the pool is overloaded.
//!
//! The overload controller admits a fraction of the load of each urgency. What it admits is granted to the urgency as
//! credit, and the credit goes to the waiting request that has to start first. Requests of one urgency thus start in
//! the order of their latest start, an earliest-deadline-first queue: a request that has waited precedes an equal one
//! that has just arrived, so none starves.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use drumshore_core::Timestamp;

use super::decaying_rate::DecayingRate;
use super::expected_returns::ExpectedReturns;
use super::overload::Urgency;
use super::wait_error::WaitError;

/// Longest wait that is predicted.
const MAX_PREDICTED_WAIT: Duration = Duration::from_secs(60);
/// Fraction by which the retry times of refused callers are spread.
const RETRY_SPREAD: f64 = 0.3;

/// Identifies a waiting request at its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket(pub(super) u64);

/// A place in the queue; lower ones are let in first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// The request will be late; those that can be in time precede it.
    pub is_late: bool,
    pub urgency: Urgency,
    /// Time by which the request must be sent to be answered in time; of a late one, until which it waits.
    pub latest_start: Timestamp,
    pub ticket: WaitTicket,
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub place: Place,
    /// Cost for a back end, in tokens to prefill.
    pub cost: f64,
    /// Memory that its body takes.
    pub body_bytes: usize,
    /// The caller gives up at this time.
    pub deadline: Timestamp,
    pub entered: Timestamp,
    /// Before correction.
    pub predicted_wait: Duration,
}

/// The requests of one urgency.
#[derive(Debug, Default)]
struct Class {
    /// Cost that the controller has admitted and that no request has used yet. Negative after a request that cost
    /// more than was granted.
    credit: f64,
    /// Cost of the requests that arrive, per second.
    demand: DecayingRate,
    /// Cost of all waiting requests.
    waiting_cost: f64,
    waiting: usize,
    returns: ExpectedReturns,
}

/// The waiting requests of one pool, and what decides when they are let in.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    waiting: BTreeMap<Place, WaitingRequest>,
    places: HashMap<WaitTicket, Place>,
    classes: BTreeMap<Urgency, Class>,
    /// Requests that free slots allow besides those that the controller grants.
    room: f64,
    advanced_at: Timestamp,
    wait_error: WaitError,
}

impl AdmissionQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.waiting
            .values()
            .map(|request| request.body_bytes)
            .sum()
    }

    /// True while a request of this urgency waits that can be in time.
    pub fn has_waiting(&self, urgency: Urgency) -> bool {
        let class = self.classes.get(&urgency);
        class.is_some_and(|class| class.waiting > 0)
    }

    /// Records a request that has arrived, whether it waits or not. `is_return` tells that its caller has been refused
    /// before.
    pub fn record_arrival(&mut self, now: Timestamp, urgency: Urgency, cost: f64, is_return: bool) {
        let class = self.classes.entry(urgency).or_default();
        class.demand.add(now, cost);
        if is_return {
            class.returns.record_return(now, cost);
        }
    }

    /// Cost per second of the requests of this urgency that arrive.
    pub fn demand(&self, now: Timestamp, urgency: Urgency) -> f64 {
        let class = self.classes.get(&urgency);
        class.map_or(0.0, |class| class.demand.per_second(now))
    }

    /// Cost that is let in before a request at this place: of waiting requests of its urgency, and of the debt.
    pub fn cost_ahead(&self, place: &Place) -> f64 {
        let before = self.waiting.range(first_place(place.urgency)..*place);
        let ahead: f64 = before.map(|(_, request)| request.cost).sum();
        let credit = self
            .classes
            .get(&place.urgency)
            .map_or(0.0, |class| class.credit);
        (ahead - credit).max(0.0)
    }

    /// Time until a request at this place is let in at `release_rate`, as cost per second.
    pub fn predicted_wait(&self, place: &Place, cost: f64, release_rate: f64) -> Duration {
        wait_for(self.cost_ahead(place) + cost, release_rate)
    }

    /// Like [`AdmissionQueue::predicted_wait`], for a caller that has not been refused before. Those that return while
    /// it would wait have less time left and precede it.
    pub fn predicted_wait_of_new(
        &mut self,
        now: Timestamp,
        place: &Place,
        cost: f64,
        release_rate: f64,
    ) -> Duration {
        let ahead = self.cost_ahead(place) + cost;
        let class = self.classes.entry(place.urgency).or_default();
        let without_returns = wait_for(ahead, release_rate);
        let returning = class.returns.cost_until(now, now.plus(without_returns));
        wait_for(ahead + returning, release_rate)
    }

    /// A predicted wait with the error that predictions have had.
    pub fn corrected(&self, predicted_wait: Duration) -> Duration {
        self.wait_error.corrected(predicted_wait)
    }

    /// Time until a late request at this place is let in when `per_second` requests are let into free slots.
    pub fn predicted_late_wait(&self, place: &Place, per_second: f64) -> Duration {
        wait_for((self.position(place) + 1) as f64, per_second)
    }

    /// Number of requests that are before this place.
    pub fn position(&self, place: &Place) -> usize {
        self.waiting.range(..*place).count()
    }

    /// Adds a request. `free_slots` is this router's share of the free slots, which the first one may use at once.
    pub fn insert(&mut self, request: WaitingRequest, free_slots: f64) {
        if self.waiting.is_empty() {
            self.advanced_at = request.entered;
            self.room = free_slots.min(1.0);
        }
        let place = request.place;
        if !place.is_late {
            let class = self.classes.entry(place.urgency).or_default();
            class.waiting_cost += request.cost;
            class.waiting += 1;
        }
        self.places.insert(place.ticket, place);
        self.waiting.insert(place, request);
    }

    /// Removes a request whose caller has left, or that is let in or refused.
    pub fn remove(&mut self, ticket: WaitTicket) -> Option<WaitingRequest> {
        let place = self.places.remove(&ticket)?;
        let request = self.waiting.remove(&place)?;
        let class = self.classes.get_mut(&place.urgency);
        if let Some(class) = class.filter(|_| !place.is_late) {
            class.waiting -= 1;
            class.waiting_cost -= request.cost;
            if class.waiting == 0 {
                class.waiting_cost = 0.0;
                class.credit = 0.0;
            }
        }
        Some(request)
    }

    /// Removes a request that is let in or refused, and records how long it waited.
    fn end_wait(&mut self, now: Timestamp, ticket: WaitTicket) -> Option<WaitingRequest> {
        let request = self.remove(ticket)?;
        let waited = now.since(request.entered);
        if !request.place.is_late {
            self.wait_error.record(request.predicted_wait, waited);
        }
        Some(request)
    }

    /// The controller has admitted a request of this cost. Returns the waiting requests that this lets in.
    pub fn grant(&mut self, now: Timestamp, urgency: Urgency, cost: f64) -> Vec<WaitTicket> {
        let class = self.classes.entry(urgency).or_default();
        if class.waiting > 0 {
            class.credit += cost;
        }
        let mut let_in = Vec::new();
        while let Some(ticket) = self.next_with_credit(urgency) {
            let_in.push(ticket);
            let request = self.end_wait(now, ticket);
            let class = self.classes.entry(urgency).or_default();
            if class.waiting > 0 {
                class.credit -= request.map_or(0.0, |request| request.cost);
            }
        }
        let_in
    }

    fn next_with_credit(&self, urgency: Urgency) -> Option<WaitTicket> {
        let class = self.classes.get(&urgency)?;
        if class.credit <= 0.0 || class.waiting == 0 {
            return None;
        }
        let mut places = self.waiting.range(first_place(urgency)..);
        places.next().map(|(place, _)| place.ticket)
    }

    /// Lets in waiting requests of any urgency, `per_second` of them, because slots are free.
    pub fn use_room(&mut self, now: Timestamp, per_second: f64) -> Vec<WaitTicket> {
        let elapsed = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        self.room = if per_second > 0.0 {
            self.room + per_second * elapsed
        } else {
            0.0
        };
        let mut let_in = Vec::new();
        while self.room >= 1.0 {
            let Some(ticket) = self.waiting.keys().next().map(|place| place.ticket) else {
                break;
            };
            self.room -= 1.0;
            self.end_wait(now, ticket);
            let_in.push(ticket);
        }
        self.room = self.room.min(1.0);
        let_in
    }

    /// The urgencies of the waiting requests, and the mean cost of those.
    pub fn urgencies(&self) -> Vec<(Urgency, f64)> {
        let waiting = self.classes.iter().filter(|(_, class)| class.waiting > 0);
        let mean = |class: &Class| class.waiting_cost / class.waiting as f64;
        waiting
            .map(|(urgency, class)| (*urgency, mean(class)))
            .collect()
    }

    /// Removes the requests of an urgency that can no longer start in time when `release_rate` of it is let in, as cost
    /// per second. One whose predicted start is too late by up to `tolerance` stays.
    pub fn remove_hopeless(
        &mut self,
        now: Timestamp,
        urgency: Urgency,
        release_rate: f64,
        tolerance: Duration,
    ) -> Vec<WaitingRequest> {
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        let of_urgency = self.waiting.range(first_place(urgency)..);
        let is_in_class = |place: &Place| !place.is_late && place.urgency == urgency;
        for (place, request) in of_urgency.take_while(|(place, _)| is_in_class(place)) {
            let start = now.plus(wait_for(ahead, release_rate));
            if place.latest_start <= now || start > place.latest_start.plus(tolerance) {
                hopeless.push(*request);
            } else {
                ahead += request.cost;
            }
        }
        self.end_waits(now, hopeless)
    }

    /// Removes the late requests that have waited for long enough, or all of them when no slot is free.
    pub fn remove_hopeless_late(&mut self, now: Timestamp, has_room: bool) -> Vec<WaitingRequest> {
        let late = self.waiting.iter().rev();
        let late = late.take_while(|(place, _)| place.is_late);
        let hopeless = late.filter(|(place, _)| !has_room || place.latest_start <= now);
        let hopeless = hopeless.map(|(_, request)| *request).collect();
        self.end_waits(now, hopeless)
    }

    fn end_waits(&mut self, now: Timestamp, requests: Vec<WaitingRequest>) -> Vec<WaitingRequest> {
        for request in &requests {
            self.end_wait(now, request.place.ticket);
        }
        requests
    }

    /// Takes all requests out of the queue.
    pub fn take_all(&mut self) -> Vec<WaitTicket> {
        let tickets: Vec<WaitTicket> = self.waiting.keys().map(|place| place.ticket).collect();
        for ticket in &tickets {
            self.remove(*ticket);
        }
        tickets
    }

    /// Time after which a refused caller of this urgency finds room: when the requests that wait, and the callers that
    /// were promised room before, have been let in.
    pub fn promise_return(
        &mut self,
        now: Timestamp,
        urgency: Urgency,
        promise: PromisedReturn,
    ) -> Duration {
        let class = self.classes.entry(urgency).or_default();
        let returning = class.returns.cost_until(now, now.plus(promise.longest));
        let ahead = class.waiting_cost + returning - class.credit;
        let until_room = wait_for(ahead, promise.release_rate).min(promise.longest);
        let after = until_room.mul_f64(1.0 - RETRY_SPREAD * promise.sample);
        let after = after.max(promise.shortest).min(promise.longest);
        class.returns.promise(now.plus(after), promise.cost);
        after
    }
}

/// What decides when a refused caller is told to return.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromisedReturn {
    /// Cost of its request.
    pub cost: f64,
    /// Cost per second that is let in of its urgency.
    pub release_rate: f64,
    pub shortest: Duration,
    /// The latest time at which the caller returns; also the answer when no room is in sight.
    pub longest: Duration,
    /// A random sample in [0, 1).
    pub sample: f64,
}

fn first_place(urgency: Urgency) -> Place {
    Place {
        is_late: false,
        urgency,
        latest_start: Timestamp::default(),
        ticket: WaitTicket(0),
    }
}

/// Time until this cost has been let in.
pub(super) fn wait_for(cost: f64, release_rate: f64) -> Duration {
    if cost <= 0.0 {
        return Duration::ZERO;
    }
    let longest = MAX_PREDICTED_WAIT.as_secs_f64();
    Duration::from_secs_f64((cost / release_rate.max(f64::MIN_POSITIVE)).min(longest))
}

#[cfg(test)]
#[path = "admission_queue_tests.rs"]
mod tests;
