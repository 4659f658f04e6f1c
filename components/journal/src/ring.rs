//! The last records, kept for peers that miss them.

use std::collections::VecDeque;

use bytes::Bytes;
use units::Offset;

/// The most bytes of records that are kept.
const BYTES_LIMIT: usize = 4 << 20;

/// A run of records without a gap.
#[derive(Debug)]
pub(crate) struct Ring {
    first: Offset,
    records: VecDeque<Bytes>,
    bytes: usize,
    limit: usize,
}

impl Ring {
    pub(crate) fn new(limit: usize) -> Self {
        Self { first: Offset(1), records: VecDeque::new(), bytes: 0, limit }
    }

    /// Forgets all; the next record to come is the one after `upto`.
    pub(crate) fn restart(&mut self, upto: Offset) {
        self.records.clear();
        self.bytes = 0;
        self.first = upto.next();
    }

    pub(crate) fn push(&mut self, data: Bytes) {
        self.bytes += data.len();
        self.records.push_back(data);
        while self.records.len() > self.limit || self.bytes > BYTES_LIMIT {
            let Some(oldest) = self.records.pop_front() else { return };
            self.bytes -= oldest.len();
            self.first = self.first.next();
        }
    }

    pub(crate) fn get(&self, offset: Offset) -> Option<&Bytes> {
        let index = offset.0.checked_sub(self.first.0)?;
        self.records.get(usize::try_from(index).ok()?)
    }

    /// Records from an offset on, of at most `limit` bytes but at least one; none if it is not kept.
    pub(crate) fn from(&self, offset: Offset, limit: usize) -> Vec<(Offset, Bytes)> {
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut next = offset;
        while let Some(data) = self.get(next) {
            bytes += data.len();
            if bytes > limit && !found.is_empty() {
                break;
            }
            found.push((next, data.clone()));
            next = next.next();
        }
        found
    }
}

#[cfg(test)]
mod tests;
