//! What replicas say to one another.

use std::io::Cursor;

use binrw::{binrw, BinRead, BinWrite};

use crate::{DiskId, Entry, LogIndex, Membership, ReplicaId, Term};

/// A message with its sender's identity and term.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The sender.
    pub from: ReplicaId,
    /// The disk that the sender remembers with.
    pub disk: DiskId,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term; for a pre-vote the term it would have.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// The kinds of message.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Would you vote for me? Changes nothing at the receiver (§9.6).
    #[brw(magic(1u8))]
    PreVote {
        /// The sender's last position.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
    },
    /// The answer to a pre-vote.
    #[brw(magic(2u8))]
    PreVoteReply {
        /// 1 for yes.
        granted: u8,
    },
    /// Vote for me (§3.4).
    #[brw(magic(3u8))]
    Vote {
        /// The sender's last position.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
        /// 1 when the leader asked for this election, so that its lease does not stand against it.
        transfer: u8,
    },
    /// The answer to a vote.
    #[brw(magic(4u8))]
    VoteReply {
        /// 1 for yes.
        granted: u8,
    },
    /// Entries that follow a position (§3.5).
    #[brw(magic(5u8))]
    Append {
        /// The position before the entries.
        previous_index: LogIndex,
        /// Its term.
        previous_term: Term,
        /// The leader's commit.
        commit: LogIndex,
        #[doc(hidden)]
        #[br(temp)]
        #[bw(try_calc = u32::try_from(entries.len()))]
        count: u32,
        /// The entries.
        #[br(count = count)]
        entries: Vec<Entry>,
    },
    /// The answer to entries or to a finished snapshot.
    #[brw(magic(6u8))]
    AppendReply {
        /// 1 when the entries follow on the receiver's log.
        accepted: u8,
        /// Accepted: the last position that is stored and equal. Else: where to try next.
        index: LogIndex,
    },
    /// I still lead.
    #[brw(magic(7u8))]
    Heartbeat {
        /// The leader's commit, no further than what the receiver has stored.
        commit: LogIndex,
        /// The last read round; 0 when none waits.
        round: u64,
    },
    /// You still lead.
    #[brw(magic(8u8))]
    HeartbeatReply {
        /// From the heartbeat.
        round: u64,
    },
    /// A part of a snapshot.
    #[brw(magic(9u8))]
    SnapshotChunk {
        /// The last position included.
        index: LogIndex,
        /// Its term.
        index_term: Term,
        /// The membership there.
        membership: Membership,
        /// Bytes in the whole snapshot.
        total: u64,
        /// Where this part begins.
        offset: u64,
        #[doc(hidden)]
        #[br(temp)]
        #[bw(try_calc = u32::try_from(data.len()))]
        length: u32,
        /// The part.
        #[br(count = length)]
        data: Vec<u8>,
    },
    /// How far a snapshot has come.
    #[brw(magic(10u8))]
    SnapshotReply {
        /// The snapshot's position.
        index: LogIndex,
        /// Bytes received.
        offset: u64,
    },
    /// Start an election now (§3.10).
    #[brw(magic(11u8))]
    TimeoutNow,
    /// A follower asks the leader for a read position (§6.4).
    #[brw(magic(12u8))]
    ReadIndex {
        /// Returned in the answer.
        context: u64,
    },
    /// The leader's answer, after a quorum confirmed that it leads.
    #[brw(magic(13u8))]
    ReadIndexReply {
        /// From the request.
        context: u64,
        /// The position.
        index: LogIndex,
    },
}

/// The bytes are no message.
#[derive(Debug, thiserror::Error)]
#[error("malformed replication message: {0}")]
pub struct DecodeError(String);

impl Envelope {
    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = Cursor::new(Vec::new());
        self.write(&mut cursor).expect("a message fits in memory");
        cursor.into_inner()
    }

    /// Reads a message back.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::read(&mut Cursor::new(bytes)).map_err(|error| DecodeError(error.to_string()))
    }
}
