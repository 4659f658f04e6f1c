//! Headers and trailers of request streams between entry and agent.

use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use timeline::Tick;
use tree::Class;
use units::{AdapterName, CallerGroup, Incarnation, InstanceId, ModelName, RequestId, Span};

use crate::{PrefixUpdate, Refusal, UnknownCause};

/// The path of a dispatch.
pub const DISPATCH_PATH: &str = "/dispatch";
/// The path of a resume.
pub const RESUME_PATH: &str = "/resume";

const HEAD: &str = "hyssop-head";
const REPORT: &str = "hyssop-report";
const END: &str = "hyssop-end";

/// The head of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The entry that sends it.
    pub entry: InstanceId,
    /// The agent incarnation it is meant for.
    pub incarnation: Incarnation,
    /// The model as callers name it; `None` for plain services.
    pub model: Option<ModelName>,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The priority class.
    pub class: Class,
    /// The caller's group.
    pub group: CallerGroup,
    /// Time left until the deadline, as the entry sends it.
    pub budget: Span,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// The method of the caller's call.
    pub method: String,
    /// The path and query of the caller's call at the endpoint.
    pub path: String,
    /// The content type of the caller's call.
    pub content: String,
    /// The sender's logical clock.
    pub tick: Tick,
}

/// Asks for the rest of an answer; a request the agent has never seen gets a tombstone and `Refusal::Cancelled`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request.
    pub request: RequestId,
    /// The agent incarnation that had it.
    pub incarnation: Incarnation,
    /// The first byte that is missing.
    pub from: u64,
    /// Whether the request shall be cancelled rather than answered.
    pub cancel: bool,
    /// The sender's logical clock.
    pub tick: Tick,
}

/// What an agent says of itself on every answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests waiting for the model at this endpoint.
    pub waiting: u32,
    /// Requests running on the model at this endpoint.
    pub running: u32,
    /// Whether the model is loaded.
    pub warm: bool,
    /// How many of the model's replicas, by index from 0, are awake or waking as far as the agent knows.
    pub awake: u32,
    /// How long a new request would wait.
    pub wait: Span,
    /// The sender's logical clock.
    pub tick: Tick,
    /// News of the model's prompt prefixes in the engine's cache, if the engine tells of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefixes: Option<PrefixUpdate>,
}

/// How the stream of an answer ended; a stream with no end was cut.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum ResponseEnd {
    /// The answer is whole.
    Whole {
        /// Its length in bytes.
        length: u64,
    },
    /// The endpoint failed within it.
    Failed(UnknownCause),
}

/// Why a head can't be read.
#[derive(Debug, Error)]
#[error("the header `{name}` is missing or wrong: {cause}")]
pub struct InvalidHeader {
    name: &'static str,
    cause: String,
}

fn put<T: Serialize>(name: &'static str, value: &T, headers: &mut HeaderMap) {
    let text = serde_json::to_vec(value).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_bytes(&text) {
        headers.insert(name, value);
    }
}

fn take<T: DeserializeOwned>(name: &'static str, headers: &HeaderMap) -> Result<T, InvalidHeader> {
    let value = headers
        .get(name)
        .ok_or_else(|| InvalidHeader { name, cause: "it is missing".to_owned() })?;
    serde_json::from_slice(value.as_bytes())
        .map_err(|error| InvalidHeader { name, cause: error.to_string() })
}

macro_rules! in_header {
    ($kind:ident, $name:ident) => {
        impl $kind {
            /// Writes it to the header.
            pub fn write(&self, headers: &mut HeaderMap) {
                put($name, self, headers);
            }

            /// Reads it from the header.
            pub fn read(headers: &HeaderMap) -> Result<Self, InvalidHeader> {
                take($name, headers)
            }
        }
    };
}

in_header!(Dispatch, HEAD);
in_header!(Resume, HEAD);
in_header!(Report, REPORT);

/// The trailers that end an answer.
pub fn end_trailers(end: &ResponseEnd) -> HeaderMap {
    let mut trailers = HeaderMap::new();
    put(END, end, &mut trailers);
    trailers
}

/// Reads the end of an answer from its trailers.
pub fn parse_end_trailers(trailers: &HeaderMap) -> Result<ResponseEnd, InvalidHeader> {
    take(END, trailers)
}

/// The response that carries a refusal; its body is the refusal as JSON.
pub fn refusal_response(refusal: &Refusal) -> (Response<()>, Vec<u8>) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::CONFLICT;
    response.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    (response, serde_json::to_vec(refusal).unwrap_or_default())
}
