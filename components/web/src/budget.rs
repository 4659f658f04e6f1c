//! Memory for bodies that are read whole, limited over all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The most by which the memory of a body grows ahead of its bytes.
const MAX_GROWTH_BYTES: usize = 256 << 10;

/// An amount of memory, in bytes, that bodies share; clones share it too.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<AtomicUsize>);

impl ByteBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Starts a reservation, which is empty.
    pub fn reservation(&self) -> ReservedBytes {
        ReservedBytes { budget: self.clone(), bytes: 0 }
    }
}

/// A part of a budget, which is returned on drop.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: ByteBudget,
    bytes: usize,
}

impl ReservedBytes {
    /// Sets the size of the reservation; false, and no change, if the budget does not have that much.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let free = &self.budget.0;
        if bytes <= self.bytes {
            free.fetch_add(self.bytes - bytes, Ordering::Relaxed);
        } else {
            let more = bytes - self.bytes;
            let take = |free: usize| free.checked_sub(more);
            if free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_err() {
                return false;
            }
        }
        self.bytes = bytes;
        true
    }

    /// Moves the reservation out, and leaves an empty one.
    pub fn take(&mut self) -> Self {
        let empty = self.budget.reservation();
        std::mem::replace(self, empty)
    }

    /// The data, whose memory counts until the last of it is dropped.
    pub fn attach(self, data: Bytes) -> Bytes {
        if self.bytes == 0 {
            return data;
        }
        Bytes::from_owner(ReservedData { data, _reserved: self })
    }
}

/// Data with the memory that is reserved for it.
struct ReservedData {
    data: Bytes,
    _reserved: ReservedBytes,
}

impl AsRef<[u8]> for ReservedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// The bytes of a body that have arrived, with the memory that is reserved for them.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
    reserved: Option<ReservedBytes>,
}

/// The bytes did not fit.
#[derive(Debug)]
pub struct BufferFull;

impl BodyBuffer {
    /// A buffer for this many bytes at most, with memory from a budget if there is one.
    pub fn new(limit: usize, budget: Option<&ByteBudget>) -> Self {
        let reserved = budget.map(ByteBudget::reservation);
        Self { bytes: Vec::new(), limit, reserved }
    }

    /// Adds bytes. Small parts are copied together: kept as they are, each would take many times its size.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BufferFull> {
        if self.bytes.len() + data.len() > self.limit {
            return Err(BufferFull);
        }
        let free = self.bytes.capacity() - self.bytes.len();
        if data.len() > free {
            let growth = data.len().max(self.bytes.len().min(MAX_GROWTH_BYTES));
            let size = self.bytes.len() + growth;
            if self.reserved.as_mut().is_some_and(|reserved| !reserved.resize(size)) {
                return Err(BufferFull);
            }
            self.bytes.reserve_exact(growth);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The bytes, whose memory no longer counts.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.into()
    }

    /// The bytes, whose memory counts until the last of them is dropped.
    pub fn into_reserved_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
