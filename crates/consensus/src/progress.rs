//! What a leader knows of each other replica.

use crate::LogIndex;

/// How a replica is being fed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Feed {
    /// Its position is unknown: one message at a time.
    Probe,
    /// Its position is known: messages follow one another without waiting.
    Pipeline,
    /// It gets a snapshot, of which `offset` bytes have arrived.
    Snapshot { index: LogIndex, offset: u64 },
}

/// One replica as its leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last position known to be stored there and equal.
    pub matched: LogIndex,
    /// The next position to send.
    pub next: LogIndex,
    /// How it is fed.
    pub feed: Feed,
    /// Messages sent and not answered.
    pub in_flight: usize,
    /// When it was last heard, in the leader's ticks.
    pub heard_at: u64,
    /// Ticks since the last message went out while it waits for an answer.
    pub stalled_ticks: u64,
}

impl Progress {
    pub fn new(next: LogIndex, now: u64) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            feed: Feed::Probe,
            in_flight: 0,
            heard_at: now,
            stalled_ticks: 0,
        }
    }

    /// True when another message may be sent.
    pub fn may_send(&self, window: usize) -> bool {
        match self.feed {
            Feed::Probe => self.in_flight == 0,
            Feed::Pipeline => self.in_flight < window,
            Feed::Snapshot { .. } => self.in_flight == 0,
        }
    }

    /// The replica has stored everything up to `index`.
    pub fn accepted(&mut self, index: LogIndex) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.stalled_ticks = 0;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        let past_snapshot = match self.feed {
            Feed::Snapshot { index, .. } => self.matched >= index,
            Feed::Probe | Feed::Pipeline => true,
        };
        if past_snapshot {
            self.feed = Feed::Pipeline;
        }
    }

    /// The replica's log does not reach or differs; `hint` is where to try next.
    pub fn rejected(&mut self, hint: LogIndex) {
        self.in_flight = 0;
        self.stalled_ticks = 0;
        self.feed = Feed::Probe;
        self.next = hint.max(self.matched.next());
    }

    /// Messages are lost: start again from what is known.
    pub fn restart(&mut self) {
        self.in_flight = 0;
        self.stalled_ticks = 0;
        if self.feed == Feed::Pipeline {
            self.feed = Feed::Probe;
            self.next = self.matched.next();
        }
    }
}
