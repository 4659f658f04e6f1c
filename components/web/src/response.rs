//! Responses whose framing is checked.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http::{Method, Response, response};
use hyper::body::{Body, Frame, Incoming};
use thiserror::Error;

use crate::framing::{self, CloseDelimitedCheck, Framing, FramingError, Progress};

/// A response whose head states the framing of its body.
#[derive(Debug)]
pub struct CheckedResponse {
    /// The head.
    pub head: response::Parts,
    /// What marks the end of the body.
    pub framing: Framing,
    /// The body.
    pub body: CheckedBody,
}

impl CheckedResponse {
    /// Checks the response to a request with this method. After an error its connection must not be used again.
    pub fn new(method: &Method, response: Response<Incoming>) -> Result<Self, FramingError> {
        let (mut head, body) = response.into_parts();
        let framing = Framing::of(method, &head)?;
        framing::merge_lengths(&mut head.headers);
        let check = (framing == Framing::Close).then(CloseDelimitedCheck::default);
        Ok(Self { head, framing, body: CheckedBody { body, check, held: BytesMut::new() } })
    }
}

/// Why a body broke off.
#[derive(Debug, Error)]
pub enum BrokenBody {
    /// The connection failed.
    #[error(transparent)]
    Transport(#[from] hyper::Error),
    /// The body shows that its head was broken.
    #[error(transparent)]
    Framing(#[from] FramingError),
}

/// The body of a response. Where the head leaves its end to the connection, the body itself must not show that this is wrong.
#[derive(Debug)]
pub struct CheckedBody {
    body: Incoming,
    check: Option<CloseDelimitedCheck>,
    /// The start of the body, until it is known to be no part of the head.
    held: BytesMut,
}

impl CheckedBody {
    /// Sets that the body is a stream of events.
    pub fn expect_events(&mut self) {
        if let Some(check) = &mut self.check {
            check.expect_events();
        }
    }

    /// Checks the next part of the body; returns what may be passed on.
    fn check_part(&mut self, part: Bytes) -> Result<Option<Bytes>, FramingError> {
        let Some(check) = &mut self.check else { return Ok(Some(part)) };
        match check.push(&part)? {
            Progress::Sound if self.held.is_empty() => Ok(Some(part)),
            Progress::Sound => {
                self.held.extend_from_slice(&part);
                Ok(Some(self.held.split().freeze()))
            }
            Progress::Undecided => {
                self.held.extend_from_slice(&part);
                Ok(None)
            }
        }
    }

    /// Checks that the body may end here; returns what was held until now.
    fn finish(&mut self) -> Result<Option<Bytes>, FramingError> {
        if let Some(check) = self.check.take() {
            check.finish()?;
        }
        Ok((!self.held.is_empty()).then(|| self.held.split().freeze()))
    }
}

impl Body for CheckedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => {
                    let rest = self.finish().map_err(BrokenBody::from).transpose();
                    return Poll::Ready(rest.map(|rest| rest.map(Frame::data)));
                }
                Some(frame) => frame?,
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Some(part) = self.check_part(data)? {
                return Poll::Ready(Some(Ok(Frame::data(part))));
            }
        }
    }
}
