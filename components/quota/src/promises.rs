//! Future refill of a bucket that is set aside for requests which were refused.
//!
//! Load pattern: a workspace sends several times its limit, and each refused caller returns once. If all of them are told the same
//! time, they return together and nearly all are refused again. Therefore each gets a slot of its own in the future refill, by
//! virtual scheduling as in GCRA: the next slot begins where the previous one ends.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;

use crate::BucketSpec;

/// The fraction of the refill that is promised at most. The rest is for requests that have not been refused before.
pub(crate) const RETURNING_FRACTION: f64 = 0.75;
/// How long the tokens of a promise are kept after its time.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// How much earlier than told a caller may return: `Retry-After` is rounded to hundredths of a second.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);
/// The most promises of one workspace at one router.
const MAX_PROMISES: usize = 4_096;

/// Tokens that are set aside for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Promise {
    tokens: f64,
    /// From when on refill is set aside.
    start: Moment,
    /// When all tokens have been set aside.
    due: Moment,
}

impl Promise {
    /// The tokens that have been set aside by now.
    fn reserved(&self, now: Moment) -> f64 {
        let span = self.due.since(self.start).as_secs_f64();
        if now >= self.due || span <= 0.0 {
            return self.tokens;
        }
        self.tokens * now.since(self.start).as_secs_f64() / span
    }
}

/// Whether a request has a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PromiseState {
    /// The request has none.
    None,
    /// The caller has returned too early, by this time.
    Early(Duration),
    /// The caller has returned when it was told to.
    Due,
}

/// The promises of one workspace at one router.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    by_fingerprint: HashMap<u64, Promise>,
    /// The end of the last slot, which is the theoretical arrival time of GCRA.
    next_slot: Option<Moment>,
}

impl Promises {
    /// Drops the promises whose callers have not returned in time.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.by_fingerprint.retain(|_, promise| promise.due + HOLD_TIME > now);
    }

    /// The tokens that are set aside by now.
    pub(crate) fn reserved(&self, now: Moment) -> f64 {
        self.by_fingerprint.values().map(|promise| promise.reserved(now)).sum()
    }

    /// All tokens that are promised, also those of future refill.
    pub(crate) fn promised(&self) -> f64 {
        self.by_fingerprint.values().map(|promise| promise.tokens).sum()
    }

    /// Whether there are no promises.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// The state of the promise to a request.
    pub(crate) fn state(&self, fingerprint: u64, now: Moment) -> PromiseState {
        match self.by_fingerprint.get(&fingerprint) {
            None => PromiseState::None,
            Some(promise) if now + EARLY_TOLERANCE >= promise.due => PromiseState::Due,
            Some(promise) => PromiseState::Early(promise.due.since(now)),
        }
    }

    /// Removes the promise to a request, which got its tokens.
    pub(crate) fn remove(&mut self, fingerprint: u64) {
        self.by_fingerprint.remove(&fingerprint);
    }

    /// Moves a promise that can't be kept yet to a later time.
    pub(crate) fn postpone(&mut self, fingerprint: u64, delay: Duration, now: Moment) {
        if let Some(promise) = self.by_fingerprint.get_mut(&fingerprint) {
            promise.due = now + delay;
        }
    }

    /// The time until the end of the next free slot of this size; `None` if nothing is refilled.
    pub(crate) fn next_slot(
        &self,
        share: BucketSpec,
        tokens: f64,
        now: Moment,
    ) -> Option<Duration> {
        let length = tokens / (share.refill_rate * RETURNING_FRACTION);
        let length = Duration::try_from_secs_f64(length).ok()?;
        Some(self.slot_start(now).since(now).saturating_add(length))
    }

    /// Promises the next free slot, which ends after `delay`; false if there are too many promises.
    pub(crate) fn add(
        &mut self,
        fingerprint: u64,
        tokens: f64,
        delay: Duration,
        now: Moment,
    ) -> bool {
        if self.by_fingerprint.len() >= MAX_PROMISES {
            return false;
        }
        let start = self.slot_start(now);
        let due = now + delay;
        self.next_slot = Some(due);
        self.by_fingerprint.insert(fingerprint, Promise { tokens, start, due });
        true
    }

    fn slot_start(&self, now: Moment) -> Moment {
        self.next_slot.map_or(now, |end| end.max(now))
    }
}

#[cfg(test)]
mod tests;
