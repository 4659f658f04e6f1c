//! A time between events that is averaged over some seconds.
//!
//! Load pattern: the last streams of a model end while the engine is slowed down by noise. What was measured last would be taken for the speed
//! of the endpoint until the next stream, so it only counts as a part of the seconds before.

use std::time::Duration;

use tokio::time::Instant;

use crate::{STEP_LIFETIME, Step};

/// After this time, a measurement counts for a fraction of 1/e.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// A geometric mean of measurements, in which older ones count less.
#[derive(Debug, Clone)]
pub(crate) struct StepEstimate {
    /// The logarithm of the time in seconds.
    log_gap: f64,
    /// The events that the mean is from, less for older ones.
    weight: f64,
    /// All events so far.
    events: u32,
    updated: Instant,
}

impl StepEstimate {
    pub(crate) fn new(step: Step, now: Instant) -> Self {
        let log_gap = log_gap(step);
        Self { log_gap, weight: f64::from(step.events), events: step.events, updated: now }
    }

    /// Adds a measurement.
    pub(crate) fn add(&mut self, step: Step, now: Instant) {
        let age = now.saturating_duration_since(self.updated);
        let new = f64::from(step.events);
        self.weight *= (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.weight += new;
        if self.weight > 0.0 {
            self.log_gap += (log_gap(step) - self.log_gap) * new / self.weight;
        }
        self.events = self.events.saturating_add(step.events);
        self.updated = now;
    }

    /// The averaged time, and all events that were counted so far.
    pub(crate) fn step(&self) -> Step {
        Step { gap: Duration::from_secs_f64(self.log_gap.exp()), events: self.events }
    }

    /// Whether the last event is too long ago.
    pub(crate) fn expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated) >= STEP_LIFETIME
    }
}

/// The logarithm of a time, which is at least one microsecond and at most an hour, whatever another process reports.
pub(crate) fn log_gap(step: Step) -> f64 {
    step.gap.as_secs_f64().clamp(1e-6, 3_600.0).ln()
}
