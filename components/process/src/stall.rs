//! Notices that the machine stood still.
//!
//! After a suspension or a freeze, what arrived meanwhile is there all at once: requests, and the ends of their
//! connections. Whoever acts at once acts on news of another time.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Between beats.
const BEAT: Duration = Duration::from_millis(100);
/// A beat this late means that the machine stood still; a busy one is late by less.
const STILL: Duration = Duration::from_millis(400);
/// How long it takes to read what arrived meanwhile.
const SETTLE: Duration = Duration::from_millis(40);

/// The last beat, on the clock that stops with the machine and on the one that does not.
#[derive(Debug, Clone, Copy)]
struct Beat {
    steady: Instant,
    whole: Duration,
}

impl Beat {
    fn now() -> Self {
        let whole = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default();
        Self { steady: Instant::now(), whole }
    }

    /// The longer of the times that have passed on the two clocks.
    fn since(self, earlier: Self) -> Duration {
        (self.steady - earlier.steady).max(self.whole.saturating_sub(earlier.whole))
    }
}

/// Beats while the machine runs.
#[derive(Debug)]
pub struct StallDetector {
    last: Mutex<Beat>,
    until: Mutex<Option<Instant>>,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self { last: Mutex::new(Beat::now()), until: Mutex::new(None) }
    }
}

impl StallDetector {
    /// Beats for good.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(BEAT).await;
            self.check();
        }
    }

    /// Waits, if the machine stood still just now, until what arrived meanwhile has been read.
    pub async fn wait_after_stall(&self) {
        self.check();
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(until) = until.filter(|until| *until > Instant::now()) {
            tokio::time::sleep_until(until).await;
        }
    }

    fn check(&self) {
        self.take(Beat::now());
    }

    fn take(&self, now: Beat) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(*last) > STILL {
            let mut until = self.until.lock().unwrap_or_else(PoisonError::into_inner);
            *until = Some(now.steady + SETTLE);
        }
        *last = now;
    }
}

#[cfg(test)]
mod tests;
