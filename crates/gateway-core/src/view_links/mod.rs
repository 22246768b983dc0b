//! How a router keeps its view of the replicated state current, over its links to control machines: which of them it
//! follows, whom it asks whether the view is current, and whom it asks for changes. Without I/O or a clock.

mod fetches;
mod questions;
mod sources;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::{Following, Position};

pub use fetches::Progress;

use fetches::Fetches;
use questions::Questions;
use sources::Sources;

/// What is to be done on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Ask whether the view is current.
    Ping {
        /// Whom.
        to: Ipv4Addr,
        /// The number of the question.
        sequence: u64,
    },
    /// Say what this router is to be told. [`ViewLinks::on_follow_sent`] follows once that is sent.
    Follow {
        /// To whom.
        to: Ipv4Addr,
        /// What.
        following: Following,
    },
    /// Fetch changes. [`ViewLinks::on_fetch_sent`] follows once that is sent.
    Fetch {
        /// Whom.
        to: Ipv4Addr,
        /// What the view holds.
        position: Position,
        /// Whether the machine is followed.
        is_followed: bool,
    },
    /// End the link, which got no answer, and dial again.
    Close {
        /// To whom it leads.
        to: Ipv4Addr,
    },
}

/// A router's links to control machines.
#[derive(Debug)]
pub struct ViewLinks {
    sources: Sources,
    questions: Questions,
    fetches: Fetches,
    /// What each machine was told last that this router follows.
    told: BTreeMap<Ipv4Addr, Following>,
}

impl ViewLinks {
    /// Of a router in a zone; `seed` should differ from router to router.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            sources: Sources::new(zone, seed),
            questions: Questions::default(),
            fetches: Fetches::default(),
            told: BTreeMap::new(),
        }
    }

    /// A link has come up.
    pub fn on_linked(&mut self, address: Ipv4Addr) {
        self.sources.on_linked(address);
        self.questions.on_linked(address);
        self.told.insert(address, Following::Nothing);
    }

    /// A link has ended: nothing that was asked on it is answered any more.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.sources.on_link_ended(address);
        self.questions.on_link_ended(address);
        self.fetches.on_link_ended(address);
        self.told.remove(&address);
    }

    /// A machine said which zone it is in.
    pub fn on_zone(&mut self, address: Ipv4Addr, zone: &str) {
        self.sources.on_zone(address, zone);
    }

    /// A question whether the view is current was answered. Gives when it was asked.
    pub fn on_pong(&mut self, from: Ipv4Addr, sequence: u64) -> Option<Timestamp> {
        self.sources.on_answer(from);
        self.questions.on_answer(from, sequence)
    }

    /// A machine spoke of its revision, while the view holds one. True when the router learns by it that it is
    /// behind.
    pub fn on_revision(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        revision: u64,
        held: u64,
    ) -> bool {
        self.fetches.on_revision(now, from, revision, held)
    }

    /// Changes have come from a machine that has the revision `newest`.
    pub fn on_changes(&mut self, now: Timestamp, from: Ipv4Addr, newest: u64, progress: Progress) {
        self.fetches.on_changes(now, from, newest, progress);
    }

    /// A machine was sent what it is to tell.
    pub fn on_follow_sent(&mut self, to: Ipv4Addr, following: Following) {
        if let Some(told) = self.told.get_mut(&to) {
            *told = following;
        }
    }

    /// A machine was sent a fetch.
    pub fn on_fetch_sent(&mut self, now: Timestamp, to: Ipv4Addr) {
        self.fetches.on_fetch_sent(now, to);
    }

    /// For how long a newer revision has been known without progress; `None` when none is.
    pub fn behind(&self, now: Timestamp) -> Option<Duration> {
        self.fetches.behind(now)
    }

    /// All that is due, by a view that holds a position.
    pub fn poll(&mut self, now: Timestamp, position: Position) -> Vec<LinkAction> {
        let silent = self.questions.silent(now);
        let mut steps: Vec<LinkAction> = silent
            .into_iter()
            .map(|to| LinkAction::Close { to })
            .collect();
        let pings = self.questions.take_due(now).into_iter();
        steps.extend(pings.map(|(to, sequence)| LinkAction::Ping { to, sequence }));
        for address in self.questions.unresponsive(now) {
            self.sources.on_unresponsive(address);
        }
        steps.extend(self.follow());
        let followed = self.sources.followed();
        let fetch = self.fetches.due(now, position, &followed);
        steps.extend(fetch.map(|to| LinkAction::Fetch {
            to,
            position,
            is_followed: followed.contains(&to),
        }));
        steps
    }

    /// What machines are to be told that is not what they were told last.
    fn follow(&self) -> Vec<LinkAction> {
        let wanted = self.told.iter().filter_map(|(to, told)| {
            let following = self.sources.following(*to);
            (following != *told).then_some(LinkAction::Follow { to: *to, following })
        });
        wanted.collect()
    }
}

#[cfg(test)]
mod tests;
