//! What the agent remembers of each request id.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use units::{ModelName, RequestId, Size};

use crate::kept::KeptBytes;
use crate::slot::Slot;

/// Sweeps follow each other at this pause; a process that was paused makes one sweep for the whole pause,
/// so that what waits in its sockets still meets the tombstones written before.
pub(crate) const SWEEP: Duration = Duration::from_secs(1);

/// One in this many places is kept free for tombstones.
const TOMBSTONE_SHARE: usize = 8;

/// Bounds of the table.
#[derive(Debug, Clone, Copy)]
pub struct TableLimits {
    /// The most requests remembered.
    pub count: usize,
    /// The most bytes of answers kept before new requests are refused.
    pub bytes: Size,
    /// How long a request is remembered beyond its deadline, and a tombstone in all.
    pub grace: Duration,
}

/// What the table says to a request id.
#[derive(Debug)]
pub enum Begin {
    /// It is new and now remembered.
    New(Arc<Slot>),
    /// It was seen before.
    Known(Arc<Slot>),
    /// The table is full; the request is not remembered and must not run.
    Full,
}

/// The requests by id.
#[derive(Debug)]
pub struct RequestTable {
    limits: TableLimits,
    slots: HashMap<RequestId, Arc<Slot>>,
    expiry: BTreeSet<(u64, RequestId)>,
    sweeps: u64,
    kept: KeptBytes,
}

impl RequestTable {
    /// An empty table.
    pub fn new(limits: TableLimits) -> Self {
        Self {
            limits,
            slots: HashMap::new(),
            expiry: BTreeSet::new(),
            sweeps: 0,
            kept: KeptBytes::default(),
        }
    }

    /// Remembers a dispatched request, unless its id is known.
    pub fn begin(
        &mut self,
        id: &RequestId,
        model: &ModelName,
        repeatable: bool,
        budget: Duration,
    ) -> Begin {
        if let Some(slot) = self.slots.get(id) {
            return Begin::Known(slot.clone());
        }
        let places = self.limits.count - self.limits.count / TOMBSTONE_SHARE;
        if self.slots.len() >= places || !self.has_room() {
            return Begin::Full;
        }
        let slot = Slot::queued(id.clone(), model.clone(), repeatable, self.kept.clone());
        Begin::New(self.insert(slot, budget + self.limits.grace))
    }

    /// Finds a request for a resume; an id never seen gets a tombstone.
    pub fn find(&mut self, id: &RequestId) -> Begin {
        if let Some(slot) = self.slots.get(id) {
            return Begin::Known(slot.clone());
        }
        if self.slots.len() >= self.limits.count {
            return Begin::Full;
        }
        let tombstone = Slot::tombstone(id.clone(), self.kept.clone());
        Begin::New(self.insert(tombstone, self.limits.grace))
    }

    fn insert(&mut self, slot: Slot, keep: Duration) -> Arc<Slot> {
        let slot = Arc::new(slot);
        self.slots.insert(slot.id.clone(), slot.clone());
        self.expiry.insert((self.sweeps + sweeps(keep), slot.id.clone()));
        slot
    }

    /// Forgets what has expired; a request that is not over is kept for another grace.
    pub fn sweep(&mut self) {
        self.sweeps += 1;
        while let Some((at, id)) = self.expiry.pop_first() {
            if at > self.sweeps {
                self.expiry.insert((at, id));
                break;
            }
            if self.slots.get(&id).is_some_and(|slot| !slot.is_over()) {
                self.expiry.insert((self.sweeps + sweeps(self.limits.grace), id));
            } else {
                self.slots.remove(&id);
            }
        }
    }

    /// Whether more bytes may be kept; drops answers that were delivered, the first to expire first.
    fn has_room(&self) -> bool {
        if self.bytes() < self.limits.bytes {
            return true;
        }
        for (_, id) in &self.expiry {
            let freed = self.slots.get(id).map_or(0, |slot| slot.shrink());
            if freed > 0 && self.bytes() < self.limits.bytes {
                return true;
            }
        }
        false
    }

    /// How many requests are remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The bytes of answers kept.
    pub(crate) fn bytes(&self) -> Size {
        Size(self.kept.load(Ordering::Relaxed))
    }

    /// The requests that are not over.
    pub(crate) fn open(&self) -> Vec<Arc<Slot>> {
        self.slots.values().filter(|slot| !slot.is_over()).cloned().collect()
    }
}

fn sweeps(span: Duration) -> u64 {
    span.as_millis().div_ceil(SWEEP.as_millis()).try_into().unwrap_or(u64::MAX / 2)
}

#[cfg(test)]
mod tests;
