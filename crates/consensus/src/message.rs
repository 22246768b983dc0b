//! Messages between replicas.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};

use crate::{DiskId, Entry, LogIndex, Membership, ReplicaId, Term};

/// A message with its sender, receiver and term.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sending replica.
    pub from: ReplicaId,
    /// The identity of the sender's disk.
    pub disk: DiskId,
    /// The receiving replica.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote, the term it would campaign for.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message, by kind.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks whether the receiver would grant a vote. The receiver's state does not change (§9.6).
    #[brw(magic(1u8))]
    PreVote {
        /// The sender's last log position.
        last_index: LogIndex,
        /// The term of the entry at that position.
        last_term: Term,
    },
    /// The reply to a pre-vote.
    #[brw(magic(2u8))]
    PreVoteReply {
        /// 1 when the vote would be granted, else 0.
        granted: u8,
    },
    /// Requests a vote (§3.4).
    #[brw(magic(3u8))]
    Vote {
        /// The sender's last log position.
        last_index: LogIndex,
        /// The term of the entry at that position.
        last_term: Term,
        /// 1 when the leader requested this election. The receiver then votes although it has
        /// recently received messages from that leader.
        transfer: u8,
    },
    /// The reply to a vote request.
    #[brw(magic(4u8))]
    VoteReply {
        /// 1 when the vote is granted, else 0.
        granted: u8,
    },
    /// Sends the entries that follow a position (§3.5).
    #[brw(magic(5u8))]
    Append {
        /// The position before the entries.
        previous_index: LogIndex,
        /// The term of the entry at that position.
        previous_term: Term,
        /// The leader's commit position.
        commit: LogIndex,
        #[doc(hidden)]
        #[br(temp)]
        #[bw(try_calc = u32::try_from(entries.len()))]
        count: u32,
        /// The entries, in order; may be empty.
        #[br(count = count)]
        entries: Vec<Entry>,
    },
    /// The reply to entries, or to the last chunk of a snapshot.
    #[brw(magic(6u8))]
    AppendReply {
        /// 1 when the receiver's log matches the leader's log at `previous_index`, else 0.
        accepted: u8,
        /// If accepted, the last position that is stored and matches the leader's log. Otherwise
        /// the position from which the leader should send next.
        index: LogIndex,
    },
    /// The leader's periodic message that keeps its followers from campaigning.
    #[brw(magic(7u8))]
    Heartbeat {
        /// The leader's commit position, capped at what the receiver is known to have stored.
        commit: LogIndex,
        /// The newest read round; 0 when no read is pending.
        round: u64,
    },
    /// The reply to a heartbeat. It confirms that the sender still follows this leader.
    #[brw(magic(8u8))]
    HeartbeatReply {
        /// The round of the heartbeat.
        round: u64,
    },
    /// One chunk of a snapshot.
    #[brw(magic(9u8))]
    SnapshotChunk {
        /// The last position that the snapshot includes.
        index: LogIndex,
        /// The term of the entry at that position.
        index_term: Term,
        /// The membership at that position.
        membership: Membership,
        /// Bytes in the whole snapshot.
        total: u64,
        /// The offset of this chunk in the snapshot, in bytes.
        offset: u64,
        #[doc(hidden)]
        #[br(temp)]
        #[bw(try_calc = u32::try_from(data.len()))]
        length: u32,
        /// The bytes of this chunk.
        #[br(count = length)]
        data: Vec<u8>,
    },
    /// Acknowledges a chunk of a snapshot that is not complete yet.
    #[brw(magic(10u8))]
    SnapshotReply {
        /// The last position that the snapshot includes.
        index: LogIndex,
        /// Bytes received so far; the next chunk starts here.
        offset: u64,
    },
    /// Tells the target of a leadership transfer to start an election now (§3.10).
    #[brw(magic(11u8))]
    TimeoutNow,
    /// Asks the leader for a position at which a read is linearizable (§6.4).
    #[brw(magic(12u8))]
    ReadIndex {
        /// Identifies the read; returned in the reply.
        context: u64,
    },
    /// The leader's reply, sent after a quorum has confirmed its leadership.
    #[brw(magic(13u8))]
    ReadIndexReply {
        /// The context of the request.
        context: u64,
        /// The position that must be applied before the read is served.
        index: LogIndex,
    },
}

/// The bytes do not decode to a message.
#[derive(Debug, thiserror::Error)]
#[error("malformed replication message: {0}")]
pub struct DecodeError(String);

impl Envelope {
    /// Encodes the message in its wire layout.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor).expect("a message fits in memory");
        cursor.into_inner()
    }

    /// Decodes a message from its wire layout.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::read(&mut Cursor::new(bytes)).map_err(|error| DecodeError(error.to_string()))
    }
}
