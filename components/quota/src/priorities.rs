//! The priorities of a workspace's requests.

use std::time::Duration;

use clock::Moment;

/// How long a priority counts as seen lately: between this time and twice as long.
const WINDOW: Duration = Duration::from_secs(10);

/// The highest priority that was seen lately; 0 is the highest.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentPriority {
    current: Option<u8>,
    previous: Option<u8>,
    /// When `current` began.
    since: Option<Moment>,
}

impl RecentPriority {
    /// Records a request; returns whether no higher priority was seen lately.
    pub fn record(&mut self, priority: u8, now: Moment) -> bool {
        let age = self.since.map_or(Duration::MAX, |since| now.since(since));
        if age >= WINDOW {
            self.previous = self.current.filter(|_| age < WINDOW * 2);
            (self.current, self.since) = (None, Some(now));
        }
        let highest = self.current.map_or(priority, |highest| highest.min(priority));
        self.current = Some(highest);
        priority <= self.previous.map_or(highest, |previous| previous.min(highest))
    }
}

#[cfg(test)]
mod tests;
