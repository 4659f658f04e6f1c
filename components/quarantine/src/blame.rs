//! Finds what to blame for crashes: a whole request, or a part of the prompts of several requests.
//!
//! Whatever is to blame was at many of the crashes. So were the parts that most prompts have, for instance that of a system
//! prompt. Only these also run well in between, which takes some time to show: until then a crash counts against requests, but
//! not against parts.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::{Digest, UnixMillis};

/// A request or a part that was at this many crashes, none of them explained otherwise, is a suspect. With 2, a request that its
/// caller repeats once would be refused if both attempts ran on the same endpoint as the one to blame.
pub(crate) const SUSPECT_CRASHES: usize = 3;
/// The same for a part that has run well before. Most prompts may have it, so that it is at more crashes than the part to blame.
const PROVEN_SUSPECT_CRASHES: usize = 5;
/// Crashes that follow each other faster than this count once against a part: many requests with it run at the same time, so
/// that a cause outside of all endpoints may crash several of theirs.
const PART_CRASH_GAP: Duration = Duration::from_millis(200);
/// For each crash of a suspect, this many unexplained crashes without the suspect are tolerated at about the same time. With
/// more of them, endpoints crash whatever they run, as after a faulty release, and no request is to blame.
const OTHERS_PER_CRASH: usize = 2;
/// This many unexplained crashes without the suspect are tolerated in addition.
const OTHERS_ALLOWANCE: usize = 2;
/// Crashes without the suspect are counted from this long before the first crash of the suspect.
const OTHERS_BEFORE: Duration = Duration::from_secs(10);
/// Crashes without the suspect are counted until this long after the last crash of the suspect.
const OTHERS_AFTER: Duration = Duration::from_secs(3);

/// What a digest identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum DigestKind {
    Request,
    Part,
}

/// What may be to blame.
#[derive(Debug, Clone)]
pub(crate) struct Hypothesis {
    pub(crate) kind: DigestKind,
    /// Whether requests with the part have run well before.
    pub(crate) proven: bool,
    /// The events that count against it.
    pub(crate) events: BTreeSet<EventNumber>,
    /// Events that it was at and that don't count yet.
    pub(crate) unsettled: BTreeSet<EventNumber>,
}

/// Identifies a crash, or several that count as one, such as the loss of a failure domain: the index of the first of them.
pub(crate) type EventNumber = usize;

/// A crash, as far as it matters here.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashTime {
    pub(crate) at: UnixMillis,
    pub(crate) event: EventNumber,
}

/// What is to blame for some crashes: requests that have all of these digests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Culprit {
    /// Identifies the culprit for operators: the request, else the part.
    pub(crate) name: Digest,
    pub(crate) kind: DigestKind,
    pub(crate) digests: BTreeSet<Digest>,
}

/// Searches for culprits, one after the other.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    crashes: &'a [CrashTime],
    open: HashMap<Digest, Hypothesis>,
    explained: BTreeSet<EventNumber>,
}

impl<'a> Search<'a> {
    pub(crate) fn new(crashes: &'a [CrashTime], open: HashMap<Digest, Hypothesis>) -> Self {
        let mut search = Self { crashes, open, explained: BTreeSet::new() };
        search.drop_unlikely();
        search
    }

    /// Returns the culprits. What was at most crashes that no other culprit explains comes first; its crashes then count against
    /// nothing else. What is known to have run well comes last.
    pub(crate) fn run(mut self) -> Vec<Culprit> {
        let mut culprits = Vec::new();
        let mut skipped: BTreeSet<Digest> = BTreeSet::new();
        while let Some((digest, hypothesis)) = self.likeliest(&skipped) {
            let culprit = self.culprit(&hypothesis);
            let Some(culprit) = culprit.filter(|_| !self.too_many_others(&hypothesis)) else {
                skipped.insert(digest);
                continue;
            };
            for other in self.open.values_mut() {
                other.events.retain(|event| !hypothesis.events.contains(event));
            }
            self.explained.extend(&hypothesis.events);
            self.drop_unlikely();
            culprits.push(culprit);
            skipped.clear();
        }
        culprits
    }

    fn likeliest(&self, skipped: &BTreeSet<Digest>) -> Option<(Digest, Hypothesis)> {
        let open = self.open.iter().filter(|(digest, _)| !skipped.contains(digest));
        let best = open.max_by_key(|(digest, hypothesis)| {
            (!hypothesis.proven, hypothesis.events.len(), **digest)
        });
        best.map(|(digest, hypothesis)| (*digest, hypothesis.clone()))
    }

    /// The culprit by a hypothesis. What was at all its crashes as well can't be told apart from it, so only requests that have
    /// all of it are blamed. `None` if no request has all of it, since it includes two requests.
    fn culprit(&self, hypothesis: &Hypothesis) -> Option<Culprit> {
        let companions = self.open.iter().filter(|(_, other)| {
            other.proven <= hypothesis.proven && hypothesis.events.is_subset(&other.events)
        });
        let mut digests: Vec<(DigestKind, Digest)> =
            companions.map(|(digest, other)| (other.kind, *digest)).collect();
        let requests = digests.iter().filter(|(kind, _)| *kind == DigestKind::Request).count();
        if requests > 1 {
            return None;
        }
        digests.sort_unstable();
        let (kind, name) = *digests.first()?;
        let digests = digests.into_iter().map(|(_, digest)| digest).collect();
        Some(Culprit { name, kind, digests })
    }

    /// Drops what was at too few crashes to be blamed.
    fn drop_unlikely(&mut self) {
        let crashes = self.crashes;
        self.open.retain(|_, hypothesis| hypothesis.weight(crashes) >= hypothesis.min_weight());
    }

    /// Whether so many other endpoints crashed at about the same time, for unknown reasons, that nothing is to blame.
    fn too_many_others(&self, hypothesis: &Hypothesis) -> bool {
        let own = &hypothesis.events;
        let times = || {
            let own = self.crashes.iter().filter(|crash| own.contains(&crash.event));
            own.map(|crash| crash.at)
        };
        let Some((first, last)) = times().min().zip(times().max()) else { return true };
        let others: BTreeSet<EventNumber> = self
            .crashes
            .iter()
            .filter(|crash| {
                first.since(crash.at) <= OTHERS_BEFORE && crash.at.since(last) <= OTHERS_AFTER
            })
            .map(|crash| crash.event)
            .filter(|event| !own.contains(event) && !hypothesis.unsettled.contains(event))
            .filter(|event| !self.explained.contains(event))
            .collect();
        others.len() > own.len() * OTHERS_PER_CRASH + OTHERS_ALLOWANCE
    }
}

impl Hypothesis {
    fn min_weight(&self) -> usize {
        if self.proven { PROVEN_SUSPECT_CRASHES } else { SUSPECT_CRASHES }
    }

    /// How many events speak for it.
    fn weight(&self, crashes: &[CrashTime]) -> usize {
        if self.kind == DigestKind::Request {
            return self.events.len();
        }
        let times: BTreeSet<UnixMillis> =
            self.events.iter().map(|event| crashes[*event].at).collect();
        let (mut weight, mut last) = (0, None);
        for at in times {
            if last.is_none_or(|last| at.since(last) >= PART_CRASH_GAP) {
                weight += 1;
                last = Some(at);
            }
        }
        weight
    }
}
