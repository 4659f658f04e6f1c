//! The newest records of a topic.

use std::collections::VecDeque;

use bytes::Bytes;
use units::{Offset, StorePosition};

/// The most bytes that the kept records need, unless a single record is larger. A follower that is further behind reads the store.
const MAX_BYTES: usize = 512 << 10;

/// What a record needs beyond its content.
const RECORD_OVERHEAD: usize = size_of::<Bytes>();

/// The newest records of a topic, up to the position to which it has been read.
#[derive(Debug, Clone)]
pub struct Tail {
    end: StorePosition,
    records: VecDeque<Bytes>,
    bytes: usize,
}

impl Tail {
    /// Creates an empty tail that will be continued from a position.
    pub fn new(end: StorePosition) -> Self {
        Self { end, records: VecDeque::new(), bytes: 0 }
    }

    /// The position up to which the topic has been read.
    pub fn end(&self) -> StorePosition {
        self.end
    }

    /// Appends the records that were read from the end on.
    pub fn append(&mut self, records: Vec<Bytes>) {
        for record in records {
            self.bytes += record.len() + RECORD_OVERHEAD;
            self.records.push_back(record);
            self.end.offset = Offset(self.end.offset.0 + 1);
        }
        while self.bytes > MAX_BYTES && self.records.len() > 1 {
            let dropped = self.records.pop_front();
            self.bytes -= dropped.map_or(0, |record| record.len() + RECORD_OVERHEAD);
        }
    }

    /// Whether a follower at a position has something to get: newer records, or that the records which it needs are not kept.
    pub fn has_news(&self, from: StorePosition) -> bool {
        from.era != self.end.era || from.offset < self.end.offset
    }

    /// The records from a position on, none if it is at the end or beyond; `None` if they are not kept, or the position is in another
    /// era of the store.
    pub fn since(&self, from: StorePosition) -> Option<Vec<Bytes>> {
        if from.era != self.end.era {
            return None;
        }
        let missing = usize::try_from(self.end.offset.0.saturating_sub(from.offset.0)).ok()?;
        let skipped = self.records.len().checked_sub(missing)?;
        Some(self.records.iter().skip(skipped).cloned().collect())
    }
}

#[cfg(test)]
mod tests;
