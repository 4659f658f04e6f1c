//! The software versions that a service has had lately.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;
use units::{ServiceName, SoftwareVersion};

/// How long a version is remembered after it was last seen: longer than callers wait before they take up a stream.
pub const VERSION_MEMORY: Duration = Duration::from_secs(60);
/// The longest time by which a list of endpoints lags behind the endpoints, and by which the lists of two routers differ.
pub const LIST_LAG: Duration = Duration::from_secs(3);

/// The most services in a history. The one that was seen least recently is dropped first.
const MAX_SERVICES: usize = 512;
/// The most versions of a service in a history. The one that was seen least recently is dropped first; the others still show that
/// there are several.
const MAX_VERSIONS: usize = 16;

/// The software versions that each service has had lately, as one process has seen them.
#[derive(Debug)]
pub struct VersionHistory {
    services: HashMap<ServiceName, ServiceHistory>,
    /// From when on the versions of services that are not in `services` would have been seen.
    since: Instant,
}

#[derive(Debug)]
struct ServiceHistory {
    since: Instant,
    /// When anything was first recorded of the service.
    first: Instant,
    last: Instant,
    versions: HashMap<SoftwareVersion, SeenVersion>,
}

#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    last: Instant,
    /// When the version appeared in the list, if this process had read the list before.
    appeared: Option<Instant>,
}

/// A version that has just come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewVersion {
    /// When it appeared in the list, if this process had read the list before.
    pub appeared: Option<Instant>,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self::new(Instant::now())
    }
}

impl VersionHistory {
    /// The history of a process that starts to read the list of endpoints now.
    pub fn new(now: Instant) -> Self {
        Self { services: HashMap::new(), since: now }
    }

    /// Records that a service has a version now. This is called for each listed endpoint whenever the list is read or the version
    /// of an endpoint becomes known.
    pub fn record(&mut self, service: &ServiceName, software: &SoftwareVersion, now: Instant) {
        // The first lists of a process don't show when a version appeared.
        let history = self.history(service, now, now);
        let appeared = (now >= history.first + LIST_LAG).then_some(now);
        history.record(software, SeenVersion { last: now, appeared }, now);
    }

    /// Records that a service had a version at `seen`, as another process has found.
    pub fn record_past(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        seen: Instant,
        now: Instant,
    ) {
        let history = self.history(service, seen, now);
        history.record(software, SeenVersion { last: seen, appeared: None }, now);
    }

    fn history(
        &mut self,
        service: &ServiceName,
        seen: Instant,
        now: Instant,
    ) -> &mut ServiceHistory {
        if !self.services.contains_key(service) {
            self.make_room(now);
        }
        let since = self.since;
        let new = || ServiceHistory { since, first: now, last: seen, versions: HashMap::new() };
        self.services.entry(service.clone()).or_insert_with(new)
    }

    /// The versions that a service has had lately.
    pub fn versions(&self, service: &ServiceName, now: Instant) -> BTreeSet<SoftwareVersion> {
        let recent = self.services.get(service).into_iter().flat_map(|seen| seen.recent(now));
        recent.cloned().collect()
    }

    /// The versions that all services have had lately, each with the time since it was last seen.
    pub fn recent(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion, Duration)> {
        self.services.iter().flat_map(move |(service, seen)| {
            let recent = seen.versions.iter().filter(move |(_, one)| is_recent(one.last, now));
            recent.map(move |(software, one)| {
                (service, software, now.saturating_duration_since(one.last))
            })
        })
    }

    /// When a version appeared in the list, if this process had read the list before.
    pub fn appeared(&self, service: &ServiceName, software: &SoftwareVersion) -> Option<Instant> {
        self.services.get(service)?.versions.get(software)?.appeared
    }

    /// A version of several, if it has just come, so that the lists of other processes may not have it yet.
    pub fn new_version(
        &self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Instant,
    ) -> Option<NewVersion> {
        let history = self.services.get(service)?;
        if history.recent(now).count() < 2 {
            return None;
        }
        let appeared = history.versions.get(software)?.appeared;
        let latest = appeared.unwrap_or(history.first + LIST_LAG);
        (now < latest + LIST_LAG).then_some(NewVersion { appeared })
    }

    /// For how long the versions of a service have been seen.
    pub fn watched(&self, service: &ServiceName, now: Instant) -> Duration {
        let since = self.services.get(service).map_or(self.since, |seen| seen.since);
        now.saturating_duration_since(since)
    }

    /// Drops the history of one service if there are too many. What is seen of it later counts from now.
    fn make_room(&mut self, now: Instant) {
        if self.services.len() < MAX_SERVICES {
            return;
        }
        let oldest = self.services.iter().min_by_key(|(name, seen)| (seen.last, *name));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.services.remove(&name);
            self.since = now;
        }
    }
}

impl ServiceHistory {
    fn record(&mut self, software: &SoftwareVersion, seen: SeenVersion, now: Instant) {
        self.last = self.last.max(seen.last);
        self.versions.retain(|_, seen| is_recent(seen.last, now));
        if !self.versions.contains_key(software) && self.versions.len() >= MAX_VERSIONS {
            let oldest = self.versions.iter().min_by_key(|(name, seen)| (seen.last, *name));
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.versions.remove(&name);
            }
        }
        let known = self.versions.entry(software.clone()).or_insert(seen);
        known.last = seen.last.max(known.last);
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &SoftwareVersion> {
        let recent = self.versions.iter().filter(move |(_, seen)| is_recent(seen.last, now));
        recent.map(|(software, _)| software)
    }
}

fn is_recent(last: Instant, now: Instant) -> bool {
    now.saturating_duration_since(last) < VERSION_MEMORY
}

#[cfg(test)]
mod tests;
