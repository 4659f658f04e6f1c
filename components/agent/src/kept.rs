//! The bytes of an answer, kept for readers that come again.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, StatusCode};
use wire::UnknownCause;

use crate::slot::Progress;

/// How far the endpoint may be ahead of the readers, in bytes.
const AHEAD: u64 = 4 << 20;

/// How many bytes are kept behind the readers of a longer answer.
const BEHIND: u64 = 1 << 20;

/// How many bytes of answers are kept by all slots of a table.
pub(crate) type KeptBytes = Arc<AtomicU64>;

/// The head of an answer.
#[derive(Debug, Clone)]
pub(crate) struct AnswerHead {
    pub(crate) status: StatusCode,
    pub(crate) content: Option<HeaderValue>,
}

impl AnswerHead {
    /// Whether the answer comes as a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.content.as_ref().is_some_and(sse::is_event_stream)
    }
}

/// An answer as far as it is here. Of one that is longer than a few MiB only what is near its readers is kept.
#[derive(Debug)]
pub(crate) struct Answer {
    head: AnswerHead,
    /// Where the first chunk begins.
    base: u64,
    chunks: VecDeque<Bytes>,
    length: u64,
    taken: u64,
    kept: KeptBytes,
}

impl Answer {
    pub(crate) fn new(head: AnswerHead, kept: KeptBytes) -> Self {
        Self { head, base: 0, chunks: VecDeque::new(), length: 0, taken: 0, kept }
    }

    pub(crate) fn head(&self) -> AnswerHead {
        self.head.clone()
    }

    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    pub(crate) fn push(&mut self, bytes: Bytes) {
        let count = bytes.len() as u64;
        self.length += count;
        self.kept.fetch_add(count, Ordering::Relaxed);
        self.chunks.push_back(bytes);
    }

    /// Whether the endpoint should wait for the readers.
    pub(crate) fn is_ahead(&self) -> bool {
        self.length - self.taken > AHEAD
    }

    /// Notes that a reader was given the bytes up to `upto`, and drops what is far behind it.
    pub(crate) fn taken(&mut self, upto: u64) {
        self.taken = self.taken.max(upto);
        while let Some(first) = self.chunks.front() {
            let end = self.base + first.len() as u64;
            if end + BEHIND > self.taken {
                break;
            }
            self.kept.fetch_sub(first.len() as u64, Ordering::Relaxed);
            self.base = end;
            self.chunks.pop_front();
        }
    }

    /// The same with its chunks in one piece, since many small ones take more memory.
    pub(crate) fn joined(mut self) -> Self {
        let size = self.chunks.iter().map(Bytes::len).sum();
        let mut all = BytesMut::with_capacity(size);
        for chunk in self.chunks.drain(..) {
            all.extend_from_slice(&chunk);
        }
        if !all.is_empty() {
            self.chunks.push_back(all.freeze());
        }
        self
    }

    /// Drops all bytes; says how many.
    pub(crate) fn forget(&mut self) -> u64 {
        let count = self.length - self.base;
        self.chunks.clear();
        self.base = self.length;
        self.kept.fetch_sub(count, Ordering::Relaxed);
        count
    }

    /// What is here from a byte on.
    pub(crate) fn after(&self, from: u64) -> Progress {
        let Some(skip) = from.checked_sub(self.base) else {
            return Progress::Unknown(UnknownCause::AnswerDropped);
        };
        let mut skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = Vec::new();
        for chunk in &self.chunks {
            let start = skip.min(chunk.len());
            skip -= start;
            if start < chunk.len() {
                bytes.push(chunk.slice(start..));
            }
        }
        Progress::Bytes(self.head(), bytes)
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.forget();
    }
}

#[cfg(test)]
mod tests;
