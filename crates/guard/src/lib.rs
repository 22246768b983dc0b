//! Names the safeguards of drumshore that tests can take out, one at a time, to show that the
//! checkers see the harm that each prevents.
//!
//! In a normal build [`enforced`] is the constant `true` and nothing can be taken out. With the
//! feature `removable` a thread can remove one guard for itself.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

macro_rules! guards {
    ($($(#[doc = $doc:literal])+ $name:ident = $word:literal;)*) => {
        /// A safeguard.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Guard {
            $($(#[doc = $doc])+ $name,)*
        }

        impl Guard {
            /// All safeguards.
            pub const ALL: &'static [Guard] = &[$(Guard::$name,)*];

            /// The word used on the command line.
            pub const fn as_str(self) -> &'static str {
                match self { $(Guard::$name => $word,)* }
            }

            /// What the safeguard does.
            pub const fn description(self) -> &'static str {
                match self { $(Guard::$name => concat!($($doc),+),)* }
            }
        }
    };
}

guards! {
    /// A vote and its term are on disk before the vote is sent.
    VoteSynced = "vote-synced";
    /// Log entries are on disk before they are acknowledged.
    EntriesSynced = "entries-synced";
    /// A leader counts replicas only for entries of its own term (Raft §5.4.2).
    CurrentTermCommit = "current-term-commit";
    /// A vote goes only to a candidate whose log is not behind (Raft §5.4.1).
    UpToDateVote = "up-to-date-vote";
    /// A replica that came back with another disk is not counted under its old identity.
    DiskIdentity = "disk-identity";
    /// A resource changes only from the version that its writer saw.
    CompareVersion = "compare-version";
    /// A change that was resent gives the first result and is not made again.
    ChangeIdentity = "change-identity";
    /// A router never takes a configuration older than the one it holds.
    ConfigFloor = "config-floor";
    /// A control machine confirms with a quorum that its view is current before it serves it.
    QuorumRead = "quorum-read";
    /// Work that may not be repeated starts only under a claim that a quorum holds.
    ClaimBeforeDispatch = "claim-before-dispatch";
    /// Only work that did not run, or may be repeated, is tried again.
    RetryOnlyIfSafe = "retry-only-if-safe";
    /// An engine refuses a request meant for another start of it.
    IncarnationFence = "incarnation-fence";
    /// An engine refuses a request meant for other weights.
    WeightsFence = "weights-fence";
    /// Tenant, model and version are part of every prefix.
    IsolatedPrefix = "isolated-prefix";
    /// An engine refuses orders of an older leader.
    OrderEpoch = "order-epoch";
    /// An engine that leaves gets no new work.
    DrainExcluded = "drain-excluded";
    /// A stopping process finishes what is in flight.
    DrainOnStop = "drain-on-stop";
    /// A stream is passed on only in unbroken order.
    StreamOrder = "stream-order";
    /// A stream that moved to another engine continues only if its beginning is the same.
    ContinuationMatches = "continuation-matches";
}

impl std::str::FromStr for Guard {
    type Err = UnknownGuard;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        let found = Guard::ALL.iter().find(|guard| guard.as_str() == word);
        found.copied().ok_or_else(|| UnknownGuard(word.to_owned()))
    }
}

/// The word names no safeguard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownGuard(pub String);

impl std::fmt::Display for UnknownGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "no guard is named {:?}", self.0)
    }
}

impl std::error::Error for UnknownGuard {}

#[cfg(not(feature = "removable"))]
mod state {
    use super::Guard;

    /// True: a normal build enforces every safeguard.
    #[inline(always)]
    pub const fn enforced(_guard: Guard) -> bool {
        true
    }
}

#[cfg(feature = "removable")]
mod state {
    use std::cell::Cell;

    use super::Guard;

    thread_local! {
        static REMOVED: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    /// False when this thread has taken the safeguard out.
    pub fn enforced(guard: Guard) -> bool {
        REMOVED.with(Cell::get) != Some(guard)
    }

    /// Takes one safeguard out for this thread, or puts all back.
    pub fn set_removed(guard: Option<Guard>) {
        REMOVED.with(|removed| removed.set(guard));
    }
}

pub use state::*;
