//! The wire formats on links between control machines and routers, one of which may run an earlier build.
//!
//! Deployed builds cannot be changed: what they send and accept is fixed, and they close the link on a message that
//! they cannot decode. A control machine therefore detects the format of a router by its first message, the status,
//! and a router detects that of a control machine by its first message, the zone. Both then use the format of the
//! peer.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};
use drumshore_wire::{Blob, List, Text};

use crate::{
    Changes, FingerprintKey, InstanceRecord, Message, Quarantine, RouterStatus, WeightsNotice,
};

/// The wire formats in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterWire {
    /// The layout of [`Message`], with all kinds of messages. The sender also knows the software versions that left.
    WithDepartures,
    /// The layout of [`Message`], with all kinds of messages, whose changes lack the software versions that left. The
    /// sender also knows the software versions of back ends.
    WithStreams,
    /// The layout of [`Message`], with the kinds of messages that carry measurements and those about peers of a router.
    WithPeers,
    /// The layout of [`Message`], with the kinds of messages that carry measurements. A peer shows that it decodes them
    /// by a marker after its first message, which builds without these kinds ignore.
    WithMeasurements,
    /// The layout of [`Message`], without the kinds of messages that carry measurements.
    #[default]
    Current,
    /// The format of earlier builds. Their status does not contain whether the router has a view, and their control
    /// machines do not report their zone. They fetch changes by one revision, send and receive the state as a whole,
    /// have no subscriptions, and subtract the receiver's own load from sums of loads before sending them.
    BeforeViews,
}

/// The messages that had a different layout in earlier builds.
#[binrw]
#[brw(little)]
enum LegacyMessage {
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

/// Follows the first message, or a keep-alive message, of a process that decodes messages with measurements.
const MEASUREMENTS_MARKER: u8 = 1;
/// Follows [`MEASUREMENTS_MARKER`] if the process also decodes messages about peers of a router.
const PEERS_MARKER: u8 = 2;
/// Follows [`PEERS_MARKER`] if the process also knows software versions and decodes messages about streams.
const STREAMS_MARKER: u8 = 3;
/// Follows [`STREAMS_MARKER`] if the process also knows the software versions that left.
const DEPARTURES_MARKER: u8 = 4;

impl RouterWire {
    /// All wire formats.
    pub const ALL: [Self; 6] = [
        Self::WithDepartures,
        Self::WithStreams,
        Self::WithPeers,
        Self::WithMeasurements,
        Self::Current,
        Self::BeforeViews,
    ];

    /// Whether the peer decodes messages with measurements.
    pub fn has_measurements(self) -> bool {
        self.has_peers() || self == Self::WithMeasurements
    }

    /// Whether the peer decodes messages about peers of a router.
    pub fn has_peers(self) -> bool {
        self.has_streams() || self == Self::WithPeers
    }

    /// Whether the peer knows software versions and decodes messages about streams.
    pub fn has_streams(self) -> bool {
        matches!(self, Self::WithDepartures | Self::WithStreams)
    }

    /// The bytes after a first or keep-alive message that show what its sender decodes.
    fn markers(self) -> &'static [u8] {
        match self {
            Self::WithDepartures => &[
                MEASUREMENTS_MARKER,
                PEERS_MARKER,
                STREAMS_MARKER,
                DEPARTURES_MARKER,
            ],
            Self::WithStreams => &[MEASUREMENTS_MARKER, PEERS_MARKER, STREAMS_MARKER],
            Self::WithPeers => &[MEASUREMENTS_MARKER, PEERS_MARKER],
            Self::WithMeasurements => &[MEASUREMENTS_MARKER],
            Self::Current | Self::BeforeViews => &[],
        }
    }

    /// Decodes the first message of a router and detects its format; `None` if it is neither a message in the current
    /// format nor a status in the earlier one.
    pub fn detect_from_router(payload: &[u8]) -> Option<(Self, Message)> {
        if let Some((wire, message)) = decode_first(payload) {
            return Some((wire, message));
        }
        let message = decode_legacy(payload)?;
        let is_status = matches!(message, Message::Router(_));
        is_status.then_some((Self::BeforeViews, message))
    }

    /// Decodes the first message of a control machine and detects its format, which is the current one only if the
    /// message is a zone; `None` if it is not a valid message.
    pub fn detect_from_control(payload: &[u8]) -> Option<(Self, Message)> {
        let zone =
            decode_first(payload).filter(|(_, first)| matches!(first, Message::ControlZone(_)));
        if let Some(zone) = zone {
            return Some(zone);
        }
        Some((Self::BeforeViews, Self::BeforeViews.decode(payload)?))
    }

    /// Decodes a message between control machines and detects whether the sender decodes measurements, which only its
    /// keep-alive messages show; `None` if it is not valid.
    pub fn detect_from_peer(payload: &[u8]) -> Option<(Self, Message)> {
        decode_first(payload)
    }

    /// Decodes a message; `None` if it is not valid.
    pub fn decode(self, payload: &[u8]) -> Option<Message> {
        match self {
            Self::WithDepartures
            | Self::WithStreams
            | Self::WithPeers
            | Self::WithMeasurements
            | Self::Current => Message::decode(payload),
            Self::BeforeViews => decode_legacy(payload).or_else(|| Message::decode(payload)),
        }
    }

    /// Encodes a message; `None` if the peer cannot decode this message.
    pub fn encode(self, message: &Message) -> Option<Vec<u8>> {
        let is_decoded = match self {
            Self::WithDepartures | Self::WithStreams => true,
            _ if message.is_about_streams() => false,
            Self::WithPeers => true,
            Self::WithMeasurements => !message.is_about_peers(),
            Self::Current | Self::BeforeViews => {
                !message.is_about_peers() && !message.is_measurement()
            }
        };
        if !is_decoded {
            return None;
        }
        match (self, message) {
            (Self::WithDepartures, Message::Changes(_)) => Some(message.encode()),
            (Self::BeforeViews, Message::Changes(changes)) => {
                Some(encode_legacy(&to_legacy_changes(changes)))
            }
            (_, Message::Changes(changes)) => Some(encode_without_departures(changes)),
            (
                Self::BeforeViews,
                Message::ControlZone(_) | Message::LoadsOfAll { .. } | Message::Follow(_),
            ) => None,
            (Self::BeforeViews, Message::Fetch { since, .. }) => {
                Some(encode_legacy(&LegacyMessage::Fetch { since: *since }))
            }
            (Self::BeforeViews | Self::Current, _) => Some(message.encode()),
            (_, Message::Router(_) | Message::ControlZone(_) | Message::KeepAlive) => {
                let mut payload = message.encode();
                payload.extend(self.markers());
                Some(payload)
            }
            (_, _) => Some(message.encode()),
        }
    }
}

fn encode_without_departures(changes: &Changes) -> Vec<u8> {
    let changes = Changes {
        departed: None,
        ..changes.clone()
    };
    Message::Changes(changes).encode()
}

/// Decodes a first message in the layout of [`Message`], and detects whether the sender decodes measurements.
fn decode_first(payload: &[u8]) -> Option<(RouterWire, Message)> {
    let mut cursor = Cursor::new(payload);
    let message = Message::read(&mut cursor).ok()?;
    let rest = payload.get(cursor.position() as usize..)?;
    let wire = match rest {
        [MEASUREMENTS_MARKER, PEERS_MARKER, STREAMS_MARKER, DEPARTURES_MARKER, ..] => {
            RouterWire::WithDepartures
        }
        [MEASUREMENTS_MARKER, PEERS_MARKER, STREAMS_MARKER, ..] => RouterWire::WithStreams,
        [MEASUREMENTS_MARKER, PEERS_MARKER, ..] => RouterWire::WithPeers,
        [MEASUREMENTS_MARKER, ..] => RouterWire::WithMeasurements,
        _ => RouterWire::Current,
    };
    Some((wire, message))
}

/// A router of an earlier build does not report whether it has a view. It is assumed to have one, as control machines
/// of that build did. It never holds only a part of the state, so its source revision is 0. A control machine of an
/// earlier build always sends everything up to its own revision.
fn decode_legacy(payload: &[u8]) -> Option<Message> {
    let mut cursor = Cursor::new(payload);
    let message = LegacyMessage::read(&mut cursor).ok()?;
    if cursor.position() != payload.len() as u64 {
        return None;
    }
    match message {
        LegacyMessage::Router {
            address,
            zone,
            accepting,
        } => Some(Message::Router(RouterStatus {
            address,
            zone,
            accepting,
            is_serving: 1,
        })),
        LegacyMessage::Fetch { since } => Some(Message::Fetch {
            since,
            source_revision: 0,
            configuration: None,
        }),
        LegacyMessage::Changes {
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
            patch: None,
            departed: None,
        })),
    }
}

fn to_legacy_changes(changes: &Changes) -> LegacyMessage {
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
        patch: _,
        departed: _,
    } = changes.clone();
    LegacyMessage::Changes {
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

fn encode_legacy(message: &LegacyMessage) -> Vec<u8> {
    let mut cursor = Cursor::new(Vec::new());
    message
        .write(&mut cursor)
        .expect("a message fits in its length fields");
    cursor.into_inner()
}

#[cfg(test)]
#[path = "router_wire_tests.rs"]
mod tests;
