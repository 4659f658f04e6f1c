//! Bodies of requests and responses.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use serde::Serialize;
use thiserror::Error;

/// A body of either direction; an error ends it early, which the other side sees.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Why a body could not be read whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is over {limit} bytes; send less")]
    TooLarge {
        /// The most bytes allowed.
        limit: usize,
    },
    /// The connection ended within it.
    #[error("the body ended early: {0}")]
    Truncated(String),
}

/// A body of no bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body whose bytes are all here.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response of plain text.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let plain = header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// A response of JSON; a value that can't be written becomes a 500.
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

/// Reads a body whole, up to a limit in bytes.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: http_body_util::BodyExt<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge { limit })
        }
        Err(error) => Err(BodyError::Truncated(error.to_string())),
    }
}
