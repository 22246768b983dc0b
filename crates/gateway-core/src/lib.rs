//! What the gateway decides, without I/O, clock or threads.
//!
//! The gateway is drumshore for callers that run no process of ours: routers forward any HTTP
//! request on a configured route, and control machines replicate what routers go by. This crate
//! holds both state machines and the messages between them:
//!
//! * [`Document`]: a whole configuration with its routes, pools and tenants;
//! * [`ReplicatedState`]: what control machines agree on, command by command;
//! * [`ControlCore`]: one control machine: the replicated log, members, reads, rollouts;
//! * [`RouterCore`]: one router: its view, the lease on it, placement, limits on retries;
//! * [`limits`]: what a tenant may use over all routers together.
#![forbid(unsafe_code)]
#![deny(missing_docs, rust_2018_idioms, clippy::unwrap_used)]

mod command;
mod control;
mod document;
mod ids;
pub mod limits;
mod message;
mod notice;
mod quarantine;
mod router;
mod router_wire;
mod state;
mod view_links;
mod work;

pub use command::{Command, LoadPhase, Proposal, ProposalId};
pub use control::{
    address_of, bootstrap_id, ConnectionId, ControlCore, ControlParams, Effect, Heartbeat, Order,
    OrderId, OrderOutcome, Reply, Report, StoreNews, Ticket,
};
pub use document::{
    CacheStore, Document, InvalidDocument, Limits, ModelPool, Pool, RequestKind, Route, Share,
    Tenant,
};
pub use ids::{InstanceId, ModelName, PoolName, TenantName};
pub use message::{
    AccountLevel, Announcement, BackEndKey, Changes, Following, HolderEntry, LoadEntry, Message,
    Quarantine, RouterStatus, StoreId, StoredKey, TenantKey, UsageEntry, WeightsNotice, WorkEvent,
    WorkReport, WorkSuspicion,
};
pub use notice::{BackEndNotice, RequestRate};
pub use router::{
    Admission, Backoff, CacheEstimate, Charge, Choice, ChoiceError, EarlierAttempts, LimitChange,
    NoticeChange, Outcome, OverLimit, Overload, Prompt, PromptPart, Refusal, ReportedLoads,
    RequestHead, RouterCore, RouterParams, RunCopy, ViewError,
};
pub use router_wire::RouterWire;
pub use state::{InstanceRecord, Lifecycle, LoadedModel, NamedWeights, Position, ReplicatedState};
pub use view_links::{Progress, Step, ViewLinks};
pub use work::{Work, WorkId, WorkIdPrefix, WorkKey};
