//! Bounds the records that a router sends.
//!
//! Load pattern: hundreds of routers pass on more streams than the control traffic of a node has room for, if each of them is told
//! to two keepers. One keeper is always told; a second one while there is room.

use std::time::Duration;

use tokio::time::Instant;

use crate::TOLD_KEEPERS;

/// Records to second keepers per second.
const SECOND_KEEPERS_PER_SECOND: u32 = 1;
/// The most records to second keepers at once.
const MAX_BURST: u32 = 20;

/// Decides how many keepers a router tells of a stream.
#[derive(Debug)]
pub struct TellBudget {
    /// When the budget would be full again.
    full_at: Instant,
}

impl Default for TellBudget {
    fn default() -> Self {
        Self::new(Instant::now())
    }
}

impl TellBudget {
    /// A full budget.
    pub fn new(now: Instant) -> Self {
        Self { full_at: now }
    }

    /// The number of keepers that are told of a stream which begins now.
    pub fn keepers(&mut self, now: Instant) -> usize {
        let each = Duration::from_secs(1) / SECOND_KEEPERS_PER_SECOND;
        let next = self.full_at.max(now) + each;
        if next > now + each * MAX_BURST {
            return 1;
        }
        self.full_at = next;
        TOLD_KEEPERS
    }
}

#[cfg(test)]
mod tests;
