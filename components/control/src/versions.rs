//! What a router reports about the software versions of services to an operator.

use std::collections::{BTreeMap, BTreeSet};

use fleet::Endpoint;
use origin::{OriginTable, VersionHistory};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::{ServiceName, SoftwareVersion};

/// The path at which a router reports the software versions of services, as a [`VersionsReport`].
pub const VERSIONS_PATH: &str = "/versions";

/// The software versions of services, as a router knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsReport {
    /// The services that have endpoints.
    pub services: Vec<ServiceVersions>,
}

/// The software versions of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: ServiceName,
    /// Whether the service has had several versions lately, so that the router tells keepers where streams begin.
    pub told: bool,
    /// The versions that endpoints run, that the service has had lately, or that streams are held to.
    pub versions: Vec<VersionUse>,
}

/// One software version of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionUse {
    /// The version; none for endpoints whose version is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Its endpoints that take new requests.
    pub accepting: usize,
    /// Its other endpoints.
    pub draining: usize,
    /// The streams that the router holds to the version: those whose origin it remembers.
    pub streams: usize,
}

impl VersionsReport {
    /// The report of a router with these endpoints, each with whether it takes new requests.
    pub fn new<'a>(
        endpoints: impl IntoIterator<Item = (&'a Endpoint, bool)>,
        origins: &OriginTable,
        history: &VersionHistory,
        now: Instant,
    ) -> Self {
        let mut services: BTreeMap<&ServiceName, Versions> = BTreeMap::new();
        for (endpoint, accepting) in endpoints {
            let versions = services.entry(&endpoint.service).or_default();
            let known = versions.entry(endpoint.software.clone()).or_default();
            known.accepting += usize::from(accepting);
            known.draining += usize::from(!accepting);
        }
        let report = |(service, mut versions): (&ServiceName, Versions)| {
            let recent = history.versions(service, now);
            for (_, origin, _) in origins.of_service(service, now) {
                versions.entry(origin.software).or_default().streams += 1;
            }
            ServiceVersions::new(service.clone(), &recent, versions)
        };
        Self { services: services.into_iter().map(report).collect() }
    }
}

type Versions = BTreeMap<Option<SoftwareVersion>, VersionUse>;

impl ServiceVersions {
    fn new(
        service: ServiceName,
        recent: &BTreeSet<SoftwareVersion>,
        mut versions: Versions,
    ) -> Self {
        for software in recent {
            versions.entry(Some(software.clone())).or_default();
        }
        let named = versions.into_iter().map(|(software, used)| VersionUse { software, ..used });
        Self { service, told: recent.len() > 1, versions: named.collect() }
    }
}

#[cfg(test)]
mod tests;
