//! When a router sends pings, which ask control machines whether its view is current.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;

/// The interval between pings to responsive machines, over all of them.
const PING_SPACING: Duration = Duration::from_millis(300);
/// The maximum interval between pings on the same link. Control machines give clients no router that has sent no ping
/// for 4 s.
const MAX_LINK_SPACING: Duration = Duration::from_millis(2_000);
/// If a ping has no answer after this time, the next machine is pinged.
const HEDGE_AFTER: Duration = Duration::from_millis(150);
/// A machine that leaves a ping unanswered for this time is unresponsive: it is cut off from a majority, frozen, or
/// overloaded.
const RESPONSIVE_WITHIN: Duration = Duration::from_millis(500);
/// While requests wait for a confirmation, further machines are pinged if this time passes without an answer.
const AWAITED_HEDGE_AFTER: Duration = Duration::from_millis(40);
/// Machines that are pinged at a time while requests wait for a confirmation; one of them may stand still.
const AWAITED_MACHINES: usize = 2;
/// For how long after a ping the arrival of a part of another message, behind which its answer may wait, counts.
const PARTIAL_MESSAGE_GRACE: Duration = Duration::from_millis(2_500);
/// A link on which a ping has no answer for longer than this is closed.
const LINK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The pings to each linked control machine.
#[derive(Debug, Default)]
pub struct Pings {
    last_sequence: u64,
    links: BTreeMap<Ipv4Addr, Link>,
    /// Requests wait for the answer to a ping that was sent after this time.
    awaited_after: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct Link {
    /// When each unanswered ping was sent, by sequence number.
    unanswered: BTreeMap<u64, Timestamp>,
    last_sent: Option<Timestamp>,
    /// When a part of a message last arrived. Answers to pings wait behind a large message.
    partial_message_at: Timestamp,
}

impl Pings {
    /// A link was established.
    pub fn on_linked(&mut self, address: Ipv4Addr) {
        self.links.insert(address, Link::default());
    }

    /// A link was closed.
    pub fn on_link_ended(&mut self, address: Ipv4Addr) {
        self.links.remove(&address);
    }

    /// A request waits for the answer to a ping that was sent after `after`.
    pub fn await_answer(&mut self, after: Timestamp) {
        self.awaited_after = self.awaited_after.max(Some(after));
    }

    /// A ping was answered; earlier pings on the link need no answer any more. Returns when the ping was sent.
    pub fn on_answer(&mut self, from: Ipv4Addr, sequence: u64) -> Option<Timestamp> {
        let link = self.links.get_mut(&from)?;
        let sent_at = link.unanswered.remove(&sequence);
        link.unanswered.retain(|other, _| *other > sequence);
        self.awaited_after = self.awaited_after.filter(|after| sent_at <= Some(*after));
        sent_at
    }

    /// A part of a message arrived; the message is not complete yet.
    pub fn on_partial_message(&mut self, now: Timestamp, from: Ipv4Addr) {
        if let Some(link) = self.links.get_mut(&from) {
            link.partial_message_at = now;
        }
    }

    /// The pings to send now: one to each machine on a new link, then one to the next responsive machine in turn, one to
    /// each unresponsive machine per link interval, and those that requests wait for.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<(Ipv4Addr, u64)> {
        let machines = self.links.len().max(1) as u32;
        let link_spacing = (PING_SPACING * machines).min(MAX_LINK_SPACING);
        let mut due: Vec<Ipv4Addr> = Vec::new();
        for (address, link) in &self.links {
            let is_overdue = !link.is_responsive(now) && link.is_due(now, link_spacing);
            if link.last_sent.is_none() || is_overdue {
                due.push(*address);
            }
        }
        due.extend(self.next_in_turn(now, link_spacing / machines));
        due.extend(self.awaited(now));
        due.sort_unstable();
        due.dedup();
        due.into_iter().map(|to| (to, self.send(now, to))).collect()
    }

    /// The responsive machine that was pinged longest ago, once `spacing` has passed since the last ping to any of
    /// them, or [`HEDGE_AFTER`] if that ping is unanswered.
    fn next_in_turn(&self, now: Timestamp, spacing: Duration) -> Option<Ipv4Addr> {
        let links = self.links.iter();
        let responsive: Vec<_> = links.filter(|(_, link)| link.is_responsive(now)).collect();
        let (_, last) = responsive.iter().max_by_key(|(_, link)| link.last_sent)?;
        let interval = match last.unanswered.is_empty() {
            true => spacing,
            false => spacing.min(HEDGE_AFTER),
        };
        let next = responsive.iter().min_by_key(|(_, link)| link.last_sent);
        next.map(|item| *item.0)
            .filter(|_| last.is_due(now, interval))
    }

    /// The machines to ping for requests that wait. None while an answer may be on its way: the next pings then serve all
    /// requests that have come meanwhile.
    fn awaited(&self, now: Timestamp) -> Vec<Ipv4Addr> {
        let links = self.links.iter();
        let mut responsive: Vec<_> = links.filter(|(_, link)| link.is_responsive(now)).collect();
        let is_answer_near = |link: &Link| {
            let last = link.unanswered.values().next_back();
            last.is_some_and(|sent_at| now.since(*sent_at) < AWAITED_HEDGE_AFTER)
        };
        let is_due = self.awaited_after.is_some_and(|after| now > after);
        if !is_due || responsive.iter().any(|(_, link)| is_answer_near(link)) {
            return Vec::new();
        }
        responsive.sort_by_key(|(_, link)| link.last_sent);
        let pinged = responsive.into_iter().take(AWAITED_MACHINES);
        pinged.map(|(address, _)| *address).collect()
    }

    fn send(&mut self, now: Timestamp, to: Ipv4Addr) -> u64 {
        self.last_sequence += 1;
        let link = self.links.entry(to).or_default();
        link.last_sent = Some(now);
        link.unanswered.insert(self.last_sequence, now);
        self.last_sequence
    }

    /// Machines that have left a ping unanswered for [`RESPONSIVE_WITHIN`].
    pub fn unresponsive(&self, now: Timestamp) -> impl Iterator<Item = Ipv4Addr> + '_ {
        let waiting = self
            .links
            .iter()
            .filter(move |(_, link)| !link.is_responsive(now));
        waiting.map(|(address, _)| *address)
    }

    /// Machines that have left a ping unanswered for longer than [`LINK_TIMEOUT`].
    pub fn timed_out(&self, now: Timestamp) -> Vec<Ipv4Addr> {
        let links = self.links.iter();
        let timed_out = links.filter(|(_, link)| link.waiting_time(now) > LINK_TIMEOUT);
        timed_out.map(|(address, _)| *address).collect()
    }
}

impl Link {
    /// How long the oldest unanswered ping has been waiting without a part of another message arriving.
    fn waiting_time(&self, now: Timestamp) -> Duration {
        let oldest = self.unanswered.values().next();
        oldest.map_or(Duration::ZERO, |at| {
            let latest = at.plus(PARTIAL_MESSAGE_GRACE);
            now.since((*at).max(self.partial_message_at.min(latest)))
        })
    }

    fn is_due(&self, now: Timestamp, spacing: Duration) -> bool {
        self.last_sent.is_none_or(|at| now.since(at) >= spacing)
    }

    fn is_responsive(&self, now: Timestamp) -> bool {
        self.waiting_time(now) < RESPONSIVE_WITHIN
    }
}

#[cfg(test)]
#[path = "pings_tests.rs"]
mod tests;
