//! A bounded buffer of a process's last events.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use units::InstanceId;

use crate::event::order;
use crate::{Clock, Event, Kind};

/// How many events a process keeps; older ones are dropped.
const KEPT: usize = 8192;

/// Keeps the last events of a process; cheap to clone.
#[derive(Debug, Clone)]
pub struct Recorder {
    instance: InstanceId,
    clock: Clock,
    events: Arc<Mutex<VecDeque<Event>>>,
}

impl Recorder {
    /// A recorder for a process, with a clock of its own.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, clock: Clock::default(), events: Arc::default() }
    }

    /// The clock that stamps this recorder's events.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// A new event, stamped now; give it to [`Recorder::record`].
    pub fn event(&self, kind: Kind) -> Event {
        Event {
            tick: self.clock.tick(),
            wall: wall_millis(),
            instance: self.instance.clone(),
            kind,
            request: None,
            model: None,
            endpoint: None,
            note: String::new(),
        }
    }

    /// Keeps an event.
    pub fn record(&self, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == KEPT {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The kept events as JSON, one a line.
    pub fn to_lines(&self) -> String {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = events.iter().filter_map(|event| serde_json::to_string(event).ok());
        lines.fold(String::new(), |text, line| text + &line + "\n")
    }
}

impl Event {
    /// Reads events written by [`Recorder::to_lines`].
    pub fn from_lines(lines: &str) -> Result<Vec<Self>, serde_json::Error> {
        lines.lines().filter(|line| !line.is_empty()).map(serde_json::from_str).collect()
    }

    /// Sorts events of several processes so that causes come before effects.
    pub fn sort(events: &mut [Self]) {
        events.sort_by(|a, b| order(a).cmp(&order(b)));
    }
}

fn wall_millis() -> u64 {
    #[allow(clippy::disallowed_methods, reason = "only to be shown")]
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
