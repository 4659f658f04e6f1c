//! Collects crashes of endpoints and finds the requests that are to blame for them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{Domain, EndpointId, EndpointIncarnation};

use crate::{Crash, Digest, QuarantineRecord, UnixMillis};

/// A request that was running at this many crashes, none of them explained by another request, is a suspect. With 2, a
/// request that its caller repeats once would be refused if both attempts ran on the same endpoint as the one to blame.
const SUSPECT_CRASHES: usize = 3;
/// If all endpoints of a failure domain crash within this time, their crashes count as one: the domain lost its power. A
/// request that crashes the endpoints one after the other takes longer for each.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_millis(50);
/// Crashes in a failure domain with fewer endpoints than this always count one by one, since a single request can crash one
/// or two endpoints at the same time.
const MIN_DOMAIN_ENDPOINTS: u32 = 3;
/// For each crash of a suspect, this many unexplained crashes without the suspect are tolerated at about the same time. With
/// more of them, endpoints crash whatever they run, as after a faulty release, and no request is to blame.
const OTHERS_PER_CRASH: usize = 2;
/// This many unexplained crashes without the suspect are tolerated in addition.
const OTHERS_ALLOWANCE: usize = 2;
/// Crashes without the suspect are counted from this long before the first crash of the suspect.
const OTHERS_BEFORE: Duration = Duration::from_secs(10);
/// Crashes without the suspect are counted until this long after the last crash of the suspect.
const OTHERS_AFTER: Duration = Duration::from_secs(3);
/// Records older than this are dropped.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// The most crashes that the table keeps; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// The most requests that the table keeps for one crash.
const MAX_CRASH_REQUESTS: usize = 128;
/// The most digests of prompt parts that the table keeps for one crash.
const MAX_CRASH_PARTS: usize = 384;
/// The most requests for which the table keeps a release, and the most for which it keeps trials.
const MAX_MARKED_REQUESTS: usize = 2_048;
/// How long after its last crash or trial a suspect is tried again; after the last of these trials it isn't tried any more.
const TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_secs(600), Duration::from_secs(3_600), Duration::from_secs(4 * 3_600)];

/// An endpoint and its incarnation, which together identify a crash.
type CrashKey = (EndpointId, Option<EndpointIncarnation>);

/// A crash of an endpoint, merged from the records of all routers that noticed it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MergedCrash {
    domain: Domain,
    domain_endpoints: u32,
    at: UnixMillis,
    requests: BTreeSet<Digest>,
    parts: BTreeSet<Digest>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TrialHistory {
    count: u32,
    last: UnixMillis,
}

/// Whether a request is suspected to crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionLevel {
    /// The request was running at no crash.
    Clear,
    /// The request was running at this many crashes, but isn't a suspect.
    Watched(usize),
    /// The request crashes the endpoints that run it.
    Suspect,
}

/// A crash that counts against a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint that crashed.
    #[serde(rename = "life")]
    pub incarnation: Option<EndpointIncarnation>,
    /// The earliest time at which a router noticed the crash.
    pub at: UnixMillis,
}

/// What the known crashes have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommonCrashes {
    /// The known crashes.
    pub crashes: usize,
    /// The most of them at which the same request was running.
    pub request: usize,
    /// The most of them at which requests with the same prompt part were running.
    pub part: usize,
}

/// All known crashes, releases and trials, and the suspects that follow from them.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    crashes: BTreeMap<CrashKey, MergedCrash>,
    released: HashMap<Digest, UnixMillis>,
    trials: HashMap<Digest, TrialHistory>,
    /// At how many crashes each request was running.
    watched: HashMap<Digest, usize>,
    suspects: BTreeMap<Digest, Vec<Evidence>>,
}

impl CrashTable {
    /// Applies records, and returns how many of them added something new. Expired records are skipped.
    pub fn apply<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a QuarantineRecord>,
        now: UnixMillis,
    ) -> usize {
        let fresh = records.into_iter().filter(|record| !Self::is_expired(record, now));
        let new = fresh.filter(|record| self.apply_record(record)).count();
        if new > 0 {
            self.prune(now);
            self.find_suspects();
        }
        new
    }

    fn apply_record(&mut self, record: &QuarantineRecord) -> bool {
        match record {
            QuarantineRecord::Crash(crash) => self.apply_crash(crash),
            QuarantineRecord::Release(release) => {
                let before = self.released.get(&release.digest);
                let new = before.is_none_or(|before| *before < release.at);
                if new {
                    self.released.insert(release.digest, release.at);
                }
                new
            }
            QuarantineRecord::Trial(trial) => {
                let before = self.trials.get(&trial.digest);
                let new = before.is_none_or(|before| before.count < trial.number);
                if new {
                    let trials = TrialHistory { count: trial.number, last: trial.at };
                    self.trials.insert(trial.digest, trials);
                }
                new
            }
        }
    }

    fn apply_crash(&mut self, crash: &Crash) -> bool {
        let key = (crash.endpoint.clone(), crash.incarnation);
        let merged = self.crashes.entry(key).or_insert_with(|| MergedCrash {
            domain: crash.domain.clone(),
            domain_endpoints: crash.domain_endpoints,
            at: crash.at,
            requests: BTreeSet::new(),
            parts: BTreeSet::new(),
        });
        // Records of several routers about the same incarnation are one crash.
        let before = merged.clone();
        merged.at = merged.at.min(crash.at);
        merged.domain_endpoints = merged.domain_endpoints.max(crash.domain_endpoints);
        extend_up_to(&mut merged.requests, &crash.requests, MAX_CRASH_REQUESTS);
        extend_up_to(&mut merged.parts, &crash.parts, MAX_CRASH_PARTS);
        before != *merged || before.requests.is_empty()
    }

    /// Drops expired entries, and the oldest ones where there are too many.
    fn prune(&mut self, now: UnixMillis) {
        self.crashes.retain(|_, crash| now.since(crash.at) <= RETENTION);
        while self.crashes.len() > MAX_CRASHES {
            let oldest =
                self.crashes.iter().min_by_key(|(_, crash)| crash.at).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { break };
            self.crashes.remove(&oldest);
        }
        self.released.retain(|_, at| now.since(*at) <= RETENTION);
        drop_oldest(&mut self.released, |at| *at);
        self.trials.retain(|_, trials| now.since(trials.last) <= RETENTION);
        drop_oldest(&mut self.trials, |trials| trials.last);
    }

    /// Finds the suspects. The request that was running at most crashes which no other suspect explains comes first; its
    /// crashes then count against no other request. Of two requests that always ran together neither is a suspect yet.
    fn find_suspects(&mut self) {
        let events = self.events();
        let mut crashes: HashMap<Digest, BTreeSet<usize>> = HashMap::new();
        self.watched.clear();
        for (crash, event) in self.crashes.values().zip(&events) {
            for digest in
                crash.requests.iter().filter(|digest| counts(&self.released, digest, crash.at))
            {
                crashes.entry(*digest).or_default().insert(*event);
                *self.watched.entry(*digest).or_default() += 1;
            }
        }
        crashes.retain(|_, at| at.len() >= SUSPECT_CRASHES);
        let suspects = self.select_suspects(crashes, &events);
        self.suspects =
            suspects.into_iter().map(|digest| (digest, self.evidence_for(&digest))).collect();
    }

    fn select_suspects(
        &self,
        mut open: HashMap<Digest, BTreeSet<usize>>,
        events: &[usize],
    ) -> Vec<Digest> {
        let mut explained: BTreeSet<usize> = BTreeSet::new();
        let mut skipped: BTreeSet<Digest> = BTreeSet::new();
        let mut suspects = Vec::new();
        loop {
            let found = open
                .iter()
                .filter(|(digest, at)| at.len() >= SUSPECT_CRASHES && !skipped.contains(digest))
                .max_by_key(|(digest, at)| (at.len(), **digest));
            let Some((digest, at)) = found.map(|(digest, at)| (*digest, at.clone())) else {
                return suspects;
            };
            let ambiguous =
                open.iter().any(|(other, crashes)| *other != digest && at.is_subset(crashes));
            if ambiguous || self.too_many_others(&at, events, &explained) {
                skipped.insert(digest);
                continue;
            }
            open.remove(&digest);
            for others in open.values_mut() {
                others.retain(|event| !at.contains(event));
            }
            explained.extend(at);
            suspects.push(digest);
            skipped.clear();
        }
    }

    /// The number of the event that each crash belongs to. Crashes that hit a whole failure domain at once are one event.
    fn events(&self) -> Vec<usize> {
        let event = |(number, crash): (usize, &MergedCrash)| {
            if crash.domain_endpoints < MIN_DOMAIN_ENDPOINTS {
                return number;
            }
            let together = |other: &MergedCrash| {
                let apart = crash.at.0.abs_diff(other.at.0);
                Duration::from_millis(apart) <= DOMAIN_LOSS_WINDOW && other.domain == crash.domain
            };
            let crashed = self.crashes.values().filter(|other| together(other)).count();
            let whole = crashed >= crash.domain_endpoints as usize;
            self.crashes.values().position(together).filter(|_| whole).unwrap_or(number)
        };
        self.crashes.values().enumerate().map(event).collect()
    }

    /// Whether so many other endpoints crashed at about the same time, for unknown reasons, that no request is to blame.
    fn too_many_others(
        &self,
        at: &BTreeSet<usize>,
        events: &[usize],
        explained: &BTreeSet<usize>,
    ) -> bool {
        let crashes = || self.crashes.values().zip(events);
        let own = || crashes().filter(|(_, event)| at.contains(event)).map(|(crash, _)| crash.at);
        let Some((first, last)) = own().min().zip(own().max()) else { return true };
        let others: BTreeSet<usize> = crashes()
            .filter(|(crash, _)| {
                first.since(crash.at) <= OTHERS_BEFORE && crash.at.since(last) <= OTHERS_AFTER
            })
            .map(|(_, event)| *event)
            .filter(|event| !at.contains(event) && !explained.contains(event))
            .collect();
        others.len() > at.len() * OTHERS_PER_CRASH + OTHERS_ALLOWANCE
    }

    fn evidence_for(&self, digest: &Digest) -> Vec<Evidence> {
        let crashes = self.crashes.iter().filter(|(_, crash)| {
            crash.requests.contains(digest) && counts(&self.released, digest, crash.at)
        });
        crashes
            .map(|((endpoint, incarnation), crash)| Evidence {
                endpoint: endpoint.clone(),
                incarnation: *incarnation,
                at: crash.at,
            })
            .collect()
    }

    /// Whether a request is suspected to crash endpoints.
    pub fn suspicion(&self, digest: &Digest) -> SuspicionLevel {
        if self.suspects.contains_key(digest) {
            return SuspicionLevel::Suspect;
        }
        self.watched
            .get(digest)
            .map_or(SuspicionLevel::Clear, |count| SuspicionLevel::Watched(*count))
    }

    /// The number of the trial of a suspect that is due, if there is one.
    pub fn due_trial(&self, digest: &Digest, now: UnixMillis) -> Option<u32> {
        let crashes = self.suspects.get(digest)?;
        let trials = self.trials.get(digest);
        let count = trials.map_or(0, |trials| trials.count);
        let last = crashes.iter().map(|crash| crash.at).max().unwrap_or(now);
        let last = trials.map_or(last, |trials| trials.last.max(last));
        let delay = TRIAL_DELAYS.get(count as usize)?;
        (now.since(last) >= *delay).then_some(count + 1)
    }

    /// At how many crashes the most frequent request and the most frequent prompt part were.
    pub fn most_common(&self) -> CommonCrashes {
        let most = |counts: HashMap<Digest, usize>| counts.into_values().max().unwrap_or_default();
        let count = |digests: fn(&MergedCrash) -> &BTreeSet<Digest>| {
            let mut counts: HashMap<Digest, usize> = HashMap::new();
            for digest in self.crashes.values().flat_map(digests) {
                *counts.entry(*digest).or_default() += 1;
            }
            most(counts)
        };
        CommonCrashes {
            crashes: self.crashes.len(),
            request: count(|crash| &crash.requests),
            part: count(|crash| &crash.parts),
        }
    }

    /// The crashes that count against a suspect; empty for other requests.
    pub fn evidence(&self, digest: &Digest) -> &[Evidence] {
        self.suspects.get(digest).map_or(&[], Vec::as_slice)
    }

    /// All suspects, with the crashes that count against each.
    pub fn suspects(&self) -> impl Iterator<Item = (&Digest, &[Evidence])> {
        self.suspects.iter().map(|(digest, crashes)| (digest, crashes.as_slice()))
    }

    /// Whether a record is so old that the table doesn't use it any more.
    pub fn is_expired(record: &QuarantineRecord, now: UnixMillis) -> bool {
        now.since(record.at()) > RETENTION
    }
}

/// Whether a crash at this time counts against a request, which it doesn't if the request was released at or after that time.
fn counts(released: &HashMap<Digest, UnixMillis>, digest: &Digest, crashed_at: UnixMillis) -> bool {
    released.get(digest).is_none_or(|released| crashed_at > *released)
}

/// Adds digests to a set until it has `most`.
fn extend_up_to(set: &mut BTreeSet<Digest>, digests: &BTreeSet<Digest>, most: usize) {
    for digest in digests {
        if set.len() < most {
            set.insert(*digest);
        }
    }
}

/// Drops the oldest entries beyond [`MAX_MARKED_REQUESTS`].
fn drop_oldest<T>(marks: &mut HashMap<Digest, T>, at: impl Fn(&T) -> UnixMillis) {
    while marks.len() > MAX_MARKED_REQUESTS {
        let oldest = marks.iter().min_by_key(|(_, mark)| at(mark)).map(|(digest, _)| *digest);
        let Some(oldest) = oldest else { break };
        marks.remove(&oldest);
    }
}

#[cfg(test)]
mod tests;
