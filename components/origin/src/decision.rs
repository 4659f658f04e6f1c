//! Decides where a stream may go on that its caller takes up.
//!
//! Load pattern: a router or an endpoint dies while a release replaces endpoints, and its callers take up their streams at other
//! routers within seconds. Evidence that is lost, late or expired leads to a refusal, never to an endpoint of another version.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use units::{EndpointId, ServiceName, SoftwareVersion};

use crate::{EstablishedVersion, LIST_LAG, Lookup, StreamOrigin, VERSION_MEMORY};

/// What a router knows when a caller takes up a stream.
#[derive(Debug, Clone)]
pub struct ResumptionFacts<'a> {
    /// The service that the route selects for the request.
    pub service: &'a ServiceName,
    /// The services that the route may select: one, or several if the route is split.
    pub allowed: &'a [ServiceName],
    /// Whether the caller has events of the stream.
    pub has_events: bool,
    /// What the router itself knows of the stream.
    pub own: Lookup,
    /// What routers have recorded of the stream in the store, as far as this router has read it.
    pub stored: Lookup,
    /// The number of keepers that were asked, without those that refused the connection: these do not run and know nothing. It is 0
    /// if the caller does not name the stream.
    pub asked: usize,
    /// The answers of the keepers that answered.
    pub answers: Vec<KeeperAnswer>,
    /// The number of serving keepers that did not answer, for whatever reason.
    pub unheard: usize,
    /// What the store says of the versions of the service, if it was read after the stream was taken up.
    pub records: Option<ReadRecords>,
    /// What the list says of the endpoints in `own` and `answers`. Endpoints that have left the list are missing.
    pub listed: HashMap<EndpointId, ListedEndpoint>,
    /// The versions that the selected service has had lately, as far as the router has seen.
    pub versions: BTreeSet<SoftwareVersion>,
    /// For how long the router has seen the versions of the selected service.
    pub watched: Duration,
    /// Whether streams may have begun at an endpoint of the selected service whose version is not known.
    pub has_unknown_version: bool,
    /// Whether `versions` has those that the service had before the router started.
    pub knows_past_versions: bool,
    /// Whether the router's list of endpoints may be outdated.
    pub list_is_stale: bool,
    /// The time since the list was last known to be complete.
    pub list_age: Duration,
}

/// What a keeper knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperAnswer {
    /// Where the stream began.
    pub origin: Lookup,
    /// The versions that the service has had lately: those in the origins that the keeper knows, and those that it has seen listed.
    pub versions: BTreeSet<SoftwareVersion>,
    /// For how long the keeper has seen the versions of the service. Zero if it does not say.
    pub watched: Duration,
    /// For how long it has kept what it is told. Zero if it does not say.
    pub kept: Duration,
    /// For how long its endpoint has been listed, as far as the router that asks has seen.
    pub listed: Duration,
}

/// What the records in the store say of the versions of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadRecords {
    /// The version from before the others, if there is one, and this router has seen the others appear.
    pub established: Option<Established>,
}

/// The version that a service had before its other ones appeared. Streams of the others are recorded in the store, or known to a
/// keeper, before their first event is passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Established {
    /// The version, and the others.
    pub version: EstablishedVersion,
    /// For how long the service may have had others.
    pub others_for: Duration,
}

/// What a router's list says of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The version of the endpoint's software, if it is known.
    pub software: Option<SoftwareVersion>,
    /// When the router first saw this incarnation. `None` if it was in the first list that the router read.
    pub since: Option<Instant>,
    /// The last time at which this incarnation is known to have been the one that runs: when its loader last said so, or
    /// [`LIST_LAG`] before the list was read.
    pub confirmed: Instant,
}

/// How the version of a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The router itself passed the first event on.
    Own,
    /// A keeper was told.
    Keeper,
    /// A router recorded it in the store.
    Store,
    /// The service has had no other version lately.
    OnlyVersion,
    /// Streams of the other versions that the service has had lately are known.
    EstablishedVersion,
}

/// Why a stream is not sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doubt {
    /// Nobody knows where the stream began, and the service may have had several versions.
    Unknown,
    /// Nobody knows where the stream began, and the records in the store could not be read. They may tell later.
    Unread,
    /// Streams of several versions began under the same id.
    Conflicting,
    /// The stream began at a service that the route does not lead to.
    OtherService,
    /// The endpoint restarted with other software at about the time at which the stream began.
    Restarted,
    /// It is not known yet whether the endpoint had restarted when the stream began. Its loader or the list may show it a moment
    /// later.
    Unconfirmed,
    /// The list does not show yet which version the incarnation runs that began the stream.
    Unlisted,
    /// The service has no endpoint of a known version; the caller is refused like one with a new request.
    NoEndpoint,
}

/// What shows in which incarnation an endpoint began a stream, or makes it doubtful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The list names other software, and the endpoint restarted at about the time at which the stream began.
    OtherListed,
    /// The same, and the list does not name the software of the new incarnation yet.
    NoneListed,
    /// The endpoint says that it runs in another incarnation than the list names.
    OtherIncarnation,
    /// The endpoint's loader has seen a later incarnation that may have begun the stream.
    LaterIncarnation,
    /// A restart with other software is remembered from about the time at which the stream began.
    PastRestart,
    /// Nobody has seen the incarnation since the stream began, and the endpoint does not answer or has left the list.
    Unseen,
}

/// How it is known which incarnation of an endpoint began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Confirmation {
    /// The endpoint's loader was asked while the request was at the endpoint.
    Start,
    /// The endpoint's loader named the incarnations that it had seen, when the stream was taken up.
    Loader,
    /// The endpoint still runs in this incarnation.
    Endpoint,
}

/// Where a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// At any endpoint: its caller has no event of it.
    Anywhere,
    /// At endpoints of one version in one service only.
    At {
        /// The service in which the stream goes on.
        service: ServiceName,
        /// The version of the software.
        software: SoftwareVersion,
        /// How the version is known.
        source: Source,
    },
    /// Nowhere.
    Nowhere(Doubt),
}

/// Decides where a stream may go on.
pub fn decide(facts: &ResumptionFacts<'_>) -> Decision {
    // A caller without an event may get the stream from its start, by any version.
    if !facts.has_events {
        return Decision::Anywhere;
    }
    match facts.known_origin() {
        Err(doubt) => Decision::Nowhere(doubt),
        Ok(Some((origin, source))) => match &origin.software {
            Some(software) => facts.at_origin(origin, software, source),
            None => Decision::Nowhere(Doubt::Unlisted),
        },
        Ok(None) => facts.at_only_version(),
    }
}

impl ResumptionFacts<'_> {
    /// Whether the answers so far decide, so that no more keepers need be asked.
    pub fn is_decided(&self) -> bool {
        let known =
            std::iter::once(&self.own).chain(self.answers.iter().map(|answer| &answer.origin));
        let found = known.into_iter().any(|origin| *origin != Lookup::Unknown);
        let old = self.answers.iter().any(|answer| answer.watched >= VERSION_MEMORY);
        found || old && self.all_versions().len() == 1
    }

    /// The origin that the router or a keeper knows, if they agree.
    fn known_origin(&self) -> Result<Option<(&StreamOrigin, Source)>, Doubt> {
        let mut found: Option<(&StreamOrigin, Source)> = None;
        for (origin, source) in self.origins() {
            let origin = match origin {
                Lookup::Unknown => continue,
                Lookup::Conflicting => return Err(Doubt::Conflicting),
                Lookup::Known(origin) => origin,
            };
            if let Some(doubt) = self.endpoint_doubt(origin) {
                return Err(doubt);
            }
            match found {
                Some((known, _)) if known.contradicts(origin) => return Err(Doubt::Conflicting),
                Some(_) => {}
                None => found = Some((origin, source)),
            }
        }
        Ok(found)
    }

    fn origins(&self) -> impl Iterator<Item = (&Lookup, Source)> {
        let keepers = self.answers.iter().map(|answer| (&answer.origin, Source::Keeper));
        [(&self.own, Source::Own), (&self.stored, Source::Store)].into_iter().chain(keepers)
    }

    /// Why the version in an origin may be wrong: the router that recorded it may have read the list before the endpoint's restart.
    fn endpoint_doubt(&self, origin: &StreamOrigin) -> Option<Doubt> {
        if origin.confirmed || origin.software.is_none() {
            return None;
        }
        let listed = self.listed.get(&origin.endpoint)?;
        if listed.software != origin.software {
            let before = |since: Instant| origin.begun + LIST_LAG <= since;
            return (!listed.since.is_some_and(before)).then_some(Doubt::Restarted);
        }
        let several = self.all_versions().len() > 1;
        (several && listed.confirmed < origin.begun).then_some(Doubt::Unconfirmed)
    }

    fn at_origin(
        &self,
        origin: &StreamOrigin,
        software: &SoftwareVersion,
        source: Source,
    ) -> Decision {
        if !self.allowed.contains(&origin.service) {
            return Decision::Nowhere(Doubt::OtherService);
        }
        let (service, software) = (origin.service.clone(), software.clone());
        Decision::At { service, software, source }
    }

    /// Where a stream of unknown origin goes on: at the only version of the service, if there has been no other one lately.
    fn at_only_version(&self) -> Decision {
        let versions = self.all_versions();
        let Some(only) = versions.first() else {
            return match self.has_unknown_version {
                true => Decision::Nowhere(Doubt::Unknown),
                false => Decision::Nowhere(Doubt::NoEndpoint),
            };
        };
        if versions.len() > 1 && !self.has_unknown_version {
            return self.at_established_version(&versions);
        }
        if self.has_unknown_version {
            return Decision::Nowhere(Doubt::Unknown);
        }
        if !self.saw_all_versions() {
            return Decision::Nowhere(Doubt::Unread);
        }
        let (service, software) = (self.service.clone(), (*only).clone());
        Decision::At { service, software, source: Source::OnlyVersion }
    }

    /// Where a stream goes on that neither the store nor any keeper knows: at the version from before the others, if no keeper can
    /// have lost its record.
    fn at_established_version(&self, versions: &BTreeSet<&SoftwareVersion>) -> Decision {
        let Some(records) = &self.records else { return Decision::Nowhere(Doubt::Unread) };
        let Some(established) = &records.established else {
            return Decision::Nowhere(Doubt::Unknown);
        };
        let EstablishedVersion { software, versions: recorded } = &established.version;
        // The loader of a new endpoint may start a moment after the endpoint is listed.
        let has_kept_all = |answer: &KeeperAnswer| {
            answer.kept >= established.others_for || answer.kept + LIST_LAG >= answer.listed
        };
        let all_answered = self.unheard == 0 && !self.answers.is_empty();
        let are_recorded = versions.iter().all(|version| recorded.contains(version));
        if !all_answered || !are_recorded || !self.answers.iter().all(has_kept_all) {
            return Decision::Nowhere(Doubt::Unknown);
        }
        let (service, software) = (self.service.clone(), software.clone());
        Decision::At { service, software, source: Source::EstablishedVersion }
    }

    fn all_versions(&self) -> BTreeSet<&SoftwareVersion> {
        let told = self.answers.iter().flat_map(|answer| &answer.versions);
        self.versions.iter().chain(told).collect()
    }

    /// Whether another version of the last [`VERSION_MEMORY`] would be known.
    fn saw_all_versions(&self) -> bool {
        // Without a keeper to ask, a stale list is the best evidence that there is.
        let is_current = !self.list_is_stale || self.asked == 0;
        // What cuts the router off from the keepers may cut it off from the store, which takes a moment to show.
        let in_touch = self.asked == 0 || !self.answers.is_empty() || self.records.is_some();
        let past = self.knows_past_versions || self.watched >= VERSION_MEMORY;
        let kept = self.answers.iter().any(|answer| answer.watched >= VERSION_MEMORY);
        // A keeper has been told of streams at versions that appeared while it ran.
        let unknown = if past { self.list_age.min(VERSION_MEMORY) } else { VERSION_MEMORY };
        let told = self.answers.iter().filter(|answer| answer.kept >= unknown);
        past && is_current && in_touch || kept || 2 * told.count() > self.asked
    }
}

#[cfg(test)]
mod tests;
