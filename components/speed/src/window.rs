//! The times between events in the last second.

use std::time::Duration;

use tokio::time::Instant;

use crate::Step;
use crate::histogram::Histogram;

/// The number of slices that the last second is divided into; the oldest one is dropped as a whole.
const SLICES: usize = 5;
/// The length of a slice.
const SLICE: Duration = Duration::from_millis(200);

/// Events of one slice of time.
#[derive(Debug, Clone, Default)]
struct Slice {
    /// The number of the slice since the window was created.
    number: u128,
    gaps: Histogram,
}

/// The times between events in the last second, in a bounded size however many there are.
#[derive(Debug)]
pub(crate) struct GapWindow {
    start: Instant,
    slices: [Slice; SLICES],
}

impl GapWindow {
    pub(crate) fn new(now: Instant) -> Self {
        Self { start: now, slices: Default::default() }
    }

    /// The number of the slice that a time belongs to. Number 0 stands for a slice that was never used.
    fn number(&self, now: Instant) -> u128 {
        now.saturating_duration_since(self.start).as_nanos() / SLICE.as_nanos() + 1
    }

    /// Records events.
    pub(crate) fn record(&mut self, step: Step, now: Instant) {
        let number = self.number(now);
        let slice = &mut self.slices[(number % SLICES as u128) as usize];
        if slice.number != number {
            *slice = Slice { number, gaps: Histogram::default() };
        }
        slice.gaps.record(step.gap, step.events);
    }

    /// The 25th percentile of the times in the last second.
    pub(crate) fn step(&self, now: Instant) -> Option<Step> {
        let oldest = self.number(now).saturating_sub(SLICES as u128 - 1).max(1);
        let mut all = Histogram::default();
        for slice in self.slices.iter().filter(|slice| slice.number >= oldest) {
            all.add(&slice.gaps);
        }
        Some(Step { gap: all.first_quartile()?, events: all.events() })
    }
}
