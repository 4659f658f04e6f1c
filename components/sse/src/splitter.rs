//! Holds back the last event of a stream until it is complete.

use bytes::{Bytes, BytesMut};

use crate::{EventScanner, event_id};

/// The largest event that is held back; what exceeds this is given out before the event is complete.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    /// Bytes since the end of the last complete event.
    pending: BytesMut,
    last_id: Option<u64>,
    /// Whether a part of the current event was given out, because the event is too large.
    part_given: bool,
}

impl EventSplitter {
    /// A splitter for a stream that continues after the event with this id.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Adds bytes and removes the events that are complete now. The rest of an event whose start was given out is not held back:
    /// no other stream can continue it.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let complete = self.scanner.scan(&data);
        if complete == 0 {
            return if self.part_given { data } else { self.hold(&data) };
        }
        let ready = if self.pending.is_empty() {
            data.slice(..complete)
        } else {
            self.pending.extend_from_slice(&data[..complete]);
            self.pending.split().freeze()
        };
        self.part_given = false;
        let lines = ready.split(|byte| matches!(byte, b'\n' | b'\r'));
        self.last_id = lines.filter_map(event_id).next_back().or(self.last_id);
        self.pending.extend_from_slice(&data[complete..]);
        ready
    }

    /// Passes bytes on as they are, without holding any back.
    pub fn pass(&mut self, data: Bytes) -> Bytes {
        self.scanner.scan(&data);
        data
    }

    fn hold(&mut self, data: &[u8]) -> Bytes {
        self.pending.extend_from_slice(data);
        if self.pending.len() <= MAX_EVENT_BYTES { Bytes::new() } else { self.give_out() }
    }

    /// The memory that the bytes which are held back take.
    pub fn held_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Removes the bytes that are held back before their event is complete.
    pub fn give_out(&mut self) -> Bytes {
        self.part_given |= !self.pending.is_empty();
        std::mem::take(&mut self.pending).freeze()
    }

    /// Removes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// The id of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end inside an event.
    pub fn inside_event(&self) -> bool {
        self.scanner.inside_event()
    }

    /// Whether the bytes so far contain a complete event.
    pub fn has_event(&self) -> bool {
        self.scanner.has_event()
    }

    /// The number of bytes since the end of the last complete event.
    pub fn tail_bytes(&self) -> usize {
        self.scanner.tail_bytes()
    }

    /// Whether what was given out ends with a complete event, so that another stream can continue it.
    pub fn can_resume(&self) -> bool {
        !self.part_given
    }
}

#[cfg(test)]
mod tests;
