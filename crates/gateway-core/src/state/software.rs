//! The software versions of registered back ends, and when their processes started.

use drumshore_wire::Text;

use super::{InstanceRecord, ReplicatedState};
use crate::SoftwareVersion;

impl InstanceRecord {
    /// Whether a report of the software version and the start changes the record. A back end may start again under its
    /// name, also with the same software, and a report that it sent before may arrive later.
    pub fn is_superseded_by(&self, software: &SoftwareVersion, started_ms: u64) -> bool {
        let is_later_start = started_ms > self.started_ms;
        is_later_start || (self.software != *software && started_ms == self.started_ms)
    }
}

impl ReplicatedState {
    pub(super) fn set_software_version(
        &mut self,
        position: u64,
        instance: &Text,
        software: &SoftwareVersion,
        started_ms: u64,
    ) -> bool {
        let Some(record) = self.instances.get_mut(instance.as_str()) else {
            return false;
        };
        if started_ms < record.started_ms {
            return false;
        }
        let left = record.clone();
        // Also counts as a change if the version is the same: a replica that lacks it must not differ in its revision.
        record.software = software.clone();
        record.started_ms = started_ms;
        self.running.remove(&left);
        self.running.add(record);
        let earlier = std::mem::replace(&mut record.revision, position);
        self.changed
            .note(position, instance.as_str(), Some(earlier));
        // A back end whose version was not recorded before ran the same one.
        if left.software.is_declared() {
            self.note_departure(position, &left);
        }
        true
    }
}
