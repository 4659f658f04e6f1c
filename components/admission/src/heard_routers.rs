//! Among how many routers a bound over all of them is divided.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// How long a number of routers counts after it was heard: loaders that have just restarted hear few.
const HEARD_TIME: Duration = Duration::from_secs(30);

/// The numbers of routers that loaders have heard lately.
#[derive(Debug, Default)]
pub struct HeardRouters {
    /// Each number is larger than all that were heard later.
    counts: VecDeque<(Instant, u32)>,
}

impl HeardRouters {
    /// Records how many routers a loader hears.
    pub fn record(&mut self, count: u32, now: Instant) {
        while self.counts.back().is_some_and(|(_, before)| *before <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        self.drop_old(now);
    }

    /// The largest number that was heard lately; none if no loader has been heard.
    pub fn most(&mut self, now: Instant) -> Option<u32> {
        self.drop_old(now);
        self.counts.front().map(|(_, count)| *count)
    }

    /// Drops numbers that were heard too long ago, but never the last one.
    fn drop_old(&mut self, now: Instant) {
        while self.counts.len() > 1 && now.duration_since(self.counts[0].0) > HEARD_TIME {
            self.counts.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
