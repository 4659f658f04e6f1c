//! The requests that one incarnation of an endpoint has from this router, and which of them may have crashed it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use quarantine::{Digest, Fingerprint};
use tokio::time::Instant;

/// A request that crashes its endpoint does so soon after it started to run. One whose answer has been arriving for this
/// long is not to blame.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Of the requests that were cut or whose callers left, those within this time may have been running when the endpoint
/// crashed. Its connections close within milliseconds of each other; a caller may have left just before.
const CUT_WINDOW: Duration = Duration::from_secs(1);
/// The most cut requests that are remembered: more than an endpoint has at once.
const MAX_CUT_REQUESTS: usize = 256;

/// A request that was sent to the endpoint.
#[derive(Debug, Clone)]
struct SentRequest {
    id: u64,
    fingerprint: Arc<Fingerprint>,
    /// When the answer began.
    answer_began: Option<Instant>,
}

impl SentRequest {
    fn may_have_crashed(&self, now: Instant) -> bool {
        self.answer_began.is_none_or(|began| now - began < CRASH_WINDOW)
    }
}

/// How a request ended at its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The endpoint outlived the request, or never had it.
    Survived,
    /// The answer was cut, or nobody waits for it any more.
    Cut,
    /// The answer ended with its connection. It may be complete, or the endpoint may have crashed.
    WithConnection,
}

/// A request that may have been running when the endpoint crashed.
#[derive(Debug, Clone)]
struct CutRequest {
    fingerprint: Arc<Fingerprint>,
    at: Instant,
    /// Whether its answer is complete if the endpoint has not crashed.
    may_be_complete: bool,
}

/// Identifies one request among [`SentRequests`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentRequestId(u64);

/// The requests of one incarnation.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    running: Vec<SentRequest>,
    cut: VecDeque<CutRequest>,
    last_id: u64,
    /// The number of requests that are isolated from each other by the crash guard.
    pub(crate) isolated: u32,
    /// Whether the endpoint is being examined for a crash.
    examining: bool,
}

impl SentRequests {
    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, fingerprint: Arc<Fingerprint>) -> SentRequestId {
        self.last_id += 1;
        self.running.push(SentRequest { id: self.last_id, fingerprint, answer_began: None });
        SentRequestId(self.last_id)
    }

    /// Records that the answer to a request has begun.
    pub(crate) fn answer_began(&mut self, id: SentRequestId, now: Instant) {
        let request = self.running.iter_mut().find(|request| request.id == id.0);
        if let Some(request) = request {
            request.answer_began.get_or_insert(now);
        }
    }

    /// Records that a request is over. Returns whether it may be to blame if the endpoint has crashed.
    pub(crate) fn end(&mut self, id: SentRequestId, end: RunEnd, now: Instant) -> bool {
        let Some(index) = self.running.iter().position(|request| request.id == id.0) else {
            return false;
        };
        let request = self.running.swap_remove(index);
        if end == RunEnd::Survived || !request.may_have_crashed(now) {
            return false;
        }
        if self.cut.len() == MAX_CUT_REQUESTS {
            self.cut.pop_front();
        }
        let may_be_complete = end == RunEnd::WithConnection;
        let fingerprint = request.fingerprint;
        self.cut.push_back(CutRequest { fingerprint, at: now, may_be_complete });
        true
    }

    /// The requests that may be to blame if the endpoint has just crashed.
    pub(crate) fn crash_candidates(&self, now: Instant) -> Vec<Arc<Fingerprint>> {
        self.candidates(now).cloned().collect()
    }

    fn candidates(&self, now: Instant) -> impl Iterator<Item = &Arc<Fingerprint>> {
        let running = self.running.iter().filter(move |request| request.may_have_crashed(now));
        let cut = self.cut.iter().filter(move |cut| now - cut.at < CUT_WINDOW);
        running.map(|request| &request.fingerprint).chain(cut.map(|cut| &cut.fingerprint))
    }

    /// Whether a request is among those that may be to blame.
    pub(crate) fn is_candidate(&self, digest: &Digest, now: Instant) -> bool {
        self.candidates(now).any(|candidate| candidate.request == *digest)
    }

    /// Starts an examination of the endpoint. Returns false if one is in progress.
    pub(crate) fn begin_examination(&mut self) -> bool {
        !std::mem::replace(&mut self.examining, true)
    }

    /// Ends an examination that found no crash, or had no result. Returns the requests whose answers are complete if there
    /// was no crash.
    pub(crate) fn clear_candidates(&mut self) -> Vec<Digest> {
        self.examining = false;
        let cut = self.cut.drain(..).filter(|cut| cut.may_be_complete);
        cut.map(|cut| cut.fingerprint.request).collect()
    }
}

#[cfg(test)]
mod tests;
