//! Bodies of requests and responses.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use serde::Serialize;
use thiserror::Error;

use crate::budget::{BodyBuffer, ByteBudget};

/// A body of a request or a response; an error in it ends the body early, and the other side can tell.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a body could not be read completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is over {limit} bytes; send less")]
    TooLarge {
        /// The largest size allowed, in bytes.
        limit: usize,
    },
    /// The connection ended before the body did.
    #[error("the body ended early: {0}")]
    Truncated(String),
    /// Other bodies need all of the memory.
    #[error("there is no memory for the body; try again later")]
    NoMemory,
}

/// An empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body whose bytes are all known.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A plain-text response.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let plain = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// A JSON response; a value that can't be serialized yields status 500.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = match serde_json::to_vec(value) {
        Ok(bytes) => bytes,
        Err(error) => return text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Reads a complete body, up to a limit in bytes.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body_util::BodyExt<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    read_into(body, BodyBuffer::new(limit, None), limit, || {}).await
}

/// Reads a complete body, up to a limit in bytes, into memory that it shares with other bodies until the last of its bytes is dropped.
pub async fn read_within<B>(body: B, limit: usize, budget: &ByteBudget) -> Result<Bytes, BodyError>
where
    B: http_body_util::BodyExt<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut buffer = BodyBuffer::new(limit, Some(budget));
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Truncated(error.into().to_string()))?;
        if let Ok(data) = frame.into_data() {
            if buffer.as_ref().len() + data.len() > limit {
                return Err(BodyError::TooLarge { limit });
            }
            buffer.push(&data).map_err(|_| BodyError::NoMemory)?;
        }
    }
    Ok(buffer.into_reserved_bytes())
}

/// Reads a complete body into a buffer for `limit` bytes, and calls `on_data` for each part.
pub(crate) async fn read_into<B>(
    body: B,
    mut buffer: BodyBuffer,
    limit: usize,
    on_data: impl Fn(),
) -> Result<Bytes, BodyError>
where
    B: http_body_util::BodyExt<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Truncated(error.into().to_string()))?;
        on_data();
        if let Ok(data) = frame.into_data() {
            buffer.push(&data).map_err(|_| BodyError::TooLarge { limit })?;
        }
    }
    Ok(buffer.into_bytes())
}
