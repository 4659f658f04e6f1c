//! One model in an engine's memory, and the requests that wait for its slots.

use std::collections::BTreeMap;

use edge::{Loaded, ReplicaPhase};
use tokio::sync::oneshot;
use tokio::time::Instant;
use units::{AdapterName, Incarnation, ModelName, Size};

use super::Engine;

/// Names one load of one model; a later load of the same model has another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ticket {
    pub(crate) artifact: ModelName,
    pub(crate) serial: u64,
}

#[derive(Debug)]
pub(crate) struct Adapter {
    pub(crate) weights: Size,
    pub(crate) ready: bool,
}

/// Where a request stands in the queue: the most urgent first, then in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) priority: u8,
    pub(crate) seq: u64,
}

#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) serial: u64,
    pub(crate) fence: Incarnation,
    pub(crate) phase: ReplicaPhase,
    pub(crate) base: Size,
    pub(crate) adapters: BTreeMap<AdapterName, Adapter>,
    pub(crate) running: u32,
    pub(crate) waiting: BTreeMap<Place, oneshot::Sender<Slot>>,
    /// Since when at least one request runs.
    pub(crate) busy: Option<Instant>,
}

impl Replica {
    pub(crate) fn memory(&self) -> Size {
        self.base + self.adapters.values().map(|adapter| adapter.weights).sum()
    }

    pub(crate) fn loaded(&self, artifact: &ModelName) -> Loaded {
        let ready = self.adapters.iter().filter(|(_, adapter)| adapter.ready);
        Loaded {
            artifact: artifact.clone(),
            phase: self.phase,
            memory: self.memory(),
            adapters: ready.map(|(name, _)| name.clone()).collect(),
        }
    }

    /// Gives free slots to those who wait.
    pub(crate) fn pump(&mut self, engine: &Engine, artifact: &ModelName, slots: u32) {
        while self.running < slots {
            let Some((_, waiting)) = self.waiting.pop_first() else { return };
            let ticket = Ticket { artifact: artifact.clone(), serial: self.serial };
            let slot = Slot { engine: engine.clone(), ticket, held: true };
            match waiting.send(slot) {
                Ok(()) => {
                    self.running += 1;
                    self.busy.get_or_insert_with(Instant::now);
                }
                // The core is locked here, which a slot that is held would wait for.
                Err(mut slot) => slot.held = false,
            }
        }
    }
}

/// The right to run on a replica, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    engine: Engine,
    ticket: Ticket,
    held: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.held {
            self.engine.release(&self.ticket);
        }
    }
}
