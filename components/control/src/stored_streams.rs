//! What a router records of streams in the store.

use std::time::Duration;

use origin::{StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::UnixMillis;

use crate::OriginRecord;

/// The most streams that a router records; the ones that began first are left out. The record stays below the largest one that the
/// store accepts.
pub const MAX_STORED_STREAMS: usize = 768;

/// Where the streams began that a router serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredStreams {
    /// When this was written.
    pub at: UnixMillis,
    /// The streams; their ages and times to keep are as of `at`.
    pub streams: Vec<OriginRecord>,
}

impl StoredStreams {
    /// The last ones of these streams, to be written at `at`.
    pub fn new(mut streams: Vec<OriginRecord>, at: UnixMillis) -> Self {
        streams.drain(..streams.len().saturating_sub(MAX_STORED_STREAMS));
        Self { at, streams }
    }

    /// The streams that are still to be kept, with ages and times to keep as of `now`. Since clocks may differ, a stream whose origin is
    /// not confirmed counts as no older than when it was written: its endpoint may have restarted since it began.
    pub fn into_records(self, now: UnixMillis) -> impl Iterator<Item = OriginRecord> {
        let passed = now.since(self.at);
        let records = self.streams.into_iter().map(move |record| OriginRecord {
            age: if record.confirmed { record.age + passed } else { record.age },
            keep: record.keep.saturating_sub(passed),
            ..record
        });
        records.filter(|record| record.keep > Duration::ZERO)
    }
}

/// A stream from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredStream {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Until when this is kept.
    pub expires: Instant,
}

impl StoredStream {
    /// The stream of a record that is as of `now`.
    pub fn new(record: OriginRecord, now: Instant) -> Self {
        let (key, expires) = (record.key, now + record.bounded_keep());
        Self { key, origin: record.into_origin(now), expires }
    }
}

#[cfg(test)]
mod tests;
