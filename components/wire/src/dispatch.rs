//! Headers and trailers of the request streams between an entry and an agent.

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use timeline::Tick;
use tree::Class;
use units::{AdapterName, CallerGroup, Incarnation, InstanceId, ModelName, RequestId, Span};

use crate::{PrefixUpdate, Refusal, UnknownCause};

/// The path to which requests are dispatched.
pub const DISPATCH_PATH: &str = "/dispatch";
/// The path at which an entry asks for the rest of an answer.
pub const RESUME_PATH: &str = "/resume";

const REQUEST_HEADER: &str = "hyssop-head";
const REPORT_HEADER: &str = "hyssop-report";
const END_TRAILER: &str = "hyssop-end";

/// The header of a dispatched request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The id of the request.
    pub request: RequestId,
    /// The entry that sends the request.
    pub entry: InstanceId,
    /// The agent incarnation that the request is sent to.
    pub incarnation: Incarnation,
    /// The model, as callers name it; `None` for plain services.
    pub model: Option<ModelName>,
    /// The adapter, if the request names one.
    pub adapter: Option<AdapterName>,
    /// The priority class.
    pub class: Class,
    /// The caller's group.
    pub group: CallerGroup,
    /// The time left until the deadline when the entry sends the request.
    pub budget: Span,
    /// Whether the request may be retried after it may have run.
    pub repeatable: bool,
    /// The HTTP method of the caller's request.
    pub method: String,
    /// The path and query of the caller's request at the endpoint.
    pub path: String,
    /// The content type of the caller's request.
    pub content: String,
    /// The sender's logical clock.
    pub tick: Tick,
}

/// Asks for the rest of an answer. For a request that the agent has never received, the agent records a tombstone, so
/// that it never runs, and answers `Refusal::Cancelled`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The id of the request.
    pub request: RequestId,
    /// The agent incarnation that received the request.
    pub incarnation: Incarnation,
    /// The position of the first missing byte of the answer.
    pub from: u64,
    /// Whether to cancel the request instead of answering it.
    pub cancel: bool,
    /// The sender's logical clock.
    pub tick: Tick,
}

/// The load of an agent, which it reports with every answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of requests waiting for the model at this endpoint.
    pub waiting: u32,
    /// The number of requests running on the model at this endpoint.
    pub running: u32,
    /// Whether the model is loaded.
    pub warm: bool,
    /// How many of the model's replicas, by index from 0, are active or being activated, as far as the agent knows.
    pub awake: u32,
    /// How long a new request would wait.
    pub wait: Span,
    /// The sender's logical clock.
    pub tick: Tick,
    /// Changes of the model's prompt prefixes in the engine's cache, if the engine reports them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefixes: Option<PrefixUpdate>,
}

/// How the stream of an answer ended; a stream without this trailer was interrupted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum ResponseEnd {
    /// The answer is complete.
    Whole {
        /// The length of the answer in bytes.
        length: u64,
    },
    /// The endpoint failed while it sent the answer.
    Failed(UnknownCause),
}

/// Why a header or trailer can't be read.
#[derive(Debug, Error)]
#[error("the header `{name}` is missing or wrong: {cause}")]
pub struct InvalidHeader {
    name: &'static str,
    cause: String,
}

fn write_header<T: Serialize>(name: &'static str, value: &T, headers: &mut HeaderMap) {
    let text = serde_json::to_vec(value).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_bytes(&text) {
        headers.insert(name, value);
    }
}

fn read_header<T: DeserializeOwned>(
    name: &'static str,
    headers: &HeaderMap,
) -> Result<T, InvalidHeader> {
    let value = headers
        .get(name)
        .ok_or_else(|| InvalidHeader { name, cause: "it is missing".to_owned() })?;
    serde_json::from_slice(value.as_bytes())
        .map_err(|error| InvalidHeader { name, cause: error.to_string() })
}

macro_rules! impl_header_codec {
    ($kind:ident, $name:ident) => {
        impl $kind {
            /// Writes the value to its header.
            pub fn write(&self, headers: &mut HeaderMap) {
                write_header($name, self, headers);
            }

            /// Reads the value from its header.
            pub fn read(headers: &HeaderMap) -> Result<Self, InvalidHeader> {
                read_header($name, headers)
            }
        }
    };
}

impl_header_codec!(Dispatch, REQUEST_HEADER);
impl_header_codec!(Resume, REQUEST_HEADER);
impl_header_codec!(Report, REPORT_HEADER);

/// The trailers that end the stream of an answer.
pub fn end_trailers(end: &ResponseEnd) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    write_header(END_TRAILER, end, &mut trailers);
    trailers
}

/// Reads from the trailers how the stream of an answer ended.
pub fn parse_end_trailers(trailers: &HeaderMap) -> Result<ResponseEnd, InvalidHeader> {
    read_header(END_TRAILER, trailers)
}

/// The response for a refusal, and its body: the refusal as JSON.
pub fn refusal_response(refusal: &Refusal) -> (Response<()>, Vec<u8>) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::CONFLICT;
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    (response, serde_json::to_vec(refusal).unwrap_or_default())
}
