//! What one router measures of one model at one incarnation of an endpoint.
//!
//! Load pattern: thousands of events a second at a router with a few hundredths of a core. Recording an event adds to counters and allocates
//! nothing; percentiles are computed when they are asked for.

use std::time::Duration;

use tokio::time::Instant;

use crate::estimate::StepEstimate;
use crate::histogram::Histogram;
use crate::window::GapWindow;
use crate::{STEP_LIFETIME, Step};

/// From this number of events in the last second on, their 25th percentile stands for itself.
const MIN_RECENT_EVENTS: u32 = 10;

/// Summarizes the times between events of one model at one incarnation of an endpoint.
#[derive(Debug)]
pub struct StepRecorder {
    window: GapWindow,
    /// Events since they were last taken.
    unreported: Histogram,
    /// The average of what was taken.
    estimate: Option<StepEstimate>,
    last_event: Instant,
}

impl StepRecorder {
    /// Creates a recorder without events.
    pub fn new(now: Instant) -> Self {
        Self {
            window: GapWindow::new(now),
            unreported: Histogram::default(),
            estimate: None,
            last_event: now,
        }
    }

    /// Records a time per event.
    pub fn record(&mut self, step: Step, now: Instant) {
        self.window.record(step, now);
        self.unreported.record(step.gap, step.events);
        self.last_event = now;
    }

    /// Takes the 25th percentile of the times since the last call, to be reported to the loader; `None` if there was no event.
    pub fn take(&mut self, now: Instant) -> Option<Step> {
        let gap = self.unreported.first_quartile()?;
        let step = Step { gap, events: self.unreported.events() };
        self.unreported = Histogram::default();
        match &mut self.estimate {
            Some(estimate) => estimate.add(step, now),
            None => self.estimate = Some(StepEstimate::new(step, now)),
        }
        Some(step)
    }

    /// The 25th percentile of the last second, if it has enough events.
    pub fn recent(&self, now: Instant) -> Option<Step> {
        self.window.step(now).filter(|step| step.events >= MIN_RECENT_EVENTS)
    }

    /// The average of what was taken, until it expires.
    pub fn average(&self, now: Instant) -> Option<Step> {
        let estimate = self.estimate.as_ref().filter(|estimate| !estimate.expired(now))?;
        Some(estimate.step())
    }

    /// The number of events so far, with those that were not taken yet.
    pub fn events(&self) -> u32 {
        let taken = self.estimate.as_ref().map_or(0, |estimate| estimate.step().events);
        taken.saturating_add(self.unreported.events())
    }

    /// The time since the last event.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_event)
    }

    /// Whether the recorder has nothing left that counts.
    pub fn expired(&self, now: Instant) -> bool {
        self.age(now) >= STEP_LIFETIME
    }
}

/// The time between events of a model at an endpoint, from what this router has measured itself and what the loader has published: the
/// last second of its own if it has enough events, else that of all routers, else an older one of its own.
pub fn known_step(
    own: Option<&StepRecorder>,
    published: Option<Step>,
    now: Instant,
) -> Option<Step> {
    let own = own.filter(|own| !own.expired(now));
    let recent = own.and_then(|own| own.recent(now));
    let gap = recent.or(published).or_else(|| own?.average(now))?.gap;
    let counted = |step: Option<Step>| step.map_or(0, |step| step.events);
    let events = own.map_or(0, StepRecorder::events).max(counted(published));
    Some(Step { gap, events })
}

#[cfg(test)]
mod tests;
