//! Messages between routers and control machines, and between control machines.

use binrw::binrw;

use crate::{Blob, List, Text};

/// The payload of a frame.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Control to control: a message of the replicated log, encoded by the consensus library.
    #[brw(magic(1u8))]
    Consensus(Blob),
    /// Router to control: the first message of a connection. A control machine also accepts it
    /// later, with a higher floor.
    #[brw(magic(2u8))]
    Subscribe(Subscribe),
    /// Control to router: changed resources.
    #[brw(magic(3u8))]
    Config(ConfigUpdate),
    /// Control to router: changed engines.
    #[brw(magic(4u8))]
    Engines(EngineUpdate),
    /// Control to router: the loads of engines.
    #[brw(magic(5u8))]
    Loads(LoadUpdate),
    /// Control to router: the revision that a quorum has confirmed as current.
    #[brw(magic(6u8))]
    Fresh(Freshness),
    /// Router to control: the configuration revision that the router has applied.
    #[brw(magic(7u8))]
    AppliedRevision(u64),
    /// Router to control: asks which tenant has an API key.
    #[brw(magic(8u8))]
    TenantQuery(TenantQuery),
    /// Control to router: the tenant with the API key, or none.
    #[brw(magic(9u8))]
    TenantAnswer(TenantAnswer),
    /// Router to control: claims the right to run a request that must not run twice.
    #[brw(magic(10u8))]
    Claim(ClaimRequest),
    /// Control to router: whether the request may run.
    #[brw(magic(11u8))]
    ClaimResponse(ClaimResponse),
    /// Router to control: the outcome of a claimed request.
    #[brw(magic(12u8))]
    Outcome(OutcomeReport),
    /// Router to control: the usage of tenants since the last report.
    #[brw(magic(13u8))]
    Usage(UsageReport),
    /// Control to router: the router's share of tenants' limits.
    #[brw(magic(14u8))]
    Allotment(UsageAllotment),
    /// Control to router: the outcome report with this ticket is stored.
    #[brw(magic(16u8))]
    OutcomeStored(u64),
    /// Router to control: asks which engines have cached blocks of a prompt.
    #[brw(magic(17u8))]
    LookupRequest(LookupRequest),
    /// Control to router: engines to serve the prompt, with their cached blocks.
    #[brw(magic(18u8))]
    LookupResponse(LookupResponse),
    /// Router to control: requests that the router has placed on engines.
    #[brw(magic(19u8))]
    BookingReport(BookingReport),
    /// Control to control: requests that the routers connected to the sender have placed.
    #[brw(magic(20u8))]
    RelayedBookings(RelayedBookings),
    /// Control to control: a command from an operator or router, forwarded to the leader.
    #[brw(magic(15u8))]
    Forward(Blob),
}

/// The state that a router has and the updates that it subscribes to.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The highest revision that the router has applied; it accepts nothing older.
    pub floor: u64,
    /// The tenants whose resources it has.
    pub tenants: List<Text>,
    /// The region whose engines' loads it receives. Empty means all regions.
    pub region: Text,
}

/// Changed resources, for one router.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The revision of the router's configuration once the update is applied.
    pub revision: u64,
    /// 1 when `records` is the complete configuration, 0 when the update only lists changes.
    pub full: u8,
    /// JSON list of created or changed resources.
    pub records: Blob,
    /// JSON list of the keys of deleted resources.
    pub deleted: Blob,
}

/// The state of an engine as the control machines see it.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineStateCode {
    /// Listed, but has not yet responded with its model loaded.
    Joining = 0,
    /// Accepts requests.
    Ready = 1,
    /// Did not respond to recent polls.
    Suspect = 2,
    /// Finishes its requests and gets no new ones.
    Leaving = 3,
    /// Removed from the fleet.
    Gone = 4,
}

/// One engine of an engine update.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    /// The engine's name.
    pub name: Text,
    /// IP address and port.
    pub address: Text,
    /// The zone that it runs in.
    pub zone: Text,
    /// The engine pool that it belongs to.
    pub pool: Text,
    /// Changes with each start of the engine.
    pub incarnation: u64,
    /// The version of the loaded weights; 0 when none are loaded.
    pub weights_version: u64,
    /// The state as the sender sees it.
    pub state: EngineStateCode,
    /// A short number for the engine in other messages of the same connection.
    pub slot: u16,
}

/// Changed engines.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineUpdate {
    /// 1 when the list is complete, so that an engine not in it no longer exists.
    pub full: u8,
    /// All engines, or the changed ones.
    pub engines: List<EngineEntry>,
}

/// Prompt tokens in one unit of the `waiting` and `uncached` fields.
pub const WAITING_UNIT_TOKENS: u32 = 256;

/// Milliseconds in one unit of [`EngineLoad::age`].
pub const AGE_UNIT_MS: u64 = 100;

/// The load of one engine, quantised to 6 bytes.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine's slot in the last engine update.
    pub slot: u16,
    /// Prompt tokens in its queue, in units of 256 tokens.
    pub waiting: u16,
    /// Running sequences, saturating.
    pub running: u8,
    /// The age of the load report in units of 100 ms, saturating.
    pub age: u8,
}

/// Loads of engines.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The engines whose load changed by more than a threshold.
    pub loads: List<EngineLoad>,
}

/// Asks the cache index which engines have cached blocks of a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupRequest {
    /// Identifies the lookup in the response and in the booking that follows it.
    pub ticket: u32,
    /// The slot of an engine that could serve the prompt. The engines of the same pool with the
    /// same weights are the candidates.
    pub member_slot: u16,
    /// Tokens in one cache block.
    pub block_tokens: u32,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// The cost of a token to compute relative to a token ahead in the queue, in tenths.
    pub recompute_weight: u8,
    /// The largest number of engines in the response.
    pub limit: u8,
    /// Blocks between two consecutive prefixes of `prefixes`.
    pub step: u16,
    /// Hashes of prefixes of the prompt, shortest first.
    pub prefixes: List<u64>,
}

/// The cached blocks of a prompt on one engine, and the engine's load.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldingRecord {
    /// The engine's slot in the last engine update.
    pub slot: u16,
    /// Blocks of the prompt that it has cached.
    pub blocks: u16,
    /// Prompt tokens in its queue, in units of 256 tokens.
    pub waiting: u16,
    /// Running sequences, saturating.
    pub running: u8,
}

/// The response to a [`LookupRequest`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupResponse {
    /// The ticket of the lookup.
    pub ticket: u32,
    /// The suggested engines, best first.
    pub holdings: List<HoldingRecord>,
}

/// A booking: a request that a router has placed on an engine.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookingRecord {
    /// The ticket of the lookup that preceded the placement; 0 if there was none.
    pub ticket: u32,
    /// The engine's slot in the last engine update.
    pub slot: u16,
    /// Prompt tokens that are not cached and must be computed, in units of 256 tokens.
    pub uncached: u16,
}

/// The bookings of one router.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingReport {
    /// The requests that the router has placed since its last report.
    pub records: List<BookingRecord>,
}

/// A booking by a router that is connected to another control machine.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedBooking {
    /// The engine's identity. Slots differ between control machines and cannot be used here.
    pub engine: u64,
    /// Prompt tokens that are not cached and must be computed.
    pub uncached_tokens: u32,
    /// Hashes of the prompt prefixes that the engine will cache.
    pub prefixes: List<u64>,
}

/// Bookings by the routers that are connected to the sender.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedBookings {
    /// The placed requests.
    pub bookings: List<RelayedBooking>,
}

/// A quorum's confirmation that the sender's configuration was current.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// All changes that were accepted before the confirmation are at or below this revision.
    pub revision: u64,
    /// The leader's term.
    pub epoch: u64,
    /// The number of routers in the cluster, estimated from those connected to the sender.
    pub routers: u32,
}

/// Asks for the tenant that has an API key.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantQuery {
    /// Identifies the query in the answer.
    pub ticket: u64,
    /// SHA-256 of the key, hexadecimal.
    pub key_hash: Text,
}

/// The answer to a [`TenantQuery`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantAnswer {
    /// The ticket of the query.
    pub ticket: u64,
    /// The revision of the configuration that the answer comes from.
    pub revision: u64,
    /// JSON of the tenant's resource, or `null`.
    pub resource: Blob,
}

/// Claims the right to run a request that must not run twice.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Identifies the claim in the response.
    pub ticket: u64,
    /// The tenant that sent the request.
    pub tenant: Text,
    /// The caller's idempotency key.
    pub key: Text,
    /// Hash of the request, which detects a key that was used for another request.
    pub fingerprint: u64,
    /// The router part of the request id.
    pub request_router: u64,
    /// The sequence part of the request id.
    pub request_sequence: u64,
}

/// Whether a claimed request may run.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimGrant {
    /// The request may run and holds the claim.
    #[brw(magic(0u8))]
    Granted,
    /// Another request with the same key is running.
    #[brw(magic(1u8))]
    StillRunning,
    /// A request with the same key has completed with this answer.
    #[brw(magic(2u8))]
    Completed(Blob),
    /// A request with the same key may have run; it is not repeated.
    #[brw(magic(3u8))]
    MayHaveRun,
    /// The key was used for a different request.
    #[brw(magic(4u8))]
    KeyReused,
    /// No quorum responded in time.
    #[brw(magic(5u8))]
    Unavailable,
}

/// The response to a [`ClaimRequest`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimResponse {
    /// The ticket of the claim.
    pub ticket: u64,
    /// Whether the request may run.
    pub grant: ClaimGrant,
}

/// The outcome of a claimed request.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Returned once the outcome is stored; until then the router resends the report.
    pub ticket: u64,
    /// The tenant that sent the request.
    pub tenant: Text,
    /// The caller's idempotency key.
    pub key: Text,
    /// The router part of the request id that holds the claim.
    pub request_router: u64,
    /// The sequence part of the request id that holds the claim.
    pub request_sequence: u64,
    /// 0: not run, and the claim is released; 1: may have run; 2: ran and produced `answer`.
    pub execution: u8,
    /// The complete answer, if there is one.
    pub answer: Blob,
}

/// The usage of one tenant at a router, or its allotment there.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// The tenant that the figures are for.
    pub tenant: Text,
    /// In tenths of a request per second. In a report: the rate of requests received since the last
    /// report, including refused ones. In an allotment: the rate at which the router may start
    /// requests.
    pub rate: u32,
    /// In a report: requests open now. In an allotment: requests that the router may have open.
    pub open: u32,
}

/// The usage of tenants at a router since its last report.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The tenants with any usage.
    pub records: List<UsageRecord>,
}

/// A router's share of tenants' limits.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageAllotment {
    /// The tenants whose usage over all routers is close to a limit.
    pub records: List<UsageRecord>,
}
