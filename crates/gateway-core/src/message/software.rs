//! The software versions of back ends, which follow the records in messages and snapshots. Earlier builds ignore what
//! follows the fields that they know.

use binrw::binrw;
use drumshore_wire::List;

use crate::{InstanceRecord, SoftwareVersion};

/// The software version of one record.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SoftwareEntry {
    /// The position of the record in its list.
    position: u32,
    software: SoftwareVersion,
    started_ms: u64,
}

impl SoftwareEntry {
    /// The versions of those records that declare one.
    pub fn list_of<'a>(records: impl IntoIterator<Item = &'a InstanceRecord>) -> List<Self> {
        let numbered = records.into_iter().zip(0..);
        let declared = numbered.filter(|(record, _)| record.software.is_declared());
        let entry = |(record, position): (&InstanceRecord, u32)| Self {
            position,
            software: record.software.clone(),
            started_ms: record.started_ms,
        };
        List::new(declared.map(entry).collect())
    }

    /// Sets the versions of records in the order in which they were listed.
    pub fn set_all(records: &mut [InstanceRecord], entries: Option<&List<Self>>) {
        let entries = entries.map_or(&[][..], |entries| &entries.items);
        for entry in entries {
            if let Some(record) = records.get_mut(entry.position as usize) {
                record.software = entry.software.clone();
                record.started_ms = entry.started_ms;
            }
        }
    }
}
