//! Remembers which parts of prompts requests have run well with.

use std::collections::HashSet;

use crate::Digest;

/// A set that forgets the digests which were not added for longest.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProvenParts {
    recent: HashSet<Digest>,
    /// The digests before these; dropped when `recent` is full.
    older: HashSet<Digest>,
}

impl ProvenParts {
    /// The most digests in each of the two sets.
    pub(crate) const MAX_DIGESTS: usize = 2_048;

    pub(crate) fn insert(&mut self, digest: Digest) {
        if self.recent.len() == Self::MAX_DIGESTS && !self.recent.contains(&digest) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(digest);
    }

    pub(crate) fn contains(&self, digest: &Digest) -> bool {
        self.recent.contains(digest) || self.older.contains(digest)
    }
}

#[cfg(test)]
mod tests;
