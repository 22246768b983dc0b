//! Forgets the software versions that left their pools, once no stream that they began can last.

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;

use super::ControlCore;
use crate::{Command, MAX_STREAM_LIFETIME};

/// A revision that this machine has held since some time.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldSince {
    revision: u64,
    since: Timestamp,
}

impl<D: Directory> ControlCore<D> {
    /// Proposes to forget what left before the life of a stream, if this machine leads. A machine that has just started
    /// counts everything as having left at its start.
    pub(super) fn forget_departures(&mut self) {
        let current = HeldSince {
            revision: self.state.revision(),
            since: self.now,
        };
        let held = *self.departures_held.get_or_insert(current);
        if self.now.since(held.since) <= MAX_STREAM_LIFETIME {
            return;
        }
        self.departures_held = Some(current);
        let revision = held.revision;
        if self.role() == Role::Leader && self.state.has_departures_to(revision) {
            self.propose(None, Command::ForgetDepartures { revision });
        }
        self.state.complete_departures(revision);
    }
}
