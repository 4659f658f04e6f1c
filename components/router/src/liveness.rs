//! Liveness of life of an endpoint.
//!
//! Load pattern: a machine stands still in the middle of a rush whose callers give up after milliseconds. Whatever is
//! sent to it arrives when it wakes, long after those callers have left. So silence is counted from the first request
//! that got nothing, also if its caller has left since, and it is found again by a question that costs nothing.

use std::time::Duration;

use tokio::time::Instant;

/// An endpoint that has requests sends something all the time: an event every few tens of milliseconds. After this
/// time without a sign it is asked for one before it gets more: most prompts are read in less.
const DOUBT: Duration = Duration::from_millis(100);
/// One that gives no sign for this long, not even when asked, stands still or is cut off.
const SILENT: Duration = Duration::from_millis(300);
/// One that answers questions and none of its requests for this long does not work, or reads long prompts.
const STUCK: Duration = Duration::from_millis(1_000);

/// What the signs say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessState {
    /// It may get requests.
    Responsive,
    /// It may stand still: it is asked for a sign first.
    Doubtful,
    /// It has been silent for too long: it gets nothing until it gives a sign, or one request at a time if it can't be
    /// asked for one.
    Unresponsive,
}

/// What an endpoint has sent, and since when it owes something.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Liveness {
    /// Since when it has requests that got nothing, if it has any.
    owes: Option<Instant>,
    /// Its last sign of any kind.
    heard: Instant,
    /// Whether it is being asked.
    asking: bool,
}

impl Liveness {
    pub(crate) fn new(now: Instant) -> Self {
        Self { owes: None, heard: now, asking: false }
    }

    /// A request goes to it.
    pub(crate) fn request_sent(&mut self, now: Instant) {
        self.owes.get_or_insert(now);
    }

    /// It has sent a part of an answer.
    pub(crate) fn answer_received(&mut self, now: Instant) {
        self.owes = Some(now);
        self.heard = now;
    }

    /// Its last request is over. If it was sending until now, it owes nothing any more.
    pub(crate) fn requests_finished(&mut self, now: Instant) {
        self.owes = self.owes.filter(|since| now - *since > DOUBT);
    }

    /// It has answered a question; `idle`: it has no requests any more, whose callers have all left.
    pub(crate) fn probe_answered(&mut self, now: Instant, idle: bool) {
        self.heard = now;
        if idle {
            self.owes = None;
        }
    }

    /// What the signs say now.
    pub(crate) fn state(&self, now: Instant) -> LivenessState {
        let quiet = self.owes.map_or(Duration::ZERO, |since| now - since);
        let unheard = quiet.min(now - self.heard);
        if quiet > STUCK || unheard > SILENT {
            LivenessState::Unresponsive
        } else if unheard > DOUBT {
            LivenessState::Doubtful
        } else {
            LivenessState::Responsive
        }
    }

    /// Whether a question would tell something new.
    pub(crate) fn silent(&self, now: Instant) -> bool {
        now - self.heard > DOUBT
    }

    /// Begins to ask it; false if that is going on.
    pub(crate) fn begin_probe(&mut self) -> bool {
        !std::mem::replace(&mut self.asking, true)
    }

    /// Ends asking it.
    pub(crate) fn end_probe(&mut self) {
        self.asking = false;
    }
}

#[cfg(test)]
mod tests;
