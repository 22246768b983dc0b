//! The safeguards of drumshore that tests can disable, one at a time, to show that the checkers
//! detect the failure that each prevents.
//!
//! In a normal build [`enforced`] is the constant `true` and no safeguard can be disabled. With the
//! feature `removable` a thread can disable one safeguard for itself.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

macro_rules! guards {
    ($($(#[doc = $doc:literal])+ $name:ident = $word:literal;)*) => {
        /// A safeguard that tests can disable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Guard {
            $($(#[doc = $doc])+ $name,)*
        }

        impl Guard {
            /// All safeguards.
            pub const ALL: &'static [Guard] = &[$(Guard::$name,)*];

            /// The name on the command line.
            pub const fn as_str(self) -> &'static str {
                match self { $(Guard::$name => $word,)* }
            }

            /// One sentence on what the safeguard does.
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
    /// A leader commits by counting replicas only for entries of its own term (Raft §5.4.2).
    CurrentTermCommit = "current-term-commit";
    /// A replica votes only for a candidate whose log is not behind its own (Raft §5.4.1).
    UpToDateVote = "up-to-date-vote";
    /// A replica that restarts with another disk does not count under its old identity.
    DiskIdentity = "disk-identity";
    /// A resource is changed only if it still has the version that the writer read.
    CompareVersion = "compare-version";
    /// A resent change returns the first result and is not applied again.
    ChangeIdentity = "change-identity";
    /// A router never applies a configuration older than its current one.
    ConfigFloor = "config-floor";
    /// A control machine confirms with a quorum that its state is current before it serves a read.
    QuorumRead = "quorum-read";
    /// A non-repeatable request starts only after a quorum has stored its claim.
    ClaimBeforeDispatch = "claim-before-dispatch";
    /// A request is retried only if it did not run or may be repeated.
    RetryOnlyIfSafe = "retry-only-if-safe";
    /// An engine refuses a request that is addressed to another incarnation of it.
    IncarnationFence = "incarnation-fence";
    /// An engine refuses a request that is addressed to another weights version.
    WeightsFence = "weights-fence";
    /// Every prefix hash includes tenant, model and weights version.
    IsolatedPrefix = "isolated-prefix";
    /// An engine refuses orders from an older leader.
    OrderEpoch = "order-epoch";
    /// A leaving engine receives no new requests.
    DrainExcluded = "drain-excluded";
    /// A stopping process finishes the requests in flight.
    DrainOnStop = "drain-on-stop";
    /// A stream is forwarded only while its events arrive in order without gaps.
    StreamOrder = "stream-order";
    /// A stream that is resumed on another engine continues only if its beginning is identical.
    ContinuationMatches = "continuation-matches";
}

impl std::str::FromStr for Guard {
    type Err = UnknownGuard;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        let found = Guard::ALL.iter().find(|guard| guard.as_str() == word);
        found.copied().ok_or_else(|| UnknownGuard(word.to_owned()))
    }
}

/// The error for a name that belongs to no safeguard.
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

    /// Always true: a normal build enforces every safeguard.
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
        static DISABLED: Cell<Option<Guard>> = const { Cell::new(None) };
    }

    /// False if this thread has disabled the safeguard.
    pub fn enforced(guard: Guard) -> bool {
        DISABLED.with(Cell::get) != Some(guard)
    }

    /// Disables one safeguard for this thread and enables all others; `None` enables all.
    pub fn set_disabled(guard: Option<Guard>) {
        DISABLED.with(|disabled| disabled.set(guard));
    }
}

pub use state::*;
