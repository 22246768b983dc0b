//! Simulated network with delays, losses and cuts, and the queue of scheduled events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A process on the network, by its index within its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Node {
    Router(usize),
    Control(usize),
    Engine(usize),
}

impl Node {
    pub(super) fn zone(self, zones: usize) -> usize {
        match self {
            Node::Router(number) | Node::Control(number) | Node::Engine(number) => number % zones,
        }
    }
}

/// One-way delay between nodes of one zone, without jitter.
const SAME_ZONE: Duration = Duration::from_micros(200);
/// One-way delay between nodes of different zones, without jitter.
const OTHER_ZONE: Duration = Duration::from_micros(700);
/// Upper bound of the random delay added to each message, in microseconds.
const JITTER_US: u64 = 400;

/// A probability that applies until a time; as `Network::loss`, that of losing, duplicating or
/// delaying a message between control machines, whose protocol tolerates it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Loss {
    pub(super) chance: f64,
    pub(super) until: Timestamp,
}

/// Link state between nodes: cuts, losses and the order of deliveries.
#[derive(Debug)]
pub(super) struct Network {
    zones: usize,
    cuts: BTreeMap<(Node, Node), Timestamp>,
    pub(super) loss: Loss,
    /// Time of the last scheduled delivery on each ordered channel (sender, receiver, channel id).
    channels: BTreeMap<(Node, Node, u64), Timestamp>,
}

impl Network {
    pub(super) fn new(zones: usize) -> Self {
        Self {
            zones,
            cuts: BTreeMap::new(),
            loss: Loss::default(),
            channels: BTreeMap::new(),
        }
    }

    /// Drops all messages from one node to another until the given time.
    pub(super) fn cut(&mut self, from: Node, to: Node, until: Timestamp) {
        let end = self.cuts.entry((from, to)).or_insert(until);
        *end = (*end).max(until);
    }

    pub(super) fn is_cut(&self, from: Node, to: Node, now: Timestamp) -> bool {
        self.cuts.get(&(from, to)).is_some_and(|until| *until > now)
    }

    /// Whether at least one direction between two nodes is cut.
    pub(super) fn is_cut_either_way(&self, a: Node, b: Node, now: Timestamp) -> bool {
        self.is_cut(a, b, now) || self.is_cut(b, a, now)
    }

    pub(super) fn delay(&self, from: Node, to: Node, random: &mut ChaCha8Rng) -> Duration {
        let base = if from.zone(self.zones) == to.zone(self.zones) {
            SAME_ZONE
        } else {
            OTHER_ZONE
        };
        base + Duration::from_micros(random.random_range(0..JITTER_US))
    }

    /// Arrival time of a message on an ordered channel: at `earliest`, but after every message sent
    /// on the channel before.
    pub(super) fn ordered_arrival(
        &mut self,
        channel: (Node, Node, u64),
        earliest: Timestamp,
    ) -> Timestamp {
        let last = self.channels.entry(channel).or_default();
        *last = earliest.max(Timestamp(last.0 + 1));
        *last
    }

    pub(super) fn remove_channels(&mut self, ended: &BTreeSet<u64>) {
        self.channels
            .retain(|(_, _, channel), _| !ended.contains(channel));
    }
}

/// Scheduled events, ordered by time and, at equal times, by the order of scheduling.
#[derive(Debug)]
pub(super) struct EventQueue<E> {
    next: u64,
    events: BTreeMap<(Timestamp, u64), E>,
}

impl<E> EventQueue<E> {
    pub(super) fn new() -> Self {
        Self {
            next: 0,
            events: BTreeMap::new(),
        }
    }

    pub(super) fn schedule(&mut self, at: Timestamp, event: E) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next event if it is due.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<E> {
        if self.next_at()? > now {
            return None;
        }
        self.events.pop_first().map(|(_, event)| event)
    }
}
