//! Which control machines a router follows. They announce changes to it, and it fetches the changes from them.
//!
//! If routers fetched the state from any control machine, it would cross zones once per router. A router therefore
//! follows machines of its own zone, and those of other zones only while none of its own is responsive. It keeps links
//! to all of them to confirm its view and to exchange loads, which takes little traffic.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Following;

/// The maximum number of followed machines: one, and one that takes over when the first is lost.
const MAX_FOLLOWED: usize = 2;

/// The control machines that this router is linked to.
#[derive(Debug)]
pub struct Sources {
    zone: String,
    /// Makes routers choose different machines, in particular among other zones.
    seed: u64,
    linked: BTreeMap<Ipv4Addr, Machine>,
    /// Machines that left a ping unanswered and have answered none since, on this link or a later one.
    unresponsive: BTreeSet<Ipv4Addr>,
}

/// A linked control machine.
#[derive(Debug, Default)]
struct Machine {
    /// The zone that the machine reported; `None` before.
    zone: Option<String>,
    /// Whether the machine has answered a ping on this link, which means that it is connected to a leader.
    has_answered: bool,
}

impl Sources {
    /// Creates the state of a router without links; `seed` should differ between routers.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            seed,
            linked: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
        }
    }

    /// A link was established.
    pub fn on_linked(&mut self, address: Ipv4Addr) {
        self.linked.entry(address).or_default();
    }

    /// A machine reported its zone.
    pub fn on_zone(&mut self, address: Ipv4Addr, zone: &str) {
        self.linked.entry(address).or_default().zone = Some(zone.to_owned());
    }

    /// A machine answered a ping.
    pub fn on_answer(&mut self, address: Ipv4Addr) {
        self.linked.entry(address).or_default().has_answered = true;
        self.unresponsive.remove(&address);
    }

    /// A machine has left a ping unanswered for too long.
    pub fn on_unresponsive(&mut self, address: Ipv4Addr) {
        self.unresponsive.insert(address);
    }

    /// A link was closed.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.linked.remove(&address);
    }

    /// What this machine is to announce to the router.
    pub fn following(&self, address: Ipv4Addr) -> Following {
        let has_news = self.source_of_news() == Some(address);
        match (self.followed().contains(&address), has_news) {
            (true, true) => Following::ChangesAndNews,
            (true, false) => Following::Changes,
            (false, true) => Following::News,
            (false, false) => Following::Nothing,
        }
    }

    /// The first machine of the router's zone that is connected to a leader, or of other zones if there is none. Two
    /// machines would send all news twice, and a machine that is cut off from the leader would send none.
    fn source_of_news(&self) -> Option<Ipv4Addr> {
        let answering = self
            .responsive()
            .filter(|(_, machine)| machine.has_answered);
        self.ranked(answering).into_iter().next()
    }

    /// The machines that announce changes and are the first to be asked for them: of the router's zone, or of others
    /// while none there is responsive.
    pub fn followed(&self) -> Vec<Ipv4Addr> {
        let mut addresses = self.ranked(self.responsive());
        if addresses.is_empty() {
            addresses = self.ranked(self.linked.iter());
        }
        addresses.truncate(MAX_FOLLOWED);
        addresses
    }

    fn responsive(&self) -> impl Iterator<Item = (&Ipv4Addr, &Machine)> {
        let is_responsive = |address: &Ipv4Addr| !self.unresponsive.contains(address);
        let linked = self.linked.iter();
        linked.filter(move |(address, _)| is_responsive(address))
    }

    /// The given machines of the router's zone, or those of other zones if there is none, ordered by rendezvous
    /// hashing.
    fn ranked<'a>(
        &self,
        linked: impl Iterator<Item = (&'a Ipv4Addr, &'a Machine)>,
    ) -> Vec<Ipv4Addr> {
        let known = linked.filter_map(|(address, machine)| {
            let zone = machine.zone.as_deref()?;
            Some((*address, zone == self.zone))
        });
        let (own, others): (Vec<_>, Vec<_>) = known.partition(|(_, is_own)| *is_own);
        let candidates = if own.is_empty() { others } else { own };
        let mut addresses: Vec<Ipv4Addr> = candidates.into_iter().map(|item| item.0).collect();
        addresses.sort_by_key(|address| xxh3_64_with_seed(&address.octets(), self.seed));
        addresses
    }
}

#[cfg(test)]
#[path = "sources_tests.rs"]
mod tests;
