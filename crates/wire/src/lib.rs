//! Frames and messages between drumshore processes.
//!
//! A connection starts with a [`mod@handshake`] in which both sides prove that they hold the cluster
//! key. After it, each message is sent in one checksummed [`frame`]. Callers provide the byte
//! streams.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

pub mod frame;
pub mod handshake;
mod messages;
mod primitives;

pub use frame::{read_frame, write_frame, FrameError};
pub use handshake::{handshake, HandshakeError, Identity};
pub use messages::{
    BookingRecord, BookingReport, ClaimGrant, ClaimRequest, ClaimResponse, ConfigUpdate,
    EngineEntry, EngineLoad, EngineStateCode, EngineUpdate, Freshness, HoldingRecord, LoadUpdate,
    LookupRequest, LookupResponse, Message, OutcomeReport, RelayedBooking, RelayedBookings,
    Subscribe, TenantAnswer, TenantQuery, UsageAllotment, UsageRecord, UsageReport, AGE_UNIT_MS,
    WAITING_UNIT_TOKENS,
};
pub use primitives::{Blob, List, Text};

#[cfg(test)]
mod tests;
