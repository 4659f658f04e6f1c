//! Times that processes exchange.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A time in Unix milliseconds by the clock of the process that writes it. Clocks of different processes may differ by seconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// By how much the clock of another process may be ahead. A record with a later time would outlast all others.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

impl UnixMillis {
    /// Whether this time is so far ahead of `now` that no process of the deployment can have written it.
    pub fn is_too_far_ahead(self, now: Self) -> bool {
        self.since(now) > MAX_CLOCK_LEAD
    }

    /// The time since `earlier`; zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time that is later by this much.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(time.as_millis()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
