//! What the gateway's processes say to one another. Each message travels in a checksummed frame
//! of `drumshore-wire`.

use std::collections::HashMap;

use binrw::binrw;
use drumshore_consensus::ReplicaId;
use drumshore_wire::{Blob, List, Text};

use crate::{FingerprintKey, InstanceRecord, RequestFingerprint, TenantName};

/// What a router tells about itself.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterStatus {
    /// Where callers reach it, IP:PORT.
    pub address: Text,
    /// Its zone.
    pub zone: Text,
    /// 1 while it takes new callers.
    pub accepting: u8,
    /// 1 once it had a confirmed view, so that it can serve them.
    pub has_view: u8,
}

/// What a control machine tells the routers that follow it when something changed.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// How far it has applied the log.
    pub revision: u64,
}

/// Weights that were named, and how long ago. A process that starts must not take what it hears
/// for new.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsNotice {
    /// The model.
    pub model: Text,
    /// The version that back ends are to hold.
    pub version: u64,
    /// Milliseconds since it was named, as far as the sender knows.
    pub age_ms: u32,
}

/// What a control machine tells a router without being asked.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Following {
    /// Nothing.
    #[default]
    Nothing = 0,
    /// That the state has changed.
    Changes = 1,
    /// What the leader knows of loads, caches, silent and refusing back ends.
    News = 2,
    /// Both.
    ChangesAndNews = 3,
}

impl Following {
    /// Whether changes of the state are announced.
    pub fn has_changes(self) -> bool {
        matches!(self, Self::Changes | Self::ChangesAndNews)
    }

    /// Whether news of the leader are passed on.
    pub fn has_news(self) -> bool {
        matches!(self, Self::News | Self::ChangesAndNews)
    }
}

/// What changed between two revisions.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The revision that the receiver has; 0 when all is included.
    pub since: u64,
    /// The revision that this leads to.
    pub revision: u64,
    /// The revision of the sender; more is to be asked for when this does not lead there.
    pub newest: u64,
    /// 0 or 1 configuration.
    pub configuration: List<Blob>,
    /// Weights that were named.
    pub weights: List<WeightsNotice>,
    /// Back ends that are new or changed.
    pub instances: List<InstanceRecord>,
    /// Back ends that have gone.
    pub removed: List<Text>,
    /// 0 or 1 key under which work is identified.
    pub fingerprint_key: List<FingerprintKey>,
    /// 0 or 1 list of all work that is quarantined.
    pub quarantine: List<Quarantine>,
}

/// All work that no back end is given.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// The work.
    pub fingerprints: List<RequestFingerprint>,
}

/// What became of work at a back end.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FingerprintEvent {
    /// The back end ended while it had the work in hand.
    #[brw(magic(1u8))]
    BackEndCrashed {
        /// Stands for the incarnation; see [`LoadEntry::key_of`].
        back_end: u32,
        /// Milliseconds for which it had had the work.
        service_time_ms: u32,
    },
    /// The work ran to its end.
    #[brw(magic(2u8))]
    Completed,
}

/// What a router saw of work.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintReport {
    /// The work.
    pub fingerprint: RequestFingerprint,
    /// Milliseconds since then.
    pub age_ms: u32,
    /// What happened.
    pub event: FingerprintEvent,
}

/// How many back ends have ended under work, over all routers.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintSuspicion {
    /// The work.
    pub fingerprint: RequestFingerprint,
    /// Moments at which some ended; 0 when nothing speaks against it any more.
    pub crashes: u8,
}

impl FingerprintSuspicion {
    /// Its size in a message.
    pub const BYTES: usize = 17;
}

/// Stands for a back end among control machines. Two of 100,000 share one with a chance of 3 in ten thousand
/// million.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackEndKey(u64);

impl BackEndKey {
    /// The first in the order of keys.
    pub const MIN: Self = Self(u64::MIN);
    /// The last in the order of keys.
    pub const MAX: Self = Self(u64::MAX);

    /// The key of an incarnation.
    pub fn of(instance: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(instance.as_bytes()))
    }

    /// The key by which routers name it, see [`LoadEntry::key_of`].
    pub fn short(self) -> u32 {
        self.0 as u32
    }
}

/// How busy a back end is with requests of one router, or of several.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEntry {
    /// Stands for the incarnation; see [`LoadEntry::key_of`].
    pub key: u32,
    /// Tokens of prompts that were sent and not yet answered, in [`LoadEntry::TOKENS`].
    pub pending: u16,
    /// Requests that were sent and have not ended.
    pub in_flight: u16,
}

impl LoadEntry {
    /// Its size in a message.
    pub const BYTES: usize = 8;
    /// Tokens in one unit of `pending`.
    pub const TOKENS: u32 = 64;

    /// A short stand-in for an incarnation's name. Two that share it are taken for busier than
    /// they are, which does little harm.
    pub fn key_of(instance: &str) -> u32 {
        BackEndKey::of(instance).short()
    }

    /// What remains of sums over all routers without one router's part, as it reported it last. A back end that
    /// only this router uses stays in the list, as free.
    pub fn without(totals: &[Self], own: &[Self]) -> Vec<Self> {
        let own: HashMap<u32, &Self> = own.iter().map(|entry| (entry.key, entry)).collect();
        let rest = totals.iter().map(|total| match own.get(&total.key) {
            None => *total,
            Some(own) => Self {
                key: total.key,
                pending: total.pending.saturating_sub(own.pending),
                in_flight: total.in_flight.saturating_sub(own.in_flight),
            },
        });
        rest.collect()
    }
}

/// Stands for a part of a prompt that a store holds under a salt.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoredKey(pub u32);

impl StoredKey {
    /// The key of a part. Two parts that share it cost a read or a copy that was not needed.
    pub fn new(salt: &str, part: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(salt.as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(part.as_bytes(), seed) as u32)
    }
}

/// Stands for a tenant.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a tenant.
    pub fn of(tenant: &TenantName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(tenant.as_str().as_bytes()))
    }
}

/// What a router admitted of a tenant's requests since its last report.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageEntry {
    /// The tenant.
    pub tenant: TenantKey,
    /// Units of its limit; negative when more was paid back than used.
    pub amount: i32,
    /// What the router believes is left after it, for a leader that does not know the past.
    pub estimated_level: i32,
}

impl UsageEntry {
    /// An entry; amounts beyond what it can hold are cut.
    pub fn new(tenant: TenantKey, amount: i64, estimated_level: f64) -> Self {
        let narrow = amount.clamp(i64::from(i32::MIN), i64::from(i32::MAX));
        Self {
            tenant,
            amount: narrow as i32,
            estimated_level: estimated_level as i32,
        }
    }
}

/// What is left of a tenant's limit, over all routers together.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLevel {
    /// The tenant.
    pub tenant: TenantKey,
    /// Units that may be used at once; negative after more was used than had flowed in.
    pub level: i32,
    /// The receiver's share of what all routers used of late; `u16::MAX` is all of it.
    share: u16,
}

impl AccountLevel {
    /// Its size in a message.
    pub const BYTES: usize = 14;

    /// `share` is a part of one.
    pub fn new(tenant: TenantKey, level: f64, share: f64) -> Self {
        Self {
            tenant,
            level: level as i32,
            share: (share.clamp(0.0, 1.0) * f64::from(u16::MAX)) as u16,
        }
    }

    /// The receiver's share, a part of one.
    pub fn share(&self) -> f64 {
        f64::from(self.share) / f64::from(u16::MAX)
    }
}

/// A back end that holds a prefix of a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderEntry {
    /// Stands for the prefix under its salt.
    pub prefix: u32,
    /// Stands for the incarnation; see [`LoadEntry::key_of`].
    pub key: u32,
}

impl HolderEntry {
    /// Its size in a message.
    pub const BYTES: usize = 8;
}

/// Stands for a store of cached prompts.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreId(pub u32);

impl StoreId {
    /// The store that listens at an address, IP:PORT.
    pub fn at(address: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(address.as_bytes()) as u32)
    }
}

/// A message.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The first message on a router's link, and again when it changes.
    #[brw(magic(1u8))]
    Router(RouterStatus),
    /// Replication between control machines.
    #[brw(magic(2u8))]
    Consensus(Blob),
    /// Commands for the leader to propose.
    #[brw(magic(3u8))]
    Propose(List<Blob>),
    /// A replica that no leader feeds asks to be let in.
    #[brw(magic(4u8))]
    Join(ReplicaId),
    /// Back ends that were heard at another control machine.
    #[brw(magic(5u8))]
    Heard(List<BackEndKey>),
    /// Something changed.
    #[brw(magic(6u8))]
    Announce(Announcement),
    /// A router asks what changed.
    #[brw(magic(7u8))]
    Fetch {
        /// The revision it has.
        since: u64,
        /// The revision of the state whose first part it was sent.
        source_revision: u64,
    },
    /// The answer, or its first part.
    #[brw(magic(8u8))]
    Changes(Changes),
    /// A router asks which revision is surely not outdated.
    #[brw(magic(9u8))]
    Ping {
        /// Counts the router's questions.
        sequence: u64,
    },
    /// The answer, once a quorum confirmed it after the question came.
    #[brw(magic(10u8))]
    Pong {
        /// From the question.
        sequence: u64,
        /// Everything accepted before the question is at or below it.
        revision: u64,
        /// Routers linked to this control machine.
        routers: u16,
        /// The IPv4 addresses of all control machines.
        controls: List<u32>,
        /// The IPv4 address of the leader; 0 when unknown.
        leader: u32,
    },
    /// From a router: the load it puts on back ends.
    #[brw(magic(11u8))]
    Loads(List<LoadEntry>),
    /// From the leader: what a store of cached prompts holds.
    #[brw(magic(12u8))]
    Stored {
        /// The store.
        store: StoreId,
        /// 0 when the store does not answer.
        known: u8,
        /// 1 when what was told before is void.
        reset: u8,
        /// Parts that came.
        added: List<StoredKey>,
        /// Parts that went.
        removed: List<StoredKey>,
    },
    /// From a router: prompts that back ends have read. From the leader: the same of all others.
    #[brw(magic(13u8))]
    Holders(List<HolderEntry>),
    /// From a router: back ends that it found silent, as [`LoadEntry::key_of`] names them. From
    /// the leader: the same of another router.
    #[brw(magic(14u8))]
    Suspects(List<u32>),
    /// From a router: back ends that turned a request away, as [`LoadEntry::key_of`] names them.
    /// From the leader: the same of other routers.
    #[brw(magic(15u8))]
    Refusing(List<u32>),
    /// The load that all routers put on back ends, the receiver's among it; see [`LoadEntry::without`].
    #[brw(magic(16u8))]
    LoadsOfAll {
        /// 1 when back ends that are not named are free of it; 0 when they are as told before.
        whole: u8,
        /// Sums over routers.
        loads: List<LoadEntry>,
    },
    /// From a router: what it admitted of the requests of tenants that have a limit.
    #[brw(magic(17u8))]
    Usage(List<UsageEntry>),
    /// From the leader: what is left of the limits of tenants. An empty list says that none of
    /// those that the router does not know is close to its limit.
    #[brw(magic(18u8))]
    AccountLevels(List<AccountLevel>),
    /// From a router to all control machines: what it saw of work that back ends ended under.
    #[brw(magic(19u8))]
    FingerprintReports(List<FingerprintReport>),
    /// From any control machine: work that is suspected, or no longer is.
    #[brw(magic(20u8))]
    FingerprintSuspicions(List<FingerprintSuspicion>),
    /// From a control machine on its link to another one, and back: the link carries bytes.
    #[brw(magic(21u8))]
    KeepAlive,
    /// From the leader: the next request that carries this quarantined work may run.
    #[brw(magic(22u8))]
    PermitTrial(RequestFingerprint),
    /// From a control machine on a router's link: the zone that it is in.
    #[brw(magic(23u8))]
    ControlZone(Text),
    /// From a router: what it is to be told on this link.
    #[brw(magic(24u8))]
    Follow(Following),
    /// From the leader to another control machine: an encoded message for the routers that follow it.
    #[brw(magic(25u8))]
    News(Blob),
}

impl Message {
    /// The payload of a frame.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = std::io::Cursor::new(Vec::new());
        binrw::BinWrite::write(self, &mut cursor).expect("a message fits in its length fields");
        cursor.into_inner()
    }

    /// Reads a payload back; `None` when it is no message.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        binrw::BinRead::read(&mut std::io::Cursor::new(payload)).ok()
    }
}
