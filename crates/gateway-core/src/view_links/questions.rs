//! When a router asks control machines whether its view is current.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// Between two questions to machines that answer, whichever they are.
const SPACING: Duration = Duration::from_millis(300);
/// Between two questions on the same link, however many there are: a control machine hands callers no router
/// that asked nothing for 4 s.
const LONGEST_LINK_SPACING: Duration = Duration::from_millis(2_000);
/// A question without an answer for so long is followed by one to the next machine.
const HEDGE_AFTER: Duration = Duration::from_millis(150);
/// A machine that lets a question wait for so long is not relied upon: it is cut off from a majority, frozen, or has
/// too much to do.
const ANSWERS_WITHIN: Duration = Duration::from_millis(500);
/// A link on which a question got no answer for so long is given up.
const UNANSWERED: Duration = Duration::from_millis(2_500);

/// Questions whether the view is current, to each linked control machine, by their numbers.
#[derive(Debug, Default)]
pub struct Questions {
    last_sequence: u64,
    links: BTreeMap<Ipv4Addr, Link>,
}

#[derive(Debug, Default)]
struct Link {
    /// Questions without an answer, and when each was asked.
    open: BTreeMap<u64, Timestamp>,
    last_asked: Option<Timestamp>,
}

impl Questions {
    /// A link has come up.
    pub fn on_linked(&mut self, address: Ipv4Addr) {
        self.links.insert(address, Link::default());
    }

    /// A link has ended.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.links.remove(&address);
    }

    /// A question was answered, and those before it need no answer any more. Gives when it was asked.
    pub fn on_answer(&mut self, from: Ipv4Addr, sequence: u64) -> Option<Timestamp> {
        let link = self.links.get_mut(&from)?;
        let asked = link.open.remove(&sequence);
        link.open.retain(|other, _| *other > sequence);
        asked
    }

    /// Machines that are to be asked now, with the numbers of their questions: each one as soon as it is linked, then
    /// in turn the next of those that answer, and each of the others once in a while.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(Ipv4Addr, u64)> {
        let machines = self.links.len().max(1) as u32;
        let link_spacing = (SPACING * machines).min(LONGEST_LINK_SPACING);
        let mut due: Vec<Ipv4Addr> = Vec::new();
        for (address, link) in &self.links {
            let is_overdue = !link.answers(now) && link.is_due(now, link_spacing);
            if link.last_asked.is_none() || is_overdue {
                due.push(*address);
            }
        }
        due.extend(self.next_in_turn(now, link_spacing / machines));
        due.sort_unstable();
        due.dedup();
        due.into_iter().map(|to| (to, self.ask(now, to))).collect()
    }

    /// Of the machines that answer, the one that was asked longest ago, once the last one was asked `spacing` ago.
    fn next_in_turn(&self, now: Timestamp, spacing: Duration) -> Option<Ipv4Addr> {
        let links = self.links.iter();
        let answering: Vec<_> = links.filter(|(_, link)| link.answers(now)).collect();
        let (_, last) = answering.iter().max_by_key(|(_, link)| link.last_asked)?;
        let pause = match last.open.is_empty() {
            true => spacing,
            false => spacing.min(HEDGE_AFTER),
        };
        let next = answering.iter().min_by_key(|(_, link)| link.last_asked);
        next.map(|item| *item.0).filter(|_| last.is_due(now, pause))
    }

    fn ask(&mut self, now: Timestamp, to: Ipv4Addr) -> u64 {
        self.last_sequence += 1;
        let link = self.links.entry(to).or_default();
        link.last_asked = Some(now);
        link.open.insert(self.last_sequence, now);
        self.last_sequence
    }

    /// Machines that let a question wait.
    pub fn unresponsive(&self, now: Timestamp) -> impl Iterator<Item = Ipv4Addr> + '_ {
        let waiting = self
            .links
            .iter()
            .filter(move |(_, link)| !link.answers(now));
        waiting.map(|(address, _)| *address)
    }

    /// Links on which a question got no answer for too long.
    pub fn silent(&self, now: Timestamp) -> Vec<Ipv4Addr> {
        let links = self.links.iter();
        let silent = links.filter(|(_, link)| link.waits(now) > UNANSWERED);
        silent.map(|(address, _)| *address).collect()
    }
}

impl Link {
    /// For how long the oldest question has had no answer.
    fn waits(&self, now: Timestamp) -> Duration {
        let oldest = self.open.values().next();
        oldest.map_or(Duration::ZERO, |at| now.since(*at))
    }

    fn is_due(&self, now: Timestamp, spacing: Duration) -> bool {
        self.last_asked.is_none_or(|at| now.since(at) >= spacing)
    }

    fn answers(&self, now: Timestamp) -> bool {
        self.waits(now) < ANSWERS_WITHIN
    }
}

#[cfg(test)]
#[path = "questions_tests.rs"]
mod tests;
