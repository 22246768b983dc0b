//! Which control machines a router follows: they announce changes to it and are asked for them.
//!
//! State that every router asks of any control machine crosses zones once for each router. So a router follows
//! machines of its own zone, and others only while none there answers. It keeps links to all of them, for a
//! confirmed view and for loads; those carry little.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Following;

/// Machines that are followed: one, and one that goes on when the first is lost.
const MOST_FOLLOWED: usize = 2;

/// The control machines that this router is linked to.
#[derive(Debug)]
pub struct Sources {
    zone: String,
    /// Sets routers apart that have to choose among machines of other zones.
    seed: u64,
    linked: BTreeMap<Ipv4Addr, Machine>,
    /// Machines that let a question wait and have answered none since, on whichever link.
    unresponsive: BTreeSet<Ipv4Addr>,
}

/// A linked control machine.
#[derive(Debug, Default)]
struct Machine {
    /// As it said; `None` before.
    zone: Option<String>,
    /// It has answered a question on this link, so it hears a leader.
    answers: bool,
}

impl Sources {
    /// For a router in a zone; `seed` should differ from router to router.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            seed,
            linked: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
        }
    }

    /// A link has come up.
    pub fn on_linked(&mut self, address: Ipv4Addr) {
        self.linked.entry(address).or_default();
    }

    /// A machine said which zone it is in.
    pub fn on_zone(&mut self, address: Ipv4Addr, zone: &str) {
        self.linked.entry(address).or_default().zone = Some(zone.to_owned());
    }

    /// A machine has answered whether this router's view is current.
    pub fn on_answer(&mut self, address: Ipv4Addr) {
        self.linked.entry(address).or_default().answers = true;
        self.unresponsive.remove(&address);
    }

    /// A machine lets a question wait.
    pub fn on_unresponsive(&mut self, address: Ipv4Addr) {
        self.unresponsive.insert(address);
    }

    /// A link has ended.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.linked.remove(&address);
    }

    /// What this machine is to tell.
    pub fn following(&self, address: Ipv4Addr) -> Following {
        let has_news = self.source_of_news() == Some(address);
        match (self.followed().contains(&address), has_news) {
            (true, true) => Following::ChangesAndNews,
            (true, false) => Following::Changes,
            (false, true) => Following::News,
            (false, false) => Following::Nothing,
        }
    }

    /// The first of the own zone that hears a leader, or of the others while none there does. News would come
    /// twice from two machines, and not at all from one that is cut off from the leader.
    fn source_of_news(&self) -> Option<Ipv4Addr> {
        let answering = self.responsive().filter(|(_, machine)| machine.answers);
        self.ranked(answering).into_iter().next()
    }

    /// Machines that announce changes and are asked for them first: of the own zone, or others while none there
    /// answers.
    pub fn followed(&self) -> Vec<Ipv4Addr> {
        let mut addresses = self.ranked(self.responsive());
        if addresses.is_empty() {
            addresses = self.ranked(self.linked.iter());
        }
        addresses.truncate(MOST_FOLLOWED);
        addresses
    }

    fn responsive(&self) -> impl Iterator<Item = (&Ipv4Addr, &Machine)> {
        let is_responsive = |address: &Ipv4Addr| !self.unresponsive.contains(address);
        let linked = self.linked.iter();
        linked.filter(move |(address, _)| is_responsive(address))
    }

    /// Machines of the own zone, or all others if none of them is, by rendezvous hashing.
    fn ranked<'a>(
        &self,
        linked: impl Iterator<Item = (&'a Ipv4Addr, &'a Machine)>,
    ) -> Vec<Ipv4Addr> {
        let told = linked.filter_map(|(address, machine)| {
            let zone = machine.zone.as_deref()?;
            Some((*address, zone == self.zone))
        });
        let (own, others): (Vec<_>, Vec<_>) = told.partition(|(_, is_own)| *is_own);
        let candidates = if own.is_empty() { others } else { own };
        let mut addresses: Vec<Ipv4Addr> = candidates.into_iter().map(|item| item.0).collect();
        addresses.sort_by_key(|address| xxh3_64_with_seed(&address.octets(), self.seed));
        addresses
    }
}

#[cfg(test)]
#[path = "sources_tests.rs"]
mod tests;
