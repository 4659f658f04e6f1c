//! Points in time on a clock that keeps counting while the machine is suspended.
//!
//! The monotonic clock stops while the machine is suspended, and the wall clock can jump. Whatever must expire after a
//! fixed time even if the machine is suspended, such as a lease or the confirmation that a key is still valid, is
//! timestamped with a [`Moment`].

use std::ops::Add;
use std::sync::LazyLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Moments are counted from this long before the first one, so that moments before the first can be represented.
const ORIGIN_OFFSET: Duration = Duration::from_secs(24 * 60 * 60);

/// A point in time, comparable only within this process, by whichever clock has advanced further since its start:
/// the monotonic clock or the boot-time clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

/// The readings of the monotonic clock and the boot-time clock at the first moment.
static START: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), since_boot()));

/// The time since the machine booted, including the time during which it was suspended.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

impl Moment {
    /// The current moment.
    pub fn now() -> Self {
        let (start, start_boot) = *START;
        let now = Instant::now();
        let (ahead, behind) =
            (now.saturating_duration_since(start), start.saturating_duration_since(now));
        let boot_time = since_boot().saturating_sub(start_boot);
        // A clock that a test has paused may be behind the first moment.
        Self(ORIGIN_OFFSET + ahead.max(boot_time) - behind)
    }

    /// The time since an earlier moment; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// The moment that lies `span` before this one, or the oldest one that can be represented.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    /// The moment that lies `span` after this one, or the latest one that can be represented.
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

#[cfg(test)]
mod tests;
