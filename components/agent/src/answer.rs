//! Answers to dispatches and resumes, read from a slot.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use web::Body;
use wire::{Refusal, ResponseEnd, UnknownCause};

use crate::agent::Agent;
use crate::kept::AnswerHead;
use crate::slot::{Progress, Slot};

/// Answers with what the request's endpoint says from byte `from` on, as soon as it says something.
pub(crate) async fn from_slot(agent: &Agent, slot: Arc<Slot>, from: u64) -> Response<Body> {
    let progress = slot.opened(from).await;
    let mut response = match progress {
        Progress::Refused(refusal) => refused(&refusal),
        Progress::Unknown(cause) => unknown(&cause),
        Progress::Bytes(head, chunks) => streamed(head, Reader::new(slot.clone(), from, chunks)),
        Progress::Ended(head, end) => streamed(head, Reader::ended(slot.clone(), from, end)),
        Progress::Pending => unknown(&UnknownCause::AgentGone),
    };
    agent.report(slot.model.as_ref()).write(response.headers_mut());
    response
}

/// The response of a refusal.
pub(crate) fn refused(refusal: &Refusal) -> Response<Body> {
    let (response, body) = wire::refusal_response(refusal);
    response.map(|()| web::full(body))
}

/// The response of a request whose outcome is lost.
pub(crate) fn unknown(cause: &UnknownCause) -> Response<Body> {
    web::json(StatusCode::GONE, cause)
}

fn streamed(head: AnswerHead, reader: Reader) -> Response<Body> {
    let frames = stream::unfold(reader, Reader::frame);
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    *response.status_mut() = head.status;
    if let Some(content) = head.content {
        response.headers_mut().insert(header::CONTENT_TYPE, content);
    }
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// A reader of a slot's answer; several may read one slot.
struct Reader {
    slot: Arc<Slot>,
    at: u64,
    chunks: std::vec::IntoIter<Bytes>,
    end: Option<ResponseEnd>,
    done: bool,
}

impl Reader {
    fn new(slot: Arc<Slot>, at: u64, chunks: Vec<Bytes>) -> Self {
        Self { slot, at, chunks: chunks.into_iter(), end: None, done: false }
    }

    fn ended(slot: Arc<Slot>, at: u64, end: ResponseEnd) -> Self {
        Self { end: Some(end), ..Self::new(slot, at, Vec::new()) }
    }

    /// The next frame: bytes, then the trailers with the end.
    async fn frame(mut self) -> Option<(Result<Frame<Bytes>, std::io::Error>, Self)> {
        loop {
            if self.done {
                return None;
            }
            if let Some(bytes) = self.chunks.next() {
                self.at += bytes.len() as u64;
                self.slot.taken(self.at);
                return Some((Ok(Frame::data(bytes)), self));
            }
            if let Some(end) = self.end.take() {
                self.done = true;
                self.slot.delivered();
                return Some((Ok(Frame::trailers(wire::end_trailers(&end))), self));
            }
            match self.slot.next(self.at).await {
                Progress::Bytes(_, chunks) => self.chunks = chunks.into_iter(),
                Progress::Ended(_, end) => self.end = Some(end),
                Progress::Unknown(cause) => self.end = Some(ResponseEnd::Failed(cause)),
                Progress::Refused(_) | Progress::Pending => return None,
            }
        }
    }
}
