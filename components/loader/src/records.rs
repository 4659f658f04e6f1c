//! The records of all loaders, as far as one loader has read them.

use std::time::Duration;

use events::{Dependency, Event, emit};
use platform::{LogRead, Store, StoreError};
use tokio::time::Instant;
use units::{Era, Offset, StorePosition};

use crate::fence::TOPIC;
use crate::queue::Queue;

/// Records before the loader's own start that may still be about a load in progress: ten for each of some fifty loaders. Where
/// there are more, a loader that has just started may take a lane too many, once.
const BACK: u64 = 512;
/// After the store has come back from an older copy, all write again within this time what stands and may be gone, each at a moment
/// of its own: hundreds of loaders notice it at once.
pub(crate) const AGAIN: Duration = Duration::from_millis(2_000);
/// So long the records do not show yet which lanes are taken: what is written again has to be read, too.
const SETTLE: Duration = Duration::from_millis(2_500);

/// What a read has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Found {
    /// What was written since the last one, if anything.
    News,
    /// The store has come back from an older copy: what this loader wrote may be gone.
    Restored,
}

/// What has been read.
#[derive(Debug)]
pub(crate) struct Records {
    store: Store,
    /// What the records say.
    pub(crate) queue: Queue,
    /// Where to read on.
    next: StorePosition,
    /// Until when the records may not show yet which lanes are taken.
    settling: Option<Instant>,
}

impl Records {
    /// Nothing has been read yet by a loader whose own start stands there.
    pub(crate) fn new(store: Store, start: StorePosition) -> Self {
        let offset = Offset(start.offset.0.saturating_sub(BACK));
        let next = StorePosition { offset, ..start };
        Self { store, queue: Queue::default(), next, settling: None }
    }

    /// The era of the store in which they were read.
    pub(crate) fn era(&self) -> Era {
        self.next.era
    }

    /// Whether they may not show yet which lanes are taken.
    pub(crate) fn settling(&self) -> bool {
        self.settling.is_some()
    }

    /// Reads on, as soon as there is a record or the wait is over.
    pub(crate) async fn read(&mut self, wait: Duration) -> Result<Found, StoreError> {
        let left = self.settling.map(|until| until.saturating_duration_since(Instant::now()));
        let wait = left.filter(|left| !left.is_zero()).map_or(wait, |left| wait.min(left));
        let now = Instant::now;
        match self.store.read_log(TOPIC, self.next, wait).await? {
            LogRead::Expired(first) => self.next = first,
            LogRead::Restored(first) => {
                let (before, read) = (self.next.to_string(), first.to_string());
                let (dependency, before, read) = (Dependency::Lanes, &*before, &*read);
                emit(&Event::Restored { dependency, before, read });
                self.queue.restored();
                self.next = first;
                self.settling = Some(now() + SETTLE);
                return Ok(Found::Restored);
            }
            LogRead::New { records, next } => {
                for record in records {
                    match serde_json::from_slice(&record) {
                        Ok(note) => self.queue.take(note, now()),
                        // The record of a start is the name of an instance.
                        Err(_) => self.queue.started(&String::from_utf8_lossy(&record), now()),
                    }
                }
                if self.settling.take_if(|until| now() >= *until).is_some() {
                    self.queue.settled();
                }
                self.queue.grant(now());
                self.next = next;
            }
        }
        Ok(Found::News)
    }
}
