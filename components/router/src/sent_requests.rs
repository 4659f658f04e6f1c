//! The requests that one incarnation of an endpoint has from this router, and which of them may have crashed it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use quarantine::{Digest, Fingerprint, UnixMillis};
use tokio::time::Instant;

/// A request that crashes its endpoint does so soon after it started to run. One whose answer has been arriving for this
/// long is not to blame.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Of the requests that were cut or whose callers left, those within this time may have been running when the endpoint
/// crashed. Its connections close within milliseconds of each other; a caller may have left just before.
pub(crate) const CUT_WINDOW: Duration = Duration::from_secs(1);
/// A part of a prompt that crashes endpoints does so when the answer on it begins. An endpoint that is heard from this long
/// after the first data of an answer has survived it.
const SOUND_AFTER: Duration = Duration::from_millis(500);
/// The most requests of which it is remembered that their answers have begun.
const MAX_BEGUN_REQUESTS: usize = 256;
/// The most cut requests that are remembered: more than an endpoint has at once.
const MAX_CUT_REQUESTS: usize = 256;

/// A request that was sent to the endpoint.
#[derive(Debug, Clone)]
struct SentRequest {
    id: u64,
    fingerprint: Arc<Fingerprint>,
    /// When the answer began.
    answer_began: Option<Instant>,
    /// When the first data of the answer arrived.
    data_began: Option<Instant>,
}

impl SentRequest {
    fn may_have_crashed(&self, now: Instant) -> bool {
        self.answer_began.is_none_or(|began| now - began < CRASH_WINDOW)
    }

    /// Whether the request went on for so long that no part of its prompt crashes the endpoint.
    fn is_sound(&self, now: Instant) -> bool {
        self.data_began.is_some_and(|began| now - began >= SOUND_AFTER)
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
    is_sound: bool,
}

/// A request that may have crashed its endpoint.
#[derive(Debug, Clone)]
pub(crate) struct CrashCandidate {
    pub(crate) fingerprint: Arc<Fingerprint>,
    /// Whether it went on for so long that no part of its prompt has crashed the endpoint.
    pub(crate) is_sound: bool,
}

/// A request whose answer has begun at an endpoint that may not have survived it yet.
#[derive(Debug, Clone)]
struct BegunRequest {
    id: u64,
    request: SurvivedRequest,
    since: Instant,
}

impl BegunRequest {
    fn is_survived(&self, now: Instant) -> bool {
        now - self.since >= SOUND_AFTER
    }
}

/// A request that its endpoint has survived.
#[derive(Debug, Clone)]
pub(crate) struct SurvivedRequest {
    pub(crate) fingerprint: Arc<Fingerprint>,
    /// When its answer began.
    pub(crate) began: UnixMillis,
}

/// Identifies one request among [`SentRequests`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentRequestId(u64);

/// The requests of one incarnation.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    running: Vec<SentRequest>,
    cut: VecDeque<CutRequest>,
    /// In the order in which their answers began.
    begun: VecDeque<BegunRequest>,
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
        self.running.push(SentRequest {
            id: self.last_id,
            fingerprint,
            answer_began: None,
            data_began: None,
        });
        SentRequestId(self.last_id)
    }

    /// Records that the answer to a request has begun.
    pub(crate) fn answer_began(&mut self, id: SentRequestId, now: Instant) {
        let request = self.running.iter_mut().find(|request| request.id == id.0);
        if let Some(request) = request {
            request.answer_began.get_or_insert(now);
        }
    }

    /// Records that the first data of an answer has arrived; `began` is the time by the clocks of all routers.
    pub(crate) fn data_began(&mut self, id: SentRequestId, began: UnixMillis, now: Instant) {
        let request = self.running.iter_mut().find(|request| request.id == id.0);
        let Some(request) = request.filter(|request| request.data_began.is_none()) else { return };
        request.data_began = Some(now);
        if request.fingerprint.parts.is_empty() {
            return;
        }
        if self.begun.len() == MAX_BEGUN_REQUESTS {
            self.begun.pop_front();
        }
        let request = SurvivedRequest { fingerprint: request.fingerprint.clone(), began };
        self.begun.push_back(BegunRequest { id: id.0, request, since: now });
    }

    /// Whether the endpoint has survived requests if it is heard from now.
    pub(crate) fn has_survived(&self, now: Instant) -> bool {
        self.begun.front().is_some_and(|begun| begun.is_survived(now))
    }

    /// Returns the requests that the endpoint has survived, since it was heard from now. Answers that began before `stall` don't
    /// show that: this router was suspended, and what it reads now may have been sent long before.
    pub(crate) fn take_survived(
        &mut self,
        now: Instant,
        stall: Option<Instant>,
    ) -> Vec<SurvivedRequest> {
        let survived = self.begun.iter().take_while(|begun| begun.is_survived(now)).count();
        let survived = self.begun.drain(..survived);
        let reliable = survived.filter(|begun| stall.is_none_or(|stall| begun.since > stall));
        reliable.map(|begun| begun.request).collect()
    }

    /// Records that a request is over. Returns whether it may be to blame if the endpoint has crashed.
    pub(crate) fn end(&mut self, id: SentRequestId, end: RunEnd, now: Instant) -> bool {
        let Some(index) = self.running.iter().position(|request| request.id == id.0) else {
            return false;
        };
        let request = self.running.swap_remove(index);
        if end != RunEnd::Survived {
            self.begun.retain(|begun| begun.id != id.0);
        }
        if end == RunEnd::Survived || !request.may_have_crashed(now) {
            return false;
        }
        if self.cut.len() == MAX_CUT_REQUESTS {
            self.cut.pop_front();
        }
        let may_be_complete = end == RunEnd::WithConnection;
        let is_sound = request.is_sound(now);
        let fingerprint = request.fingerprint;
        self.cut.push_back(CutRequest { fingerprint, at: now, may_be_complete, is_sound });
        true
    }

    /// The requests that may be to blame if the endpoint has just crashed.
    pub(crate) fn crash_candidates(&self, now: Instant) -> Vec<CrashCandidate> {
        let running = self.running_candidates(now).map(|request| CrashCandidate {
            fingerprint: request.fingerprint.clone(),
            is_sound: request.is_sound(now),
        });
        let cut = self.cut_candidates(now).map(|cut| CrashCandidate {
            fingerprint: cut.fingerprint.clone(),
            is_sound: cut.is_sound,
        });
        running.chain(cut).collect()
    }

    fn running_candidates(&self, now: Instant) -> impl Iterator<Item = &SentRequest> {
        self.running.iter().filter(move |request| request.may_have_crashed(now))
    }

    fn cut_candidates(&self, now: Instant) -> impl Iterator<Item = &CutRequest> {
        self.cut.iter().filter(move |cut| now - cut.at < CUT_WINDOW)
    }

    /// Whether a request is among those that may be to blame.
    pub(crate) fn is_candidate(&self, digest: &Digest, now: Instant) -> bool {
        self.running_candidates(now).any(|request| request.fingerprint.request == *digest)
            || self.cut_candidates(now).any(|cut| cut.fingerprint.request == *digest)
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
