//! Admission of prompts to an overloaded pool: a request is let in, waits at this router, or is refused.
//!
//! A request that the overload controller does not admit waits if it can be answered in time after waiting. It is let
//! in by what the controller admits of the requests that arrive after it, and by slots that become free. As demand it
//! is counted once, when it arrives.

use std::time::Duration;

use drumshore_core::Timestamp;

use super::admission_queue::{Place, WaitTicket, WaitingRequest};
use super::admission_release::Release;
use super::overload::Urgency;
use super::{Admission, ChoiceError, Prompt, RouterCore};
use crate::{PoolName, RequestFingerprint};

/// A request that will be late waits for at most this part of the time that its caller has left.
const LONGEST_LATE_WAIT_DIVISOR: u32 = 3;

/// What a request brings besides its route and prompt.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its head was received.
    pub received: Timestamp,
    /// When its caller gives up.
    pub deadline: Timestamp,
    /// Memory that its body takes while it waits.
    pub body_bytes: usize,
    /// Its fingerprint; `None` when crashes are not tracked for it.
    pub fingerprint: Option<RequestFingerprint>,
    /// False while the router is stopping.
    pub may_wait: bool,
}

/// What is done with a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A back end is to be chosen for it now.
    LetIn,
    /// It waits until a [`super::WaitDecision`] names its ticket.
    Waits(WaitTicket, WaitEstimate),
    /// It is refused; the estimate tells why it did not wait.
    Refused(ChoiceError, Option<WaitEstimate>),
}

/// What a request has to expect from waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Requests before it.
    pub position: usize,
    /// Time for which it can wait and still be answered in time; if it will be late anyway, for which it may wait.
    pub slack: Duration,
    /// Time until it is let in.
    pub wait: Duration,
    /// It will be late, so it is let in only when no other request waits.
    pub is_late: bool,
}

/// A request that is considered for waiting.
struct Candidate<'a> {
    pool: &'a PoolName,
    release: Release,
    request: WaitingRequest,
    estimate: WaitEstimate,
}

impl Candidate<'_> {
    fn is_worth_waiting(&self) -> bool {
        let is_room_in_sight = !self.estimate.is_late || self.release.into_room > 0.0;
        is_room_in_sight && self.estimate.wait <= self.estimate.slack
    }
}

impl RouterCore {
    /// Decides whether a request that has arrived is let in, waits or is refused. One that is let in, now or by a later
    /// decision, continues with [`RouterCore::choose_let_in`].
    pub fn enter(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        arrival: Arrival,
    ) -> Entry {
        self.budget.on_request(now, &admission.pool);
        // For a quarantined request, the choice of a back end decides.
        let Some(prompt) = prompt.filter(|_| !self.is_quarantined(arrival.fingerprint)) else {
            return Entry::LetIn;
        };
        let drawn = self.refuse_overload(now, admission, prompt);
        let Some(cost) = self.cost_if_queued(admission, prompt) else {
            return drawn.map_or_else(|error| Entry::Refused(error, None), |()| Entry::LetIn);
        };
        let Arrival {
            received, deadline, ..
        } = arrival;
        let limit = deadline.since(received);
        let asked = self
            .time_limits
            .first_asked(&admission.route, received, limit);
        let urgency = Urgency::of(admission);
        let queue = self.admission_queues.queue(&admission.pool);
        queue.record_arrival(now, urgency, cost, asked < received);
        if drawn.is_ok() && !queue.has_waiting(urgency) {
            return Entry::LetIn;
        }
        let candidate = self.candidate(now, admission, prompt, arrival, asked, cost);
        // One that will be late takes no turn from others, and none of them needs its own.
        if drawn.is_ok() && (candidate.estimate.is_late || !arrival.may_wait) {
            return Entry::LetIn;
        }
        self.queue_or_refuse(now, &candidate, drawn.is_ok(), arrival.may_wait)
    }

    /// Puts a request into the queue if that is worth while. One that the controller has admitted brings credit for the
    /// first in the queue, which may be itself.
    fn queue_or_refuse(
        &mut self,
        now: Timestamp,
        candidate: &Candidate<'_>,
        is_admitted: bool,
        may_wait: bool,
    ) -> Entry {
        let request = candidate.request;
        let Place {
            urgency, ticket, ..
        } = request.place;
        let has_room = self.admission_queues.have_room_for(request.body_bytes);
        let waits = may_wait && has_room && candidate.is_worth_waiting();
        let queue = self.admission_queues.queue(candidate.pool);
        if waits {
            queue.insert(request, candidate.release.free_slots);
        }
        let let_in = if is_admitted {
            queue.grant(now, urgency, request.cost)
        } else {
            Vec::new()
        };
        let is_let_in = let_in.contains(&ticket);
        let others = let_in.into_iter().filter(|other| *other != ticket);
        self.admission_queues.let_in(others);
        if is_let_in {
            Entry::LetIn
        } else if waits {
            Entry::Waits(ticket, candidate.estimate)
        } else {
            let error = self.overloaded(now, candidate.pool, candidate.release, request);
            Entry::Refused(error, Some(candidate.estimate))
        }
    }

    /// Removes a request whose caller has left.
    pub fn leave_queue(&mut self, ticket: WaitTicket) {
        self.admission_queues.remove(ticket);
    }

    /// Removes all waiting requests, because the router is stopping; returns their tickets.
    pub fn stop_waiting(&mut self) -> Vec<WaitTicket> {
        self.admission_queues.take_all()
    }

    /// Number of waiting requests by pool.
    pub fn waiting_requests(&self) -> impl Iterator<Item = (&PoolName, usize)> {
        self.admission_queues.lengths()
    }

    /// Takes the decisions about waiting requests that were made since the last call.
    pub fn take_wait_decisions(&mut self) -> Vec<super::WaitDecision> {
        self.admission_queues.take_decisions()
    }

    /// Records the time from sending a request to the beginning of its answer.
    pub fn record_time_to_answer(
        &mut self,
        admission: &Admission,
        prompt: &Prompt,
        took: Duration,
    ) {
        if self.cost_if_queued(admission, prompt).is_some() {
            self.service_prediction
                .record(&admission.route, prompt, took);
        }
    }

    /// The cost of a request that takes part in queueing: to a pool of models, on a route with a target.
    fn cost_if_queued(&self, admission: &Admission, prompt: &Prompt) -> Option<f64> {
        let models = self.pool(admission)?.models.as_ref()?;
        let own = prompt.tokens() - prompt.shared_tokens();
        let cost = prompt.cost(own, models.slots);
        (!admission.route.target.is_zero()).then_some(cost)
    }

    fn candidate<'a>(
        &mut self,
        now: Timestamp,
        admission: &'a Admission,
        prompt: &Prompt,
        arrival: Arrival,
        asked: Timestamp,
        cost: f64,
    ) -> Candidate<'a> {
        let pool = &admission.pool;
        let urgency = Urgency::of(admission);
        let service_time = self.service_prediction.predict(&admission.route, prompt);
        let in_time_until = asked.plus(admission.route.target);
        let latest_start = before(in_time_until.min(arrival.deadline), service_time);
        let is_late = latest_start <= now;
        let latest_start = if is_late {
            let latest = before(arrival.deadline, service_time);
            now.plus(latest.since(now) / LONGEST_LATE_WAIT_DIVISOR)
        } else {
            latest_start
        };
        let place = Place {
            is_late,
            urgency,
            latest_start,
            ticket: self.admission_queues.new_ticket(),
        };
        let release = self.release(now, pool);
        let release_rate = self.release_rate(now, pool, urgency, cost, release);
        let queue = self.admission_queues.queue(pool);
        let (predicted_wait, wait) = if is_late {
            let wait = queue.predicted_late_wait(&place, release.into_room);
            (wait, wait)
        } else {
            let is_new = asked >= arrival.received;
            let predicted = if is_new {
                queue.predicted_wait_of_new(now, &place, cost, release_rate)
            } else {
                queue.predicted_wait(&place, cost, release_rate)
            };
            (predicted, queue.corrected(predicted))
        };
        let estimate = WaitEstimate {
            position: queue.position(&place),
            slack: latest_start.since(now),
            wait,
            is_late,
        };
        Candidate {
            pool,
            release,
            request: WaitingRequest {
                place,
                cost,
                body_bytes: arrival.body_bytes,
                deadline: arrival.deadline,
                entered: now,
                predicted_wait,
            },
            estimate,
        }
    }
}

fn before(time: Timestamp, by: Duration) -> Timestamp {
    Timestamp(time.0.saturating_sub(by.as_micros() as u64))
}

#[cfg(test)]
#[path = "admission_control_tests.rs"]
mod tests;
