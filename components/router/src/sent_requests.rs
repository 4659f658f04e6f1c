//! Requests that one life of an endpoint has from this router, and who may be to blame if it ends.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use quarantine::Digest;
use tokio::time::Instant;

/// A request that crashes its endpoint does so soon after it has begun to run: one that has sent for longer is not to blame.
const YOUNG: Duration = Duration::from_secs(3);
/// Of requests that were cut or left, those of this time may have been at work when the endpoint ended. Its connections close
/// within milliseconds of each other; a caller may have left just before.
const LATELY: Duration = Duration::from_secs(1);
/// Cut requests that are remembered: more than an endpoint has at once.
const MOST: usize = 256;

/// One request.
#[derive(Debug, Clone, Copy)]
struct Run {
    number: u64,
    digest: Digest,
    /// Since when it answers.
    begun: Option<Instant>,
}

impl Run {
    fn young(&self, now: Instant) -> bool {
        self.begun.is_none_or(|begun| now - begun < YOUNG)
    }
}

/// What stands for one request among [`SentRequests`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentRequestId(u64);

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    running: Vec<Run>,
    cut: VecDeque<(Digest, Instant)>,
    next: u64,
    /// Those that are to be kept from each other.
    pub(crate) isolated: u32,
    /// Whether somebody finds out whether the endpoint has ended.
    examined: bool,
}

impl SentRequests {
    /// A request is sent.
    pub(crate) fn begin(&mut self, digest: Digest) -> SentRequestId {
        self.next += 1;
        self.running.push(Run { number: self.next, digest, begun: None });
        SentRequestId(self.next)
    }

    /// It answers.
    pub(crate) fn answer_began(&mut self, ticket: SentRequestId, now: Instant) {
        let run = self.running.iter_mut().find(|run| run.number == ticket.0);
        if let Some(run) = run {
            run.begun.get_or_insert(now);
        }
    }

    /// It is over; `whole`: the endpoint outlived it, or never had it.
    pub(crate) fn end(&mut self, ticket: SentRequestId, whole: bool, now: Instant) {
        let Some(place) = self.running.iter().position(|run| run.number == ticket.0) else {
            return;
        };
        let run = self.running.swap_remove(place);
        if whole || !run.young(now) {
            return;
        }
        if self.cut.len() == MOST {
            self.cut.pop_front();
        }
        self.cut.push_back((run.digest, now));
    }

    /// Requests that may be to blame if the endpoint has just ended.
    pub(crate) fn crash_candidates(&self, now: Instant) -> BTreeSet<Digest> {
        self.candidates(now).copied().collect()
    }

    fn candidates(&self, now: Instant) -> impl Iterator<Item = &Digest> {
        let running = self.running.iter().filter(move |run| run.young(now));
        let cut = self.cut.iter().filter(move |(_, at)| now - *at < LATELY);
        running.map(|run| &run.digest).chain(cut.map(|(digest, _)| digest))
    }

    /// Whether this request is among these.
    pub(crate) fn is_candidate(&self, digest: &Digest, now: Instant) -> bool {
        self.candidates(now).any(|one| one == digest)
    }

    /// Begins to find out whether the endpoint has ended; false if that is going on.
    pub(crate) fn begin_examination(&mut self) -> bool {
        !std::mem::replace(&mut self.examined, true)
    }

    /// It has not ended, or that can't be told.
    pub(crate) fn clear_candidates(&mut self) {
        self.examined = false;
        self.cut.clear();
    }
}

#[cfg(test)]
mod tests;
