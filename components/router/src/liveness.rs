//! Tracks whether an endpoint that has requests still sends anything.
//!
//! Load pattern: a machine hangs during a rush whose callers give up after milliseconds. Whatever is sent to it arrives
//! when it wakes, long after those callers have left. So silence is counted from the first request that got no answer, even
//! if its caller has left since, and the endpoint's recovery is detected by a probe, which costs no request. An endpoint that
//! this router has heard nothing from for a while may hang too: without a probe, each router would find that out at the
//! expense of a request.

use std::time::Duration;

use tokio::time::Instant;

/// Silence after which an endpoint is probed before it gets more requests. An endpoint with requests normally sends an event
/// every few tens of milliseconds, and most prompts are processed in less than this time.
const PROBE_AFTER: Duration = Duration::from_millis(100);
/// An endpoint that sends nothing for this long, not even an answer to a probe, hangs or is unreachable.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(300);
/// An endpoint that answers probes but none of its requests for this long is broken, or processes long prompts.
const STUCK_AFTER: Duration = Duration::from_millis(1_000);

/// Whether an endpoint may get requests, by what it has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessState {
    /// It may get requests.
    Responsive,
    /// It may be hanging: it is probed first.
    Doubtful,
    /// It has been silent for too long. It gets nothing until it sends something, or one request at a time if it can't be
    /// probed.
    Unresponsive,
}

/// When an endpoint last sent something, and since when something is due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Liveness {
    /// Since when the endpoint has had requests or a probe without sending any part of an answer; `None` if nothing is due.
    due_since: Option<Instant>,
    /// When the endpoint last sent anything, an answer to a probe included.
    last_sign: Instant,
    /// Whether a probe is in progress.
    probing: bool,
    /// Whether a probe has failed since the endpoint last sent anything.
    probe_failed: bool,
}

impl Liveness {
    pub(crate) fn new(now: Instant) -> Self {
        Self { due_since: None, last_sign: now, probing: false, probe_failed: false }
    }

    /// Records that a request is sent to the endpoint.
    pub(crate) fn request_sent(&mut self, now: Instant) {
        self.due_since.get_or_insert(now);
    }

    /// Records that the endpoint has sent a part of an answer.
    pub(crate) fn answer_received(&mut self, now: Instant) {
        self.due_since = Some(now);
        self.record_sign(now);
    }

    /// Records that the endpoint's last request is over. If the endpoint was sending until now, nothing is due any more.
    pub(crate) fn requests_finished(&mut self, now: Instant) {
        self.due_since = self.due_since.filter(|since| now - *since > PROBE_AFTER);
    }

    /// Records an answer to a probe. `idle` says that the endpoint has no requests any more, because all callers have left.
    pub(crate) fn probe_answered(&mut self, now: Instant, idle: bool) {
        self.record_sign(now);
        if idle {
            self.due_since = None;
        }
    }

    /// Records that a probe got no answer in time, or could not be sent.
    pub(crate) fn record_failed_probe(&mut self) {
        self.probe_failed = true;
    }

    fn record_sign(&mut self, now: Instant) {
        self.last_sign = now;
        self.probe_failed = false;
    }

    /// The state by what the endpoint has sent until now.
    pub(crate) fn state(&self, now: Instant) -> LivenessState {
        let waiting = self.due_since.map_or(Duration::ZERO, |since| now - since);
        let quiet = self.quiet(now);
        if self.probe_failed || waiting > STUCK_AFTER || waiting.min(quiet) > UNRESPONSIVE_AFTER {
            LivenessState::Unresponsive
        } else if quiet > PROBE_AFTER {
            LivenessState::Doubtful
        } else {
            LivenessState::Responsive
        }
    }

    /// How long the endpoint has sent nothing.
    pub(crate) fn quiet(&self, now: Instant) -> Duration {
        now - self.last_sign
    }

    /// Whether the endpoint has been silent for so long that a probe would tell something new.
    pub(crate) fn probe_due(&self, now: Instant) -> bool {
        now - self.last_sign > PROBE_AFTER
    }

    /// Starts probing, which the endpoint is expected to answer. Returns false if a probe is in progress.
    pub(crate) fn begin_probe(&mut self, now: Instant) -> bool {
        self.due_since.get_or_insert(now);
        !std::mem::replace(&mut self.probing, true)
    }

    /// Ends probing.
    pub(crate) fn end_probe(&mut self) {
        self.probing = false;
    }
}

#[cfg(test)]
mod tests;
