//! The decision logic of the gateway, without I/O, clock or threads.
//!
//! The gateway serves clients that run no drumshore process: routers forward any HTTP
//! request on a configured route, and control machines replicate the state that routers use. This crate
//! contains the state machines of both and the messages between them:
//!
//! * [`Document`]: a complete configuration with its routes, pools and tenants;
//! * [`ReplicatedState`]: the state that control machines replicate by a log of commands;
//! * [`ControlCore`]: one control machine, with the replicated log, membership, reads and rollouts;
//! * [`RouterCore`]: one router, with its view of the state, the lease on the view, placement and retry limits;
//! * [`back_end_speed`]: how fast the back ends of a pool work;
//! * [`limits`]: rate limits that all routers enforce together.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

pub mod back_end_speed;
mod command;
mod configuration_patch;
mod control;
mod document;
mod fingerprint;
mod ids;
pub mod limits;
mod load_change;
mod message;
mod notice;
mod occupancy;
mod quarantine;
mod router;
mod router_wire;
mod software;
mod state;
mod streams;
mod view_links;

pub use command::{Command, LoadPhase, Proposal, ProposalId};
pub use configuration_patch::{ConfigurationHash, ConfigurationPatch, PatchError};
pub use control::{
    address_of, bootstrap_id, BackEndReport, ConnectionId, ControlCore, ControlParams,
    CrashReported, Effect, Heartbeat, LoadPlan, LoadReason, Order, OrderId, OrderOutcome, Reply,
    StoreUpdate, Ticket,
};
pub use document::{
    CacheStore, Document, InvalidDocument, Limits, ModelPool, Pool, RequestKind, Route, Share,
    Tenant,
};
pub use fingerprint::{
    Fingerprint, FingerprintInput, FingerprintKey, FingerprintPrefix, FingerprintScope,
    RequestFingerprints,
};
pub use ids::{InstanceId, ModelName, PoolName, TenantName};
pub use message::{
    AccountLevel, Announcement, BackEndKey, Changes, DemandEntry, FingerprintEvent,
    FingerprintReport, FingerprintSuspicion, Following, HolderEntry, LoadEntry, Message, PoolKey,
    Quarantine, RouterStatus, StoreId, StoredKey, TenantDemand, TenantKey, UsageEntry,
    WeightsNotice,
};
pub use notice::{BackEndNotice, RejectionRate, RequestRate};
pub use quarantine::{CrashEvidence, CrashVerdict, VerdictCounts};
pub use router::{
    Admission, Backoff, BrittleChange, CacheEstimate, Charge, Choice, ChoiceError, EarlierAttempts,
    Forecast, KnownVersions, Leave, LimitChange, NoticeChange, Outcome, OverLimit, Overload,
    PathChange, PathCheck, PoolReach, Prompt, PromptPart, Refusal, ReportedLoads, RequestHead,
    RouterCore, RouterParams, RunCopy, TenantShare, ViewError, Witness,
};
pub use router_wire::RouterWire;
pub use software::{SoftwareKey, SoftwareVersion};
pub use state::{
    DepartedVersion, InstanceRecord, Lifecycle, LoadedModel, Position, ReplicatedState,
    TargetWeights,
};
pub use streams::{StreamKey, StreamOrigin, StreamOrigins, StreamPublisher, MAX_STREAM_LIFETIME};
pub use view_links::{LinkAction, Progress, ViewLinks};
