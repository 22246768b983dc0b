//! The leader's replication progress for each other member.

use crate::LogIndex;

/// How the leader currently replicates to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressState {
    /// The matching position is unknown: one message is in flight at a time.
    Probe,
    /// The matching position is known: messages are sent without waiting for replies.
    Pipeline,
    /// The member receives the snapshot up to `index` and has acknowledged `offset` bytes of it.
    Snapshot { index: LogIndex, offset: u64 },
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last position known to be stored by the member and to match the leader's log.
    pub matched: LogIndex,
    /// The next position to send.
    pub next: LogIndex,
    /// How the leader replicates to the member.
    pub state: ProgressState,
    /// Messages sent and not yet answered.
    pub in_flight: usize,
    /// The leader's tick count when the member last replied, or when its progress was created.
    pub last_response_tick: u64,
    /// Ticks without a reply to entries or a snapshot chunk while messages are in flight.
    pub stalled_ticks: u64,
}

impl Progress {
    pub fn new(next: LogIndex, now: u64) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            state: ProgressState::Probe,
            in_flight: 0,
            last_response_tick: now,
            stalled_ticks: 0,
        }
    }

    /// True when the in-flight limit allows another message.
    pub fn may_send(&self, window: usize) -> bool {
        match self.state {
            ProgressState::Probe => self.in_flight == 0,
            ProgressState::Pipeline => self.in_flight < window,
            ProgressState::Snapshot { .. } => self.in_flight == 0,
        }
    }

    /// Records that the member has stored all entries up to `index`.
    pub fn accepted(&mut self, index: LogIndex) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.stalled_ticks = 0;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        let past_snapshot = match self.state {
            ProgressState::Snapshot { index, .. } => self.matched >= index,
            ProgressState::Probe | ProgressState::Pipeline => true,
        };
        if past_snapshot {
            self.state = ProgressState::Pipeline;
        }
    }

    /// Records that the member's log is too short or conflicts. `hint` is the position to send from
    /// next.
    pub fn rejected(&mut self, hint: LogIndex) {
        self.in_flight = 0;
        self.stalled_ticks = 0;
        self.state = ProgressState::Probe;
        self.next = hint.max(self.matched.next());
    }

    /// Treats all messages in flight as lost and resumes after the last matching position.
    pub fn restart(&mut self) {
        self.in_flight = 0;
        self.stalled_ticks = 0;
        if self.state == ProgressState::Pipeline {
            self.state = ProgressState::Probe;
            self.next = self.matched.next();
        }
    }
}
