//! Whose turn it is to load from the weight store: values in, values out.
//!
//! Load pattern: a release replaces endpoints by ones without copies, or all start anew; sixty models are wanted from a
//! store that brings in four at full speed, through loaders that know nothing of each other. Twelve at once took 18 s
//! each instead of 6, and the one that most callers waited for was among the last.
//!
//! All loaders append to one topic of the platform's store what they ask for and what they have ended, and fold the same
//! records in the same order: the lanes go to whom most is wanted from, and all see alike who that is. There is no
//! election, and nothing is kept: a loader that starts again takes its place back with the record of its start.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use admission::{ConcurrentLoads, LoadConcurrency};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::ModelName;

/// A load that takes so many times its own length is taken for lost with its loader, as beside this many others it
/// would still be done.
const LOST: u32 = 4;
/// One that asks and is not given a lane asks anew within this time, or has gone: its place costs the others nothing
/// until a lane is given to it, and each record is read by all that wait.
pub(crate) const RENEW: Duration = Duration::from_secs(20);

/// A record of the topic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "note", rename_all = "kebab-case")]
pub(crate) enum Note {
    /// A loader asks for a lane, instead of what it asked for before.
    Ask {
        /// Its instance.
        loader: String,
        /// The model.
        model: ModelName,
        /// Requests a second that it would serve, those that wait included.
        worth: f64,
        /// How long the load takes alone.
        #[serde(with = "fleet::millis")]
        alone: Duration,
        /// Whether it has a lane already, by records that the store has lost.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        loading: bool,
    },
    /// A loader asks for nothing any more.
    End {
        /// Its instance.
        loader: String,
        /// How long its load took, if it was done.
        took: Option<u64>,
    },
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    model: ModelName,
    worth: f64,
    alone: Duration,
    /// The place of the record among all.
    place: u64,
    /// When it last asked.
    asked: Instant,
    /// Since when it has a lane, and how many had one meanwhile.
    lane: Option<(Instant, ConcurrentLoads)>,
}

impl Entry {
    /// What it loads, if it has a lane.
    fn loads(&self) -> Option<ModelName> {
        self.lane.map(|_| self.model.clone())
    }
}

/// Which of two that wait goes first: a second copy of what is on its way waits for the first ones of all others.
fn order(a: &Entry, b: &Entry, loads: &[ModelName]) -> Ordering {
    let second = |entry: &Entry| loads.contains(&entry.model);
    let worth = b.worth.total_cmp(&a.worth);
    second(a).cmp(&second(b)).then(worth).then(a.place.cmp(&b.place))
}

/// What the records say.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: BTreeMap<String, Entry>,
    /// All loaders that there are records of.
    loaders: BTreeSet<String>,
    lanes: LoadConcurrency,
    places: u64,
    /// Whether no lane is given to anybody, since the records do not show yet which are taken.
    held: bool,
}

impl Queue {
    /// A loader has started: it loads nothing.
    pub(crate) fn started(&mut self, loader: &str, now: Instant) {
        self.loaders.insert(loader.to_owned());
        self.entries.remove(loader);
        self.grant(now);
    }

    /// The store has come back from an older copy. Loads in progress go on: they keep their lanes, also if their loaders do not reach
    /// the store. Those that wait ask again, and get no lane before [`Self::settled`].
    pub(crate) fn restored(&mut self) {
        self.entries.retain(|_, entry| entry.lane.is_some());
        self.held = true;
    }

    /// What may have been lost is written again, and read.
    pub(crate) fn settled(&mut self) {
        self.held = false;
    }

    /// Takes one record.
    pub(crate) fn take(&mut self, note: Note, now: Instant) {
        self.places += 1;
        match note {
            Note::Ask { loader, model, worth, alone, loading } => {
                self.loaders.insert(loader.clone());
                let before = self.entries.get(&loader).filter(|entry| entry.model == model);
                let (place, mut lane) =
                    before.map_or((self.places, None), |entry| (entry.place, entry.lane));
                if loading {
                    // How many ran beside it before is lost, and must not teach that the store carries more.
                    let beside = ConcurrentLoads { min: 1, max: self.running() + 1 };
                    lane = lane.or(Some((now, beside)));
                }
                let entry = Entry { model, worth, alone, place, asked: now, lane };
                self.entries.insert(loader, entry);
            }
            Note::End { loader, took } => {
                let over = self.entries.remove(&loader);
                if let Some((entry, took)) = over.zip(took)
                    && let Some((_, beside)) = entry.lane
                {
                    self.lanes.learn(Duration::from_millis(took), entry.alone, beside);
                }
            }
        }
        self.grant(now);
    }

    /// The model that a loader may load from the weight store now.
    pub(crate) fn granted(&self, loader: &str) -> Option<&ModelName> {
        self.entries.get(loader).filter(|entry| entry.lane.is_some()).map(|entry| &entry.model)
    }

    /// How long after the last word of the store it is a loader's turn, if nobody can append anything: as if each load took
    /// its own length, in the order of the records. Those that asked for nothing before follow by name.
    pub(crate) fn turn(&self, loader: &str, alone: Duration) -> Duration {
        let loads: Vec<ModelName> = self.entries.values().filter_map(Entry::loads).collect();
        let ahead = match self.entries.get(loader) {
            Some(own) if own.lane.is_some() => return Duration::ZERO,
            Some(own) => {
                let goes_first = |other: &&Entry| {
                    other.lane.is_some() || order(other, own, &loads) == Ordering::Less
                };
                self.entries.values().filter(goes_first).count()
            }
            None => {
                let named_before = self.loaders.iter().take_while(|name| name.as_str() < loader);
                let idle = named_before.filter(|name| !self.entries.contains_key(*name));
                self.entries.len() + idle.count()
            }
        };
        let rounds = ahead / (self.lanes.limit().max(1) as usize);
        alone.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX))
    }

    /// Loads that have a lane.
    fn running(&self) -> u32 {
        let running = self.entries.values().filter(|entry| entry.lane.is_some()).count();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Gives free lanes to those from whom most is wanted, each model once first; equal ones in the order in which they
    /// asked.
    pub(crate) fn grant(&mut self, now: Instant) {
        self.entries.retain(|_, entry| match entry.lane {
            Some((since, _)) => now - since < entry.alone.saturating_mul(LOST),
            None => now - entry.asked < RENEW * 2,
        });
        let taken = self.running();
        let free = if self.held { 0 } else { self.lanes.limit().saturating_sub(taken) };
        let waiting = self.entries.values().filter(|entry| entry.lane.is_none()).count();
        let granted = u32::try_from(waiting).unwrap_or(u32::MAX).min(free);
        let running = taken + granted;
        for _ in 0..granted {
            let loads: Vec<ModelName> = self.entries.values().filter_map(Entry::loads).collect();
            let waiting = self.entries.values_mut().filter(|entry| entry.lane.is_none());
            let next = waiting.min_by(|a, b| order(a, b, &loads));
            if let Some(entry) = next {
                entry.lane = Some((now, ConcurrentLoads::steady(running)));
            }
        }
        for (_, beside) in self.entries.values_mut().filter_map(|entry| entry.lane.as_mut()) {
            beside.record(running);
        }
    }
}

#[cfg(test)]
mod tests;
