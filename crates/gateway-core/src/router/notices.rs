//! Notices that back ends send this router in their answers (backoff, rate limit, leaving), and the error for a
//! request when no back end of its pool accepts one.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;

use super::{Admission, Backoff, ChoiceError, Prompt, RouterCore};
use crate::limits::RateShare;
use crate::{BackEndNotice, InstanceId, PoolName, RequestRate, SoftwareKey};

/// How long a back end gets no requests after it last announced that it is leaving. A leaving back end ends within
/// seconds, or tens of seconds while it has long streams. The limit matters for a back end that restarts under the
/// same name before the control machines notice that it was gone.
const LEAVING_TTL: Duration = Duration::from_secs(60);
/// Removed back ends whose notices are kept; the notices that expire first are dropped first. A rolling restart that
/// removes two back ends per second fills about a tenth of this within [`LEAVING_TTL`].
const MAX_ABSENT: usize = 1_024;
/// How long the limit of a removed back end is kept. A network partition between a back end and the control machines
/// removes the back end from the view of the routers, and it is added again when the partition ends.
const ABSENT_LIMIT_TTL: Duration = Duration::from_secs(60);
/// Initial size of the window after a backoff, in requests in flight. A back end looks idle when its backoff ends.
/// Without a window, all requests of all routers would go to it, it would be full at once and would ask for the next
/// backoff. A pool with room for twice its load would not recover from that by itself.
const INITIAL_WINDOW: f64 = 1.0;
/// Callers that are refused because all back ends asked for a backoff are told to retry after it has ended, spread
/// over this fraction of the time that remains until then.
const RETRY_JITTER: f64 = 0.5;
/// Shortest time over which they are spread, because a short backoff ends for all routers at about the same moment.
const MIN_RETRY_JITTER: Duration = Duration::from_millis(200);

/// Longest time after which a caller is told to retry when back ends limit their request rate. Up to this time, each
/// caller gets a retry time of its own.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(10);

/// The notices of one back end that are in force.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticeState {
    /// The back end asked for no requests until this time.
    backoff_until: Timestamp,
    /// The back end is considered leaving until this time.
    leaving_until: Timestamp,
    /// Limits this router's requests in flight after a backoff; `None` while there is no such limit.
    window: Option<Window>,
    /// The rate limit that the back end announced last.
    limit: Option<AnnouncedLimit>,
}

/// A rate limit that a back end announced.
#[derive(Clone, Debug)]
struct AnnouncedLimit {
    rate: RequestRate,
    /// This router's share of the rate.
    share: RateShare,
    /// When the back end last announced a limit.
    last_announced: Timestamp,
}

/// Whether a back end may be sent a request according to its notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    /// A request may be sent now.
    Granted,
    /// A request may be sent after this time.
    After(Duration),
    /// The window after a backoff is full: the next request may be sent when the back end accepts one in flight.
    WindowFull,
    /// The back end is leaving.
    Never,
}

/// The circumstances in which a notice arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct NoticeContext {
    pub now: Timestamp,
    /// When the request was sent whose answer carries the notice.
    pub request_sent_at: Timestamp,
    /// How many routers share a limit.
    pub routers: u16,
    /// Seed that makes this router's use of its share differ from that of the other routers.
    pub seed: u64,
}

/// Congestion window: the limit on requests in flight to a back end after a backoff. It grows by one per accepted
/// request up to the threshold, and beyond it by one per window of accepted requests (slow start and additive
/// increase, RFC 5681 §3.1).
#[derive(Clone, Copy, Debug)]
struct Window {
    size: f64,
    /// Half of the requests in flight when the back end last asked for a backoff.
    threshold: f64,
}

impl Window {
    fn after_backoff(in_flight: u32) -> Self {
        Self {
            size: INITIAL_WINDOW,
            threshold: (f64::from(in_flight) / 2.0).max(INITIAL_WINDOW),
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

/// What changed with a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeChange {
    /// True when the notice starts a backoff or extends it.
    pub backs_off: bool,
    /// True when the back end was not known to be leaving before.
    pub leaves: bool,
    /// The change of the rate limit, if there is one.
    pub limit: Option<LimitChange>,
}

/// A change of the rate limit that a back end announces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The back end announces this limit.
    Announced(RequestRate),
    /// The back end no longer announces a limit.
    Ended,
}

impl NoticeState {
    pub fn apply(
        &mut self,
        notice: BackEndNotice,
        context: NoticeContext,
        in_flight: u32,
    ) -> NoticeChange {
        let now = context.now;
        let mut change = NoticeChange {
            limit: self.apply_limit(notice.limit, context),
            ..NoticeChange::default()
        };
        if let Some(retry_after) = notice.retry_after {
            let until = now.plus(retry_after);
            change.backs_off = until > self.backoff_until;
            self.backoff_until = self.backoff_until.max(until);
            self.window = Some(Window::after_backoff(in_flight));
        }
        if notice.is_leaving {
            change.leaves = self.leaving_until <= now;
            self.leaving_until = now.plus(LEAVING_TTL);
        }
        change
    }

    /// Sends no further requests for this long, as if the back end had asked for it.
    pub fn pause(&mut self, now: Timestamp, pause: Duration) {
        self.backoff_until = self.backoff_until.max(now.plus(pause));
    }

    /// A lower limit takes effect at once. A higher limit, or the end of the limit, takes effect only if the answer is
    /// to a request that was sent after the limit was last announced, because answers may arrive out of order.
    fn apply_limit(
        &mut self,
        announced: Option<RequestRate>,
        context: NoticeContext,
    ) -> Option<LimitChange> {
        let now = context.now;
        let Some(held) = &mut self.limit else {
            let rate = announced?;
            let (routers, seed) = (context.routers, context.seed);
            let share = RateShare::new(now, rate.as_per_second(), routers, seed);
            let last_announced = now;
            self.limit = Some(AnnouncedLimit {
                rate,
                share,
                last_announced,
            });
            return Some(LimitChange::Announced(rate));
        };
        let is_newer = context.request_sent_at >= held.last_announced;
        let Some(rate) = announced else {
            self.limit.take_if(|_| is_newer)?;
            return Some(LimitChange::Ended);
        };
        held.last_announced = now;
        if rate == held.rate || (rate > held.rate && !is_newer) {
            return None;
        }
        held.rate = rate;
        held.share.set_rate(now, rate.as_per_second());
        Some(LimitChange::Announced(rate))
    }

    /// The rate limit in force, if there is one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.as_ref().map(|limit| limit.rate)
    }

    /// Requests per second that this router may send, or `None` without a limit.
    fn own_rate_per_second(&self) -> Option<f64> {
        let limit = self.limit.as_ref();
        limit.map(|limit| limit.share.per_second())
    }

    /// Changes the number of routers that share the limit.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        if let Some(limit) = &mut self.limit {
            limit.share.set_routers(now, routers);
        }
    }

    /// Charges a request that has been placed at the back end to this router's share of the limit.
    pub fn on_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.share.charge(now);
        }
    }

    /// Pays back the charge of a request that was placed at the back end but not sent.
    pub fn on_not_sent(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.share.pay_back(now);
        }
    }

    /// Whether the back end may be sent a request, and if not, when. `in_flight` counts this router's requests.
    pub fn permission(&self, now: Timestamp, in_flight: u32) -> Permission {
        if self.leaving_until > now {
            return Permission::Never;
        }
        let limit = self.limit.as_ref().filter(|limit| !limit.share.admits(now));
        let limit = limit.map_or(Duration::ZERO, |limit| limit.share.wait(now));
        let wait = self.backoff_until.since(now).max(limit);
        if !wait.is_zero() {
            return Permission::After(wait);
        }
        if self.has_room(in_flight) {
            Permission::Granted
        } else {
            Permission::WindowFull
        }
    }

    /// False during a backoff and while the back end is leaving: requests that were placed there but not sent must
    /// not be sent either. A rate limit does not withhold them, because they were charged when they were placed.
    pub fn allow_requests(&self, now: Timestamp) -> bool {
        self.backoff_until <= now && self.leaving_until <= now
    }

    /// False while this router's requests in flight fill the window after a backoff.
    fn has_room(&self, in_flight: u32) -> bool {
        self.window
            .is_none_or(|window| f64::from(in_flight) < window.size.floor())
    }

    /// The back end accepted a request; for a stream, its start is enough. The window is removed when it exceeds the
    /// back end's slots: the back end then needs no special treatment.
    pub fn on_accepted(&mut self, slots: u32) {
        if let Some(window) = &mut self.window {
            window.on_accepted();
        }
        self.window = self.window.filter(|window| window.size <= f64::from(slots));
    }

    /// Whether the back end has announced that it is leaving.
    pub fn announced_leaving(&self, now: Timestamp) -> bool {
        self.leaving_until > now
    }

    fn expires_at(&self) -> Timestamp {
        let limit = self.limit.as_ref();
        let limit = limit.map_or(Timestamp::default(), |limit| {
            limit.last_announced.plus(ABSENT_LIMIT_TTL)
        });
        self.backoff_until.max(self.leaving_until).max(limit)
    }
}

/// Notices of back ends that the control machines do not list at present. A back end that is cut off from the control
/// machines but not from the routers is removed and added again later, and its notices must stay in force.
#[derive(Debug, Default)]
pub(super) struct AbsentNotices(BTreeMap<InstanceId, NoticeState>);

impl AbsentNotices {
    /// Keeps the notices of a back end that was removed from the view.
    pub fn keep(&mut self, instance: InstanceId, notices: NoticeState) {
        if notices.expires_at() > Timestamp::default() {
            self.0.insert(instance, notices);
        }
        if self.0.len() > MAX_ABSENT {
            let expiries = self
                .0
                .iter()
                .map(|(id, notices)| (notices.expires_at(), id));
            let first = expiries.min().map(|(_, id)| id.clone());
            if let Some(first) = first {
                self.0.remove(&first);
            }
        }
    }

    /// Returns the notices of a back end that was added again, or empty ones.
    pub fn restore(&mut self, instance: &InstanceId) -> NoticeState {
        self.0.remove(instance).unwrap_or_default()
    }

    /// Applies a notice in an answer that arrived after the back end was removed.
    pub fn apply(
        &mut self,
        instance: &InstanceId,
        notice: BackEndNotice,
        context: NoticeContext,
    ) -> NoticeChange {
        self.0
            .retain(|_, notices| notices.expires_at() > context.now);
        let notices = self.0.entry(instance.clone()).or_default();
        notices.apply(notice, context, 0)
    }

    /// Changes the number of routers that share each limit.
    pub fn set_routers(&mut self, now: Timestamp, routers: u16) {
        for notices in self.0.values_mut() {
            notices.set_routers(now, routers);
        }
    }
}

impl RouterCore {
    /// Returns [`ChoiceError::BackedOff`] when every back end that could serve a request is in backoff or has reached
    /// its limit. Used to answer a request whose last attempt failed.
    pub fn pool_backoff(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
    ) -> Option<ChoiceError> {
        let sample = self.random.random();
        let none_left = self.candidates(now, admission, prompt).is_empty();
        let reason =
            none_left.then(|| self.no_candidate_error(now, admission, prompt, sample, None));
        reason.filter(|reason| matches!(reason, ChoiceError::BackedOff(_)))
    }

    /// The error for a request that no back end of its pool accepts at present. When all of them are in backoff or at
    /// their limit, the caller is told when the first of them accepts requests again. Holding the request until then
    /// would lose it if this router crashed. Sending it anyway would get it refused or exceed the back end's capacity.
    pub(super) fn no_candidate_error(
        &mut self,
        now: Timestamp,
        admission: &Admission,
        prompt: Option<&Prompt>,
        sample: u64,
        required: Option<SoftwareKey>,
    ) -> ChoiceError {
        let mut eligible = self.eligible(now, admission, prompt);
        self.retain_required_software(&mut eligible, admission, required);
        let waits = eligible.iter().filter_map(|candidate| {
            let endpoint = candidate.endpoint;
            let brittle_wait = self.brittle_wait(now, endpoint).unwrap_or_default();
            match endpoint.permission(now) {
                Permission::After(wait) => Some(wait.max(brittle_wait)),
                Permission::Granted | Permission::WindowFull => Some(brittle_wait),
                Permission::Never => None,
            }
        });
        let waits: Vec<Duration> = waits.collect();
        let Some(soonest) = waits.iter().min().copied() else {
            return match required {
                None => ChoiceError::NoneReady,
                Some(_) => ChoiceError::NoneOfSoftware,
            };
        };
        let limits = eligible.iter();
        let limits =
            limits.filter_map(|candidate| candidate.endpoint.notices.own_rate_per_second());
        let own_rate_per_second: f64 = limits.sum();
        let sample = sample as f64 / u64::MAX as f64;
        let retry_after = if own_rate_per_second > 0.0 {
            let schedule = &mut self.retry_schedule;
            schedule.next(now, &admission.pool, soonest, own_rate_per_second)
                + MIN_RETRY_JITTER.mul_f64(sample)
        } else {
            soonest
                + soonest
                    .mul_f64(RETRY_JITTER)
                    .max(MIN_RETRY_JITTER)
                    .mul_f64(sample)
        };
        ChoiceError::BackedOff(Backoff {
            back_ends: waits.len(),
            soonest,
            retry_after,
        })
    }
}

/// Assigns retry times to refused callers of pools whose back ends limit their rate. The times are spaced by the rate
/// of this router's share. If all callers were told the same time, only one of them would be served then.
#[derive(Debug, Default)]
pub(super) struct RetrySchedule(BTreeMap<PoolName, Timestamp>);

impl RetrySchedule {
    /// The time until the next refused caller is to retry; `soonest` is the earliest time at which a back end accepts
    /// a request.
    fn next(
        &mut self,
        now: Timestamp,
        pool: &PoolName,
        soonest: Duration,
        own_rate_per_second: f64,
    ) -> Duration {
        let next_free = self.0.entry(pool.clone()).or_default();
        let at = now.plus(soonest).max(*next_free);
        let furthest = now.plus(MAX_RETRY_WAIT.max(soonest));
        let at = at.min(furthest);
        let interval = Duration::try_from_secs_f64(1.0 / own_rate_per_second);
        *next_free = at.plus(interval.unwrap_or(MAX_RETRY_WAIT));
        at.since(now)
    }
}

#[cfg(test)]
#[path = "notices_tests.rs"]
mod tests;
