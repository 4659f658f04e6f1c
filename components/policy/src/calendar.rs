//! The wall clock that closing windows are read against.

use jiff::Timestamp;
use tokio::time::Instant;

/// Tells calendar time. It is used for closing windows only, never to order events.
#[derive(Debug, Clone, Copy, Default)]
pub struct Calendar {
    pinned: Option<(Timestamp, Instant)>,
}

impl Calendar {
    /// The clock of the machine.
    pub fn system() -> Self {
        Self::default()
    }

    /// A clock that shows `now` at once and then follows the runtime's clock, so that tests can move it.
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
