//! The records that wait to be sent to one keeper.

use std::collections::{HashMap, HashSet};

use control::{MAX_ORIGIN_RECORDS, OriginRecord};
use origin::StreamKey;

/// The most records that wait for one keeper. Further ones are left to the other keepers of their streams.
const MAX_WAITING: usize = 4_096;

/// The records that wait to be sent to one keeper, one for each stream.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: HashMap<StreamKey, OriginRecord>,
    sending: HashSet<StreamKey>,
}

impl Outbox {
    pub(super) fn add(&mut self, record: OriginRecord) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.insert(record.key, record);
        }
    }

    /// Whether the keeper is about to be told of a stream.
    pub(super) fn holds(&self, key: StreamKey) -> bool {
        self.waiting.contains_key(&key) || self.sending.contains(&key)
    }

    /// Takes the next message; empty if nothing waits.
    pub(super) fn next_message(&mut self) -> Vec<OriginRecord> {
        let keys: Vec<StreamKey> = self.waiting.keys().take(MAX_ORIGIN_RECORDS).copied().collect();
        self.sending = keys.iter().copied().collect();
        keys.iter().filter_map(|key| self.waiting.remove(key)).collect()
    }

    /// Takes all records that were not sent yet.
    pub(super) fn into_records(self) -> impl Iterator<Item = OriginRecord> {
        self.waiting.into_values()
    }
}

#[cfg(test)]
mod tests;
