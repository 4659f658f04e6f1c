//! The wall clock with which closing windows are evaluated.

use jiff::Timestamp;
use tokio::time::Instant;

/// Tells the calendar time. It is used only for closing windows, never to order events.
#[derive(Debug, Clone, Copy, Default)]
pub struct Calendar {
    pinned: Option<(Timestamp, Instant)>,
}

impl Calendar {
    /// The system clock.
    pub fn system() -> Self {
        Self::default()
    }

    /// A clock that starts at `now` and then follows the runtime's clock, so that tests can advance it.
    pub fn starting(now: Timestamp) -> Self {
        Self { pinned: Some((now, Instant::now())) }
    }

    /// The calendar time.
    pub fn now(&self) -> Timestamp {
        match self.pinned {
            None => Timestamp::now(),
            Some((start, since)) => start.checked_add(since.elapsed()).unwrap_or(Timestamp::MAX),
        }
    }
}
