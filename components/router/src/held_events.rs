//! Events of streams that are held back until they are complete, with memory that all streams share.

use bytes::Bytes;
use sse::EventSplitter;
use web::{ByteBudget, ReservedBytes};

/// How much of an event each stream may hold back without memory from the budget of all streams.
const FREE_EVENT_BYTES: usize = 4 << 10;

/// The events of one stream; the last one is held back until it is complete.
#[derive(Debug)]
pub(crate) struct HeldEvents {
    pub(crate) splitter: EventSplitter,
    /// Memory for the event that is held back.
    reserved: ReservedBytes,
}

impl HeldEvents {
    /// The events after the one with this id, or all.
    pub(crate) fn new(last_event: Option<u64>, budget: &ByteBudget) -> Self {
        let splitter = EventSplitter::resuming_after(last_event);
        Self { splitter, reserved: budget.reservation() }
    }

    /// Adds data, and returns the events that are complete. The start of a large event is returned
    /// as well if there is no memory to hold it back. The memory of what was held back counts until
    /// it is dropped: a caller that does not read keeps it for long.
    pub(crate) fn push(&mut self, data: Bytes) -> Bytes {
        let ready = self.splitter.push(data);
        if ready.is_empty() && self.reserve() {
            return ready;
        }
        let reserved = self.reserved.take();
        if ready.is_empty() {
            return reserved.attach(self.splitter.give_out());
        }
        if self.reserve() {
            return reserved.attach(ready);
        }
        reserved.attach([ready, self.splitter.give_out()].concat().into())
    }

    /// Removes the bytes after the last complete event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.reserved.take().attach(self.splitter.take_rest())
    }

    /// Reserves memory for what is held back; false if there is not enough.
    fn reserve(&mut self) -> bool {
        self.reserved.resize(self.splitter.held_bytes().saturating_sub(FREE_EVENT_BYTES))
    }
}

#[cfg(test)]
mod tests;
