//! How the receiver of a response finds the end of its body.

use std::fmt;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{StatusCode, response};

/// What marks the end of the body of an HTTP/1.1 response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A stated length.
    Length,
    /// A final chunk.
    Chunked,
    /// The end of the connection. A sender that fails in the middle may end it in the same way.
    Close,
}

impl Framing {
    /// The framing of a response with this head.
    pub fn of(head: &response::Parts) -> Self {
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if has_no_body || head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

#[cfg(test)]
mod tests;
