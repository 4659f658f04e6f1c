//! Bodies that are kept in several pieces of memory.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};

use crate::Body;

/// The bytes of a body in segments, none of which is empty. Clones share the memory.
#[derive(Debug, Clone)]
pub struct SegmentedBytes {
    segments: Arc<[Bytes]>,
    len: usize,
}

impl SegmentedBytes {
    /// The bytes of these segments, one after the other.
    pub fn new(segments: impl IntoIterator<Item = Bytes>) -> Self {
        let segments = segments.into_iter().filter(|segment| !segment.is_empty());
        let segments: Arc<[Bytes]> = segments.collect();
        let len = segments.iter().map(Bytes::len).sum();
        Self { segments, len }
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The segments in their order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }
}

impl From<SegmentedBytes> for Body {
    fn from(bytes: SegmentedBytes) -> Self {
        let left = bytes.len;
        let body = SegmentedBody { bytes, next: 0, left };
        body.map_err(|never| match never {}).boxed_unsync()
    }
}

/// Passes on one segment after the other.
struct SegmentedBody {
    bytes: SegmentedBytes,
    /// The index of the next segment.
    next: usize,
    /// The number of bytes that have not been passed on.
    left: usize,
}

impl hyper::body::Body for SegmentedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let segment = self.bytes.segments.get(self.next).cloned();
        self.next += 1;
        self.left -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

#[cfg(test)]
mod tests;
