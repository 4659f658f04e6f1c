//! Which prompt prefixes the engine has cached, as its late and gappy events tell.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use edge::{CacheChange, CacheEvent, CacheEvents, EndpointError, PrefixHash};
use units::{Incarnation, ModelName};
use wire::{PrefixChange, PrefixList, PrefixUpdate};

use crate::agent::Agent;
use crate::estimate::Average;

/// The most prefixes that are known of one artifact; the ones stored first go first.
const KNOWN: usize = 1024;

/// The most artifacts with known prefixes.
const ARTIFACTS: usize = 64;

/// How many of the newest changes an answer tells.
const TOLD: usize = 8;

/// How many of the other cached prefixes an answer tells, in turn.
const REPEATED: usize = 4;

/// Epochs of one incarnation are numbered below this bit.
const EPOCH_BITS: u32 = 20;

/// The pause after events; it doubles while there are none.
const PAUSE: Duration = Duration::from_millis(250);

/// The longest pause.
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// The pause where the engine tells of no events.
const REFUSED_PAUSE: Duration = Duration::from_secs(60);

/// What is known of the engine's prefix caches.
#[derive(Debug, Default)]
pub(crate) struct Caches {
    epoch: u64,
    next: Option<u64>,
    caches: BTreeMap<ModelName, Cache>,
}

/// What is known of one artifact's prefixes.
#[derive(Debug, Default)]
struct Cache {
    epoch: u64,
    upto: u64,
    gaps: u64,
    /// The prefixes that are cached, those stored first at the front.
    known: VecDeque<u32>,
    recent: VecDeque<PrefixChange>,
    turn: usize,
    hit: Average,
    miss: Average,
}

impl Caches {
    /// Counts epochs for an incarnation of the agent.
    pub(crate) fn begin(&mut self, incarnation: Incarnation) {
        self.epoch = incarnation.0 << EPOCH_BITS;
    }

    /// The number of the event to read next.
    fn next(&self) -> u64 {
        self.next.unwrap_or(0)
    }

    /// Takes over events; true if there were any.
    pub(crate) fn take(&mut self, told: &CacheEvents) -> bool {
        for event in &told.events {
            self.skip_to(event.seq);
            self.apply(event);
            self.next = Some(event.seq + 1);
        }
        self.skip_to(told.next);
        self.next = Some(told.next);
        !told.events.is_empty()
    }

    /// Notes that the next event has this number: if others are missing, any prefix may have been evicted; if
    /// the numbers begin again, all were.
    fn skip_to(&mut self, seq: u64) {
        let Some(next) = self.next else { return };
        if seq < next {
            self.caches.clear();
        } else if seq > next {
            metrics::counter!("hyssop_agent_cache_gaps_total").increment(1);
            self.caches.values_mut().for_each(Cache::doubt);
        }
    }

    fn apply(&mut self, event: &CacheEvent) {
        let stored = event.change == CacheChange::Stored;
        if !stored && !self.caches.contains_key(&event.artifact) {
            return;
        }
        let change = PrefixChange { prefix: event.prefix.short(), stored };
        self.cache(&event.artifact).apply(change);
        if self.caches.len() > ARTIFACTS {
            let oldest = self.caches.iter().min_by_key(|(_, cache)| cache.epoch);
            if let Some(artifact) = oldest.map(|(artifact, _)| artifact.clone()) {
                self.caches.remove(&artifact);
            }
        }
    }

    fn cache(&mut self, artifact: &ModelName) -> &mut Cache {
        let epoch = &mut self.epoch;
        self.caches.entry(artifact.clone()).or_insert_with(|| {
            *epoch += 1;
            Cache { epoch: *epoch, ..Cache::default() }
        })
    }

    /// Forgets the prefixes of an artifact that is no longer loaded.
    pub(crate) fn forget(&mut self, artifact: &ModelName) {
        self.caches.remove(artifact);
    }

    /// Whether a prefix of an artifact is known to be cached.
    pub(crate) fn has(&self, artifact: &ModelName, prefix: PrefixHash) -> bool {
        let cache = self.caches.get(artifact);
        cache.is_some_and(|cache| cache.known.contains(&prefix.short()))
    }

    /// Notes how long the first part of an answer took with or without a cached prefix.
    pub(crate) fn note_first(&mut self, artifact: &ModelName, hit: bool, took: Duration) {
        if let Some(cache) = self.caches.get_mut(artifact) {
            let average = if hit { &mut cache.hit } else { &mut cache.miss };
            average.add(took);
        }
    }

    /// What an answer tells of an artifact's prefixes; `service` is how long a request runs.
    pub(crate) fn news(&mut self, artifact: &ModelName, service: Duration) -> Option<PrefixUpdate> {
        self.caches.get_mut(artifact).map(|cache| cache.news(service))
    }
}

impl Cache {
    fn apply(&mut self, change: PrefixChange) {
        self.upto += 1;
        self.known.retain(|prefix| *prefix != change.prefix);
        if change.stored {
            self.known.push_back(change.prefix);
        }
        if self.known.len() > KNOWN {
            self.known.pop_front();
        }
        self.recent.push_back(change);
        if self.recent.len() > TOLD {
            self.recent.pop_front();
        }
    }

    /// Entries weigh what they know less after a gap; the agent repeats only what it is sure of.
    fn doubt(&mut self) {
        self.gaps += 1;
        self.known.clear();
        self.recent.clear();
    }

    fn news(&mut self, service: Duration) -> PrefixUpdate {
        let others = self.known.len().saturating_sub(TOLD);
        let repeated = (0..REPEATED.min(others)).map(|place| (self.turn + place) % others);
        let cached = repeated.map(|at| PrefixChange { prefix: self.known[at], stored: true });
        let cached = PrefixList(cached.collect());
        self.turn = self.turn.wrapping_add(REPEATED);
        PrefixUpdate {
            epoch: self.epoch,
            upto: self.upto,
            gaps: self.gaps,
            saved: self.saved(service),
            changes: PrefixList(self.recent.iter().copied().collect()),
            cached,
        }
    }

    /// What a cached prefix saves of the time that a request runs, in thousandths.
    fn saved(&self, service: Duration) -> u32 {
        let (Some(hit), Some(miss)) = (self.hit.get(), self.miss.get()) else { return 0 };
        if service.is_zero() {
            return 0;
        }
        let share = miss.saturating_sub(hit).as_secs_f64() / service.as_secs_f64();
        (share.min(1.0) * 1000.0) as u32
    }
}

/// Follows the engine's cache events until the agent ends.
pub(crate) async fn follow(agent: Arc<Agent>) {
    agent.caches().begin(agent.incarnation());
    let mut pause = PAUSE;
    loop {
        let next = agent.caches().next();
        pause = match agent.endpoint.cache_events(next).await {
            Ok(told) if agent.caches().take(&told) => PAUSE,
            Ok(_) | Err(EndpointError::Unknown(_)) => (pause * 2).min(MOST_PAUSE),
            Err(error) => {
                log::debug!("agent: the engine tells of no cache events: {error}");
                (pause * 2).min(REFUSED_PAUSE)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

#[cfg(test)]
mod tests;
