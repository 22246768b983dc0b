//! How messages are laid out on a link between a control machine and a router, of which one may be of an earlier build.
//!
//! Builds in the field cannot be changed: what they send and refuse is fixed, and one that gets a message it cannot
//! read ends the link. A control machine therefore tells by a router's first message, its status, which build it runs,
//! and a router by a control machine's first message, its zone; both speak as the other expects.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{Blob, List, Text};

use crate::{
    Changes, FingerprintKey, InstanceRecord, Message, Quarantine, RouterStatus, WeightsNotice,
};

/// The layouts that are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterWire {
    /// As [`Message`] is.
    #[default]
    Current,
    /// Of builds whose status does not say whether the router has a view, and whose control machines do not say their
    /// zone. They ask for changes by one revision, take or send a state whole, choose nobody to follow, and tell sums
    /// of loads without the receiver's own.
    BeforeViews,
}

/// The messages that were laid out otherwise.
#[binrw]
#[brw(little)]
enum EarlierMessage {
    #[brw(magic(1u8))]
    Router {
        address: Text,
        zone: Text,
        accepting: u8,
    },
    #[brw(magic(7u8))]
    Fetch { since: u64 },
    #[brw(magic(8u8))]
    Changes {
        since: u64,
        revision: u64,
        configuration: List<Blob>,
        weights: List<WeightsNotice>,
        instances: List<InstanceRecord>,
        removed: List<Text>,
        fingerprint_key: List<FingerprintKey>,
        quarantine: List<Quarantine>,
    },
}

impl RouterWire {
    /// All layouts.
    pub const ALL: [Self; 2] = [Self::Current, Self::BeforeViews];

    /// Reads the first message on a link, and by which layout it is one; `None` when it is no message.
    pub fn detect_from_router(payload: &[u8]) -> Option<(Self, Message)> {
        if let Some(message) = Message::decode(payload) {
            return Some((Self::Current, message));
        }
        let message = read_earlier(payload)?;
        let is_status = matches!(message, Message::Router(_));
        is_status.then_some((Self::BeforeViews, message))
    }

    /// Reads a control machine's first message on a router's link, and by which layout it is one; `None` when it is no
    /// message.
    pub fn detect_from_control(payload: &[u8]) -> Option<(Self, Message)> {
        let zone =
            Message::decode(payload).filter(|first| matches!(first, Message::ControlZone(_)));
        if let Some(zone) = zone {
            return Some((Self::Current, zone));
        }
        Some((Self::BeforeViews, Self::BeforeViews.decode(payload)?))
    }

    /// Reads a message; `None` when it is none.
    pub fn decode(self, payload: &[u8]) -> Option<Message> {
        match self {
            Self::Current => Message::decode(payload),
            Self::BeforeViews => read_earlier(payload).or_else(|| Message::decode(payload)),
        }
    }

    /// Lays a message out; `None` when the other one cannot read it.
    pub fn encode(self, message: &Message) -> Option<Vec<u8>> {
        match (self, message) {
            (Self::Current, _) => Some(message.encode()),
            (
                Self::BeforeViews,
                Message::ControlZone(_) | Message::LoadsOfAll { .. } | Message::Follow(_),
            ) => None,
            (Self::BeforeViews, Message::Fetch { since, .. }) => {
                Some(write_earlier(&EarlierMessage::Fetch { since: *since }))
            }
            (Self::BeforeViews, Message::Changes(changes)) => {
                Some(write_earlier(&earlier_changes(changes)))
            }
            (Self::BeforeViews, _) => Some(message.encode()),
        }
    }
}

/// A router of an earlier build does not say whether it has a view, so it is taken to have one, as it was by control
/// machines of its build; and it never has a part of the state that it does not say. A control machine of an earlier
/// build sends all that it has.
fn read_earlier(payload: &[u8]) -> Option<Message> {
    let mut cursor = Cursor::new(payload);
    let message = EarlierMessage::read(&mut cursor).ok()?;
    if cursor.position() != payload.len() as u64 {
        return None;
    }
    match message {
        EarlierMessage::Router {
            address,
            zone,
            accepting,
        } => Some(Message::Router(RouterStatus {
            address,
            zone,
            accepting,
            has_view: 1,
        })),
        EarlierMessage::Fetch { since } => Some(Message::Fetch {
            since,
            source_revision: 0,
        }),
        EarlierMessage::Changes {
            since,
            revision,
            configuration,
            weights,
            instances,
            removed,
            fingerprint_key,
            quarantine,
        } => Some(Message::Changes(Changes {
            since,
            revision,
            newest: revision,
            configuration,
            weights,
            instances,
            removed,
            fingerprint_key,
            quarantine,
        })),
    }
}

fn earlier_changes(changes: &Changes) -> EarlierMessage {
    let Changes {
        since,
        revision,
        newest: _,
        configuration,
        weights,
        instances,
        removed,
        fingerprint_key,
        quarantine,
    } = changes.clone();
    EarlierMessage::Changes {
        since,
        revision,
        configuration,
        weights,
        instances,
        removed,
        fingerprint_key,
        quarantine,
    }
}

fn write_earlier(message: &EarlierMessage) -> Vec<u8> {
    let mut cursor = Cursor::new(Vec::new());
    message
        .write(&mut cursor)
        .expect("a message fits in its length fields");
    cursor.into_inner()
}

#[cfg(test)]
#[path = "router_wire_tests.rs"]
mod tests;
