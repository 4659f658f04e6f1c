//! The folded state that the tasks of a journal share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use edge::Entry;
use record::{RECORD_WINDOW_OFFSETS, Record, SnapshotChunk};
use state::{Applied, State};
use timeline::Recorder;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;
use units::{InstanceId, Offset};

use crate::Options;
use crate::ring::Ring;
use crate::snapshots::Tracker;

/// How many records are folded before their writers are told; fewer than the fold remembers.
const SETTLE_EVERY: usize = 1024;

/// What is known of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It was read lately.
    Up,
    /// It can't be read.
    Down,
    /// It ends before what this process has folded: a stale read, or the log has lost records.
    Behind,
    /// It holds another record than the one folded at the same offset: it is another log.
    Forked,
}

/// Which offsets the log held when it was read last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bounds {
    pub(crate) first: Offset,
    pub(crate) last: Offset,
}

/// Where records came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    Log,
    Peer,
}

/// A record that differs from the one folded at its offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Fork(pub(crate) Offset);

#[derive(Debug)]
struct Side {
    ring: Ring,
    waiters: HashMap<String, oneshot::Sender<Applied>>,
    text: Option<(Offset, Arc<str>)>,
    bounds: Option<Bounds>,
    fresh: Option<Instant>,
    snapshots: Tracker,
}

/// What the tasks of a journal share.
pub(crate) struct Shared {
    pub(crate) instance: InstanceId,
    pub(crate) recorder: Recorder,
    pub(crate) options: Options,
    pub(crate) changes: watch::Sender<Offset>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) health: watch::Sender<Health>,
    /// Wakes the heartbeat when a peer brought records.
    pub(crate) news: Notify,
    /// Wakes the appender when the log is read again.
    pub(crate) revived: Arc<Notify>,
    state: RwLock<State>,
    side: Mutex<Side>,
}

impl Shared {
    pub(crate) fn new(instance: InstanceId, recorder: Recorder, options: Options) -> Self {
        let ring = Ring::new(options.kept);
        let side = Side {
            ring,
            waiters: HashMap::new(),
            text: None,
            bounds: None,
            fresh: None,
            snapshots: Tracker::default(),
        };
        Self {
            instance,
            recorder,
            options,
            changes: watch::Sender::new(Offset(0)),
            ready: watch::Sender::new(false),
            health: watch::Sender::new(Health::Down),
            news: Notify::new(),
            revived: Arc::default(),
            state: RwLock::default(),
            side: Mutex::new(side),
        }
    }

    pub(crate) fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn state_mut(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn side(&self) -> MutexGuard<'_, Side> {
        self.side.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn offset(&self) -> Offset {
        self.state().offset()
    }

    /// Folds those of the records that come next; skips what was folded before and stops at a gap.
    pub(crate) fn fold(&self, entries: &[Entry], source: Source) -> Result<(), Fork> {
        let mut state = self.state_mut();
        let mut side = self.side();
        let before = state.offset();
        let mut applied = Vec::new();
        if source == Source::Peer && !overlaps(entries, before) {
            return Ok(());
        }
        for entry in entries {
            if entry.offset <= state.offset() {
                side.compare(entry, &state)?;
                continue;
            }
            if entry.offset != state.offset().next() || state.frozen().is_some() {
                break;
            }
            let verdict = state.apply_bytes(entry.offset, &entry.data);
            if state.frozen().is_some() {
                log::error!("journal: stopped at offset {}: upgrade this program", entry.offset);
                metrics::gauge!("hyssop_frozen").set(1.0);
                break;
            }
            side.ring.push(entry.data.clone());
            applied.push((entry, verdict));
            if applied.len().is_multiple_of(SETTLE_EVERY) {
                side.settle(&state);
            }
        }
        let after = state.offset();
        side.settle(&state);
        drop(side);
        drop(state);
        applied.iter().for_each(|(entry, verdict)| self.note(entry, verdict));
        if after > before {
            self.changes.send_replace(after);
            if source == Source::Peer {
                self.news.notify_one();
            }
        }
        Ok(())
    }

    /// Takes over a state that is newer than the own one and of the same log; says whether it did.
    pub(crate) fn adopt(&self, newer: State) -> bool {
        let mut state = self.state_mut();
        if newer.offset() <= state.offset() || state.frozen().is_some() {
            return false;
        }
        let mut side = self.side();
        if !self.continues(&state, &newer) {
            log::error!("journal: the state up to offset {} is of another log", newer.offset());
            return false;
        }
        let upto = newer.offset();
        let skipped = upto.0 - state.offset().0;
        *state = newer;
        side.ring.restart(upto);
        side.settle(&state);
        if skipped > RECORD_WINDOW_OFFSETS {
            // What landed in between may be forgotten: the writers learn that they can't know.
            side.waiters.clear();
        }
        drop(side);
        drop(state);
        log::info!("journal: took over a state folded up to offset {upto}");
        self.changes.send_replace(upto);
        self.news.notify_one();
        true
    }

    /// Whether a newer state has folded the newest record of the own one, as far as it remembers.
    fn continues(&self, state: &State, newer: &State) -> bool {
        let Some((offset, id)) = state.newest_id() else { return true };
        if newer.offset().0 - offset.0 < RECORD_WINDOW_OFFSETS {
            return newer.verdict_of(id) == state.verdict_of(id);
        }
        matches!(*self.health.borrow(), Health::Up | Health::Down)
    }

    pub(crate) fn wait_for(&self, id: &str) -> oneshot::Receiver<Applied> {
        let (sender, receiver) = oneshot::channel();
        self.side().waiters.insert(id.to_owned(), sender);
        receiver
    }

    pub(crate) fn stop_waiting(&self, id: &str) {
        self.side().waiters.remove(id);
    }

    pub(crate) fn is_waited_for(&self, id: &str) -> bool {
        self.side().waiters.contains_key(id)
    }

    /// The kept records from an offset on, of at most about `limit` bytes.
    pub(crate) fn kept(&self, from: Offset, limit: usize) -> Vec<(Offset, String)> {
        let found = self.side().ring.from(from, limit);
        found.into_iter().map(|(offset, data)| (offset, text(&data))).collect()
    }

    /// The state's text; made once for all who ask at the same offset.
    pub(crate) fn text(&self) -> (Offset, Arc<str>) {
        let state = self.state();
        let upto = state.offset();
        if let Some(found) = self.side().text.clone().filter(|(offset, _)| *offset == upto) {
            return found;
        }
        let made = (upto, Arc::from(state::to_text(&state)));
        self.side().text = Some(made.clone());
        made
    }

    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        self.side().bounds = Some(bounds);
    }

    /// Notes that the fold was as new as the log at a time.
    pub(crate) fn set_fresh(&self, at: Instant) {
        self.side().fresh = Some(at);
    }

    pub(crate) fn fresh(&self) -> Option<Instant> {
        self.side().fresh
    }

    pub(crate) fn note_chunk(&self, offset: Offset, chunk: &SnapshotChunk) {
        self.side().snapshots.note(offset, chunk);
    }

    /// Whether the log needs a new snapshot, as far as this process knows.
    pub(crate) fn snapshot_due(&self) -> bool {
        let folded = self.offset();
        let side = self.side();
        let due = |bounds| side.snapshots.is_due(self.options.snapshot, folded, bounds);
        side.bounds.is_some_and(due)
    }
}

impl Side {
    /// Tells the writers whose records are folded.
    fn settle(&mut self, state: &State) {
        let settled: Vec<String> =
            self.waiters.keys().filter(|id| state.verdict_of(id).is_some()).cloned().collect();
        for id in settled {
            let verdict = state.verdict_of(&id).cloned();
            if let (Some(waiter), Some(applied)) = (self.waiters.remove(&id), verdict) {
                // A writer that has given up is not told.
                let _unread = waiter.send(applied);
            }
        }
    }

    /// Compares a record with the one that was folded at its offset, as far as that is known.
    fn compare(&self, entry: &Entry, state: &State) -> Result<(), Fork> {
        let is_same = match self.ring.get(entry.offset) {
            Some(data) => *data == entry.data,
            // The newest record of a state that was taken over is known by its id.
            None if entry.offset == state.offset() => {
                id_of(&entry.data).is_none_or(|id| state.verdict_of(&id).is_some())
            }
            None => true,
        };
        if is_same { Ok(()) } else { Err(Fork(entry.offset)) }
    }
}

/// Whether records begin at or before the newest folded one, so that they can be compared with it.
fn overlaps(entries: &[Entry], folded: Offset) -> bool {
    folded == Offset(0) || entries.first().is_some_and(|entry| entry.offset <= folded)
}

/// The id of a record, if the fold remembers it.
fn id_of(data: &[u8]) -> Option<String> {
    let record: Record = serde_json::from_slice(data).ok()?;
    (record.needs >= record.body.format_version()).then_some(record.id)
}

fn text(data: &[u8]) -> String {
    String::from_utf8_lossy(data).into_owned()
}

#[cfg(test)]
mod tests;
