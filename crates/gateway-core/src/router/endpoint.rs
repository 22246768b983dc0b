//! One back end as one router sees it: requests in flight, what they cost a further one, and until when it is avoided.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use drumshore_core::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::notices::{HeldNotices, Permission};
use super::summary::Summary;
use crate::{InstanceRecord, LoadEntry};

const SHED_PAUSE: Duration = Duration::from_millis(150);
const BROKEN_PAUSE: Duration = Duration::from_millis(400);
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(30);
/// A stream costs those who share its back end about as much as so many tokens to read.
const STREAM_TOKENS: f64 = 60.0;
/// Back ends read prompts in pieces of so many tokens; a short prompt waits for
/// the one that is being read.
const PIECE_TOKENS: f64 = 4_096.0;
/// Part of the reads that wait at a back end which a short prompt pays for all the same: they make
/// each step of its stream longer.
const STALLING_PART: f64 = 0.1;
/// How long a back end that the leader calls silent is avoided. The leader says it again each
/// second until the back end is heard; one message may be late or lost.
const SUSPECT_PAUSE: Duration = Duration::from_secs(2);
/// How long a request stays at a back end that has answered none.
const FIRST_STAY: Duration = Duration::from_millis(800);
/// The weight of the newest answer in the mean time that requests stay.
const STAY_WEIGHT: f64 = 0.1;
/// The weight of the newest answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// How a request left its back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The back end answered that it failed.
    Failed,
    /// The back end turned it away: it has not run.
    Shed,
    /// Another incarnation listens there: it has not run.
    Misdirected,
    /// The back end holds other weights than expected: it has not run.
    OtherWeights,
    /// No connection came about: it has not run.
    Unreachable,
    /// All connections that this router may have there are in use: it has not run.
    NoFreeConnection,
    /// The back end asked for no requests while this one waited for a connection: it was not sent.
    Withheld,
    /// The connection broke, or bytes came that are no answer.
    Broken,
    /// No answer within the time that was left.
    TimedOut,
    /// The caller left, or the router gave up for a reason of its own.
    Abandoned,
}

impl Outcome {
    /// False when nothing of the request went out.
    fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::Unreachable | Self::NoFreeConnection | Self::Withheld
        )
    }
}

/// What a request that is to be placed makes of the load of back ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Newcomer {
    /// It is read in one piece, between the pieces of long prompts.
    pub is_short: bool,
    /// How long the pool's streams keep their slots on the mean, in tokens that could be read
    /// meanwhile.
    pub stream_length: f64,
}

/// A back end.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub record: Rc<InstanceRecord>,
    pub summary: Summary,
    /// Of its name; the low half is [`LoadEntry::key_of`].
    pub name_hash: u64,
    pub key: u32,
    /// Requests of this router.
    pub in_flight: u32,
    /// Tokens of this router's prompts that were sent and not answered.
    pub pending_tokens: u32,
    /// What the other routers put on it.
    pub others: LoadEntry,
    pub avoided_until: Timestamp,
    /// Smoothed share of requests that failed there.
    pub failures: f64,
    unreachable_in_a_row: u32,
    pub misdirected_until: Timestamp,
    /// How long this router's requests stay there, on the mean.
    stay: Duration,
    /// What it said of itself to this router.
    pub notices: HeldNotices,
    /// When bytes of an answer came last; shared with the answers that are passed on.
    pub last_received_at: Rc<Cell<Timestamp>>,
}

impl Endpoint {
    /// One that is new, and what it said of itself before.
    pub fn new(record: &Rc<InstanceRecord>, notices: HeldNotices) -> Self {
        Self {
            record: Rc::clone(record),
            summary: Summary::of(record),
            name_hash: xxh3_64(record.instance.as_str().as_bytes()),
            key: LoadEntry::key_of(record.instance.as_str()),
            in_flight: 0,
            pending_tokens: 0,
            others: LoadEntry::default(),
            avoided_until: Timestamp::default(),
            failures: 0.0,
            unreachable_in_a_row: 0,
            misdirected_until: Timestamp::default(),
            stay: FIRST_STAY,
            notices,
            last_received_at: Rc::default(),
        }
    }

    pub fn note_outcome(&mut self, now: Timestamp, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !outcome.was_sent() {
            self.notices.on_not_sent(now);
        }
        let pause = match outcome {
            Outcome::Answered => {
                self.unreachable_in_a_row = 0;
                self.note(false);
                return;
            }
            Outcome::Abandoned | Outcome::Withheld => return,
            Outcome::Failed => {
                self.note(true);
                return;
            }
            Outcome::Shed | Outcome::OtherWeights | Outcome::NoFreeConnection => SHED_PAUSE,
            Outcome::Broken => {
                self.note(true);
                BROKEN_PAUSE
            }
            Outcome::TimedOut | Outcome::Unreachable => {
                self.note(true);
                self.longer_pause()
            }
            Outcome::Misdirected => {
                self.misdirected_until = now.plus(MISDIRECTED_PAUSE);
                MISDIRECTED_PAUSE
            }
        };
        self.avoided_until = self.avoided_until.max(now.plus(pause));
    }

    /// Whether it may be sent a request, by what it said of itself to this router.
    pub fn permission(&self, now: Timestamp) -> Permission {
        self.notices.permission(now, self.in_flight)
    }

    /// False while what it said of itself to this router keeps requests from it.
    pub fn takes_requests(&self, now: Timestamp) -> bool {
        self.permission(now) == Permission::Granted
    }

    /// True while it names a limit. Copies of runs and fetches of cached parts are work that it has no room for, and
    /// that no answer to this router counts.
    pub fn is_limited(&self) -> bool {
        self.notices.limit().is_some()
    }

    pub fn note_stay(&mut self, stay: Duration) {
        self.stay = self.stay.mul_f64(1.0 - STAY_WEIGHT) + stay.mul_f64(STAY_WEIGHT);
    }

    pub fn avoid_as_silent(&mut self, now: Timestamp) {
        self.avoided_until = self.avoided_until.max(now.plus(SUSPECT_PAUSE));
        self.unreachable_in_a_row = self.unreachable_in_a_row.max(1);
    }

    /// False once it could not be reached, until it answers again.
    pub fn is_reachable(&self) -> bool {
        self.unreachable_in_a_row == 0
    }

    pub fn has_load_of_others(&self) -> bool {
        self.others.pending > 0 || self.others.in_flight > 0
    }

    /// Requests of all routers, as far as they have told.
    pub fn all_in_flight(&self) -> u32 {
        self.in_flight + u32::from(self.others.in_flight)
    }

    /// Requests that it runs at once: no more than stay there at the rate that it limits itself to (Little's law).
    /// It has few requests and would look idle otherwise.
    pub fn slots(&self) -> u32 {
        let slots = self.record.slots.max(1);
        let limit = self.notices.limit();
        limit.map_or(slots, |rate| {
            let at_once = rate.as_per_second() * self.stay.as_secs_f64();
            (at_once.ceil() as u32).clamp(1, slots)
        })
    }

    /// Tokens of prompts of all routers that are still to be read.
    fn all_pending_tokens(&self) -> u32 {
        self.pending_tokens + u32::from(self.others.pending) * LoadEntry::TOKENS
    }

    /// What the requests of all routers there cost a further one, in tokens to be read.
    pub fn cost_of_load(&self, newcomer: Newcomer) -> f64 {
        let pending = f64::from(self.all_pending_tokens());
        let reads_first = if newcomer.is_short {
            pending.min(PIECE_TOKENS) + pending * STALLING_PART
        } else {
            pending
        };
        let streams = f64::from(self.all_in_flight()) * STREAM_TOKENS;
        reads_first + streams + self.wait_for_slot(newcomer.stream_length)
    }

    /// What a further request waits until one of those before it has ended and left its slot.
    fn wait_for_slot(&self, stream_length: f64) -> f64 {
        let slots = self.slots();
        let before = (self.all_in_flight() + 1).saturating_sub(slots);
        f64::from(before) * stream_length / f64::from(slots)
    }

    fn note(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
    }

    fn longer_pause(&mut self) -> Duration {
        let doubled = FIRST_PAUSE * 2_u32.saturating_pow(self.unreachable_in_a_row.min(8));
        self.unreachable_in_a_row += 1;
        doubled.min(LONGEST_PAUSE)
    }
}
