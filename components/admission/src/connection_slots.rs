//! Decides which connections of callers stay open.
//!
//! Load pattern: callers open more connections than the process has descriptors or memory for, and hold them with little or nothing
//! sent. The connection that has waited longest for a whole request head is closed for a new one, so that new callers can connect.

use std::collections::HashMap;

use tokio::time::Instant;

/// Names one connection as long as it is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The connections that are open.
#[derive(Debug, Default)]
pub struct ConnectionSlots {
    last_id: u64,
    open: HashMap<ConnectionId, Phase>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No whole head of a request has arrived since then.
    Waiting(Instant),
    /// A request is read, served or answered.
    Busy,
}

impl ConnectionSlots {
    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Instant) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.open.insert(id, Phase::Waiting(now));
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&mut self, id: ConnectionId) {
        self.set_phase(id, Phase::Busy);
    }

    /// Records that the answer to a request has been passed on.
    pub fn end_request(&mut self, id: ConnectionId, now: Instant) {
        self.set_phase(id, Phase::Waiting(now));
    }

    fn set_phase(&mut self, id: ConnectionId, phase: Phase) {
        if let Some(current) = self.open.get_mut(&id) {
            *current = phase;
        }
    }

    /// The connection that has waited longest for a whole head, if any waits.
    pub fn longest_waiting(&self) -> Option<ConnectionId> {
        let waiting = self.open.iter().filter_map(|(id, phase)| match phase {
            Phase::Waiting(since) => Some((*since, *id)),
            Phase::Busy => None,
        });
        waiting.min().map(|(_, id)| id)
    }
}

#[cfg(test)]
mod tests;
