//! The cache of prompt prefixes, and the events that tell of it late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::ModelName;
use xxhash_rust::xxh3::xxh3_64;

use super::core::take;

/// How many bytes of a prompt make its prefix.
const PREFIX: usize = 64;

/// How many events are kept for readers.
const EVENTS_KEPT: usize = 1000;

/// What became of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// It is cached from now on.
    Stored,
    /// It had to make room, or its model was unloaded.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a number that is missing is a gap.
    pub seq: u64,
    /// The model with its version.
    pub artifact: ModelName,
    /// The XXH3 digest of the first 64 bytes of the prompt, in hexadecimal.
    pub prefix: String,
    /// What became of it.
    pub change: CacheChange,
}

/// The answer to `GET /v1/cache-events`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number to read from next.
    pub next: u64,
    /// Events that are old enough to be told, in their order.
    pub events: Vec<CacheEvent>,
}

/// The digest of a prompt's prefix.
pub(crate) fn digest(text: &str) -> String {
    let bytes = text.as_bytes();
    format!("{:016x}", xxh3_64(&bytes[..bytes.len().min(PREFIX)]))
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Key {
    artifact: ModelName,
    prefix: String,
}

#[derive(Debug)]
pub(crate) struct Prefixes {
    limit: usize,
    /// The least recently used first.
    cached: VecDeque<Key>,
    events: VecDeque<(Instant, CacheEvent)>,
    seq: u64,
    /// How many of the next events are lost.
    pub(crate) gaps: u32,
}

impl Prefixes {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, cached: VecDeque::new(), events: VecDeque::new(), seq: 0, gaps: 0 }
    }

    /// Uses a prefix; says whether it was cached.
    pub(crate) fn touch(&mut self, artifact: &ModelName, prefix: &str) -> bool {
        let key = Key { artifact: artifact.clone(), prefix: prefix.to_owned() };
        let place = self.cached.iter().position(|other| *other == key);
        if let Some(place) = place {
            self.cached.remove(place);
        } else {
            self.tell(&key, CacheChange::Stored);
        }
        self.cached.push_back(key);
        while self.cached.len() > self.limit {
            let Some(oldest) = self.cached.pop_front() else { break };
            self.tell(&oldest, CacheChange::Evicted);
        }
        place.is_some()
    }

    /// Loses all prefixes of a model.
    pub(crate) fn evict(&mut self, artifact: &ModelName) {
        let (gone, kept) = self.cached.drain(..).partition(|key| key.artifact == *artifact);
        self.cached = kept;
        let gone: VecDeque<Key> = gone;
        for key in &gone {
            self.tell(key, CacheChange::Evicted);
        }
    }

    fn tell(&mut self, key: &Key, change: CacheChange) {
        self.seq += 1;
        if take(&mut self.gaps) {
            return;
        }
        let Key { artifact, prefix } = key.clone();
        let event = CacheEvent { seq: self.seq, artifact, prefix, change };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// The events from a number on that are at least so old.
    pub(crate) fn events(&self, from: u64, lag: Duration) -> CacheEvents {
        let told = self.events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let told = told.map(|(_, event)| event).filter(|event| event.seq >= from);
        let events: Vec<CacheEvent> = told.cloned().collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CacheEvents { next, events }
    }
}
