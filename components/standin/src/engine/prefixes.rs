//! The cache of prompt prefixes, and the events that tell of it late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use edge::{CacheChange, CacheEvent, CacheEvents, PrefixHash};
use tokio::time::Instant;
use units::ModelName;

use super::core::take;

/// How many events are kept for readers.
const EVENTS_KEPT: usize = 1000;

/// How many numbers of events a crash skips.
const LOST: u64 = 1000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Key {
    artifact: ModelName,
    prefix: PrefixHash,
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
    /// An empty cache whose events are numbered after `seq`.
    pub(crate) fn new(limit: usize, seq: u64) -> Self {
        Self { limit, cached: VecDeque::new(), events: VecDeque::new(), seq, gaps: 0 }
    }

    /// The cache after a crash: what it held is lost, and so are the events that say so.
    pub(crate) fn lost(&self) -> Self {
        Self::new(self.limit, self.seq + LOST)
    }

    /// Uses a prefix; says whether it was cached.
    pub(crate) fn touch(&mut self, artifact: &ModelName, prefix: PrefixHash) -> bool {
        let key = Key { artifact: artifact.clone(), prefix };
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
