//! Moments on a clock that counts on while the machine stands still.
//!
//! The steady clock stops with a suspended machine, and the time of day jumps. What must end after some time whatever
//! happens to the machine, such as a lease or the proof that a key still holds, is dated by a [`Moment`].

use std::ops::Add;
use std::sync::LazyLock;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Moments are counted from this long before the first one, so that earlier ones can be told.
const BEFORE: Duration = Duration::from_secs(24 * 60 * 60);

/// A moment of this process, on the clock that has run further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

static START: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), since_boot()));

/// The time since the machine started, suspensions included.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

impl Moment {
    /// Now.
    pub fn now() -> Self {
        let (steady, whole) = *START;
        let now = Instant::now();
        let (ahead, behind) =
            (now.saturating_duration_since(steady), steady.saturating_duration_since(now));
        let whole = since_boot().saturating_sub(whole);
        // A clock that was paused may be behind the first moment.
        Self(BEFORE + ahead.max(whole) - behind)
    }

    /// How long ago an earlier moment was; zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// How long ago it was.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// The moment this much earlier.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

#[cfg(test)]
mod tests;
