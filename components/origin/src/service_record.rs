//! The software versions that a service has had, as they are kept outside of the processes that saw them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use units::{SoftwareVersion, UnixMillis};

use crate::{LIST_LAG, VERSION_MEMORY};

/// By how much the clocks of two processes may differ.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(10);
/// The most versions in a record. Those that left the list first are dropped first.
const MAX_VERSIONS: usize = 16;

/// The software versions that a service has had. A process that has just started would else take the only version that it sees for
/// the only one that there was.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    versions: BTreeMap<SoftwareVersion, RecordedVersion>,
}

/// When a service had a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedVersion {
    /// When an endpoint with this version was first listed, later than that of any version that was recorded before.
    since: UnixMillis,
    /// When the last one had left the list; none while one is listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    until: Option<UnixMillis>,
}

impl RecordedVersion {
    /// Whether streams of this version may still be taken up.
    fn is_recent(self, now: UnixMillis) -> bool {
        self.until.is_none_or(|until| now.since(until) < VERSION_MEMORY + CLOCK_TOLERANCE)
    }
}

/// What a process sees of the versions of a service.
#[derive(Debug, Clone, Copy)]
pub struct SeenVersions<'a> {
    /// Those of listed endpoints.
    pub listed: &'a BTreeSet<SoftwareVersion>,
    /// Those that it has seen lately, also in a list.
    pub recent: &'a BTreeSet<SoftwareVersion>,
    /// Whether a version that is not listed has left: the list is up to date, and no entry is awaited.
    pub is_complete: bool,
}

/// The version that a service had before its other ones came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EstablishedVersion {
    /// The version.
    pub software: SoftwareVersion,
    /// All versions of which streams may still be taken up.
    pub versions: BTreeSet<SoftwareVersion>,
}

impl ServiceRecord {
    /// The version that the service had before its other ones came, if it has others and this one is still listed.
    pub fn established(&self, now: UnixMillis) -> Option<EstablishedVersion> {
        let recent = self.versions.iter().filter(|(_, version)| version.is_recent(now));
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(software, version)| (version.since, *software));
        let [(software, first), (_, second), ..] = recent.as_slice() else { return None };
        if first.until.is_some() || first.since >= second.since {
            return None;
        }
        let versions = recent.iter().map(|(software, _)| (*software).clone()).collect();
        Some(EstablishedVersion { software: (*software).clone(), versions })
    }

    /// Whether streams at a version must be known elsewhere before their first event is passed on, since those that nobody knows
    /// count as streams of the established one.
    pub fn is_established(&self, software: &SoftwareVersion, now: UnixMillis) -> bool {
        let recent = self.versions.iter().filter(|(_, version)| version.is_recent(now));
        let first = recent.min_by_key(|(software, version)| (version.since, *software));
        first.is_some_and(|(first, _)| first == software)
    }

    /// The record after a process has seen these versions; `None` if that changes nothing.
    pub fn updated(&self, seen: SeenVersions<'_>, now: UnixMillis) -> Option<Self> {
        let mut next = self.clone();
        // The clocks of the routers that write in turn may differ.
        let last = self.versions.values().map(|version| version.since).max();
        let since = last.map_or(now, |last| now.max(last.after(Duration::from_millis(1))));
        for software in seen.listed {
            let listed = RecordedVersion { since, until: None };
            let known = next.versions.entry(software.clone()).or_insert(listed);
            if !known.is_recent(now) {
                *known = listed;
            }
            known.until = None;
        }
        for software in seen.recent.difference(seen.listed) {
            let left = RecordedVersion { since, until: Some(now) };
            next.versions.entry(software.clone()).or_insert(left);
        }
        if seen.is_complete {
            for (software, version) in &mut next.versions {
                // The list of this process may be older than the one from which a new version was recorded.
                let may_be_new = now.since(version.since) < LIST_LAG;
                if !seen.listed.contains(software) && !may_be_new {
                    version.until.get_or_insert(now);
                }
            }
        }
        (next != *self).then(|| {
            next.drop_old(now);
            next
        })
    }

    /// Whether a time in the record is so far ahead that no process can have written it. Such a version would stay for good.
    pub fn is_too_far_ahead(&self, now: UnixMillis) -> bool {
        let times = self.versions.values().flat_map(|one| [Some(one.since), one.until]);
        times.flatten().any(|at| at.is_too_far_ahead(now))
    }

    /// The versions of which streams may still be taken up, each with the time since it left the list.
    pub fn recent(
        &self,
        now: UnixMillis,
    ) -> impl Iterator<Item = (&SoftwareVersion, Duration)> + Clone {
        let recent = self.versions.iter().filter(move |(_, version)| version.is_recent(now));
        recent.map(move |(software, version)| {
            (software, version.until.map_or(Duration::ZERO, |until| now.since(until)))
        })
    }

    fn drop_old(&mut self, now: UnixMillis) {
        self.versions.retain(|_, version| version.is_recent(now));
        while self.versions.len() > MAX_VERSIONS {
            let left =
                self.versions.iter().filter_map(|(software, one)| Some((one.until?, software)));
            let Some(first) = left.min().map(|(_, software)| software.clone()) else { return };
            self.versions.remove(&first);
        }
    }
}

#[cfg(test)]
mod tests;
