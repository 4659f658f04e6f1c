//! Remembers which requests have recently run to their end.

use std::collections::HashMap;

use crate::{Digest, UnixMillis};

/// Requests and the times of their last ends. It forgets those that ended longest ago.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentCompletions {
    recent: HashMap<Digest, UnixMillis>,
    /// The requests before these; dropped when `recent` is full.
    older: HashMap<Digest, UnixMillis>,
}

impl RecentCompletions {
    /// The most requests in each of the two maps.
    pub(crate) const MAX_REQUESTS: usize = 2_048;

    pub(crate) fn insert(&mut self, request: Digest, at: UnixMillis) {
        if self.recent.len() == Self::MAX_REQUESTS && !self.recent.contains_key(&request) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(request, at);
    }

    /// When a request last ran to its end, if that is remembered.
    pub(crate) fn last(&self, request: &Digest) -> Option<UnixMillis> {
        self.recent.get(request).or_else(|| self.older.get(request)).copied()
    }
}

#[cfg(test)]
mod tests;
