//! Which loaders may load from the weight store: pure decisions, without input or output.
//!
//! Load pattern: a release replaces endpoints by new ones without copies, or all endpoints restart. Sixty models are
//! requested from a store that serves four loads at full speed, through loaders that don't know of each other. Twelve
//! loads at once take 18 s each instead of 6, and the most requested model may be among the last.
//!
//! All loaders append their requests for a permit, and the ends of their loads, to one topic of the platform's store,
//! and all apply the same records in the same order. The permits go to the loaders with the highest demand, and all
//! loaders come to the same result. There is no leader election, and nothing else is stored: the start record of a
//! loader that restarts withdraws its request and its permit.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use admission::{ConcurrentLoads, LoadConcurrency};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::{InstanceId, ModelName, SoftwareVersion};

/// A load that takes this many times as long as it takes alone is considered lost together with its loader; while this
/// many loads run concurrently, it would still be complete by then.
const LOST_LOAD_FACTOR: u32 = 4;
/// The longest that a load is expected to take alone. Another writer's request with any time would keep its permit for good.
const MAX_SOLO_TIME: Duration = Duration::from_secs(3_600);
/// A loader without a permit renews its request within this time. A request that isn't renewed for twice this time is
/// dropped; before that, a request of a loader that is gone costs the others nothing until a permit is granted to it.
/// Requests are renewed no more often, since each record is read by all loaders that wait.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_secs(20);

/// The most loaders that are remembered without a request: more than a deployment has. Other writers may leave any names.
const MAX_LOADERS: usize = 4_096;

/// A record of the topic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "note", rename_all = "kebab-case")]
pub(crate) enum PermitRecord {
    /// A loader requests a permit; this replaces its earlier request.
    #[serde(rename = "ask")]
    Request {
        /// The loader, by the name of its instance.
        loader: String,
        /// The model to load.
        model: ModelName,
        /// Requests a second that the model would serve, plus the number of requests that wait for it.
        #[serde(rename = "worth")]
        demand: f64,
        /// How long the load takes alone.
        #[serde(rename = "alone")]
        #[serde(with = "fleet::millis")]
        solo_time: Duration,
        /// The version of the endpoint's software, if endpoints of no other version may serve requests that wait.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        software: Option<SoftwareVersion>,
        /// Whether the loader has a permit already, by records that the store has lost.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        loading: bool,
    },
    /// A loader needs no permit any more.
    #[serde(rename = "end")]
    Release {
        /// The loader, by the name of its instance.
        loader: String,
        /// How long its load took, in milliseconds, if it completed one.
        #[serde(rename = "took")]
        took_ms: Option<u64>,
    },
}

/// The newest request of a loader.
#[derive(Debug, Clone, PartialEq)]
struct Entry {
    model: ModelName,
    demand: f64,
    solo_time: Duration,
    software: Option<SoftwareVersion>,
    /// The number of the first record for this model, counted over all records.
    position: u64,
    /// When the loader last requested the permit.
    requested: Instant,
    /// Since when the loader has a permit, and how many loaders had permits at once during that time.
    permit: Option<(Instant, ConcurrentLoads)>,
}

impl Entry {
    /// What is being loaded, if the loader has a permit.
    fn load(&self) -> Option<GrantedLoad> {
        self.permit
            .map(|_| GrantedLoad { model: self.model.clone(), software: self.software.clone() })
    }
}

/// A load that has a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
struct GrantedLoad {
    model: ModelName,
    /// The version of the endpoint's software, if the load is for requests that only this version may serve.
    software: Option<SoftwareVersion>,
}

impl GrantedLoad {
    /// Whether the load also serves the requests that an entry waits for.
    fn serves(&self, entry: &Entry) -> bool {
        let software = entry.software.is_none() || entry.software == self.software;
        entry.model == self.model && software
    }
}

/// Compares two waiting entries; the lesser one goes first. A second copy of a model that is being loaded goes behind
/// all models that have none on the way, unless it is for requests that the first one can't serve.
fn compare_priority(a: &Entry, b: &Entry, loading: &[GrantedLoad]) -> Ordering {
    let is_second = |entry: &Entry| loading.iter().any(|load| load.serves(entry));
    let demand = b.demand.total_cmp(&a.demand);
    is_second(a).cmp(&is_second(b)).then(demand).then(a.position.cmp(&b.position))
}

/// The permits and permit requests of all loaders, by the records read so far.
#[derive(Debug, Default)]
pub(crate) struct PermitQueue {
    entries: BTreeMap<String, Entry>,
    /// The loaders that appear in the records.
    loaders: BTreeSet<String>,
    concurrency: LoadConcurrency,
    /// The number of records applied.
    applied: u64,
    /// Whether no permits are granted, since the records do not show yet which ones are taken.
    suspended: bool,
}

impl PermitQueue {
    /// Applies a start record: the loader has restarted and loads nothing.
    pub(crate) fn record_start(&mut self, loader: &str, now: Instant) {
        self.remember(loader);
        self.entries.remove(loader);
        self.grant_permits(now);
    }

    fn remember(&mut self, loader: &str) {
        if self.loaders.len() < MAX_LOADERS && loader.parse::<InstanceId>().is_ok() {
            self.loaders.insert(loader.to_owned());
        }
    }

    /// Drops requests after the store was restored from an older copy. Loads in progress go on and keep their permits,
    /// even if their loaders can't reach the store. Waiting loaders request again, and get no permit before
    /// [`Self::end_restore`].
    pub(crate) fn begin_restore(&mut self) {
        self.entries.retain(|_, entry| entry.permit.is_some());
        self.suspended = true;
    }

    /// Grants permits again: all records that may have been lost have been appended again and read.
    pub(crate) fn end_restore(&mut self) {
        self.suspended = false;
    }

    /// Applies one record.
    pub(crate) fn apply(&mut self, record: PermitRecord, now: Instant) {
        self.applied += 1;
        match record {
            // No loader writes such a demand, which would go before all others.
            PermitRecord::Request { demand, .. } if !demand.is_finite() => {}
            PermitRecord::Request { loader, model, demand, solo_time, software, loading } => {
                let solo_time = solo_time.min(MAX_SOLO_TIME);
                self.remember(&loader);
                let before = self.entries.get(&loader).filter(|entry| entry.model == model);
                let (position, mut permit) =
                    before.map_or((self.applied, None), |entry| (entry.position, entry.permit));
                if loading {
                    // How many loads ran before the restore is lost. A minimum of 1 keeps this load from raising the
                    // limit.
                    let concurrent = ConcurrentLoads { min: 1, max: self.taken_permits() + 1 };
                    permit = permit.or(Some((now, concurrent)));
                }
                let entry =
                    Entry { model, demand, solo_time, software, position, requested: now, permit };
                self.entries.insert(loader, entry);
            }
            PermitRecord::Release { loader, took_ms } => {
                let released = self.entries.remove(&loader);
                if let Some((entry, took_ms)) = released.zip(took_ms)
                    && let Some((_, concurrent)) = entry.permit
                {
                    self.concurrency.learn(
                        Duration::from_millis(took_ms),
                        entry.solo_time,
                        concurrent,
                    );
                }
            }
        }
        self.grant_permits(now);
    }

    /// The model that a loader has a permit for.
    pub(crate) fn granted(&self, loader: &str) -> Option<&ModelName> {
        self.entries.get(loader).filter(|entry| entry.permit.is_some()).map(|entry| &entry.model)
    }

    /// How long after the store became unreachable a loader may begin its load without a permit: the loads take place
    /// in the order of the records, as if each took as long as it takes alone. Loaders without a request in the records
    /// follow, ordered by name.
    pub(crate) fn offline_delay(&self, loader: &str, solo_time: Duration) -> Duration {
        let loading: Vec<GrantedLoad> = self.entries.values().filter_map(Entry::load).collect();
        let ahead = match self.entries.get(loader) {
            Some(own) if own.permit.is_some() => return Duration::ZERO,
            Some(own) => {
                let goes_first = |other: &&Entry| {
                    other.permit.is_some()
                        || compare_priority(other, own, &loading) == Ordering::Less
                };
                self.entries.values().filter(goes_first).count()
            }
            None => {
                let named_before = self.loaders.iter().take_while(|name| name.as_str() < loader);
                let idle = named_before.filter(|name| !self.entries.contains_key(*name));
                self.entries.len() + idle.count()
            }
        };
        let rounds = ahead / (self.concurrency.limit().max(1) as usize);
        solo_time.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX))
    }

    fn taken_permits(&self) -> u32 {
        let taken = self.entries.values().filter(|entry| entry.permit.is_some()).count();
        u32::try_from(taken).unwrap_or(u32::MAX)
    }

    /// Drops expired entries and grants free permits to the loaders with the highest demand, one loader for each model
    /// first; at equal demand in the order of their requests.
    pub(crate) fn grant_permits(&mut self, now: Instant) {
        self.entries.retain(|_, entry| match entry.permit {
            Some((since, _)) => now - since < entry.solo_time.saturating_mul(LOST_LOAD_FACTOR),
            None => now - entry.requested < RENEW_INTERVAL * 2,
        });
        let taken = self.taken_permits();
        let free = if self.suspended { 0 } else { self.concurrency.limit().saturating_sub(taken) };
        let waiting = self.entries.values().filter(|entry| entry.permit.is_none()).count();
        let granted = u32::try_from(waiting).unwrap_or(u32::MAX).min(free);
        let running = taken + granted;
        for _ in 0..granted {
            let loading: Vec<GrantedLoad> = self.entries.values().filter_map(Entry::load).collect();
            let waiting = self.entries.values_mut().filter(|entry| entry.permit.is_none());
            let next = waiting.min_by(|a, b| compare_priority(a, b, &loading));
            if let Some(entry) = next {
                entry.permit = Some((now, ConcurrentLoads::steady(running)));
            }
        }
        for (_, concurrent) in self.entries.values_mut().filter_map(|entry| entry.permit.as_mut()) {
            concurrent.record(running);
        }
    }
}

#[cfg(test)]
mod tests;
