//! Accounting of the endpoint's accelerator memory.

use std::collections::BTreeMap;

use edge::Inventory;
use thiserror::Error;
use units::{ModelName, Size};

/// There is too little memory left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{missing} of accelerator memory are missing")]
pub(crate) struct Short {
    pub(crate) missing: Size,
}

/// Memory set aside for one artifact with its adapters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Reservation {
    /// What orders may take, whether or not the inventory shows it yet.
    reserved: Size,
    /// What the inventory shows.
    shown: Size,
}

impl Reservation {
    fn taken(self) -> Size {
        self.reserved.max(self.shown)
    }
}

/// The reservations of an endpoint. What the inventory shows is reserved too, and stays so until it is
/// confirmed gone.
#[derive(Debug)]
pub(crate) struct Ledger {
    total: Size,
    held: BTreeMap<ModelName, Reservation>,
}

impl Ledger {
    pub(crate) fn new(total: Size) -> Self {
        Self { total, held: BTreeMap::new() }
    }

    /// The memory taken by all.
    pub(crate) fn taken(&self) -> Size {
        self.held.values().map(|held| held.taken()).sum()
    }

    /// The memory taken by one artifact.
    pub(crate) fn of(&self, artifact: &ModelName) -> Size {
        self.held.get(artifact).map_or(Size(0), |held| held.taken())
    }

    /// The memory in all.
    pub(crate) fn total(&self) -> Size {
        self.total
    }

    /// Adds to an artifact's reservation; it stays until [`Ledger::free`].
    pub(crate) fn reserve(&mut self, artifact: &ModelName, size: Size) -> Result<(), Short> {
        let held = self.held.get(artifact).copied().unwrap_or_default();
        let next = Reservation { reserved: held.reserved + size, ..held };
        let others = self.taken().saturating_sub(held.taken());
        let missing = (others + next.taken()).saturating_sub(self.total);
        if missing > Size(0) {
            return Err(Short { missing });
        }
        self.held.insert(artifact.clone(), next);
        Ok(())
    }

    /// Gives back part of a reservation, once the inventory has confirmed that it is not used.
    pub(crate) fn free(&mut self, artifact: &ModelName, size: Size) {
        if let Some(held) = self.held.get_mut(artifact) {
            held.reserved = held.reserved.saturating_sub(size);
        }
        self.held.retain(|_, held| held.taken() > Size(0));
    }

    /// Gives back a whole reservation, once the inventory has confirmed that it is not used.
    pub(crate) fn free_all(&mut self, artifact: &ModelName) {
        self.free(artifact, Size(u64::MAX));
    }

    /// Reserves no more than the inventory shows, where no order is open.
    pub(crate) fn trust(&mut self, artifact: &ModelName) {
        if let Some(held) = self.held.get_mut(artifact) {
            held.reserved = held.shown;
        }
    }

    /// Takes over what the inventory shows.
    pub(crate) fn show(&mut self, inventory: &Inventory) {
        if inventory.memory > Size(0) {
            self.total = inventory.memory;
        }
        for held in self.held.values_mut() {
            held.shown = Size(0);
        }
        for loaded in &inventory.loaded {
            let held = self.held.entry(loaded.artifact.clone()).or_default();
            held.shown = loaded.memory;
            // What an older incarnation ordered is reserved too, so that adapters come on top of it.
            held.reserved = held.reserved.max(loaded.memory);
        }
        self.held.retain(|_, held| held.taken() > Size(0));
    }
}

#[cfg(test)]
mod tests;
