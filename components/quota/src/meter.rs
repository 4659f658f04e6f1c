//! How much a workspace uses at one router.

use std::time::Duration;

use clock::Moment;

/// What was used counts for about this long.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// A rate that forgets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    sum: f64,
    at: Option<Moment>,
}

impl Meter {
    /// Counts some.
    pub fn record(&mut self, tokens: f64, now: Moment) {
        self.sum = self.kept(now) + tokens;
        self.at = Some(now);
    }

    /// Units a second, of late.
    pub fn rate(&self, now: Moment) -> f64 {
        self.kept(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn kept(&self, now: Moment) -> f64 {
        let since = self.at.map_or(Duration::ZERO, |at| now.since(at));
        self.sum * (-since.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests;
