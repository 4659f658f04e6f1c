//! A bounded buffer of the most recent events of a process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use units::InstanceId;

use crate::event::sort_key;
use crate::{Clock, Event, Kind};

/// How many events a process keeps; the oldest ones are dropped.
const MAX_EVENTS: usize = 8192;

/// Keeps the most recent events of a process; cheap to clone.
#[derive(Debug, Clone)]
pub struct Recorder {
    instance: InstanceId,
    clock: Clock,
    events: Arc<Mutex<VecDeque<Event>>>,
}

impl Recorder {
    /// Creates the recorder of a process, with a new logical clock.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, clock: Clock::default(), events: Arc::default() }
    }

    /// The logical clock whose ticks this recorder's events have.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Creates an event with the current time and the next tick; pass it to [`Recorder::record`].
    pub fn event(&self, kind: Kind) -> Event {
        Event {
            tick: self.clock.tick(),
            wall: unix_millis(),
            instance: self.instance.clone(),
            kind,
            request: None,
            model: None,
            endpoint: None,
            note: String::new(),
        }
    }

    /// Appends an event to the buffer; drops the oldest event if the buffer is full.
    pub fn record(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The events in the buffer as JSON, one per line.
    pub fn to_lines(&self) -> String {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = events.iter().filter_map(|event| serde_json::to_string(event).ok());
        lines.fold(String::new(), |text, line| text + &line + "\n")
    }
}

impl Event {
    /// Parses events written by [`Recorder::to_lines`].
    pub fn from_lines(lines: &str) -> Result<Vec<Self>, serde_json::Error> {
        lines.lines().filter(|line| !line.is_empty()).map(serde_json::from_str).collect()
    }

    /// Sorts events of several processes so that causes come before effects.
    pub fn sort(events: &mut [Self]) {
        events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    }
}

fn unix_millis() -> u64 {
    #[allow(clippy::disallowed_methods, reason = "for display and as a tie-breaker only")]
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
