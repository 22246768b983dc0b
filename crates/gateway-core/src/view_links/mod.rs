//! How a router keeps its view of the replicated state current over its links to control machines: which machines it
//! follows, which it pings to confirm the view, and from which it fetches changes. It contains no I/O and no clock.
//!
//! A router sends each control machine a [`Following`], which says whether it subscribes to announcements of changes,
//! to the leader's news, to both or to neither.

mod fetches;
mod pings;
mod sources;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::{Following, Position};

pub use fetches::Progress;

use fetches::Fetches;
use pings::Pings;
use sources::Sources;

/// An action to take on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Send a ping, which asks whether the view is current.
    Ping {
        /// The control machine.
        to: Ipv4Addr,
        /// The sequence number of the ping.
        sequence: u64,
    },
    /// Send what the machine is to announce to this router. Call [`ViewLinks::on_follow_sent`] once it is sent.
    Follow {
        /// The control machine.
        to: Ipv4Addr,
        /// The new subscription.
        following: Following,
    },
    /// Send a fetch. Call [`ViewLinks::on_fetch_sent`] once it is sent.
    Fetch {
        /// The control machine.
        to: Ipv4Addr,
        /// The position of the view.
        position: Position,
        /// Whether the router follows the machine.
        is_followed: bool,
    },
    /// Close the link, on which a ping timed out, and connect again.
    Close {
        /// The control machine.
        to: Ipv4Addr,
    },
}

/// A router's links to control machines.
#[derive(Debug)]
pub struct ViewLinks {
    sources: Sources,
    ping_schedule: Pings,
    fetches: Fetches,
    /// The subscription that was last sent to each linked machine.
    following_sent: BTreeMap<Ipv4Addr, Following>,
}

impl ViewLinks {
    /// Creates the state of a router without links; `seed` should differ between routers.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            sources: Sources::new(zone, seed),
            ping_schedule: Pings::default(),
            fetches: Fetches::default(),
            following_sent: BTreeMap::new(),
        }
    }

    /// A link was established.
    pub fn on_linked(&mut self, address: Ipv4Addr) {
        self.sources.on_linked(address);
        self.ping_schedule.on_linked(address);
        self.following_sent.insert(address, Following::Nothing);
    }

    /// A link was closed: pings and fetches sent on it get no response.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.sources.on_link_ended(address);
        self.ping_schedule.on_link_ended(address);
        self.fetches.on_link_ended(address);
        self.following_sent.remove(&address);
    }

    /// A machine reported its zone.
    pub fn on_zone(&mut self, address: Ipv4Addr, zone: &str) {
        self.sources.on_zone(address, zone);
    }

    /// A machine answered a ping. Returns when the ping was sent; `None` if it is unknown.
    pub fn on_pong(&mut self, from: Ipv4Addr, sequence: u64) -> Option<Timestamp> {
        self.sources.on_answer(from);
        self.ping_schedule.on_answer(from, sequence)
    }

    /// A request waits until the view is confirmed by the answer to a ping that was sent after `after`.
    pub fn await_confirmation(&mut self, after: Timestamp) {
        self.ping_schedule.await_answer(after);
    }

    /// A machine announced its revision, while the view holds `held`. True if this shows that the view, which was
    /// current so far, is behind.
    pub fn on_revision(
        &mut self,
        now: Timestamp,
        from: Ipv4Addr,
        revision: u64,
        held: u64,
    ) -> bool {
        self.fetches.on_revision(now, from, revision, held)
    }

    /// Changes arrived from a machine whose own revision is `newest`.
    pub fn on_changes(&mut self, now: Timestamp, from: Ipv4Addr, newest: u64, progress: Progress) {
        self.fetches.on_changes(now, from, newest, progress);
    }

    /// A subscription was sent to a machine.
    pub fn on_follow_sent(&mut self, to: Ipv4Addr, following: Following) {
        if let Some(sent) = self.following_sent.get_mut(&to) {
            *sent = following;
        }
    }

    /// A fetch was sent to a machine.
    pub fn on_fetch_sent(&mut self, now: Timestamp, to: Ipv4Addr) {
        self.fetches.on_fetch_sent(now, to);
    }

    /// A part of a message arrived from a machine, which is therefore working; the message is not complete yet.
    pub fn on_partial_message(&mut self, now: Timestamp, from: Ipv4Addr) {
        self.fetches.on_partial_message(now, from);
        self.ping_schedule.on_partial_message(now, from);
    }

    /// For how long a newer revision has been known without progress; `None` when none is.
    pub fn behind(&self, now: Timestamp) -> Option<Duration> {
        self.fetches.behind(now)
    }

    /// All actions that are due, for a view at `position`.
    pub fn poll(&mut self, now: Timestamp, position: Position) -> Vec<LinkAction> {
        let timed_out = self.ping_schedule.timed_out(now);
        let mut actions: Vec<LinkAction> = timed_out
            .into_iter()
            .map(|to| LinkAction::Close { to })
            .collect();
        let pings = self.ping_schedule.take_due(now).into_iter();
        actions.extend(pings.map(|(to, sequence)| LinkAction::Ping { to, sequence }));
        for address in self.ping_schedule.unresponsive(now) {
            self.sources.on_unresponsive(address);
        }
        actions.extend(self.follow());
        let followed = self.sources.followed();
        let fetch = self.fetches.due(now, position, &followed);
        actions.extend(fetch.map(|to| LinkAction::Fetch {
            to,
            position,
            is_followed: followed.contains(&to),
        }));
        actions
    }

    /// The subscriptions that differ from those sent last.
    fn follow(&self) -> Vec<LinkAction> {
        let wanted = self.following_sent.iter().filter_map(|(to, sent)| {
            let following = self.sources.following(*to);
            (following != *sent).then_some(LinkAction::Follow { to: *to, following })
        });
        wanted.collect()
    }
}

#[cfg(test)]
mod tests;
