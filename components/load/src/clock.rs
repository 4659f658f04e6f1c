//! The clock of a run: everything is told as time since its start.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Relates the runtime's clock to the wall clock that other processes write down.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    wall: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        #[allow(clippy::disallowed_methods, reason = "only to be shown")]
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall }
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The moment that lies `at` after the start.
    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }

    /// A wall-clock time in milliseconds since 1970, as time since the start; nothing if before it.
    pub(crate) fn at_wall(&self, millis: u64) -> Duration {
        Duration::from_millis(millis).saturating_sub(self.wall)
    }
}
