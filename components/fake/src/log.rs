//! The log service in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{LogError, LogService, Page, Stream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use units::Offset;

use crate::stream::Tail;

/// The most records that one read returns.
const PAGE_LIMIT: usize = 1000;

/// What is wrong with the log, and how long it keeps records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Reads and appends fail; appends have no effect but the caller can't know.
    pub outage: bool,
    /// Appends are refused; reads work.
    pub refuse: bool,
    /// How long each call takes.
    pub delay: Duration,
    /// How many of the next appends take effect without an answer.
    pub lost: u32,
    /// Appends get no answer and take effect after this time.
    pub late: Option<Duration>,
    /// The most appends a second, over all streams; more are refused.
    pub rate: Option<u32>,
    /// How many records each stream keeps.
    pub retention: Option<usize>,
    /// How long each stream keeps a record.
    pub age: Option<Duration>,
}

/// What the log was asked to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Appends that were asked for.
    pub appends: u64,
    /// Appends that were refused.
    pub refused: u64,
    /// Records that took effect.
    pub records: u64,
    /// Bytes of records that took effect.
    pub bytes: u64,
    /// Reads that were asked for.
    pub reads: u64,
}

#[derive(Debug)]
struct Core {
    control: Tail,
    keys: Tail,
    faults: Faults,
    counters: Counters,
    second: Instant,
    used: u32,
}

#[derive(Debug)]
struct Shared {
    core: Mutex<Core>,
    changed: Notify,
}

/// A log service in memory; clones share the records.
#[derive(Debug, Clone)]
pub struct Log(Arc<Shared>);

impl Default for Log {
    fn default() -> Self {
        let core = Core {
            control: Tail::default(),
            keys: Tail::default(),
            faults: Faults::default(),
            counters: Counters::default(),
            second: Instant::now(),
            used: 0,
        };
        Self(Arc::new(Shared { core: Mutex::new(core), changed: Notify::new() }))
    }
}

impl Core {
    fn tail(&mut self, stream: Stream) -> &mut Tail {
        match stream {
            Stream::Control => &mut self.control,
            Stream::Keys => &mut self.keys,
        }
    }

    fn push(&mut self, stream: Stream, records: Vec<Bytes>) -> Offset {
        self.counters.records += records.len() as u64;
        self.counters.bytes += records.iter().map(|record| record.len() as u64).sum::<u64>();
        let first = self.tail(stream).push(records);
        self.retain();
        first
    }

    fn retain(&mut self) {
        self.control.retain(&self.faults);
        self.keys.retain(&self.faults);
    }

    fn over_rate(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.faults.rate.is_some_and(|rate| self.used > rate)
    }

    /// The page, or nothing while there is no record from `from` on.
    fn look(&mut self, stream: Stream, from: Offset) -> Result<Option<Page>, LogError> {
        if self.faults.outage {
            return Err(LogError::Unreadable("the log is down".to_owned()));
        }
        self.retain();
        let tail = self.tail(stream);
        if from < tail.first() {
            return Err(LogError::Expired { first: tail.first() });
        }
        let page = tail.page(from, PAGE_LIMIT);
        Ok((!page.entries.is_empty()).then_some(page))
    }
}

impl Log {
    fn core(&self) -> MutexGuard<'_, Core> {
        self.0.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults; reads that wait notice at once.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        let mut core = self.core();
        change(&mut core.faults);
        core.retain();
        drop(core);
        self.0.changed.notify_waiters();
    }

    /// The faults that are set.
    pub fn faults(&self) -> Faults {
        self.core().faults.clone()
    }

    /// What the log was asked to do so far.
    pub fn counters(&self) -> Counters {
        self.core().counters
    }

    /// All records that are kept, whatever the faults.
    pub fn records(&self, stream: Stream) -> Page {
        self.core().tail(stream).page(Offset(0), usize::MAX)
    }

    /// Puts a record in, whatever the faults.
    pub fn put(&self, stream: Stream, record: impl Into<Bytes>) -> Offset {
        let first = self.core().push(stream, vec![record.into()]);
        self.0.changed.notify_waiters();
        first
    }

    /// Expires all records before an offset.
    pub fn expire(&self, stream: Stream, before: Offset) {
        self.core().tail(stream).expire(before);
        self.0.changed.notify_waiters();
    }

    /// Loses everything; offsets begin at 1 again, which a real service should never do.
    pub fn wipe(&self, stream: Stream) {
        *self.core().tail(stream) = Tail::default();
        self.0.changed.notify_waiters();
    }

    async fn slow(&self) {
        let delay = self.core().faults.delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    fn append_now(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError> {
        let mut core = self.core();
        if core.faults.outage {
            return Err(LogError::Unknown("the log is down".to_owned()));
        }
        if core.faults.refuse || core.over_rate() {
            core.counters.refused += 1;
            return Err(LogError::Refused("too many appends".to_owned()));
        }
        if let Some(delay) = core.faults.late {
            drop(core);
            self.surface_later(stream, records, delay);
            return Err(LogError::Unknown("the answer is late".to_owned()));
        }
        let first = core.push(stream, records);
        let lost = core.faults.lost > 0;
        core.faults.lost = core.faults.lost.saturating_sub(1);
        drop(core);
        self.0.changed.notify_waiters();
        if lost { Err(LogError::Unknown("the answer was lost".to_owned())) } else { Ok(first) }
    }

    fn surface_later(&self, stream: Stream, records: Vec<Bytes>, delay: Duration) {
        let log = self.clone();
        let due = Instant::now() + delay;
        tokio::spawn(async move {
            sleep_until(due).await;
            log.core().push(stream, records);
            log.0.changed.notify_waiters();
        });
    }
}

#[async_trait]
impl LogService for Log {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset, LogError> {
        self.core().counters.appends += 1;
        let log = self.clone();
        // A task of its own: a caller that gives up does not stop an append under way.
        let append = tokio::spawn(async move {
            log.slow().await;
            log.append_now(stream, records)
        });
        append.await.unwrap_or_else(|error| Err(LogError::Unknown(error.to_string())))
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, LogError> {
        self.core().counters.reads += 1;
        self.slow().await;
        let until = Instant::now() + wait;
        loop {
            let changed = self.0.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(page) = self.core().look(stream, from)? {
                return Ok(page);
            }
            if timeout_at(until, changed).await.is_err() {
                let mut core = self.core();
                return Ok(core.tail(stream).page(from, PAGE_LIMIT));
            }
        }
    }
}

#[cfg(test)]
mod tests;
