//! Responses whose framing is checked.

use http::{Method, Response, response};
use hyper::body::Incoming;

use crate::framing::{Framing, FramingError};

/// A response whose head states the framing of its body.
#[derive(Debug)]
pub struct CheckedResponse {
    /// The head.
    pub head: response::Parts,
    /// What marks the end of the body.
    pub framing: Framing,
    /// The body.
    pub body: Incoming,
}

impl CheckedResponse {
    /// Checks the response to a request with this method. After an error its connection must not be used again.
    pub fn new(method: &Method, response: Response<Incoming>) -> Result<Self, FramingError> {
        let (head, body) = response.into_parts();
        let framing = Framing::of(method, &head)?;
        Ok(Self { head, framing, body })
    }
}
