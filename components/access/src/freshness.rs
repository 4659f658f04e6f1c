//! How old what is known of keys may be.

use std::time::Duration;

use clock::Moment;

/// The part of the bound for which a proof is good: what is let in right before its end is still on its way.
const USABLE_FRACTION: f64 = 0.95;

/// From when what is known is the newest there was. Ages of reads are compared nowhere else.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness(Option<Moment>);

impl Freshness {
    /// Takes that a read which was sent then brought the newest there is. A read that waits for news may have been answered
    /// long after the store looked, so that only its sending counts; nor does an answer that could not be read.
    pub fn record_read(&mut self, sent: Moment) {
        self.0 = self.0.max(Some(sent));
    }

    /// Takes the word of another router whose proof was so old when it answered a question that was sent then.
    pub fn record_peer_read(&mut self, sent: Moment, age: Duration) {
        self.record_read(sent.before(age));
    }

    /// How old it is, if there is any.
    pub fn age(self, now: Moment) -> Option<Duration> {
        self.0.map(|at| now.since(at))
    }

    /// Whether keys may be served by it that must not be served longer than `bound` after they were taken away.
    pub fn is_fresh(self, now: Moment, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound.mul_f64(USABLE_FRACTION))
    }

    /// Whether it tells of all that was there at a moment.
    pub fn covers(self, moment: Moment) -> bool {
        self.0.is_some_and(|at| at >= moment)
    }
}

#[cfg(test)]
mod tests;
