//! Collects crashes of endpoints and finds the requests that are to blame for them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{EndpointId, EndpointIncarnation};

use crate::blame::{
    CrashTime, Culprit, DigestKind, EventNumber, Hypothesis, SUSPECT_CRASHES, Search,
};
use crate::completions::RecentCompletions;
use crate::merged::{MergedCrash, SETTLING_TIME};
use crate::proven::ProvenParts;
use crate::{Crash, Digest, Fingerprint, QuarantineRecord, UnixMillis};

/// If all endpoints of a failure domain crash within this time, their crashes count as one: the domain lost its power. A
/// request that crashes the endpoints one after the other takes longer for each.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_millis(50);
/// Crashes in a failure domain with fewer endpoints than this always count one by one, since a single request can crash one
/// or two endpoints at the same time.
const MIN_DOMAIN_ENDPOINTS: u32 = 3;
/// Records older than this are dropped.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// A request that ran to its end within this time before a crash is cleared of it: a request that crashes each endpoint does not run
/// to its end between two crashes.
const COMPLETION_VALIDITY: Duration = Duration::from_secs(2);
/// A request is refused for good only this long after the last crash that counts against it. By then all routers that have seen it
/// run to its end have told the others.
const REQUEST_SETTLING_TIME: Duration = Duration::from_secs(4);
/// A crash that was noticed longer ago than this has been known to other routers for long.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(8);
/// The most crashes that the table keeps; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// The most requests and parts for which the table keeps a release, and the most for which it keeps trials.
const MAX_MARKED_REQUESTS: usize = 2_048;
/// How long after its last crash or trial a suspect is tried again; after the last of these trials it isn't tried any more.
const REQUEST_TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_secs(600), Duration::from_secs(3_600), Duration::from_secs(4 * 3_600)];
/// The same for parts, which more requests depend on.
const PART_TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_secs(60), Duration::from_secs(600), Duration::from_secs(3_600)];

/// An endpoint and its incarnation, which together identify a crash.
type CrashKey = (EndpointId, Option<EndpointIncarnation>);

/// The crashes that count against a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Accusation {
    first: UnixMillis,
    crashes: usize,
    /// Those of them that have settled.
    settled: usize,
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
    /// The request crashes the endpoints that run it, or all requests with one of its parts do; the digest identifies the suspect.
    Suspect(Digest),
}

/// What a suspect is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectKind {
    /// One request, whoever sends it how often.
    Request,
    /// A part of the prompts of any requests.
    Part,
}

/// What crashes endpoints: requests that have all of the digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Whether it is a request or a part of prompts.
    pub kind: SuspectKind,
    /// The digests.
    pub digests: BTreeSet<Digest>,
    /// The caller, if only requests of this one had the part.
    pub caller: Option<Digest>,
    /// The crashes that count against it.
    pub evidence: Vec<Evidence>,
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
    suspects: BTreeMap<Digest, Suspect>,
    /// The crashes that count against each part, settled or not.
    accused_parts: HashMap<Digest, Accusation>,
    /// Parts that are known to run well, whether they were at crashes or not.
    proven: ProvenParts,
    /// Requests that ran to their end at this router.
    completions: RecentCompletions,
    /// When the next crash settles.
    next_review: Option<UnixMillis>,
}

impl CrashTable {
    /// Applies records, and returns how many of them added something new. Expired records are skipped.
    pub fn apply<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a QuarantineRecord>,
        now: UnixMillis,
    ) -> usize {
        self.apply_all(records.into_iter(), now, |_| now)
    }

    /// Like [`CrashTable::apply`], for all records of the store at once. What other routers have learned since a crash is among
    /// them, so that the crash counts against parts as if this router had known of it all the time.
    pub fn apply_history<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a QuarantineRecord>,
        now: UnixMillis,
    ) -> usize {
        self.apply_all(records.into_iter(), now, |crash| crash.at.min(now))
    }

    fn apply_all<'a>(
        &mut self,
        records: impl Iterator<Item = &'a QuarantineRecord>,
        now: UnixMillis,
        learned: impl Fn(&Crash) -> UnixMillis,
    ) -> usize {
        let fresh = records.filter(|record| !Self::is_expired(record, now));
        let new = fresh.filter(|record| self.apply_record(record, &learned)).count();
        if new > 0 {
            self.prune(now);
            self.find_suspects(now);
        }
        new
    }

    /// Whether a crash has begun to count against parts since the last review.
    pub fn review_due(&self, now: UnixMillis) -> bool {
        self.next_review.is_some_and(|review| {
            now >= review || review.since(now) > SETTLING_TIME // the clock was set back
        })
    }

    /// Finds the suspects anew, by the crashes that count now.
    pub fn review(&mut self, now: UnixMillis) {
        self.find_suspects(now);
    }

    /// Records that a request with a part ran well: its answer began at this time, and the endpoint lived on. Returns whether that
    /// clears the part of a crash.
    pub fn record_success(&mut self, part: Digest, began: UnixMillis) -> bool {
        self.proven.insert(part);
        self.accused_parts.get(&part).is_some_and(|accusation| accusation.first <= began)
    }

    /// Records that a request ran to its end, with success, and that its endpoint lived on.
    pub fn record_completion(&mut self, request: Digest, at: UnixMillis) {
        self.completions.insert(request, at);
    }

    /// Whether a request ran to its end so recently that it is cleared of a crash that happens now.
    pub fn has_completed_recently(&self, request: &Digest, now: UnixMillis) -> bool {
        self.completions.last(request).is_some_and(|at| now.since(at) <= COMPLETION_VALIDITY)
    }

    /// The requests that ran to their end after this router learned of all crashes that count against them, or shortly before; each
    /// with the time up to which that clears it.
    pub fn recently_completed(&self) -> BTreeMap<Digest, UnixMillis> {
        let mut cleared: BTreeMap<Digest, UnixMillis> = BTreeMap::new();
        let mut accused: BTreeSet<Digest> = BTreeSet::new();
        for crash in self.crashes.values() {
            let counted = |digest: &&Digest| counts(&self.released, digest, crash.at);
            for digest in crash.requests.iter().filter(counted) {
                let Some(completed) = self.completions.last(digest) else { continue };
                if crash.learned.since(completed) > COMPLETION_VALIDITY {
                    accused.insert(*digest);
                }
                let at = cleared.entry(*digest).or_default();
                *at = crash.at.max(*at);
            }
        }
        cleared.retain(|digest, _| !accused.contains(digest));
        cleared
    }

    /// How long it may take until it is known whether a suspected request also runs well; `None` if it would be known by now.
    pub fn settles_in(&self, suspect: &Digest, now: UnixMillis) -> Option<Duration> {
        let own = self.crashes.values().filter(|crash| {
            crash.requests.contains(suspect) && counts(&self.released, suspect, crash.at)
        });
        let left = own.filter_map(|crash| {
            let elapsed = Duration::from_millis(now.0.abs_diff(crash.learned.0));
            let left = REQUEST_SETTLING_TIME.checked_sub(elapsed);
            left.filter(|left| !left.is_zero() && now.since(crash.at) < MAX_CRASH_DELAY)
        });
        left.max()
    }

    /// How many crashes count against a part that has not been seen to run well.
    pub fn doubts(&self, part: &Digest) -> usize {
        let accusation = self.accused_parts.get(part).filter(|_| !self.is_proven(part));
        accusation.map_or(0, |accusation| accusation.crashes)
    }

    /// The parts that would be blamed for the crashes of a suspect if the suspect were not to blame: those that were at enough crashes,
    /// and at few without the suspect.
    pub fn accused_beside(&self, suspect: &Digest) -> BTreeSet<Digest> {
        let mut elsewhere: HashMap<Digest, usize> = HashMap::new();
        let mut beside = BTreeSet::new();
        for crash in self.crashes.values() {
            if crash.involves(suspect) {
                beside.extend(crash.parts.keys().filter(|part| *part != suspect));
            } else {
                crash.parts.keys().for_each(|part| *elsewhere.entry(*part).or_default() += 1);
            }
        }
        let accused = |part: &Digest| {
            let all = self.accused_parts.get(part).map_or(0, |accusation| accusation.crashes);
            all >= SUSPECT_CRASHES
                && elsewhere.get(part).is_none_or(|count| *count < SUSPECT_CRASHES)
        };
        beside.into_iter().filter(accused).collect()
    }

    /// Whether requests with a part have run well, as far as this router has learned.
    pub fn is_proven(&self, part: &Digest) -> bool {
        self.proven.contains(part) || self.released.contains_key(part)
    }

    /// The time of the latest crash, by the clock of the router that noticed it.
    pub fn latest_crash(&self) -> UnixMillis {
        self.crashes.values().map(|crash| crash.at).max().unwrap_or_default()
    }

    /// The time of the latest crash at which a request or a part was, by the clock of the router that noticed it.
    pub fn latest_crash_of(&self, digest: &Digest) -> UnixMillis {
        let own = self.crashes.values().filter(|crash| crash.involves(digest));
        own.map(|crash| crash.at).max().unwrap_or_default()
    }

    fn apply_record(
        &mut self,
        record: &QuarantineRecord,
        learned: impl Fn(&Crash) -> UnixMillis,
    ) -> bool {
        match record {
            QuarantineRecord::Crash(crash) => self.apply_crash(crash, learned(crash)),
            QuarantineRecord::Release(release) => self.release(release.digest, release.at),
            QuarantineRecord::PartsRelease(release) => {
                let released = release.parts.iter().filter(|(part, at)| self.release(**part, **at));
                released.count() > 0
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

    /// Clears a request or a part of crashes up to this time. Returns whether that is new.
    fn release(&mut self, digest: Digest, at: UnixMillis) -> bool {
        let new = self.released.get(&digest).is_none_or(|before| *before < at);
        if new {
            self.released.insert(digest, at);
        }
        new
    }

    fn apply_crash(&mut self, crash: &Crash, learned: UnixMillis) -> bool {
        let key = (crash.endpoint.clone(), crash.incarnation);
        let new = || MergedCrash::new(crash, learned);
        // Records of several routers about the same incarnation are one crash.
        self.crashes.entry(key).or_insert_with(new).merge(crash)
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

    fn find_suspects(&mut self, now: UnixMillis) {
        self.count_crashes(now);
        let times: Vec<CrashTime> = self
            .crashes
            .values()
            .zip(self.events())
            .map(|(crash, event)| CrashTime { at: crash.at, event })
            .collect();
        let culprits = Search::new(&times, self.hypotheses(&times, now)).run();
        self.suspects = culprits.into_iter().map(|culprit| self.suspect(culprit)).collect();
        let unsettled = self.crashes.values().filter(|crash| !crash.has_settled(now));
        self.next_review = unsettled.map(|crash| crash.learned.after(SETTLING_TIME)).min();
    }

    /// Counts the crashes that each request and each part was at.
    fn count_crashes(&mut self, now: UnixMillis) {
        self.watched.clear();
        self.accused_parts.clear();
        for crash in self.crashes.values() {
            let counted = |digest: &&Digest| counts(&self.released, digest, crash.at);
            for digest in crash.requests.iter().filter(counted) {
                *self.watched.entry(*digest).or_default() += 1;
            }
            for digest in crash.parts.keys().filter(counted) {
                let new = Accusation { first: crash.at, crashes: 0, settled: 0 };
                let accusation = self.accused_parts.entry(*digest).or_insert(new);
                accusation.first = accusation.first.min(crash.at);
                accusation.crashes += 1;
                accusation.settled += usize::from(crash.has_settled(now));
            }
        }
    }

    /// The requests and parts that were at enough crashes to be blamed; most were at one or two.
    fn hypotheses(&self, times: &[CrashTime], now: UnixMillis) -> HashMap<Digest, Hypothesis> {
        let mut open: HashMap<Digest, Hypothesis> = HashMap::new();
        let mut add = |digest: &Digest, kind, proven, event: EventNumber, settled: bool| {
            let (events, unsettled) = Default::default();
            let new = || Hypothesis { kind, proven, events, unsettled };
            let hypothesis = open.entry(*digest).or_insert_with(new);
            let events = if settled { &mut hypothesis.events } else { &mut hypothesis.unsettled };
            events.insert(event);
        };
        for (crash, time) in self.crashes.values().zip(times) {
            let counted = |digest: &&Digest| counts(&self.released, digest, crash.at);
            let requests = crash.requests.iter().filter(counted);
            for digest in requests.filter(|digest| self.watched[*digest] >= SUSPECT_CRASHES) {
                add(digest, DigestKind::Request, false, time.event, true);
            }
            let parts = crash.parts.keys().filter(counted);
            let frequent = |part: &&Digest| self.accused_parts[*part].settled >= SUSPECT_CRASHES;
            for part in parts.filter(frequent) {
                let settled = crash.has_settled(now);
                add(part, DigestKind::Part, self.is_proven(part), time.event, settled);
            }
        }
        open
    }

    fn suspect(&self, culprit: Culprit) -> (Digest, Suspect) {
        let Culprit { name, kind, digests } = culprit;
        let kind = match kind {
            DigestKind::Request => SuspectKind::Request,
            DigestKind::Part => SuspectKind::Part,
        };
        let caller = match kind {
            SuspectKind::Request => None,
            SuspectKind::Part => self.only_caller(&name),
        };
        (name, Suspect { kind, digests, caller, evidence: self.evidence_for(&name) })
    }

    /// The caller of all requests that had a part at crashes, if it was one only.
    fn only_caller(&self, part: &Digest) -> Option<Digest> {
        let crashes = self.crashes.values().filter(|crash| counts(&self.released, part, crash.at));
        let mut callers = crashes.filter_map(|crash| crash.parts.get(part)).flatten();
        let first = callers.next()?;
        callers.all(|caller| caller == first).then_some(*first)
    }

    /// The number of the event that each crash belongs to. Crashes that hit a whole failure domain at once are one event.
    fn events(&self) -> Vec<EventNumber> {
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

    fn evidence_for(&self, digest: &Digest) -> Vec<Evidence> {
        let crashes = self.crashes.iter().filter(|(_, crash)| {
            let present = crash.requests.contains(digest) || crash.parts.contains_key(digest);
            present && counts(&self.released, digest, crash.at)
        });
        crashes
            .map(|((endpoint, incarnation), crash)| Evidence {
                endpoint: endpoint.clone(),
                incarnation: *incarnation,
                at: crash.at,
            })
            .collect()
    }

    /// Whether a request is suspected to crash endpoints, for itself or for the parts of its prompt.
    pub fn suspicion(&self, request: &Fingerprint) -> SuspicionLevel {
        match self.suspect_of(request) {
            Some(name) => SuspicionLevel::Suspect(name),
            None => self.request_suspicion(&request.request),
        }
    }

    /// Whether a request is suspected for itself.
    pub fn request_suspicion(&self, request: &Digest) -> SuspicionLevel {
        let suspect = self.suspects.get(request).filter(|s| s.kind == SuspectKind::Request);
        match (suspect, self.watched.get(request)) {
            (Some(_), _) => SuspicionLevel::Suspect(*request),
            (None, Some(count)) => SuspicionLevel::Watched(*count),
            (None, None) => SuspicionLevel::Clear,
        }
    }

    fn suspect_of(&self, request: &Fingerprint) -> Option<Digest> {
        let mut suspects = self.suspects.iter();
        let found = suspects.find(|(_, suspect)| {
            suspect.caller.is_none_or(|caller| caller == request.caller)
                && suspect.digests.iter().all(|digest| request.has(digest))
        });
        found.map(|(name, _)| *name)
    }

    /// The number of the trial of a suspect that is due, if there is one.
    pub fn due_trial(&self, name: &Digest, now: UnixMillis) -> Option<u32> {
        let suspect = self.suspects.get(name)?;
        let delays = match suspect.kind {
            SuspectKind::Request => REQUEST_TRIAL_DELAYS,
            SuspectKind::Part => PART_TRIAL_DELAYS,
        };
        let trials = self.trials.get(name);
        let count = trials.map_or(0, |trials| trials.count);
        let last = suspect.evidence.iter().map(|crash| crash.at).max().unwrap_or(now);
        let last = trials.map_or(last, |trials| trials.last.max(last));
        let delay = delays.get(count as usize)?;
        (now.since(last) >= *delay).then_some(count + 1)
    }

    /// At how many crashes the most frequent request and the most frequent prompt part were.
    pub fn most_common(&self) -> CommonCrashes {
        CommonCrashes {
            crashes: self.crashes.len(),
            request: most_frequent(self.crashes.values().flat_map(|crash| &crash.requests)),
            part: most_frequent(self.crashes.values().flat_map(|crash| crash.parts.keys())),
        }
    }

    /// The suspect that a digest identifies.
    pub fn suspect_named(&self, name: &Digest) -> Option<&Suspect> {
        self.suspects.get(name)
    }

    /// All suspects, by the digests that identify them.
    pub fn suspects(&self) -> impl Iterator<Item = (&Digest, &Suspect)> {
        self.suspects.iter()
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

/// How often the most frequent digest occurs.
fn most_frequent<'a>(digests: impl Iterator<Item = &'a Digest>) -> usize {
    let mut counts: HashMap<Digest, usize> = HashMap::new();
    for digest in digests {
        *counts.entry(*digest).or_default() += 1;
    }
    counts.into_values().max().unwrap_or_default()
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
