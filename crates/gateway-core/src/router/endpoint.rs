//! The state that one router keeps for one back end: its load, the cost that this load adds to a further request,
//! and the time until which the router avoids it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::notices::{NoticeState, Permission};
use super::speed_class::SpeedClass;
use super::summary::Summary;
use crate::back_end_speed::LoadAhead;
use crate::{InstanceRecord, LoadEntry};

// Cooldowns: the router avoids a back end for this long after an attempt ended in this way. The cooldown after a
// connection failure or timeout doubles with each further one in a row, from the minimum to the maximum.
const SHED_COOLDOWN: Duration = Duration::from_millis(150);
const BROKEN_COOLDOWN: Duration = Duration::from_millis(400);
const MIN_UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(500);
const MAX_UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(5);
const LIMIT_EXCEEDED_COOLDOWN: Duration = Duration::from_secs(10);
const MISDIRECTED_COOLDOWN: Duration = Duration::from_secs(30);
/// Back ends prefill prompts in chunks of this many tokens. A short prompt waits for the chunk in progress.
const PREFILL_CHUNK_TOKENS: f64 = 4_096.0;
/// Fraction of a back end's waiting prefill tokens that also adds to the cost of a short prompt, because
/// prefilling them makes each step of its stream longer.
const PREFILL_STALL_FRACTION: f64 = 0.1;
/// Cooldown of a back end that the leader reports as unresponsive. The leader repeats the report each second
/// until the back end responds, and one message may be late or lost.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(2);
/// Assumed mean service time of a back end that has not answered a request yet.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(800);
/// Weight of the newest request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Weight of the newest request in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// How a request ended at its back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The back end answered it completely.
    Answered,
    /// The back end answered with an error of its own.
    Failed,
    /// The back end refused it without running it.
    Shed,
    /// Another incarnation is listening at the address; the request has not run.
    Misdirected,
    /// The back end holds other weights than expected; the request has not run.
    OtherWeights,
    /// No connection could be established; the request has not run.
    Unreachable,
    /// All connections that this router may have to the back end are in use; the request has not run.
    NoFreeConnection,
    /// The back end asked for a backoff, or began to leave, while the request waited for a connection; the request was
    /// not sent.
    Withheld,
    /// The connection broke, or the response was malformed.
    Broken,
    /// The response exceeded a limit on what a back end may send.
    LimitExceeded,
    /// No complete response before the deadline.
    TimedOut,
    /// The client disconnected, or the router gave up for a reason unrelated to the back end.
    Abandoned,
}

impl Outcome {
    /// False for outcomes where no byte of the request was sent.
    fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::Unreachable | Self::NoFreeConnection | Self::Withheld
        )
    }
}

/// A back end as this router sees it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub record: Rc<InstanceRecord>,
    pub summary: Summary,
    /// Hash of its name; the low half is [`LoadEntry::key_of`].
    pub name_hash: u64,
    pub key: u32,
    /// Requests of this router in flight at the back end.
    pub in_flight: u32,
    /// Prefill of this router's requests whose response has not begun, in tokens without any before them that take
    /// as long.
    pub pending_tokens: u32,
    /// The time that it takes for a piece of work, relative to the mean of its pool.
    pub time_factor: f64,
    /// The factor on a coarse scale; see [`SpeedClass`].
    pub speed_class: SpeedClass,
    /// Load that the other routers put on it, as last reported.
    pub others: LoadEntry,
    pub avoided_until: Timestamp,
    /// Moving average of the fraction of requests that failed there.
    pub failure_rate: f64,
    unreachable_in_a_row: u32,
    /// When the first of the failures in a row occurred.
    unreachable_since: Timestamp,
    pub misdirected_until: Timestamp,
    /// Moving average of the time that this router's requests spend there.
    service_time: Duration,
    /// The status headers that it sent to this router: backoff, leaving and rate limit.
    pub notices: NoticeState,
    /// Time at which response bytes were last received; shared with the responses being relayed.
    pub last_received_at: Rc<Cell<Timestamp>>,
}

impl Endpoint {
    /// A back end that control machines have just announced; `notices` are those that it sent before.
    pub fn new(record: &Rc<InstanceRecord>, notices: NoticeState) -> Self {
        Self {
            record: Rc::clone(record),
            summary: Summary::of(record),
            name_hash: xxh3_64(record.instance.as_str().as_bytes()),
            key: LoadEntry::key_of(record.instance.as_str()),
            in_flight: 0,
            pending_tokens: 0,
            time_factor: 1.0,
            speed_class: SpeedClass::default(),
            others: LoadEntry::default(),
            avoided_until: Timestamp::default(),
            failure_rate: 0.0,
            unreachable_in_a_row: 0,
            unreachable_since: Timestamp::default(),
            misdirected_until: Timestamp::default(),
            service_time: INITIAL_SERVICE_TIME,
            notices,
            last_received_at: Rc::default(),
        }
    }

    pub fn record_outcome(&mut self, now: Timestamp, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !outcome.was_sent() {
            self.notices.on_not_sent(now);
        }
        let cooldown = match outcome {
            Outcome::Answered => {
                self.unreachable_in_a_row = 0;
                self.update_failure_rate(false);
                return;
            }
            Outcome::Abandoned | Outcome::Withheld => return,
            Outcome::Failed => {
                self.update_failure_rate(true);
                return;
            }
            Outcome::Shed | Outcome::OtherWeights | Outcome::NoFreeConnection => SHED_COOLDOWN,
            Outcome::Broken => {
                self.update_failure_rate(true);
                BROKEN_COOLDOWN
            }
            Outcome::LimitExceeded => {
                self.update_failure_rate(true);
                LIMIT_EXCEEDED_COOLDOWN
            }
            Outcome::TimedOut | Outcome::Unreachable => {
                self.update_failure_rate(true);
                self.next_unreachable_cooldown(now)
            }
            Outcome::Misdirected => {
                self.misdirected_until = now.plus(MISDIRECTED_COOLDOWN);
                MISDIRECTED_COOLDOWN
            }
        };
        self.avoided_until = self.avoided_until.max(now.plus(cooldown));
    }

    /// Whether the back end's notices to this router permit a further request.
    pub fn permission(&self, now: Timestamp) -> Permission {
        self.notices.permission(now, self.in_flight)
    }

    /// False while its notices to this router forbid further requests.
    pub fn takes_requests(&self, now: Timestamp) -> bool {
        self.permission(now) == Permission::Granted
    }

    /// True while it announces a rate limit. Copies of runs and fetches from its cache are load that its limit leaves
    /// no room for and that no answer to this router accounts for.
    pub fn is_limited(&self) -> bool {
        self.notices.limit().is_some()
    }

    pub fn record_service_time(&mut self, service_time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT)
            + service_time.mul_f64(SERVICE_TIME_WEIGHT);
    }

    pub fn avoid_as_unresponsive(&mut self, now: Timestamp) {
        self.avoided_until = self.avoided_until.max(now.plus(UNRESPONSIVE_COOLDOWN));
        self.count_unreachable(now, self.unreachable_in_a_row.max(1));
    }

    fn count_unreachable(&mut self, now: Timestamp, in_a_row: u32) {
        if self.is_reachable() {
            self.unreachable_since = now;
        }
        self.unreachable_in_a_row = in_a_row;
    }

    /// Whether it was reachable until a moment ago.
    pub fn became_unreachable_within(&self, now: Timestamp, recently: Duration) -> bool {
        !self.is_reachable() && now.since(self.unreachable_since) <= recently
    }

    /// Forgets that it could not be reached.
    pub fn forget_failures(&mut self) {
        if !self.is_reachable() {
            self.unreachable_in_a_row = 0;
            self.failure_rate = 0.0;
            self.avoided_until = Timestamp::default();
        }
    }

    /// False after a connection failure, a timeout or a report that it is unresponsive, until it answers again.
    pub fn is_reachable(&self) -> bool {
        self.unreachable_in_a_row == 0
    }

    pub fn has_load_of_others(&self) -> bool {
        self.others.pending > 0 || self.others.in_flight > 0
    }

    /// Requests of all routers in flight, as far as the others have reported.
    pub fn all_in_flight(&self) -> u32 {
        self.in_flight + u32::from(self.others.in_flight)
    }

    /// Number of requests that it runs at once. Under a rate limit this is at most the rate times the mean service
    /// time (Little's law); otherwise a limited back end, which has few requests, would look idle.
    pub fn slots(&self) -> u32 {
        let slots = self.record.slots.max(1);
        let limit = self.notices.limit();
        limit.map_or(slots, |rate| {
            let at_once = rate.as_per_second() * self.service_time.as_secs_f64();
            (at_once.ceil() as u32).clamp(1, slots)
        })
    }

    /// Prompt tokens of all routers that wait for prefill.
    pub fn all_pending_tokens(&self) -> u32 {
        self.pending_tokens + u32::from(self.others.pending) * LoadEntry::TOKENS
    }

    /// The load that a further request meets.
    pub fn load(&self) -> LoadAhead {
        LoadAhead {
            pending_tokens: self.all_pending_tokens(),
            in_flight: self.all_in_flight(),
            slots: self.slots(),
        }
    }

    /// Prefill of other prompts that a further one waits for, in tokens. The back end could prefill
    /// `since_report` tokens since the other routers reported theirs, so little is left of a small load.
    pub fn tokens_ahead(&self, is_short: bool, since_report: f64) -> f64 {
        let others = f64::from(u32::from(self.others.pending) * LoadEntry::TOKENS);
        let left = others * others / (others + since_report).max(1.0);
        let pending = f64::from(self.pending_tokens) + left;
        if is_short {
            pending.min(PREFILL_CHUNK_TOKENS) + pending * PREFILL_STALL_FRACTION
        } else {
            pending
        }
    }

    /// How many times all slots have to become free before a further request gets one.
    pub fn slot_releases_ahead(&self) -> f64 {
        let slots = self.slots();
        let before = (self.all_in_flight() + 1).saturating_sub(slots);
        f64::from(before) / f64::from(slots)
    }

    /// Records how long it takes for a piece of work, relative to the mean of its pool.
    pub fn set_time_factor(&mut self, factor: f64) {
        self.time_factor = factor;
        self.speed_class = self.speed_class.updated(factor);
    }

    fn update_failure_rate(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_WEIGHT * (sample - self.failure_rate);
    }

    fn next_unreachable_cooldown(&mut self, now: Timestamp) -> Duration {
        let doubled =
            MIN_UNREACHABLE_COOLDOWN * 2_u32.saturating_pow(self.unreachable_in_a_row.min(8));
        self.count_unreachable(now, self.unreachable_in_a_row + 1);
        doubled.min(MAX_UNREACHABLE_COOLDOWN)
    }
}
