//! The recent usage of a workspace at one router.

use std::time::Duration;

use clock::Moment;

/// The time constant of the exponential decay: usage that is older by this much counts e times less.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// A rate with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    sum: f64,
    at: Option<Moment>,
}

impl Meter {
    /// Records the use of tokens.
    pub fn record(&mut self, tokens: f64, now: Moment) {
        self.sum = self.decayed(now) + tokens;
        self.at = Some(now);
    }

    /// The recent rate in tokens per second.
    pub fn rate(&self, now: Moment) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Moment) -> f64 {
        let since = self.at.map_or(Duration::ZERO, |at| now.since(at));
        self.sum * (-since.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests;
