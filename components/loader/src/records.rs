//! The records of all loaders, as far as one loader has read them.

use std::time::Duration;

use events::{Dependency, Event, emit};
use platform::{LogRead, Store, StoreError};
use tokio::time::Instant;
use units::{Era, Offset, StorePosition};

use crate::fence::TOPIC;
use crate::queue::PermitQueue;

/// The number of records before the loader's own start that are read, since they may be about a load in progress: ten
/// for each of some fifty loaders. With more loaders, one that has just started may take a permit too many, once.
const LOOKBACK_RECORDS: u64 = 512;
/// After the store was restored from an older copy, all loaders append again, within this time, the records that still
/// apply and may be lost. Each does so at a random moment, since hundreds of loaders notice the restore at once.
pub(crate) const REWRITE_WINDOW: Duration = Duration::from_millis(2_000);
/// The time after a restore during which the records may not show all permits that are taken: the records that are
/// appended again have to be read, too.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// The outcome of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// All records since the last read were read, if there were any.
    Current,
    /// The store was restored from an older copy: the records that this loader appended may be lost.
    Restored,
}

/// The records that have been read.
#[derive(Debug)]
pub(crate) struct Records {
    store: Store,
    /// The permits and permit requests that follow from the records.
    pub(crate) queue: PermitQueue,
    /// The position of the next record to read.
    next: StorePosition,
    /// Until when the records may not show all permits that are taken, after a restore.
    settling_until: Option<Instant>,
}

impl Records {
    /// Starts before the loader's own start record; nothing has been read yet.
    pub(crate) fn new(store: Store, start: StorePosition) -> Self {
        let offset = Offset(start.offset.0.saturating_sub(LOOKBACK_RECORDS));
        let next = StorePosition { offset, ..start };
        Self { store, queue: PermitQueue::default(), next, settling_until: None }
    }

    /// The era of the store in which the records were read.
    pub(crate) fn era(&self) -> Era {
        self.next.era
    }

    /// Whether the records may not show all permits that are taken, after a restore.
    pub(crate) fn is_settling(&self) -> bool {
        self.settling_until.is_some()
    }

    /// Reads new records; waits up to `wait` for the first one.
    pub(crate) async fn read(&mut self, wait: Duration) -> Result<ReadOutcome, StoreError> {
        let left = self.settling_until.map(|until| until.saturating_duration_since(Instant::now()));
        let wait = left.filter(|left| !left.is_zero()).map_or(wait, |left| wait.min(left));
        let now = Instant::now;
        match self.store.read_log(TOPIC, self.next, wait).await? {
            LogRead::Expired(first) => self.next = first,
            LogRead::Restored(first) => {
                let (before, read) = (self.next.to_string(), first.to_string());
                let (dependency, before, read) = (Dependency::LoadPermits, &*before, &*read);
                emit(&Event::StoreRestored { dependency, before, read });
                self.queue.begin_restore();
                self.next = first;
                self.settling_until = Some(now() + SETTLING_TIME);
                return Ok(ReadOutcome::Restored);
            }
            LogRead::New { records, next, .. } => {
                for record in records {
                    match serde_json::from_slice(&record) {
                        Ok(record) => self.queue.apply(record, now()),
                        // A start record is the name of an instance.
                        Err(_) => self.queue.record_start(&String::from_utf8_lossy(&record), now()),
                    }
                }
                if self.settling_until.take_if(|until| now() >= *until).is_some() {
                    self.queue.end_restore();
                }
                self.queue.grant_permits(now());
                self.next = next;
            }
        }
        Ok(ReadOutcome::Current)
    }
}
