//! Requests that are refused before anything is asked of an endpoint.

use http::StatusCode;
use thiserror::Error;
use tree::ResolveError;
use units::Span;

/// What is wrong with a caller's request, and what would be right.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum Invalid {
    /// A header can't be read.
    #[error("the header `{name}` is wrong: {cause}")]
    Header { name: &'static str, cause: String },
    /// The body is not what the route takes.
    #[error("the body is wrong: {0}")]
    Body(String),
    /// The body did not arrive whole.
    #[error("the body did not arrive whole: {0}")]
    Cut(String),
    /// The body is too large.
    #[error("the body is over {limit} bytes; send less")]
    Large { limit: usize },
    /// The bodies of other requests need all of the memory.
    #[error("there is no memory for the body; try again later")]
    NoMemory,
    /// The path leads nowhere.
    #[error(
        "no route `{0}`; use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/"
    )]
    Route(String),
    /// The route takes another method.
    #[error("`{path}` takes {method} only")]
    Method { path: String, method: &'static str },
    /// No leaf has the name.
    #[error("{0}")]
    Name(#[from] ResolveError),
    /// The deadline had passed on arrival.
    #[error("the deadline of {deadline} had passed when the request was read; allow more time")]
    Past { deadline: Span },
}

impl Invalid {
    /// The status that the caller gets.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::Header { .. } | Self::Body(_) | Self::Cut(_) => StatusCode::BAD_REQUEST,
            Self::Large { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Route(_) | Self::Name(_) => StatusCode::NOT_FOUND,
            Self::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::Past { .. } => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// The `type` of the error in the answer's body.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Header { .. } => "bad-header",
            Self::Body(_) => "bad-body",
            Self::Cut(_) => "cut-body",
            Self::Large { .. } => "long-body",
            Self::NoMemory => "no-memory",
            Self::Route(_) => "no-route",
            Self::Method { .. } => "wrong-method",
            Self::Name(ResolveError::Unknown { .. }) => "no-model",
            Self::Name(ResolveError::UnknownService { .. }) => "no-service",
            Self::Past { .. } => "late",
        }
    }
}
