//! What back ends said of themselves to this router, and what it does when none of a pool is left.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;

use super::{Admission, Backoff, ChoiceError, Prompt, RouterCore};
use crate::limits::RateShare;
use crate::{BackEndNotice, InstanceId, PoolName, RequestRate};

/// A back end that says it leaves gets no requests for so long after it last said so. It ends within seconds, or
/// tens of them while it has long streams; the bound is for one that starts again under its name without control
/// machines having noticed that it was gone.
const LEAVING_HOLDS: Duration = Duration::from_secs(60);
/// Back ends that are gone and had said something; what ends first is forgotten first. A rolling restart that takes
/// two a second away fills a tenth of it within the time that such a word holds.
const MOST_ABSENT: usize = 1_024;
/// A limit of a back end that is gone is remembered for so long: one that a cut keeps from control machines is named
/// again.
const LIMIT_HOLDS_WHILE_ABSENT: Duration = Duration::from_secs(60);
/// After a pause a back end gets so many of a router's requests at once, and one more for each that it accepts. It
/// looks idle, so that all requests of all routers would go there; it would be full at once and ask for the next
/// pause, and a pool that has room for twice its work would not get out of that by itself.
const FIRST_WINDOW: f64 = 1.0;
/// Callers that are refused because all back ends asked for no requests return spread over this part of the time
/// that is left, after it has passed.
const SPREAD: f64 = 0.5;
/// And over no less than this: a short pause ends for all routers at about the same moment.
const LEAST_SPREAD: Duration = Duration::from_millis(200);

/// Callers that are refused because back ends limit what they take are told times at which one after the other has
/// room, no further ahead than this.
const LONGEST_WAIT_FOR_ROOM: Duration = Duration::from_secs(10);

/// What one back end said of itself.
#[derive(Clone, Debug, Default)]
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
#[derive(Clone, Debug)]
struct HeldLimit {
    rate: RequestRate,
    /// What this router may send of it.
    part: RateShare,
    /// When it was named last.
    named: Timestamp,
}

/// Whether a back end may be sent a request, by what it said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    /// Now.
    Granted,
    /// After so long.
    In(Duration),
    /// Once it has accepted one that it has.
    OnceOneIsAccepted,
    /// It leaves.
    Never,
}

/// By what and when a notice came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hearing {
    pub now: Timestamp,
    /// When the request was sent that the notice is in the answer to.
    pub asked: Timestamp,
    /// Routers that share a limit.
    pub routers: u16,
    /// Sets this router's part of a limit apart from the others'.
    pub seed: u64,
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
        notice: BackEndNotice,
        hearing: Hearing,
        in_flight: u32,
    ) -> NoticeChange {
        let now = hearing.now;
        let mut change = NoticeChange {
            limit: self.take_in_limit(notice.limit, hearing),
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
        named: Option<RequestRate>,
        hearing: Hearing,
    ) -> Option<LimitChange> {
        let now = hearing.now;
        let Some(held) = &mut self.limit else {
            let rate = named?;
            let (routers, seed) = (hearing.routers, hearing.seed);
            let part = RateShare::new(now, rate.as_per_second(), routers, seed);
            let named = now;
            self.limit = Some(HeldLimit { rate, part, named });
            return Some(LimitChange::Named(rate));
        };
        let is_newer = hearing.asked >= held.named;
        let Some(rate) = named else {
            self.limit.take_if(|_| is_newer)?;
            return Some(LimitChange::Ended);
        };
        held.named = now;
        if rate == held.rate || (rate > held.rate && !is_newer) {
            return None;
        }
        held.rate = rate;
        held.part.set_rate(now, rate.as_per_second());
        Some(LimitChange::Named(rate))
    }

    /// The limit that it named, as long as it does.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.as_ref().map(|limit| limit.rate)
    }

    /// Requests a second that this router may send it, while it names a limit.
    fn own_rate(&self) -> Option<f64> {
        let limit = self.limit.as_ref();
        limit.map(|limit| limit.part.per_second())
    }

    /// So many routers share its limit from now on.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        if let Some(limit) = &mut self.limit {
            limit.part.set_routers(now, routers);
        }
    }

    /// A request goes to it.
    pub fn on_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.part.charge(now);
        }
    }

    /// A request that was to go to it did not.
    pub fn on_not_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.part.pay_back(now);
        }
    }

    /// Whether it may be sent a request, and if not, when. `in_flight` is what it has of this router.
    pub fn permission(&self, now: Timestamp, in_flight: u32) -> Permission {
        if self.leaves_until > now {
            return Permission::Never;
        }
        let limit = self.limit.as_ref().filter(|limit| !limit.part.admits(now));
        let limit = limit.map_or(Duration::ZERO, |limit| limit.part.wait(now));
        let wait = self.backoff_until.since(now).max(limit);
        if !wait.is_zero() {
            return Permission::In(wait);
        }
        if self.have_room(in_flight) {
            Permission::Granted
        } else {
            Permission::OnceOneIsAccepted
        }
    }

    /// False while it is to get nothing, also of what was to be sent before. A limit is no such word: what was chosen
    /// for it was charged.
    pub fn allow_requests(&self, now: Timestamp) -> bool {
        self.backoff_until <= now && self.leaves_until <= now
    }

    /// False while it has as many of this router's requests as it is given at once after a pause.
    fn have_room(&self, in_flight: u32) -> bool {
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

    fn ends_at(&self) -> Timestamp {
        let limit = self.limit.as_ref();
        let limit = limit.map_or(Timestamp::default(), |limit| {
            limit.named.plus(LIMIT_HOLDS_WHILE_ABSENT)
        });
        self.backoff_until.max(self.leaves_until).max(limit)
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
        instance: &InstanceId,
        notice: BackEndNotice,
        hearing: Hearing,
    ) -> NoticeChange {
        self.0.retain(|_, notices| notices.ends_at() > hearing.now);
        let notices = self.0.entry(instance.clone()).or_default();
        notices.take_in(notice, hearing, 0)
    }

    /// So many routers share limits from now on.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        for notices in self.0.values_mut() {
            notices.set_routers(now, routers);
        }
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

    /// Why no back end of a pool takes a request. When all have asked for no requests, or have got what they take,
    /// its caller is told when the first of them takes some again: holding the request until then would let it die
    /// with this router, and sending it all the same would be turned away, or more than the back end has room for.
    pub(super) fn none_takes_requests(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        draw: u64,
    ) -> ChoiceError {
        let eligible = self.eligible(now, admission, prompt);
        let waits = eligible.iter().filter_map(|candidate| {
            let endpoint = candidate.endpoint;
            match endpoint.permission(now) {
                Permission::In(wait) => Some(wait),
                Permission::Granted | Permission::OnceOneIsAccepted => Some(Duration::ZERO),
                Permission::Never => None,
            }
        });
        let waits: Vec<Duration> = waits.collect();
        let Some(soonest) = waits.iter().min().copied() else {
            return ChoiceError::NoneReady;
        };
        let limits = eligible.iter();
        let limits = limits.filter_map(|candidate| candidate.endpoint.notices.own_rate());
        let own_rate: f64 = limits.sum();
        let draw = draw as f64 / u64::MAX as f64;
        let retry_after = if own_rate > 0.0 {
            let room = &mut self.room_under_limits;
            room.next(now, &admission.pool, soonest, own_rate) + LEAST_SPREAD.mul_f64(draw)
        } else {
            soonest + soonest.mul_f64(SPREAD).max(LEAST_SPREAD).mul_f64(draw)
        };
        ChoiceError::BackedOff(Backoff {
            back_ends: waits.len(),
            soonest,
            retry_after,
        })
    }
}

/// When callers that were refused return to pools whose back ends limit what they take: one after the other, as this
/// router's part of the limits has room. Were all told of the next moment, one of them would be served then.
#[derive(Debug, Default)]
pub(super) struct RoomUnderLimits(BTreeMap<PoolName, Timestamp>);

impl RoomUnderLimits {
    /// When the next caller has room, who was refused now; `soonest` is when the first has.
    fn next(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        soonest: Duration,
        own_rate: f64,
    ) -> Duration {
        let taken = self.0.entry(pool.clone()).or_default();
        let at = now.plus(soonest).max(*taken);
        let furthest = now.plus(LONGEST_WAIT_FOR_ROOM.max(soonest));
        let at = at.min(furthest);
        let one_request = Duration::try_from_secs_f64(1.0 / own_rate);
        *taken = at.plus(one_request.unwrap_or(LONGEST_WAIT_FOR_ROOM));
        at.since(now)
    }
}

#[cfg(test)]
#[path = "notices_tests.rs"]
mod tests;
