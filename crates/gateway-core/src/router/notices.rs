//! What back ends said of themselves to this router, and what it does when none of a pool is left.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;

use super::candidate::Candidate;
use super::{Admission, Backoff, ChoiceError, Prompt, RouterCore};
use crate::{BackEndNotice, InstanceId, RequestRate};

/// A back end that says it leaves gets no requests for so long after it last said so. It ends within seconds, or
/// tens of them while it has long streams; the bound is for one that starts again under its name without control
/// machines having noticed that it was gone.
const LEAVING_HOLDS: Duration = Duration::from_secs(60);
/// Back ends that are gone and had said something; what ends first is forgotten first. A rolling restart that takes
/// two a second away fills a tenth of it within the time that such a word holds.
const MOST_ABSENT: usize = 1_024;
/// After a pause a back end gets so many of a router's requests at once, and one more for each that it accepts. It
/// looks idle, so that all requests of all routers would go there; it would be full at once and ask for the next
/// pause, and a pool that has room for twice its work would not get out of that by itself.
const FIRST_WINDOW: f64 = 1.0;
/// Callers that are refused because all back ends asked for no requests return spread over this part of the time
/// that is left, after it has passed; see docs/design/back-end-notices.md for what was tried.
const SPREAD: f64 = 0.5;
/// And over no less than this: a short pause ends for all routers at about the same moment.
const LEAST_SPREAD: Duration = Duration::from_millis(200);

/// What one back end said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldNotices {
    /// It asked for no requests until then.
    backoff_until: Timestamp,
    /// It leaves, and is taken to until then.
    leaves_until: Timestamp,
    /// After a pause, how many of this router's requests it is given at once; `None` when there is no such bound.
    window: Option<Window>,
    /// The limit that it named.
    limit: Option<HeldLimit>,
}

/// A limit that a back end named.
#[derive(Clone, Copy, Debug)]
struct HeldLimit {
    rate: RequestRate,
    /// When it was named last.
    named: Timestamp,
}

/// Requests that a back end is given at once: few at first, one more for each that it accepts up to half of what was
/// too many, and from there one more for each time that it has accepted as many (slow start and additive increase,
/// RFC 5681 §3.1).
#[derive(Clone, Copy, Debug)]
struct Window {
    size: f64,
    /// Half of the requests that it had when it asked for a pause last.
    threshold: f64,
}

impl Window {
    fn after_pause(in_flight: u32) -> Self {
        Self {
            size: FIRST_WINDOW,
            threshold: (f64::from(in_flight) / 2.0).max(FIRST_WINDOW),
        }
    }

    fn on_accepted(&mut self) {
        self.size += if self.size < self.threshold {
            1.0
        } else {
            1.0 / self.size
        };
    }
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeChange {
    /// The back end has asked for no requests, for longer than before.
    pub backs_off: bool,
    /// It is known to leave from now on.
    pub leaves: bool,
    /// The limit that it names is another one than before.
    pub limit: Option<LimitChange>,
}

/// How a limit that a back end names has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It names this one.
    Named(RequestRate),
    /// It names none any more.
    Ended,
}

impl HeldNotices {
    pub fn take_in(
        &mut self,
        now: Timestamp,
        notice: BackEndNotice,
        asked: Timestamp,
        in_flight: u32,
    ) -> NoticeChange {
        let mut change = NoticeChange {
            limit: self.take_in_limit(now, notice.limit, asked),
            ..NoticeChange::default()
        };
        if let Some(retry_after) = notice.retry_after {
            let until = now.plus(retry_after);
            change.backs_off = until > self.backoff_until;
            self.backoff_until = self.backoff_until.max(until);
            self.window = Some(Window::after_pause(in_flight));
        }
        if notice.is_leaving {
            change.leaves = self.leaves_until <= now;
            self.leaves_until = now.plus(LEAVING_HOLDS);
        }
        change
    }

    /// A limit that falls is in force at once. One that rises or ends is so only by an answer to a request that was
    /// sent after the limit was named last: answers overtake one another.
    fn take_in_limit(
        &mut self,
        now: Timestamp,
        named: Option<RequestRate>,
        asked: Timestamp,
    ) -> Option<LimitChange> {
        let held = self.limit;
        let is_newer = held.is_none_or(|held| asked >= held.named);
        let Some(rate) = named else {
            let ends = held.is_some() && is_newer;
            self.limit = held.filter(|_| !ends);
            return ends.then_some(LimitChange::Ended);
        };
        let rate = match held {
            Some(held) if held.rate < rate && !is_newer => held.rate,
            _ => rate,
        };
        self.limit = Some(HeldLimit { rate, named: now });
        let is_changed = held.is_none_or(|held| held.rate != rate);
        is_changed.then_some(LimitChange::Named(rate))
    }

    /// The limit that it named, as long as it does.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// False while it is to get nothing, whatever else there is to choose from.
    pub fn allow_requests(&self, now: Timestamp) -> bool {
        self.backoff_until <= now && self.leaves_until <= now
    }

    /// False while it has as many of this router's requests as it is given at once after a pause.
    pub fn have_room(&self, in_flight: u32) -> bool {
        self.window
            .is_none_or(|window| f64::from(in_flight) < window.size.floor())
    }

    /// It accepted a request; that a stream has begun suffices. One that has accepted as many at once as it has slots
    /// is as well as any other.
    pub fn on_accepted(&mut self, slots: u32) {
        if let Some(window) = &mut self.window {
            window.on_accepted();
        }
        self.window = self.window.filter(|window| window.size <= f64::from(slots));
    }

    /// Whether it said that it leaves.
    pub fn say_it_leaves(&self, now: Timestamp) -> bool {
        self.leaves_until > now
    }

    /// How much longer it wants nothing; `None` when it wants requests, or never will again.
    fn backoff_left(&self, now: Timestamp) -> Option<Duration> {
        let is_pause = self.backoff_until > now && self.leaves_until <= now;
        is_pause.then(|| self.backoff_until.since(now))
    }

    fn ends_at(&self) -> Timestamp {
        self.backoff_until.max(self.leaves_until)
    }
}

/// What back ends said that control machines do not name at present. They may name them again: one that is cut
/// off from them and from no router is removed and comes back, and what it said holds on.
#[derive(Debug, Default)]
pub(super) struct NoticesOfAbsent(BTreeMap<InstanceId, HeldNotices>);

impl NoticesOfAbsent {
    /// A back end is no longer named.
    pub fn keep(&mut self, instance: InstanceId, notices: HeldNotices) {
        if notices.ends_at() > Timestamp::default() {
            self.0.insert(instance, notices);
        }
        if self.0.len() > MOST_ABSENT {
            let ends = self.0.iter().map(|(id, notices)| (notices.ends_at(), id));
            let first = ends.min().map(|(_, id)| id.clone());
            if let Some(first) = first {
                self.0.remove(&first);
            }
        }
    }

    /// It is named again.
    pub fn restore(&mut self, instance: &InstanceId) -> HeldNotices {
        self.0.remove(instance).unwrap_or_default()
    }

    /// It answered a request that was sent before.
    pub fn take_in(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        notice: BackEndNotice,
        asked: Timestamp,
    ) -> NoticeChange {
        self.0.retain(|_, notices| notices.ends_at() > now);
        let notices = self.0.entry(instance.clone()).or_default();
        notices.take_in(now, notice, asked, 0)
    }
}

impl RouterCore {
    /// When all back ends that could take a request have asked for no requests: until when. For the answer to one
    /// that was sent to the last of them.
    pub fn backoff_of_all(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
    ) -> Option<ChoiceError> {
        let draw = self.random.random();
        let none_left = self.candidates(now, admission, prompt).is_empty();
        let reason = none_left.then(|| self.none_takes_requests(now, admission, prompt, draw));
        reason.filter(|reason| matches!(reason, ChoiceError::BackedOff(_)))
    }

    /// Why no back end of a pool takes a request. When all have asked for no requests, its caller is told when the
    /// first of them takes some again: holding the request until then would let it die with this router, and
    /// sending it all the same would be turned away.
    pub(super) fn none_takes_requests(
        &self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        draw: u64,
    ) -> ChoiceError {
        let eligible = self.eligible(now, admission, prompt);
        let left = eligible.iter();
        let left = left.filter_map(|candidate| candidate.endpoint.notices.backoff_left(now));
        let mut left: Vec<Duration> = left.collect();
        let is_at_window = |candidate: &&Candidate<'_>| {
            let endpoint = candidate.endpoint;
            endpoint.notices.allow_requests(now) && !endpoint.takes_requests(now)
        };
        if eligible.iter().any(|candidate| is_at_window(&candidate)) {
            left.push(Duration::ZERO);
        }
        let Some(soonest) = left.iter().min().copied() else {
            return ChoiceError::NoneReady;
        };
        let spread = soonest.mul_f64(SPREAD).max(LEAST_SPREAD);
        ChoiceError::BackedOff(Backoff {
            back_ends: left.len(),
            soonest,
            retry_after: soonest + spread.mul_f64(draw as f64 / u64::MAX as f64),
        })
    }
}

#[cfg(test)]
#[path = "notices_tests.rs"]
mod tests;
