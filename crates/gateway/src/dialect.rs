//! The protocol of callers, back ends and operators, as far as the gateway has to interpret it.

use std::time::Duration;

use bytes::Bytes;
use drumshore_gateway_core::{
    BackEndNotice, BackEndReport, Document, Heartbeat, InstanceId, InvalidDocument, ModelName,
    Order, Prompt, StoredKey,
};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode, Uri};

/// The names of the headers that the gateway reads or writes.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies a request; back ends return it with the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller waits for the answer.
    pub deadline_ms: HeaderName,
    /// The caller's API key.
    pub key: HeaderName,
    /// The tenant that owns the key, sent to the back end.
    pub tenant: HeaderName,
    /// The incarnation of a back end that a request is intended for.
    pub expect_instance: HeaderName,
    /// The version of the weights that a request is intended for.
    pub expect_version: HeaderName,
    /// The incarnation of the back end that answered.
    pub instance: HeaderName,
    /// On an answer: the back end did not run the request and will not.
    pub not_run: HeaderName,
    /// On an answer to a request that ran: the proof that a back end gave it. A success without it is not one of a back
    /// end, so it is not forwarded, and neither is a status by which callers send a request again. `None` where back ends
    /// give no proof.
    pub proof: Option<HeaderName>,
    /// Priority of a request; 0 is most urgent.
    pub priority: HeaderName,
    /// Requests share cached prompts only if this value is the same.
    pub cache_salt: HeaderName,
    /// The address from which the back end fetches the cached parts of the prompt that it lacks.
    pub cache_fetch: HeaderName,
    /// The address to which the back end saves the parts of the prompt that it computed.
    pub cache_save: HeaderName,
    /// The back end to which the memory of a run is copied continuously.
    pub run_copy: HeaderName,
    /// The copied run that a request resumes.
    pub copied_run: HeaderName,
    /// The identifier of the last event of a stream that the caller received.
    pub last_event_id: HeaderName,
    /// On a request that takes up a stream: the [`HeaderNames::request_id`] of the attempt that brought its first event.
    pub taken_up_request: HeaderName,
    /// Other headers that only the gateway may set.
    pub reserved: Vec<HeaderName>,
}

/// A call to a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// An operator replaces the configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    GetConfiguration,
    /// An operator sets the version of a model's weights that back ends are to load.
    SetTargetWeights,
    /// A back end reports that it is running.
    Heartbeat(InstanceId),
    /// A back end reports that it has stopped.
    Deregister(InstanceId),
    /// A caller requests the addresses of routers.
    Directory {
        /// The caller's zone.
        zone: String,
    },
}

/// A call with an invalid body; the text gives the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unreadable call: {0}")]
pub struct InvalidCall(pub String);

/// A call to a back end.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    /// The HTTP method.
    pub method: Method,
    /// The path, with the query if there is one.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
    /// The content type of the body; not sent without one.
    pub content_type: &'static str,
    /// Additional headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// Changes to the contents of a store of cached prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEvents {
    /// Changes when the store restarts empty.
    pub epoch: u64,
    /// The position from which the next query continues.
    pub next: u64,
    /// True when earlier events were dropped, so that the list must be read again.
    pub lost: bool,
    /// Prompt parts that were added or removed, in order.
    pub events: Vec<StoreEvent>,
}

/// A prompt part that was added to a store or removed from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEvent {
    /// True when it was added, false when it was removed.
    pub is_added: bool,
    /// The key of the part.
    pub key: StoredKey,
}

/// Translates between the gateway's types and the protocol of callers, back ends and operators. Holds no state.
pub trait Dialect: 'static {
    /// The names of the headers that this protocol uses.
    fn headers(&self) -> &HeaderNames;

    /// The content type of the bodies that the gateway writes.
    fn content_type(&self) -> &'static str;

    /// Reads the description of a request's prompt; `None` when there is none.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Tokens of the prompt plus the maximum that may be generated, when the request declares them.
    fn declared_tokens(&self, headers: &HeaderMap) -> Option<u32>;

    /// Reads the status notice of a back end from the head of its answer.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> BackEndNotice;

    /// Whether a header of an answer is interpreted, or is known to be irrelevant.
    fn is_known_header(&self, header: &HeaderName) -> bool;

    /// The value of [`HeaderNames::copied_run`] for a copy of the run of `request_id` at the back end at `address`.
    fn copied_run(&self, address: &str, request_id: &str) -> String;

    /// Parses and validates a configuration.
    fn document(&self, body: &[u8]) -> Result<Document, InvalidDocument>;

    /// Maps a request to a control machine to a call; `None` when there is no such call.
    fn call(&self, method: &Method, uri: &Uri) -> Option<ControlCall>;

    /// Parses a back end's heartbeat.
    fn heartbeat(&self, instance: &InstanceId, body: &[u8]) -> Result<Heartbeat, InvalidCall>;

    /// The fields of a heartbeat that are neither read nor known to be irrelevant.
    fn unknown_heartbeat_fields(&self, body: &[u8]) -> Vec<String>;

    /// The same of a configuration.
    fn unknown_configuration_fields(&self, body: &[u8]) -> Vec<String>;

    /// Parses the model and the version of its weights that an operator sets.
    fn weights(&self, body: &[u8]) -> Result<(ModelName, u64), InvalidCall>;

    /// The body of the answer to a caller that requests the addresses of routers.
    fn directory(&self, addresses: &[String], ttl: Duration) -> Bytes;

    /// The call that gives an order to a back end.
    fn order(&self, order: &Order) -> OutboundCall;

    /// The call that requests a report of a back end's state.
    fn report_call(&self) -> OutboundCall;

    /// Parses a back end's report.
    fn report(&self, body: &[u8]) -> Result<BackEndReport, InvalidCall>;

    /// The call that queries a store for changes since a position; the store may wait up to `wait` for the next change.
    fn store_events_call(&self, since: u64, wait: Duration) -> OutboundCall;

    /// Parses the changes that a store returned.
    fn store_events(&self, body: &[u8]) -> Result<StoreEvents, InvalidCall>;

    /// The call that lists everything a store holds.
    fn store_list_call(&self) -> OutboundCall;

    /// Parses a store's list.
    fn store_list(&self, body: &[u8]) -> Result<Vec<StoredKey>, InvalidCall>;
}
