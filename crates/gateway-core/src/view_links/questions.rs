//! When a router asks control machines whether its view is current.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// Between two questions to any control machine.
const SPACING: Duration = Duration::from_millis(300);
/// Between two questions on the same link, however many there are: a control machine hands callers no router
/// that asked nothing for 4 s.
const LONGEST_LINK_SPACING: Duration = Duration::from_millis(2_000);
/// A link on which a question got no answer for so long is given up.
const UNANSWERED: Duration = Duration::from_millis(2_500);

/// Questions to each linked control machine, by their numbers.
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

    /// Machines that are to be asked now, with the numbers of their questions.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(Ipv4Addr, u64)> {
        let machines = self.links.len().max(1) as u32;
        let spacing = (SPACING * machines).min(LONGEST_LINK_SPACING);
        let mut due = Vec::new();
        for (address, link) in &mut self.links {
            if link.last_asked.is_none_or(|at| now.since(at) >= spacing) {
                self.last_sequence += 1;
                link.last_asked = Some(now);
                link.open.insert(self.last_sequence, now);
                due.push((*address, self.last_sequence));
            }
        }
        due
    }

    /// Links on which a question got no answer for too long.
    pub fn silent(&self, now: Timestamp) -> Vec<Ipv4Addr> {
        let silent = self.links.iter().filter(|(_, link)| {
            let oldest = link.open.values().next();
            oldest.is_some_and(|at| now.since(*at) > UNANSWERED)
        });
        silent.map(|(address, _)| *address).collect()
    }
}
