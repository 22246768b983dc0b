//! The messages between routers and control machines, and among control machines.

use binrw::binrw;

use crate::{Blob, List, Text};

/// Everything that travels in a frame.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Control to control: a message of the replicated log, encoded by its library.
    #[brw(magic(1u8))]
    Consensus(Blob),
    /// Router to control, first on a connection and whenever the router's floor has risen.
    #[brw(magic(2u8))]
    Subscribe(Subscribe),
    /// Control to router: resources that changed.
    #[brw(magic(3u8))]
    Config(ConfigUpdate),
    /// Control to router: engines that changed.
    #[brw(magic(4u8))]
    Engines(EngineUpdate),
    /// Control to router: how busy engines are.
    #[brw(magic(5u8))]
    Loads(LoadUpdate),
    /// Control to router: what a quorum confirms.
    #[brw(magic(6u8))]
    Fresh(Freshness),
    /// Router to control: the revision that the router now applies.
    #[brw(magic(7u8))]
    AppliedRevision(u64),
    /// Router to control: who holds this key?
    #[brw(magic(8u8))]
    TenantQuery(TenantQuery),
    /// Control to router: the tenant, or none.
    #[brw(magic(9u8))]
    TenantAnswer(TenantAnswer),
    /// Router to control: may this request run?
    #[brw(magic(10u8))]
    Claim(ClaimRequest),
    /// Control to router: whether it may.
    #[brw(magic(11u8))]
    ClaimResponse(ClaimResponse),
    /// Router to control: how a claimed request ended.
    #[brw(magic(12u8))]
    Outcome(OutcomeReport),
    /// Router to control: what tenants used since the last report.
    #[brw(magic(13u8))]
    Usage(UsageReport),
    /// Control to router: this router's share of tenants' limits.
    #[brw(magic(14u8))]
    Allotment(UsageAllotment),
    /// Control to router: the outcome with this ticket is stored.
    #[brw(magic(16u8))]
    OutcomeStored(u64),
    /// Router to control: what do engines hold of this prompt?
    #[brw(magic(17u8))]
    IndexQuestion(IndexQuestion),
    /// Control to router: what they hold.
    #[brw(magic(18u8))]
    IndexAnswer(IndexAnswer),
    /// Router to control: requests that it placed.
    #[brw(magic(19u8))]
    Bookings(Bookings),
    /// Control to control: requests that its routers placed.
    #[brw(magic(20u8))]
    RelayedBookings(RelayedBookings),
    /// Control to control: an operator's or router's command on its way to the leader.
    #[brw(magic(15u8))]
    Forward(Blob),
}

/// What a router holds already and wants to hear about.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// The highest revision the router has applied; it takes nothing older.
    pub floor: u64,
    /// The tenants it holds.
    pub tenants: List<Text>,
    /// Its region; it hears how busy the engines of this region are. Empty means all regions.
    pub region: Text,
}

/// Resources that changed, for one router.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// After applying, the router's view is that of this revision.
    pub revision: u64,
    /// 1 when the records replace all that the router holds, 0 when they are changes.
    pub full: u8,
    /// JSON list of resources that exist.
    pub records: Blob,
    /// JSON list of keys of resources that are gone.
    pub deleted: Blob,
}

/// The state of a back end.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineStateCode {
    /// Known, but not yet answering with its model loaded.
    Joining = 0,
    /// Takes work.
    Ready = 1,
    /// Did not answer lately.
    Suspect = 2,
    /// Finishes what it has; gets nothing new.
    Leaving = 3,
    /// Not there any more.
    Gone = 4,
}

/// One engine as the control machines see it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEntry {
    /// Its name.
    pub name: Text,
    /// IP and port.
    pub address: Text,
    /// Its zone.
    pub zone: Text,
    /// Its pool.
    pub pool: Text,
    /// Its start.
    pub incarnation: u64,
    /// The weights it holds; 0 when none.
    pub weights_version: u64,
    /// Its state.
    pub state: EngineStateCode,
    /// Stands for the engine in load updates of the same connection.
    pub slot: u16,
}

/// Engines that changed.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineUpdate {
    /// 1 when the list is complete, so that an engine not on it is gone.
    pub full: u8,
    /// The engines.
    pub engines: List<EngineEntry>,
}

/// Prompt tokens in one unit of a message.
pub const WAITING_UNIT_TOKENS: u32 = 256;

/// Milliseconds in one unit of a load's age.
pub const AGE_UNIT_MS: u64 = 100;

/// How busy one engine is, quantised to 6 bytes.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// The engine's slot in the last engine update.
    pub slot: u16,
    /// Prompt tokens waiting, in units of 256 tokens.
    pub waiting: u16,
    /// Sequences running, saturating.
    pub running: u8,
    /// The report's age in units of 100 ms, saturating.
    pub age: u8,
}

/// How busy engines are.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadUpdate {
    /// Engines whose load changed noticeably.
    pub loads: List<EngineLoad>,
}

/// Asks the index what engines hold of a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexQuestion {
    /// Returned in the answer, and named by the booking that follows.
    pub ticket: u32,
    /// The slot of an engine that could serve it; others of its pool with its weights could too.
    pub like: u16,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// What a token to compute costs in comparison with one to wait for, in tenths.
    pub recompute_weight: u8,
    /// Engines to name, at most.
    pub limit: u8,
    /// Blocks from one prefix named to the next.
    pub step: u16,
    /// Hashes of the prefixes, shortest first.
    pub prefixes: List<u64>,
}

/// What one engine holds of a prompt, and how busy it is.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldingRecord {
    /// The engine's slot in the last engine update.
    pub slot: u16,
    /// Blocks of the prompt that it holds.
    pub blocks: u16,
    /// Prompt tokens waiting, in units of 256 tokens.
    pub waiting: u16,
    /// Sequences running, saturating.
    pub running: u8,
}

/// Engines for a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexAnswer {
    /// From the question.
    pub ticket: u32,
    /// The engines, best first.
    pub holdings: List<HoldingRecord>,
}

/// A request that was placed.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookingRecord {
    /// The question that went before; 0 for none.
    pub ticket: u32,
    /// The engine's slot in the last engine update.
    pub slot: u16,
    /// Prompt tokens that it will compute, in units of 256 tokens.
    pub missing: u16,
}

/// Requests that a router placed.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bookings {
    /// The requests.
    pub records: List<BookingRecord>,
}

/// A request that a router of another control machine placed.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedBooking {
    /// The engine's identity: slots differ between machines.
    pub engine: u64,
    /// Prompt tokens that it will compute.
    pub missing_tokens: u32,
    /// Prefixes that it will hold.
    pub prefixes: List<u64>,
}

/// Requests that routers of another control machine placed.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedBookings {
    /// The requests.
    pub bookings: List<RelayedBooking>,
}

/// What a quorum confirms of the sender's view.
#[binrw]
#[brw(little)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// All changes accepted before the confirmation are at or below this revision.
    pub revision: u64,
    /// The leader's term.
    pub epoch: u64,
    /// Routers of the cluster, estimated from those connected to the sender.
    pub routers: u32,
}

/// Asks for the tenant that holds a key.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantQuery {
    /// Returned in the answer.
    pub ticket: u64,
    /// SHA-256 of the key, hexadecimal.
    pub key_hash: Text,
}

/// The tenant that holds a key.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantAnswer {
    /// From the question.
    pub ticket: u64,
    /// The revision of the view that the answer comes from.
    pub revision: u64,
    /// JSON of the resource, or `null`.
    pub resource: Blob,
}

/// Asks whether work that may not be repeated may start.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Returned in the answer.
    pub ticket: u64,
    /// The tenant.
    pub tenant: Text,
    /// The caller's key.
    pub key: Text,
    /// Hash of the request, so that a key used for another request is noticed.
    pub fingerprint: u64,
    /// The router part of the request id.
    pub request_router: u64,
    /// The sequence part of the request id.
    pub request_sequence: u64,
}

/// Whether work may start.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimGrant {
    /// It may: this request holds the claim.
    #[brw(magic(0u8))]
    Granted,
    /// Another request with the key is running.
    #[brw(magic(1u8))]
    StillRunning,
    /// It ended; this was the answer.
    #[brw(magic(2u8))]
    Completed(Blob),
    /// It may have run and is not repeated.
    #[brw(magic(3u8))]
    MayHaveRun,
    /// The key was used for another request.
    #[brw(magic(4u8))]
    KeyReused,
    /// No quorum answered in time.
    #[brw(magic(5u8))]
    Unavailable,
}

/// The answer to a claim.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimResponse {
    /// From the request.
    pub ticket: u64,
    /// The answer.
    pub grant: ClaimGrant,
}

/// How a claimed request ended.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeReport {
    /// Returned when the outcome is stored; until then the router sends it again.
    pub ticket: u64,
    /// The tenant.
    pub tenant: Text,
    /// The caller's key.
    pub key: Text,
    /// The router part of the request id that holds the claim.
    pub request_router: u64,
    /// The sequence part of the request id that holds the claim.
    pub request_sequence: u64,
    /// 0 not run (the claim is given back), 1 may have run, 2 ran with the answer below.
    pub execution: u8,
    /// The whole answer, when there is one.
    pub answer: Blob,
}

/// What one tenant used of a router.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// The tenant.
    pub tenant: Text,
    /// In a report: requests that asked to start since the last one. In an allotment: requests
    /// that this router may start each second, in tenths.
    pub rate: u32,
    /// In a report: requests open now. In an allotment: requests this router may hold open.
    pub open: u32,
}

/// What tenants used of a router since its last report.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Tenants with any use.
    pub records: List<UsageRecord>,
}

/// A router's share of tenants' limits.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageAllotment {
    /// Tenants whose use, over all routers, comes near a limit.
    pub records: List<UsageRecord>,
}
