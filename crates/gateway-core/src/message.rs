//! Messages between routers and control machines, and between control machines. Each message is sent in a checksummed
//! frame of `drumshore-wire`.

use std::collections::HashMap;

use binrw::binrw;
use drumshore_consensus::ReplicaId;
use drumshore_wire::{Blob, List, Text};

use crate::back_end_speed::{SpeedNews, SpeedSample};
use crate::{
    ConfigurationHash, ConfigurationPatch, DepartedVersion, Fingerprint, FingerprintKey,
    InstanceRecord, SoftwareKey, StreamKey, StreamOrigin,
};

mod extension;
mod software;
mod tenants;

pub(crate) use software::SoftwareEntry;
pub use tenants::{AccountLevel, DemandEntry, PoolKey, TenantDemand, TenantKey, UsageEntry};

/// A router's status, which it reports to control machines.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterStatus {
    /// The address for clients, IP:PORT.
    pub address: Text,
    /// The zone of the router.
    pub zone: Text,
    /// 1 while the router accepts new clients.
    pub accepting: u8,
    /// 1 while the router can serve clients: it has had a confirmed view, and has not lost its path to all back ends.
    pub is_serving: u8,
}

/// Sent by a control machine to the routers that follow it when the replicated state has changed.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// The revision of the sender's state.
    pub revision: u64,
}

/// A target version of a model's weights, with its age: a process that starts must not treat the versions it receives
/// as newly set.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsNotice {
    /// The model.
    pub model: Text,
    /// The version that back ends are to load.
    pub version: u64,
    /// Milliseconds since the version was set, as far as the sender knows.
    pub age_ms: u32,
}

/// What a router subscribes to at a control machine.
///
/// News is what the leader reports to all routers beside the replicated state: loads of back ends, the contents of
/// their caches, and which of them are unresponsive or refuse requests.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Following {
    /// Nothing.
    #[default]
    Nothing = 0,
    /// Announcements of changes of the replicated state.
    Changes = 1,
    /// The leader's news.
    News = 2,
    /// Both.
    ChangesAndNews = 3,
}

impl Following {
    /// Whether the router is sent announcements of changes.
    pub fn has_changes(self) -> bool {
        matches!(self, Self::Changes | Self::ChangesAndNews)
    }

    /// Whether the router is sent the leader's news.
    pub fn has_news(self) -> bool {
        matches!(self, Self::News | Self::ChangesAndNews)
    }
}

/// The changes of the replicated state between two revisions.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The revision that the changes start from; 0 if they start from an empty state.
    pub since: u64,
    /// The revision that the changes lead to.
    pub revision: u64,
    /// The revision of the sender's state. If it is higher than `revision`, there are more changes to fetch.
    pub newest: u64,
    /// 0 or 1 configuration.
    pub configuration: List<Blob>,
    /// Target versions of weights that were set.
    pub weights: List<WeightsNotice>,
    /// Back ends that were registered or changed.
    pub instances: List<InstanceRecord>,
    /// Incarnations that were removed.
    pub removed: List<Text>,
    /// 0 or 1 key of the fingerprint hash.
    pub fingerprint_key: List<FingerprintKey>,
    /// 0 or 1 list of all quarantined fingerprints.
    pub quarantine: List<Quarantine>,
    /// The configuration as a difference from the one that the receiver holds, instead of `configuration`.
    #[brw(ignore)]
    pub patch: Option<ConfigurationPatch>,
    /// The software versions that left their pools up to `newest` and are not forgotten; `None` if the sender does not
    /// know all of them.
    #[brw(ignore)]
    pub departed: Option<List<DepartedVersion>>,
}

/// All quarantined fingerprints. Their requests are sent to no back end.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// The fingerprints.
    pub fingerprints: List<Fingerprint>,
}

/// What happened to a request at a back end.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FingerprintEvent {
    /// The back end crashed while serving the request.
    #[brw(magic(1u8))]
    BackEndCrashed {
        /// The key of the back end's name, see [`LoadEntry::key_of`].
        back_end: u32,
        /// Milliseconds from receiving the request to the crash.
        service_time_ms: u32,
    },
    /// The request completed.
    #[brw(magic(2u8))]
    Completed,
}

/// A router's report of a completed request, or of a crash while serving one.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintReport {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Milliseconds since the event.
    pub age_ms: u32,
    /// What happened.
    pub event: FingerprintEvent,
}

/// How often back ends crashed while serving a fingerprint, as reported by all routers.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FingerprintSuspicion {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Incidents with crashes, where simultaneous crashes count once; 0 if the fingerprint is no longer suspected.
    pub crashes: u8,
}

impl FingerprintSuspicion {
    /// The size of an entry in a message.
    pub const BYTES: usize = 17;
}

/// A hash that identifies a back end between control machines. Among 100,000 back ends, the probability that any two
/// share a key is 3 in 10,000 million.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackEndKey(u64);

impl BackEndKey {
    /// The smallest key.
    pub const MIN: Self = Self(u64::MIN);
    /// The largest key.
    pub const MAX: Self = Self(u64::MAX);

    /// The key of the back end with this name. Processes that start under it one after the other share it.
    pub fn of(instance: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(instance.as_bytes()))
    }

    /// The shorter key that routers use, see [`LoadEntry::key_of`].
    pub fn short(self) -> u32 {
        self.0 as u32
    }
}

/// The load of a back end from one router, or the sum over several routers.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEntry {
    /// The key of the back end's name, see [`LoadEntry::key_of`].
    pub key: u32,
    /// Prompt tokens of requests that were sent and not yet answered, in units of [`LoadEntry::TOKENS`].
    pub pending: u16,
    /// Requests that were sent and have not completed.
    pub in_flight: u16,
}

impl LoadEntry {
    /// The size of an entry in a message.
    pub const BYTES: usize = 8;
    /// The number of tokens in one unit of `pending`.
    pub const TOKENS: u32 = 64;

    /// A short hash of the name of an incarnation. Back ends that share a key appear busier than
    /// they are, which does little harm.
    pub fn key_of(instance: &str) -> u32 {
        BackEndKey::of(instance).short()
    }

    /// Subtracts the load that one router reported last from the sums over all routers. A back end that only this
    /// router uses stays in the list, with a load of 0.
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

/// A hash that identifies a part of a prompt in a store. Its salt keeps apart prompts that may not share a cache.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoredKey(pub u32);

impl StoredKey {
    /// The key of a part. If two parts share a key, the cost is an unnecessary prefill or copy.
    pub fn new(salt: &str, part: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(salt.as_bytes());
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(part.as_bytes(), seed) as u32)
    }
}

/// A back end that caches a prefix of a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderEntry {
    /// A hash of the prefix and its salt.
    pub prefix: u32,
    /// The key of the back end's name, see [`LoadEntry::key_of`].
    pub key: u32,
}

impl HolderEntry {
    /// The size of an entry in a message.
    pub const BYTES: usize = 8;
}

/// A hash that identifies a store of cached prompts.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreId(pub u32);

impl StoreId {
    /// The identifier of the store that listens at an address, IP:PORT.
    pub fn at(address: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(address.as_bytes()) as u32)
    }
}

/// The first kind of news that carries measurements; all later kinds of news do too.
const FIRST_MEASUREMENT: u8 = 26;

/// A message between two processes of the gateway.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// From a router: its status, as the first message on a link and whenever it changes.
    #[brw(magic(1u8))]
    Router(RouterStatus),
    /// Between control machines: an encoded message of the consensus protocol.
    #[brw(magic(2u8))]
    Consensus(Blob),
    /// From a control machine to the leader: encoded proposals to append to the log.
    #[brw(magic(3u8))]
    Propose(List<Blob>),
    /// A replica that receives nothing from a leader asks to become a member.
    #[brw(magic(4u8))]
    Join(ReplicaId),
    /// From a control machine to the leader: back ends whose heartbeats it received.
    #[brw(magic(5u8))]
    ForwardedHeartbeats(List<BackEndKey>),
    /// From a control machine: the replicated state has changed.
    #[brw(magic(6u8))]
    Announce(Announcement),
    /// From a router: a request for changes of the replicated state.
    #[brw(magic(7u8))]
    Fetch {
        /// The revision that the router has.
        since: u64,
        /// See [`crate::Position::source_revision`].
        source_revision: u64,
        /// The configuration that the router holds. Set by routers that apply a [`ConfigurationPatch`].
        #[brw(ignore)]
        configuration: Option<ConfigurationHash>,
    },
    /// From a control machine: the response to a fetch, or its next chunk.
    #[brw(magic(8u8))]
    Changes(Changes),
    /// From a router: asks for a revision that was confirmed by a quorum after the ping arrived.
    #[brw(magic(9u8))]
    Ping {
        /// The router's number of the ping.
        sequence: u64,
    },
    /// The response to a ping, sent once a quorum has confirmed the revision.
    #[brw(magic(10u8))]
    Pong {
        /// The number of the ping.
        sequence: u64,
        /// A revision at or above everything that was accepted before the ping.
        revision: u64,
        /// The number of routers linked to this control machine.
        routers: u16,
        /// The IPv4 addresses of all control machines.
        controls: List<u32>,
        /// The IPv4 address of the leader; 0 if unknown.
        leader: u32,
    },
    /// From a router: the load it puts on back ends.
    #[brw(magic(11u8))]
    Loads(List<LoadEntry>),
    /// From the leader: the contents of a store of cached prompts.
    #[brw(magic(12u8))]
    StoreContents {
        /// The store.
        store: StoreId,
        /// 0 if the store is unresponsive.
        known: u8,
        /// 1 if this replaces all contents sent before; 0 if it updates them.
        reset: u8,
        /// Parts that were added.
        added: List<StoredKey>,
        /// Parts that were removed.
        removed: List<StoredKey>,
    },
    /// From a router: prefixes that back ends have cached. From the leader: those that routers reported.
    #[brw(magic(13u8))]
    Holders(List<HolderEntry>),
    /// From a router: the keys of back ends that it found unresponsive or crashed, see [`LoadEntry::key_of`]. From the
    /// leader: those that another router reported.
    #[brw(magic(14u8))]
    UnresponsiveBackEnds(List<u32>),
    /// From a router: the keys of back ends that refused a request, see [`LoadEntry::key_of`].
    /// From the leader: those that other routers reported.
    #[brw(magic(15u8))]
    RefusingBackEnds(List<u32>),
    /// From the leader: the load that all routers put on back ends, including the receiver's, which the receiver
    /// subtracts by [`LoadEntry::without`].
    #[brw(magic(16u8))]
    LoadsOfAll {
        /// 1 if back ends that are not listed have no load; 0 if their load is as sent before.
        whole: u8,
        /// Sums over all routers.
        loads: List<LoadEntry>,
    },
    /// From a router: the usage that it admitted of tenants with a limit.
    #[brw(magic(17u8))]
    Usage(List<UsageEntry>),
    /// From the leader: the levels of tenants' accounts. An empty list means that no tenant unknown to the router
    /// is close to its limit.
    #[brw(magic(18u8))]
    AccountLevels(List<AccountLevel>),
    /// From a router to all control machines: crashes while serving requests, and completions of suspected ones.
    #[brw(magic(19u8))]
    FingerprintReports(List<FingerprintReport>),
    /// From any control machine: fingerprints that are suspected, or no longer are.
    #[brw(magic(20u8))]
    FingerprintSuspicions(List<FingerprintSuspicion>),
    /// Between control machines: shows that the link still transports data.
    #[brw(magic(21u8))]
    KeepAlive,
    /// From the leader: the next request with this quarantined fingerprint may run as a trial.
    #[brw(magic(22u8))]
    PermitTrial(Fingerprint),
    /// From a control machine to a router: the zone of the control machine.
    #[brw(magic(23u8))]
    ControlZone(Text),
    /// From a router: its subscription on this link.
    #[brw(magic(24u8))]
    Follow(Following),
    /// From the leader to another control machine: an encoded message to forward to the routers that follow it.
    #[brw(magic(25u8))]
    News(Blob),
    /// From a router to the leader: times that requests took.
    #[brw(magic(26u8))]
    SpeedSamples(List<SpeedSample>),
    /// From the leader: estimated speeds of back ends.
    #[brw(magic(27u8))]
    BackEndSpeeds(SpeedNews),
    /// From a router: the cost of what its callers asked of pools that are nearly full, since its last report.
    #[brw(magic(28u8))]
    DemandReport(List<DemandEntry>),
    /// From the leader: the demand of tenants for a pool that is nearly full, over all routers together.
    #[brw(magic(29u8))]
    TenantDemands {
        /// The pool.
        pool: PoolKey,
        /// The tenants with the largest demand.
        tenants: List<TenantDemand>,
        /// The number of further tenants.
        other_tenants: u32,
        /// The demand of the further tenants together, per second.
        other_cost_per_second: u32,
    },
    /// From a router: asks for routers to forward requests to.
    #[brw(magic(30u8))]
    FetchPeers,
    /// The response: the addresses for clients, IP:PORT, of routers that reach back ends.
    #[brw(magic(31u8))]
    Peers(List<Text>),
    /// From a router: streams that it began, or that a caller took up at it.
    #[brw(magic(32u8))]
    StreamOrigins(List<StreamOrigin>),
    /// From a router: asks which software version began a stream.
    #[brw(magic(33u8))]
    FetchStreamOrigin(StreamKey),
    /// The response.
    #[brw(magic(34u8))]
    StreamSoftware {
        /// The stream.
        stream: StreamKey,
        /// 0 or 1 version; none if this control machine does not know the stream.
        software: List<SoftwareKey>,
    },
}

impl Message {
    /// Encodes the message as the payload of a frame.
    pub fn encode(&self) -> Vec<u8> {
        let mut cursor = std::io::Cursor::new(extension::prefix_of(self));
        cursor.set_position(cursor.get_ref().len() as u64);
        binrw::BinWrite::write(self, &mut cursor).expect("a message fits in its length fields");
        let mut payload = cursor.into_inner();
        extension::append_to(&mut payload, self);
        payload
    }

    /// Whether the message carries measurements, which only peers from [`crate::RouterWire::WithMeasurements`] on decode.
    pub fn is_measurement(&self) -> bool {
        match self {
            Self::SpeedSamples(_)
            | Self::BackEndSpeeds(_)
            | Self::DemandReport(_)
            | Self::TenantDemands { .. } => true,
            Self::News(news) => news.bytes.first() >= Some(&FIRST_MEASUREMENT),
            _ => false,
        }
    }

    /// Whether the message is about peers of a router, which only [`crate::RouterWire::WithPeers`] decodes.
    pub fn is_about_peers(&self) -> bool {
        matches!(self, Self::FetchPeers | Self::Peers(_))
    }

    /// Whether the message is about streams, which only peers from [`crate::RouterWire::WithStreams`] on decode.
    pub fn is_about_streams(&self) -> bool {
        matches!(
            self,
            Self::StreamOrigins(_) | Self::FetchStreamOrigin(_) | Self::StreamSoftware { .. }
        )
    }

    /// Decodes a payload; `None` if it is not a valid message.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        let mut cursor = std::io::Cursor::new(payload);
        let departed = extension::read_prefix(&mut cursor)?;
        let mut message = binrw::BinRead::read(&mut cursor).ok()?;
        extension::read_after(&mut cursor, &mut message)?;
        extension::set_prefix(&mut message, departed)?;
        Some(message)
    }
}
