//! When a follower asks a mirror and when it reads the store.

use std::time::Duration;

use clock::Moment;
use units::EndpointId;

/// The share of the time bound of a topic in which a mirror reads the store at least once. Its last read is at most twice as old.
const READ_SHARE: f64 = 0.25;
/// The share of the time bound for which a mirror is asked to wait for a record. An answer confirms nothing that is newer than the
/// question, so the last confirmation is up to two such waits and twice the interval of reads old.
const WAIT_SHARE: f64 = 0.16;
/// The share of the time bound after which a follower without a confirmation reads the store. The rest is left for that read.
const CONFIRM_SHARE: f64 = 0.9;
/// How long an answer may take beyond the time that the mirror was asked to wait, and its read of the store beyond its interval.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// How long a mirror that did not answer, or whose reads were too old, is not asked.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// The shortest time between two gaps of a mirror that keeps up.
const GAP_INTERVAL: Duration = Duration::from_secs(1);

/// What a follower does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask a mirror.
    AskMirror {
        /// The mirror.
        mirror: EndpointId,
        /// How long the mirror waits for a record.
        wait: Duration,
        /// When the mirror counts as failed.
        limit: Duration,
    },
    /// Read the store without waiting for a record: no mirror has confirmed what is known, or has what is missing.
    ReadStore,
    /// Follow the store: there is no mirror.
    FollowStore,
}

/// Decides how one follower gets the records of one topic.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Every record that was written before this moment is known.
    confirmed: Option<Moment>,
    /// Mirrors that are not asked, and until when.
    avoided: Vec<(EndpointId, Moment)>,
    /// Whether the mirror lacks records that the follower needs, and when one last did.
    gap: bool,
    gap_at: Option<Moment>,
    /// Whether the last read of the store failed. The next question goes to a mirror, however long ago the last confirmation was.
    store_failed: bool,
}

impl Schedule {
    /// How often a mirror of a topic with this time bound reads the store at least.
    pub fn interval(bound: Duration) -> Duration {
        bound.mul_f64(READ_SHARE)
    }

    /// The next step of a follower that must know every record within `bound`. `mirrors` are those that it may ask, the preferred
    /// one first.
    pub fn next(&mut self, bound: Duration, mirrors: &[EndpointId], now: Moment) -> Step {
        self.avoided.retain(|(_, until)| *until > now);
        let avoided = |id: &&EndpointId| self.avoided.iter().any(|(other, _)| other == *id);
        let Some(mirror) = mirrors.iter().find(|id| !avoided(id)) else { return Step::FollowStore };
        let mut wait = bound.mul_f64(WAIT_SHARE);
        let mut limit = wait + ANSWER_MARGIN;
        if !std::mem::take(&mut self.store_failed) {
            let age = self.confirmed.map_or(bound, |confirmed| now.since(confirmed));
            let left = bound.mul_f64(CONFIRM_SHARE).saturating_sub(age);
            if left.is_zero() || std::mem::take(&mut self.gap) {
                return Step::ReadStore;
            }
            limit = limit.min(left);
            // A mirror that has no time to answer after its wait would count as failed.
            wait = wait.min(left.saturating_sub(ANSWER_MARGIN));
        }
        Step::AskMirror { mirror: mirror.clone(), wait, limit }
    }

    /// Records a read of the store that was sent at `sent`.
    pub fn record_store_read(&mut self, sent: Moment) {
        self.confirmed = self.confirmed.max(Some(sent));
        self.store_failed = false;
    }

    /// Records a read of the store that failed.
    pub fn record_store_failure(&mut self) {
        self.store_failed = true;
    }

    /// Records the answer of a mirror to a question that was sent at `sent`; `age` is the age of its last read of the store. Returns
    /// false if the mirror has not read the store for too long and will not be asked for a while.
    pub fn record_answer(
        &mut self,
        mirror: &EndpointId,
        bound: Duration,
        (sent, age): (Moment, Duration),
        now: Moment,
    ) -> bool {
        self.confirmed = self.confirmed.max(Some(sent.saturating_sub(age)));
        let recent = age <= Self::interval(bound) * 2 + ANSWER_MARGIN;
        if !recent {
            self.avoid(mirror, now);
        }
        recent
    }

    /// Records that a mirror lacks the records that the follower needs next. One that lacks them again soon after a read of the store
    /// is of no use.
    pub fn record_gap(&mut self, mirror: &EndpointId, now: Moment) {
        self.gap = true;
        if self.gap_at.replace(now).is_some_and(|before| now.since(before) < GAP_INTERVAL) {
            self.avoid(mirror, now);
        }
    }

    /// Records that a mirror did not answer.
    pub fn record_failure(&mut self, mirror: &EndpointId, now: Moment) {
        self.avoid(mirror, now);
    }

    fn avoid(&mut self, mirror: &EndpointId, now: Moment) {
        self.avoided.push((mirror.clone(), now + AVOID_TIME));
    }
}

#[cfg(test)]
mod tests;
