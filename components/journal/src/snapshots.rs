//! Snapshots of the state in the log: finding the one to start from, and writing a new one in time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use edge::{LogService, Page};
use record::{Body, Record, SnapshotChunk};
use state::State;
use tokio::time::Instant;
use units::Offset;

use crate::folded::{Bounds, Shared};
use crate::reader::read;

/// The most bytes of a snapshot's text in one record.
const CHUNK_BYTES: usize = 32 << 10;

/// When a new snapshot is due.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotRule {
    /// After this many records.
    pub records: u64,
    /// After this time.
    pub age: Duration,
}

impl Default for SnapshotRule {
    fn default() -> Self {
        Self { records: 2000, age: Duration::from_secs(15 * 60) }
    }
}

/// A whole snapshot that this process has seen in the log.
#[derive(Debug, Clone, Copy)]
struct Seen {
    upto: Offset,
    at: Offset,
    since: Instant,
}

/// Watches the snapshots that pass in the log.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    newest: Option<Seen>,
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    upto: Offset,
    digest: String,
    at: Offset,
    parts: BTreeSet<u32>,
}

impl Tracker {
    /// Notes a chunk at an offset.
    pub(crate) fn note(&mut self, offset: Offset, chunk: &SnapshotChunk) {
        let same =
            |partial: &&mut Partial| partial.upto == chunk.upto && partial.digest == chunk.digest;
        let partial = match self.partial.as_mut().filter(same) {
            Some(partial) => partial,
            None => self.partial.insert(Partial {
                upto: chunk.upto,
                digest: chunk.digest.clone(),
                at: offset,
                parts: BTreeSet::new(),
            }),
        };
        partial.parts.insert(chunk.part);
        if partial.parts.len() == chunk.parts as usize {
            self.newest = Some(Seen { upto: chunk.upto, at: partial.at, since: Instant::now() });
            self.partial = None;
        }
    }

    /// Whether a snapshot is due: the newest is old, or has come half-way to its expiry.
    pub(crate) fn is_due(&self, rule: SnapshotRule, folded: Offset, bounds: Bounds) -> bool {
        let expiring = bounds.first > Offset(1);
        let Some(seen) = self.newest else {
            return expiring || folded.0 >= rule.records;
        };
        let middle = bounds.first.0 + (bounds.last.0.saturating_sub(bounds.first.0)) / 2;
        let far = folded.0.saturating_sub(seen.upto.0) >= rule.records;
        let old = seen.since.elapsed() >= rule.age && folded > seen.upto;
        far || old || expiring && seen.at.0 < middle
    }
}

/// The records of a snapshot of the state.
pub(crate) fn to_records(state: &State) -> Vec<Body> {
    state::chunks(state, CHUNK_BYTES).into_iter().map(Body::Snapshot).collect()
}

/// The parts of the snapshots that a scan has met, by offset and digest.
type Parts = HashMap<(Offset, String), Vec<SnapshotChunk>>;

/// Reads the log from its first record until a snapshot is whole that the records after it continue.
pub(crate) async fn find_in_log(
    shared: &Shared,
    service: &dyn LogService,
    first: Offset,
) -> Option<State> {
    let mut parts = Parts::new();
    let mut next = first;
    loop {
        let page = read(shared, service, next, Duration::ZERO).await.ok()?;
        if let Some(state) = scan(&page, &mut parts) {
            return Some(state);
        }
        next = page.entries.last()?.offset.next();
    }
}

fn scan(page: &Page, parts: &mut Parts) -> Option<State> {
    for entry in &page.entries {
        let Ok(record) = serde_json::from_slice::<Record>(&entry.data) else { continue };
        let Body::Snapshot(chunk) = record.body else { continue };
        if chunk.upto.next() < page.first {
            continue;
        }
        let known = parts.entry((chunk.upto, chunk.digest.clone())).or_default();
        known.push(chunk);
        if let Ok(state) = state::join(known) {
            return Some(state);
        }
    }
    None
}
