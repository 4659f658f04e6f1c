//! Remembers the callers that were refused with a time to return.
//!
//! Load pattern: callers that were refused return when they were told to, while new requests keep arriving. Without a memory, they
//! would wait behind those again. Callers that return earlier must gain nothing, or all of them would.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use tokio::time::Instant;

/// The most callers that are remembered.
const MAX_ENTRIES: usize = 4_096;
/// How long after the promised time a caller is still recognized.
const KEEP_TIME: Duration = Duration::from_secs(5);

/// The callers that were refused with a time to return, by the digest of the request.
#[derive(Debug)]
pub struct ReturnTable<D> {
    /// When each caller may return.
    times: HashMap<D, Instant>,
    /// Entries in the order in which they were made; some may have been replaced or removed since.
    made: VecDeque<(D, Instant)>,
}

impl<D> Default for ReturnTable<D> {
    fn default() -> Self {
        Self { times: HashMap::new(), made: VecDeque::new() }
    }
}

impl<D: Clone + Eq + Hash> ReturnTable<D> {
    /// Records that a caller was told to return at `time`.
    pub fn promise(&mut self, digest: D, time: Instant, now: Instant) {
        self.prune(now);
        self.times.insert(digest.clone(), time);
        self.made.push_back((digest, time));
        while self.made.len() > MAX_ENTRIES {
            self.remove_first();
        }
    }

    /// Whether a caller was told to return and now does, at the promised time or up to 5 s later. It is recognized once.
    pub fn recognize(&mut self, digest: &D, now: Instant) -> bool {
        let due = self.times.get(digest).is_some_and(|time| *time <= now);
        if !due {
            return false;
        }
        self.times.remove(digest).is_some_and(|time| now <= time + KEEP_TIME)
    }

    /// The number of callers that are remembered.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }

    fn prune(&mut self, now: Instant) {
        while self.made.front().is_some_and(|(_, time)| *time + KEEP_TIME < now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((digest, time)) = self.made.pop_front() else { return };
        if self.times.get(&digest) == Some(&time) {
            self.times.remove(&digest);
        }
    }
}

#[cfg(test)]
mod tests;
