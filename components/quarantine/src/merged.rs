//! A crash as all routers that noticed it know it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::Domain;

use crate::{Crash, Digest, UnixMillis};

/// The most requests that are kept for one crash.
const MAX_CRASH_REQUESTS: usize = 128;
/// The most prompt parts that are kept for one crash.
const MAX_CRASH_PARTS: usize = 256;
/// The most callers that are kept for a part at one crash. More than one decide nothing.
const MAX_PART_CALLERS: usize = 2;
/// A crash counts against parts of prompts from this long after this router has learned of it. By then it is known which of
/// them run well: such a run takes half a second, and all routers know of it another half second later.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// A crash of an endpoint, merged from the records of all routers that noticed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MergedCrash {
    pub(crate) domain: Domain,
    pub(crate) domain_endpoints: u32,
    pub(crate) at: UnixMillis,
    /// When this table learned of the crash, or would have, by the clock of its router.
    pub(crate) learned: UnixMillis,
    pub(crate) requests: BTreeSet<Digest>,
    /// Each with the callers whose requests had it.
    pub(crate) parts: BTreeMap<Digest, BTreeSet<Digest>>,
}

impl MergedCrash {
    /// A crash by the first record of it, which this table learned at this time.
    pub(crate) fn new(crash: &Crash, learned: UnixMillis) -> Self {
        Self {
            domain: crash.domain.clone(),
            domain_endpoints: crash.domain_endpoints,
            at: crash.at,
            learned,
            requests: BTreeSet::new(),
            parts: BTreeMap::new(),
        }
    }

    /// Whether a request or a part was at the crash.
    pub(crate) fn involves(&self, digest: &Digest) -> bool {
        self.requests.contains(digest) || self.parts.contains_key(digest)
    }

    /// Adds what a record says. Returns whether that is new.
    pub(crate) fn merge(&mut self, crash: &Crash) -> bool {
        let before = self.clone();
        self.at = self.at.min(crash.at);
        self.domain_endpoints = self.domain_endpoints.max(crash.domain_endpoints);
        extend_up_to(&mut self.requests, &crash.requests, MAX_CRASH_REQUESTS);
        self.add_parts(&crash.parts);
        before != *self || before.requests.is_empty()
    }

    fn add_parts(&mut self, parts: &BTreeMap<Digest, BTreeSet<Digest>>) {
        for (part, callers) in parts {
            if self.parts.len() < MAX_CRASH_PARTS || self.parts.contains_key(part) {
                extend_up_to(self.parts.entry(*part).or_default(), callers, MAX_PART_CALLERS);
            }
        }
    }

    /// Whether the crash counts against parts by now.
    pub(crate) fn has_settled(&self, now: UnixMillis) -> bool {
        // The clock may have been set back since.
        Duration::from_millis(now.0.abs_diff(self.learned.0)) >= SETTLING_TIME
    }
}

/// Adds digests to a set until it has `most`.
fn extend_up_to(set: &mut BTreeSet<Digest>, digests: &BTreeSet<Digest>, most: usize) {
    for digest in digests {
        if set.len() < most {
            set.insert(*digest);
        }
    }
}
