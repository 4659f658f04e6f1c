//! Where the starts of prompts are cached, by the agents' news and by what was served there: doubtful where
//! news was missed, and forgotten when the model was unloaded.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use edge::PrefixHash;
use tokio::time::Instant;
use units::ModelName;
use wire::{PrefixChange, PrefixUpdate, Report};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::load::{Place, weight};

/// The most prefixes in one generation; two generations are kept.
const KEPT: usize = 16_384;
/// The most replicas that are kept for one prefix.
const HOLDERS: usize = 4;
/// The most replicas whose news is followed.
const FEEDS: usize = 16_384;
/// News of this age counts half: the prefix may have been evicted since.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// What a gap in the news leaves of what was known before it.
const DOUBT: f64 = 0.5;
/// What each replica that comes before in the prefix's own order leaves: one copy is enough, and the others take
/// the room of other prefixes.
const COPY: f64 = 0.5;
/// A prefix that is less certain than this is not cached.
const LEAST: f64 = 0.05;
/// What a cached prefix saves of the time that a request runs, where the agent has not measured it.
const SAVED: f64 = 0.1;

/// The digest of a model and the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Prefix(u64);

impl Prefix {
    /// The prefix of a completion's body, if its prompt is long enough.
    pub(crate) fn of(model: &ModelName, body: &[u8]) -> Option<Self> {
        Some(Self::new(model, PrefixHash::of_body(body)?.short()))
    }

    fn new(model: &ModelName, short: u32) -> Self {
        let mut digest = Xxh3::new();
        digest.update(model.as_str().as_bytes());
        digest.update(&[0]);
        digest.update(&short.to_le_bytes());
        Self(digest.digest())
    }

    /// The place's rank among those that have the prefix; all entries rank them alike.
    fn rank(self, place: &Place) -> u64 {
        xxh3_64_with_seed(place.endpoint.as_str().as_bytes(), self.0)
    }
}

/// Where prefixes are cached; older ones are forgotten a generation at a time.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    young: HashMap<Prefix, Vec<Holder>>,
    old: HashMap<Prefix, Vec<Holder>>,
    feeds: HashMap<Place, Feed>,
}

/// A replica that had a prefix in its cache at a time.
#[derive(Debug, Clone)]
struct Holder {
    place: Place,
    at: Instant,
    /// The feed's epoch and doubts then.
    epoch: u64,
    doubts: i32,
}

/// How far the news of a replica is known.
#[derive(Debug, Clone, Copy, Default)]
struct Feed {
    epoch: u64,
    upto: u64,
    gaps: u64,
    /// How often news was missed, by the agent or here.
    doubts: i32,
    saved: Option<f64>,
}

impl Prefixes {
    /// What the prefix saves at a place, as a share of the time that a request runs; less where it is doubtful.
    pub(crate) fn saves(&self, prefix: Prefix, place: &Place) -> f64 {
        let kept = self.lock();
        let feed = kept.feed(place);
        let Some(holders) = kept.young.get(&prefix).or_else(|| kept.old.get(&prefix)) else {
            return 0.0;
        };
        let trust = |holder: &Holder| holder.trust(&kept.feed(&holder.place));
        let own = holders.iter().find(|holder| holder.place == *place).map_or(0.0, trust);
        if own < LEAST {
            return 0.0;
        }
        let rank = prefix.rank(place);
        let before = holders.iter().filter(|one| prefix.rank(&one.place) < rank);
        let copies = before.filter(|holder| trust(holder) >= LEAST).count();
        own * COPY.powi(copies as i32) * feed.saved.unwrap_or(SAVED)
    }

    /// Notes that an endpoint served the prefix.
    pub(crate) fn note_own(&self, prefix: Prefix, place: &Place) {
        self.lock().store(prefix, place);
    }

    /// Takes over what an agent tells on an answer.
    pub(crate) fn note(&self, place: &Place, report: &Report) {
        let mut kept = self.lock();
        match &report.prefixes {
            Some(news) => kept.follow(place, news),
            // An engine that tells nothing leaves what was served there; a model that was unloaded has nothing.
            None if !report.warm => {
                kept.feeds.remove(place);
            }
            None => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    fn feed(&self, place: &Place) -> Feed {
        self.feeds.get(place).copied().unwrap_or_default()
    }

    fn follow(&mut self, place: &Place, news: &PrefixUpdate) {
        let known = self.feeds.get(place).copied();
        let same = known.filter(|feed| feed.epoch == news.epoch);
        let late = known.is_some_and(|feed| {
            (news.epoch, news.upto) < (feed.epoch, feed.upto)
                || feed.gaps > news.gaps && same.is_some()
        });
        if late {
            return;
        }
        let mut feed =
            same.unwrap_or(Feed { epoch: news.epoch, gaps: news.gaps, ..Feed::default() });
        let told = news.changes.0.len() as u64;
        let missed = same.is_some_and(|feed| news.upto.saturating_sub(told) > feed.upto);
        let gaps = i32::try_from(news.gaps - feed.gaps).unwrap_or(i32::MAX);
        feed.doubts = feed.doubts.saturating_add(gaps).saturating_add(i32::from(missed));
        let new = news.upto.saturating_sub(feed.upto).min(told) as usize;
        feed.upto = news.upto;
        feed.gaps = news.gaps;
        feed.saved = (news.saved > 0).then(|| f64::from(news.saved) / 1000.0);
        if self.feeds.len() >= FEEDS && known.is_none() {
            self.feeds.clear();
        }
        self.feeds.insert(place.clone(), feed);
        for change in news.cached.0.iter().chain(&news.changes.0[told as usize - new..]) {
            self.apply(place, change);
        }
    }

    fn apply(&mut self, place: &Place, change: &PrefixChange) {
        let prefix = Prefix::new(&place.model, change.prefix);
        if change.stored {
            return self.store(prefix, place);
        }
        for holders in [&mut self.young, &mut self.old] {
            if let Some(holders) = holders.get_mut(&prefix) {
                holders.retain(|holder| holder.place != *place);
            }
        }
    }

    fn store(&mut self, prefix: Prefix, place: &Place) {
        let Feed { epoch, doubts, .. } = self.feed(place);
        if self.young.len() >= KEPT {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        let holders =
            self.young.entry(prefix).or_insert_with(|| old.remove(&prefix).unwrap_or_default());
        holders.retain(|holder| holder.place != *place);
        if holders.len() >= HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder { place: place.clone(), at: Instant::now(), epoch, doubts });
    }
}

impl Holder {
    /// How likely the prefix is still there.
    fn trust(&self, feed: &Feed) -> f64 {
        if self.epoch != feed.epoch {
            return 0.0;
        }
        let doubts = feed.doubts.saturating_sub(self.doubts);
        DOUBT.powi(doubts) * weight(self.at.elapsed(), HALF_LIFE)
    }
}

#[cfg(test)]
mod tests;
