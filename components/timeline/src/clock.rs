//! The logical clock (a Lamport clock).

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// A reading of a logical clock; an event has a greater tick than the event that caused it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl fmt::Display for Tick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tick {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// A Lamport clock shared by the tasks of a process.
#[derive(Debug, Clone, Default)]
pub struct Clock(Arc<AtomicU64>);

impl Clock {
    /// Advances the clock for a local event or a message about to be sent.
    pub fn tick(&self) -> Tick {
        Tick(self.0.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Advances the clock to the tick of a received message, so that the next tick is greater.
    pub fn observe(&self, seen: Tick) {
        self.0.fetch_max(seen.0, Ordering::Relaxed);
    }
}
