//! The software versions that a service has had lately.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;
use units::{ServiceName, SoftwareVersion};

/// How long a version is remembered after it was last seen: longer than callers wait before they take up a stream.
pub const VERSION_MEMORY: Duration = Duration::from_secs(60);

/// The software versions that each service has had lately, as one process has seen them.
#[derive(Debug, Default)]
pub struct VersionHistory {
    seen: HashMap<ServiceName, HashMap<SoftwareVersion, Instant>>,
}

impl VersionHistory {
    /// Records that a service has a version now.
    pub fn record(&mut self, service: &ServiceName, software: &SoftwareVersion, now: Instant) {
        let versions = self.seen.entry(service.clone()).or_default();
        versions.retain(|_, at| now.saturating_duration_since(*at) < VERSION_MEMORY);
        versions.insert(software.clone(), now);
    }

    /// The versions that a service has had lately.
    pub fn versions(&self, service: &ServiceName, now: Instant) -> BTreeSet<SoftwareVersion> {
        let seen = self.seen.get(service).into_iter().flatten();
        let recent = seen.filter(|(_, at)| now.saturating_duration_since(**at) < VERSION_MEMORY);
        recent.map(|(software, _)| software.clone()).collect()
    }
}
