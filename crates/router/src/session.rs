//! The router's link to a control machine: choice of the machine, reconnection, and detection of a
//! link whose updates are stale.

use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Identifies one connection attempt, so that late messages of an earlier one are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Parameters of the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SessionParams {
    /// Number of control machines.
    pub(crate) peer_count: usize,
    /// A link is closed if no quorum confirmation arrived through it for this long.
    pub(crate) stale_after: Duration,
    /// Upper bound of the random delay before the next attempt. The delay is random so that routers
    /// that lost the same machine don't reconnect at the same time.
    pub(crate) max_reconnect_delay: Duration,
}

/// An action for the owner of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionAction {
    /// Open a link to the control machine with index `peer`.
    Connect { link: LinkId, peer: usize },
    /// Close this link.
    Close(LinkId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down { retry_at: Timestamp },
    Opening { since: Timestamp },
    Up { fresh_at: Timestamp },
}

#[derive(Clone, Debug)]
pub(crate) struct ControlSession {
    params: SessionParams,
    state: State,
    link: LinkId,
    peer: usize,
}

impl ControlSession {
    /// Starts disconnected; the first tick opens a link to `first_peer`, modulo the number of
    /// machines.
    pub(crate) fn new(params: SessionParams, first_peer: usize) -> Self {
        let peer = first_peer % params.peer_count.max(1);
        Self {
            params,
            state: State::Down {
                retry_at: Timestamp(0),
            },
            link: LinkId(0),
            peer,
        }
    }

    /// The open link, if there is one.
    pub(crate) fn connected_link(&self) -> Option<LinkId> {
        matches!(self.state, State::Up { .. }).then_some(self.link)
    }

    pub(crate) fn on_tick(
        &mut self,
        now: Timestamp,
        random: &mut ChaCha8Rng,
    ) -> Vec<SessionAction> {
        let mut actions = Vec::new();
        let overdue = match self.state {
            State::Down { .. } => false,
            State::Opening { since } | State::Up { fresh_at: since } => {
                now.since(since) > self.params.stale_after
            }
        };
        if overdue {
            actions.push(SessionAction::Close(self.link));
            self.schedule_reconnect(now, random);
        }
        if let State::Down { retry_at } = self.state {
            if retry_at <= now {
                self.link = LinkId(self.link.0 + 1);
                self.state = State::Opening { since: now };
                actions.push(SessionAction::Connect {
                    link: self.link,
                    peer: self.peer,
                });
            }
        }
        actions
    }

    /// Returns true if the link is the one being opened, false if it is outdated.
    pub(crate) fn on_connected(&mut self, link: LinkId, now: Timestamp) -> bool {
        let expected = link == self.link && matches!(self.state, State::Opening { .. });
        if expected {
            self.state = State::Up { fresh_at: now };
        }
        expected
    }

    pub(crate) fn on_closed(&mut self, link: LinkId, now: Timestamp, random: &mut ChaCha8Rng) {
        if link == self.link && !matches!(self.state, State::Down { .. }) {
            self.schedule_reconnect(now, random);
        }
    }

    /// Records a quorum confirmation received through the link.
    pub(crate) fn on_fresh(&mut self, now: Timestamp) {
        if let State::Up { fresh_at } = &mut self.state {
            *fresh_at = now;
        }
    }

    fn schedule_reconnect(&mut self, now: Timestamp, random: &mut ChaCha8Rng) {
        let longest_us = self.params.max_reconnect_delay.as_micros() as u64;
        let delay = Duration::from_micros(random.random_range(0..=longest_us));
        self.peer = (self.peer + 1) % self.params.peer_count.max(1);
        self.state = State::Down {
            retry_at: now.plus(delay),
        };
    }
}
