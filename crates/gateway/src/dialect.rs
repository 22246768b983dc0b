//! What callers, back ends and operators speak, as far as the gateway has to understand it.

use std::time::Duration;

use bytes::Bytes;
use drumshore_gateway_core::{
    BackEndNotice, Document, Heartbeat, InstanceId, InvalidDocument, ModelName, Order, Prompt,
    Report, StoredKey,
};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode, Uri};

/// The names of the headers that the gateway reads or writes.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Tells requests apart; back ends return it.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The tenant that holds the key, for the back end.
    pub tenant: HeaderName,
    /// The incarnation that a request is meant for.
    pub expect_instance: HeaderName,
    /// The weights that a request is meant for.
    pub expect_version: HeaderName,
    /// The incarnation that answered.
    pub instance: HeaderName,
    /// On an answer: the back end did not run the request and will not.
    pub not_run: HeaderName,
    /// 0 is most urgent.
    pub priority: HeaderName,
    /// Cached prompts are shared under the same value only.
    pub cache_salt: HeaderName,
    /// Whence the back end takes what it lacks of a prompt.
    pub cache_fetch: HeaderName,
    /// Whither it copies what it computed of a prompt.
    pub cache_save: HeaderName,
    /// The back end to which a run's memory is copied as it grows.
    pub run_copy: HeaderName,
    /// The copied run that a request goes on with.
    pub copied_run: HeaderName,
    /// The last event that a caller has of a stream.
    pub last_event_id: HeaderName,
    /// Other headers that only the gateway may set.
    pub reserved: Vec<HeaderName>,
}

/// A call to a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An operator sends a configuration.
    PutConfiguration,
    /// An operator reads it.
    GetConfiguration,
    /// An operator names new weights.
    SetTargetWeights,
    /// A back end says that it is there.
    Heartbeat(InstanceId),
    /// A back end says that it has gone.
    Deregister(InstanceId),
    /// A caller asks for routers.
    Directory {
        /// The caller's zone.
        zone: String,
    },
}

/// A call whose body cannot be understood.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unreadable call: {0}")]
pub struct InvalidCall(pub String);

/// A call to a back end.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
    /// The type of the body.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// What a store of cached prompts tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEvents {
    /// Changes when the store starts again with nothing.
    pub epoch: u64,
    /// Where the next question goes on.
    pub next: u64,
    /// True when some events before these are no longer there.
    pub lost: bool,
    /// Parts that came, and parts that went, in order.
    pub events: Vec<StoreEvent>,
}

/// One part that came or went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEvent {
    /// True when it came.
    pub came: bool,
    /// The part.
    pub key: StoredKey,
}

/// Translates between the gateway and what others speak. It holds no state.
pub trait Dialect: 'static {
    /// The headers.
    fn headers(&self) -> &HeaderNames;

    /// The type of the bodies that the gateway writes.
    fn content_type(&self) -> &'static str;

    /// What a request says of its prompt.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Tokens of its prompt and the most that are generated, when a request declares them.
    fn declared_tokens(&self, headers: &HeaderMap) -> Option<u32>;

    /// What a back end says of itself in the head of an answer.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> BackEndNotice;

    /// Whether a header of an answer is read, or is known to need no reading.
    fn knows_of(&self, header: &HeaderName) -> bool;

    /// Names a run of which the back end at `address` has a copy.
    fn copied_run(&self, address: &str, request_id: &str) -> String;

    /// Reads and checks a configuration.
    fn document(&self, body: &[u8]) -> Result<Document, InvalidDocument>;

    /// The call that a request to a control machine is; `None` when there is no such call.
    fn call(&self, method: &Method, uri: &Uri) -> Option<ControlCall>;

    /// Reads a back end's word.
    fn heartbeat(&self, instance: &InstanceId, body: &[u8]) -> Result<Heartbeat, InvalidCall>;

    /// Reads which weights are named.
    fn weights(&self, body: &[u8]) -> Result<(ModelName, u64), InvalidCall>;

    /// The answer to a caller who asks for routers.
    fn directory(&self, addresses: &[String], ttl: Duration) -> Bytes;

    /// An order to a back end.
    fn order(&self, order: &Order) -> OutboundCall;

    /// A question to a back end.
    fn report_call(&self) -> OutboundCall;

    /// Reads a back end's answer to the question.
    fn report(&self, body: &[u8]) -> Result<Report, InvalidCall>;

    /// Asks a store what changed; it may wait so long until something does.
    fn store_events_call(&self, since: u64, wait: Duration) -> OutboundCall;

    /// Reads a store's answer.
    fn store_events(&self, body: &[u8]) -> Result<StoreEvents, InvalidCall>;

    /// Asks a store for all that it holds.
    fn store_list_call(&self) -> OutboundCall;

    /// Reads a store's list.
    fn store_list(&self, body: &[u8]) -> Result<Vec<StoredKey>, InvalidCall>;
}
