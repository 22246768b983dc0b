//! The router's one link to a control machine: which, since when, and whether it is still
//! worth listening to.

use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Names one attempt at a connection, so that what an earlier one says late is not heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// How links are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SessionParams {
    /// Control machines to choose from.
    pub(crate) peers: usize,
    /// A link is left when the quorum has not spoken through it for this long.
    pub(crate) stale_after: Duration,
    /// The longest pause before the next attempt; drawn at random, so that routers that lost the
    /// same machine do not return in step.
    pub(crate) max_pause: Duration,
}

/// What to do about the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionAction {
    /// Open a link to this control machine.
    Connect { link: LinkId, peer: usize },
    /// Close a link.
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
    /// Starts down; the first tick opens a link to `first_peer`.
    pub(crate) fn new(params: SessionParams, first_peer: usize) -> Self {
        let peer = first_peer % params.peers.max(1);
        Self {
            params,
            state: State::Down {
                retry_at: Timestamp(0),
            },
            link: LinkId(0),
            peer,
        }
    }

    /// The link that is up.
    pub(crate) fn up(&self) -> Option<LinkId> {
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
            self.go_down(now, random);
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

    /// True when the link is the one that was asked for.
    pub(crate) fn on_connected(&mut self, link: LinkId, now: Timestamp) -> bool {
        let expected = link == self.link && matches!(self.state, State::Opening { .. });
        if expected {
            self.state = State::Up { fresh_at: now };
        }
        expected
    }

    pub(crate) fn on_closed(&mut self, link: LinkId, now: Timestamp, random: &mut ChaCha8Rng) {
        if link == self.link && !matches!(self.state, State::Down { .. }) {
            self.go_down(now, random);
        }
    }

    /// The quorum spoke through the link.
    pub(crate) fn on_fresh(&mut self, now: Timestamp) {
        if let State::Up { fresh_at } = &mut self.state {
            *fresh_at = now;
        }
    }

    fn go_down(&mut self, now: Timestamp, random: &mut ChaCha8Rng) {
        let longest = self.params.max_pause.as_micros() as u64;
        let pause = Duration::from_micros(random.random_range(0..=longest));
        self.peer = (self.peer + 1) % self.params.peers.max(1);
        self.state = State::Down {
            retry_at: now.plus(pause),
        };
    }
}
