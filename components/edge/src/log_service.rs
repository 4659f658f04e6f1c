//! The append-only log service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use thiserror::Error;
use units::Offset;

/// A stream of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stream {
    /// Configuration, planner lease, grants and membership.
    Control,
    /// Claims of idempotency keys.
    Keys,
}

impl Stream {
    /// The stream's name at the log service.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Keys => "keys",
        }
    }
}

/// One record as the log service keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its place.
    pub offset: Offset,
    /// Its bytes.
    pub data: Bytes,
}

/// Records from an offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The newest offset, or 0 of an empty stream.
    pub last: Offset,
    /// The records, in order, with no gap.
    pub entries: Vec<Entry>,
}

/// Why the log service did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// The append certainly had no effect and will have none.
    #[error("the log refused the append: {0}")]
    Refused(String),
    /// The append may have taken effect, or may yet.
    #[error("no answer from the log: {0}")]
    Unknown(String),
    /// Nothing could be read.
    #[error("the log can't be read: {0}")]
    Unreadable(String),
    /// The records asked for have expired.
    #[error("the log keeps nothing before offset {first}")]
    Expired {
        /// The oldest offset that is kept.
        first: Offset,
    },
}

/// The append-only log service.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends records in order and returns the offset of the first.
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError>;

    /// Reads records from an offset on; waits up to `wait` while there is none.
    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError>;
}
