//! How old the known workspaces and keys may be.

use std::time::Duration;

use clock::Moment;

/// The fraction of the revocation bound during which a read counts as fresh. The rest covers requests that are admitted right
/// before the end and are still on their way to an endpoint.
const USABLE_FRACTION: f64 = 0.95;

/// The latest moment at which the known workspaces were certainly the newest version in the store. Only this type compares the
/// ages of reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness(Option<Moment>);

impl Freshness {
    /// Records that a read sent at `sent` returned the newest version. Only the moment of sending counts: the store may look up
    /// its data long before it answers a read that waits for changes. Answers that could not be decoded must not be recorded.
    pub fn record_read(&mut self, sent: Moment) {
        self.0 = self.0.max(Some(sent));
    }

    /// Records the answer of another router to a question sent at `sent`: its own newest read was `age` old at that time.
    pub fn record_peer_read(&mut self, sent: Moment, age: Duration) {
        self.record_read(sent.saturating_sub(age));
    }

    /// The age of the newest read, if there was one.
    pub fn age(self, now: Moment) -> Option<Duration> {
        self.0.map(|at| now.since(at))
    }

    /// Whether keys may be served that must not be served for longer than `bound` after they were revoked.
    pub fn is_fresh(self, now: Moment, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound.mul_f64(USABLE_FRACTION))
    }

    /// Whether the newest read includes everything that the store held at `moment`.
    pub fn covers(self, moment: Moment) -> bool {
        self.0.is_some_and(|at| at >= moment)
    }
}

#[cfg(test)]
mod tests;
