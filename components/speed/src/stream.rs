//! The time per event of one stream.
//!
//! Load pattern: a router with a small share of a processor reads what several engine steps have sent at once, as a long gap and several
//! events that seem to have no time between them. Events that arrive together share the time since the previous arrival.

use std::time::Duration;

use tokio::time::Instant;

use crate::Step;

/// Events that are read within this time of each other have arrived together; engine steps take longer.
const MIN_ARRIVAL_INTERVAL: Duration = Duration::from_millis(1);

/// Events that were read together.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    events: u32,
}

/// Measures the time per event of one stream.
#[derive(Debug, Default)]
pub struct StreamClock {
    /// When the arrival before the last one was read. The first events of a stream follow its prompt and measure nothing.
    previous: Option<Instant>,
    last: Option<Arrival>,
}

impl StreamClock {
    /// Records that events were read. Returns the time per event of the previous arrival, which is complete now.
    pub fn record(&mut self, events: u32, now: Instant) -> Option<Step> {
        if let Some(last) = &mut self.last
            && now.saturating_duration_since(last.at) < MIN_ARRIVAL_INTERVAL
        {
            last.events = last.events.saturating_add(events);
            return None;
        }
        let last = self.last.replace(Arrival { at: now, events })?;
        let previous = self.previous.replace(last.at)?;
        let gap = (last.at - previous).checked_div(last.events)?;
        Some(Step { gap, events: last.events })
    }
}

#[cfg(test)]
mod tests;
