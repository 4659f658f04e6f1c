//! What is known of ended endpoints, and who is to blame.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{Domain, EndpointId, Life};

use crate::{Death, Digest, Note, Stamp};

/// So many ends that nobody else explains make a suspect. With two, a caller's request that is repeated once, both times
/// beside the one to blame, would be refused.
const ENDS: usize = 3;
/// Ends within this time that take all endpoints of a failure domain are one event: they lost their power together. A request
/// that ends one after the other takes longer for each.
const MOMENT: Duration = Duration::from_millis(50);
/// A domain of fewer endpoints than this is never held to be lost as a whole: a request can end one or two at once.
const DOMAIN: u32 = 3;
/// For each end of a suspect's, so many others may stay unexplained at the same time. Where endpoints end on whatever they
/// run, as after a faulty release, no request is to blame.
const OTHERS: usize = 2;
/// Others that are always allowed.
const FEW: usize = 2;
/// The others are counted from so long before the first end of a suspect's.
const BEFORE: Duration = Duration::from_secs(10);
/// To so long after its last one.
const AFTER: Duration = Duration::from_secs(3);
/// What is older is forgotten.
const KEPT: Duration = Duration::from_secs(24 * 3_600);
/// Ends that are remembered at most; the oldest go first.
const MOST: usize = 256;
/// Requests of one end that are remembered at most.
const RUNS: usize = 128;
/// Releases and trials that are remembered at most.
const MARKS: usize = 2_048;
/// How long after its last end or trial a suspect is tried once more; after the last of these it is not.
const TRIALS: [Duration; 3] =
    [Duration::from_secs(600), Duration::from_secs(3_600), Duration::from_secs(4 * 3_600)];

/// One life of an endpoint.
type Lived = (EndpointId, Option<Life>);

/// An end of an endpoint's life, as all routers together saw it.
#[derive(Debug, Clone)]
struct End {
    domain: Domain,
    among: u32,
    at: Stamp,
    runs: BTreeSet<Digest>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Trials {
    count: u32,
    last: Stamp,
}

/// What a request is held to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It ran at so many endpoints when they ended.
    Watched(usize),
    /// It crashes what runs it.
    Suspect,
}

/// One end that speaks against a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life that ended.
    pub life: Option<Life>,
    /// When.
    pub at: Stamp,
}

/// All that is known.
#[derive(Debug, Clone, Default)]
pub struct Table {
    ends: BTreeMap<Lived, End>,
    released: HashMap<Digest, Stamp>,
    trials: HashMap<Digest, Trials>,
    /// At how many ends each request was.
    watched: HashMap<Digest, usize>,
    suspects: BTreeMap<Digest, Vec<Evidence>>,
}

impl Table {
    /// Takes records; returns how many of them say something new.
    pub fn take<'a>(&mut self, notes: impl IntoIterator<Item = &'a Note>, now: Stamp) -> usize {
        let fresh = notes.into_iter().filter(|note| !Self::stale(note, now));
        let new = fresh.filter(|note| self.take_one(note)).count();
        if new > 0 {
            self.forget(now);
            self.judge();
        }
        new
    }

    fn take_one(&mut self, note: &Note) -> bool {
        match note {
            Note::Death(death) => self.take_death(death),
            Note::Release(release) => {
                let before = self.released.get(&release.digest);
                let new = before.is_none_or(|before| *before < release.at);
                if new {
                    self.released.insert(release.digest, release.at);
                }
                new
            }
            Note::Trial(trial) => {
                let before = self.trials.get(&trial.digest);
                let new = before.is_none_or(|before| before.count < trial.number);
                if new {
                    let trials = Trials { count: trial.number, last: trial.at };
                    self.trials.insert(trial.digest, trials);
                }
                new
            }
        }
    }

    fn take_death(&mut self, death: &Death) -> bool {
        let key = (death.endpoint.clone(), death.life);
        let end = self.ends.entry(key).or_insert_with(|| End {
            domain: death.domain.clone(),
            among: death.among,
            at: death.at,
            runs: BTreeSet::new(),
        });
        // Two routers that saw the same end saw one end.
        let before = (end.runs.len(), end.at, end.among);
        end.at = end.at.min(death.at);
        end.among = end.among.max(death.among);
        for digest in &death.runs {
            if end.runs.len() < RUNS {
                end.runs.insert(*digest);
            }
        }
        before != (end.runs.len(), end.at, end.among) || before.0 == 0
    }

    fn forget(&mut self, now: Stamp) {
        self.ends.retain(|_, end| now.since(end.at) <= KEPT);
        while self.ends.len() > MOST {
            let oldest = self.ends.iter().min_by_key(|(_, end)| end.at).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { break };
            self.ends.remove(&oldest);
        }
        self.released.retain(|_, at| now.since(*at) <= KEPT);
        shrink(&mut self.released, |at| *at);
        self.trials.retain(|_, trials| now.since(trials.last) <= KEPT);
        shrink(&mut self.trials, |trials| trials.last);
    }

    /// Finds out who is to blame for which end. Whoever was at most ends that nobody else explains comes first; its ends
    /// then speak against nobody else. Of two that were always together neither is to blame yet.
    fn judge(&mut self) {
        let events = self.events();
        let mut runs: HashMap<Digest, BTreeSet<usize>> = HashMap::new();
        self.watched.clear();
        for (end, event) in self.ends.values().zip(&events) {
            for digest in end.runs.iter().filter(|digest| counts(&self.released, digest, end.at)) {
                runs.entry(*digest).or_default().insert(*event);
                *self.watched.entry(*digest).or_default() += 1;
            }
        }
        runs.retain(|_, at| at.len() >= ENDS);
        let blamed = self.blame(runs, &events);
        self.suspects = blamed.into_iter().map(|digest| (digest, self.ends_of(&digest))).collect();
    }

    fn blame(&self, mut open: HashMap<Digest, BTreeSet<usize>>, events: &[usize]) -> Vec<Digest> {
        let mut explained: BTreeSet<usize> = BTreeSet::new();
        let mut passed: BTreeSet<Digest> = BTreeSet::new();
        let mut blamed = Vec::new();
        loop {
            let found = open
                .iter()
                .filter(|(digest, at)| at.len() >= ENDS && !passed.contains(digest))
                .max_by_key(|(digest, at)| (at.len(), **digest));
            let Some((digest, at)) = found.map(|(digest, at)| (*digest, at.clone())) else {
                return blamed;
            };
            let alike = open.iter().any(|(other, ends)| *other != digest && at.is_subset(ends));
            if alike || self.crowded(&at, events, &explained) {
                passed.insert(digest);
                continue;
            }
            open.remove(&digest);
            for others in open.values_mut() {
                others.retain(|event| !at.contains(event));
            }
            explained.extend(at);
            blamed.push(digest);
            passed.clear();
        }
    }

    /// Which event each end belongs to: those that take a whole failure domain at once are one.
    fn events(&self) -> Vec<usize> {
        let event = |(number, end): (usize, &End)| {
            if end.among < DOMAIN {
                return number;
            }
            let together = |other: &End| {
                let apart = end.at.0.abs_diff(other.at.0);
                Duration::from_millis(apart) <= MOMENT && other.domain == end.domain
            };
            let lost = self.ends.values().filter(|other| together(other)).count();
            let whole = lost >= end.among as usize;
            self.ends.values().position(together).filter(|_| whole).unwrap_or(number)
        };
        self.ends.values().enumerate().map(event).collect()
    }

    /// Whether so many other endpoints ended meanwhile, for reasons unknown, that no request is to blame.
    fn crowded(&self, at: &BTreeSet<usize>, events: &[usize], explained: &BTreeSet<usize>) -> bool {
        let ends = || self.ends.values().zip(events);
        let its = || ends().filter(|(_, event)| at.contains(event)).map(|(end, _)| end.at);
        let Some((first, last)) = its().min().zip(its().max()) else { return true };
        let others: BTreeSet<usize> = ends()
            .filter(|(end, _)| first.since(end.at) <= BEFORE && end.at.since(last) <= AFTER)
            .map(|(_, event)| *event)
            .filter(|event| !at.contains(event) && !explained.contains(event))
            .collect();
        others.len() > at.len() * OTHERS + FEW
    }

    fn ends_of(&self, digest: &Digest) -> Vec<Evidence> {
        let ends = self
            .ends
            .iter()
            .filter(|(_, end)| end.runs.contains(digest) && counts(&self.released, digest, end.at));
        ends.map(|((endpoint, life), end)| Evidence {
            endpoint: endpoint.clone(),
            life: *life,
            at: end.at,
        })
        .collect()
    }

    /// What a request is held to be.
    pub fn standing(&self, digest: &Digest) -> Standing {
        if self.suspects.contains_key(digest) {
            return Standing::Suspect;
        }
        self.watched.get(digest).map_or(Standing::Clear, |count| Standing::Watched(*count))
    }

    /// Which trial of a suspect is due, if one is.
    pub fn trial(&self, digest: &Digest, now: Stamp) -> Option<u32> {
        let ends = self.suspects.get(digest)?;
        let trials = self.trials.get(digest);
        let count = trials.map_or(0, |trials| trials.count);
        let last = ends.iter().map(|end| end.at).max().unwrap_or(now);
        let last = trials.map_or(last, |trials| trials.last.max(last));
        let pause = TRIALS.get(count as usize)?;
        (now.since(last) >= *pause).then_some(count + 1)
    }

    /// What speaks against a suspect.
    pub fn evidence(&self, digest: &Digest) -> &[Evidence] {
        self.suspects.get(digest).map_or(&[], Vec::as_slice)
    }

    /// All suspects, with what speaks against each.
    pub fn suspects(&self) -> impl Iterator<Item = (&Digest, &[Evidence])> {
        self.suspects.iter().map(|(digest, ends)| (digest, ends.as_slice()))
    }

    /// Whether a record of this age is of no use any more.
    pub fn stale(note: &Note, now: Stamp) -> bool {
        now.since(note.at()) > KEPT
    }
}

/// Whether an end still speaks against a request.
fn counts(released: &HashMap<Digest, Stamp>, digest: &Digest, at: Stamp) -> bool {
    released.get(digest).is_none_or(|released| at > *released)
}

/// Drops the oldest of too many.
fn shrink<T>(marks: &mut HashMap<Digest, T>, at: impl Fn(&T) -> Stamp) {
    while marks.len() > MARKS {
        let oldest = marks.iter().min_by_key(|(_, mark)| at(mark)).map(|(digest, _)| *digest);
        let Some(oldest) = oldest else { break };
        marks.remove(&oldest);
    }
}

#[cfg(test)]
mod tests;
