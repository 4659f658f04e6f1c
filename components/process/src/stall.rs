//! Detects that the machine was suspended or frozen for a while.
//!
//! When the machine runs again, everything that arrived during the stall becomes readable at once: requests, and the
//! closing of the connections that carried them. A task that acts before all of it has been read acts on outdated
//! information.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The pause between two readings of the clocks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Two readings that are further apart than this mean that the machine stalled; on a busy machine the delay is shorter.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);
/// How long it takes to read what arrived during a stall.
const CATCH_UP_TIME: Duration = Duration::from_millis(40);

/// A reading of two clocks: the monotonic clock stops while the machine is suspended, the boot-time clock does not.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    monotonic: Instant,
    boot_time: Duration,
}

impl ClockReading {
    fn now() -> Self {
        let boot_time =
            clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default();
        Self { monotonic: Instant::now(), boot_time }
    }

    /// The time since an earlier reading, by the clock that advanced further.
    fn since(self, earlier: Self) -> Duration {
        (self.monotonic - earlier.monotonic).max(self.boot_time.saturating_sub(earlier.boot_time))
    }
}

/// Detects stalls of the machine by reading its clocks at short intervals.
#[derive(Debug)]
pub struct StallDetector {
    last_reading: Mutex<ClockReading>,
    /// When the end of the last stall was noticed.
    last_stall: Mutex<Option<Instant>>,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self { last_reading: Mutex::new(ClockReading::now()), last_stall: Mutex::new(None) }
    }
}

impl StallDetector {
    /// Reads the clocks at intervals; never returns.
    pub async fn run(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.check();
        }
    }

    /// After a stall, waits until what arrived during the stall has been read; otherwise returns at once.
    pub async fn wait_after_stall(&self) {
        let until = self.last_stall().map(|stall| stall + CATCH_UP_TIME);
        if let Some(until) = until.filter(|until| *until > Instant::now()) {
            tokio::time::sleep_until(until).await;
        }
    }

    /// When the end of the last stall was noticed; what is read shortly after may have arrived long before.
    pub fn last_stall(&self) -> Option<Instant> {
        self.check();
        *self.last_stall.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check(&self) {
        self.record(ClockReading::now());
    }

    fn record(&self, now: ClockReading) {
        let mut last = self.last_reading.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(*last) > STALL_THRESHOLD {
            let mut stall = self.last_stall.lock().unwrap_or_else(PoisonError::into_inner);
            *stall = Some(now.monotonic);
        }
        *last = now;
    }
}

#[cfg(test)]
mod tests;
