//! The records that wait to be sent to one keeper.

use std::collections::HashMap;

use control::{MAX_ORIGIN_RECORDS, OriginRecord};
use origin::StreamKey;

/// The most records that wait for one keeper. Further ones are left to the other keepers of their streams.
const MAX_WAITING: usize = 4_096;

/// The records that wait to be sent to one keeper, one for each stream.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: HashMap<StreamKey, OriginRecord>,
    sending: HashMap<StreamKey, OriginRecord>,
}

impl Outbox {
    /// Adds a record, unless the keeper is about to be told as much of the stream.
    pub(super) fn add(&mut self, record: OriginRecord) {
        let waiting = self.waiting.get(&record.key);
        if waiting
            .or_else(|| self.sending.get(&record.key))
            .is_some_and(|known| covers(known, &record))
        {
            return;
        }
        if waiting.is_some() || self.waiting.len() < MAX_WAITING {
            self.waiting.insert(record.key, record);
        }
    }

    /// Whether a record of a stream waits, or has been sent and not acknowledged.
    pub(super) fn contains(&self, key: StreamKey) -> bool {
        self.waiting.contains_key(&key) || self.sending.contains_key(&key)
    }

    /// Takes the next message; empty if nothing waits.
    pub(super) fn next_message(&mut self) -> Vec<OriginRecord> {
        let keys: Vec<StreamKey> = self.waiting.keys().take(MAX_ORIGIN_RECORDS).copied().collect();
        self.sending = keys.iter().filter_map(|key| self.waiting.remove_entry(key)).collect();
        self.sending.values().cloned().collect()
    }

    /// Takes all records that were not sent yet.
    pub(super) fn into_records(self) -> impl Iterator<Item = OriginRecord> {
        self.waiting.into_values()
    }
}

/// Whether a record says as much of a stream as another one.
fn covers(known: &OriginRecord, record: &OriginRecord) -> bool {
    known.software == record.software && (known.confirmed || !record.confirmed)
}

#[cfg(test)]
mod tests;
