//! Fields that precede or follow a message. Earlier builds ignore what follows the fields that they know; a prefix is sent
//! only to peers that decode it.

use std::io::Cursor;

use binrw::{BinRead, BinWrite};
use drumshore_wire::List;

use super::software::SoftwareEntry;
use super::Message;
use crate::{Changes, ConfigurationHash, ConfigurationPatch, DepartedVersion};

/// Begins a message of changes that is preceded by the software versions that left their pools.
const DEPARTED_PREFIX: u8 = 35;

/// The bytes that precede a message; empty for most.
pub(super) fn prefix_of(message: &Message) -> Vec<u8> {
    let mut prefix = Vec::new();
    if let Message::Changes(Changes {
        departed: Some(departed),
        ..
    }) = message
    {
        prefix.push(DEPARTED_PREFIX);
        append(&mut prefix, departed);
    }
    prefix
}

/// Reads what precedes a message; `None` if it cannot be read.
pub(super) fn read_prefix(cursor: &mut Cursor<&[u8]>) -> Option<Option<List<DepartedVersion>>> {
    if cursor.get_ref().first() != Some(&DEPARTED_PREFIX) {
        return Some(None);
    }
    cursor.set_position(1);
    List::read_le(cursor).ok().map(Some)
}

/// Sets what preceded a message; `None` if it may not precede this one.
pub(super) fn set_prefix(
    message: &mut Message,
    departed: Option<List<DepartedVersion>>,
) -> Option<()> {
    match message {
        Message::Changes(changes) => changes.departed = departed,
        _ if departed.is_some() => return None,
        _ => {}
    }
    Some(())
}

/// Appends the fields that follow a message, unless they are all empty.
pub(super) fn append_to(payload: &mut Vec<u8>, message: &Message) {
    match message {
        Message::Changes(changes) => append_to_changes(payload, changes),
        Message::Fetch {
            configuration: Some(hash),
            ..
        } => append(payload, hash),
        _ => {}
    }
}

/// Reads the fields that follow a message, if there are any; `None` if they cannot be read and may not be ignored.
pub(super) fn read_after(cursor: &mut Cursor<&[u8]>, message: &mut Message) -> Option<()> {
    match message {
        Message::Changes(changes) => {
            let software = List::read_le(cursor).ok();
            SoftwareEntry::set_all(&mut changes.instances.items, software.as_ref());
            let has_more = cursor.position() < cursor.get_ref().len() as u64;
            // Without it the view would advance and keep the earlier configuration.
            changes.patch = match has_more {
                true => Some(ConfigurationPatch::read_le(cursor).ok()?),
                false => None,
            };
        }
        Message::Fetch { configuration, .. } => {
            *configuration = ConfigurationHash::read_le(cursor).ok();
        }
        _ => {}
    }
    Some(())
}

fn append_to_changes(payload: &mut Vec<u8>, changes: &Changes) {
    let software = SoftwareEntry::list_of(&changes.instances.items);
    if !software.items.is_empty() || changes.patch.is_some() {
        append(payload, &software);
    }
    if let Some(patch) = &changes.patch {
        append(payload, patch);
    }
}

fn append<T>(payload: &mut Vec<u8>, field: &T)
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut cursor = Cursor::new(Vec::new());
    field
        .write_le(&mut cursor)
        .expect("the field fits in its length fields");
    payload.extend(cursor.into_inner());
}

#[cfg(test)]
#[path = "extension_tests.rs"]
mod tests;
