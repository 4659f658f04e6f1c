//! Decides where a stream may go on that its caller takes up.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use units::{ServiceName, SoftwareVersion};

use crate::{Lookup, StreamOrigin};

/// What a router knows when a caller takes up a stream.
#[derive(Debug, Clone)]
pub struct ResumptionFacts<'a> {
    /// The service that the request goes to.
    pub service: &'a ServiceName,
    /// Whether the caller has events of the stream.
    pub has_events: bool,
    /// What the router itself knows of the stream.
    pub own: Lookup,
    /// The answers of the keepers that answered.
    pub answers: Vec<KeeperAnswer>,
    /// The versions that the service has had lately, as far as the router has seen.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether the service has an endpoint whose version is not known.
    pub has_unknown_version: bool,
    /// Whether the router's list of endpoints may be outdated.
    pub list_is_stale: bool,
}

/// What a keeper knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeeperAnswer {
    /// Where the stream began.
    pub origin: Lookup,
    /// The versions of the service in the origins that the keeper knows.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// How the version of a stream is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The router itself passed the first event on.
    Own,
    /// A keeper was told.
    Keeper,
    /// The service has had no other version lately.
    OnlyVersion,
}

/// Why a stream is not sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doubt {
    /// Nobody knows where the stream began, and the service has several versions.
    Unknown,
    /// Streams of several versions began under the same id.
    Conflicting,
    /// The stream began at another service.
    OtherService,
}

/// Where a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// At any endpoint: its caller has no event of it.
    Anywhere,
    /// At endpoints of this version only.
    At(SoftwareVersion, Source),
    /// Nowhere.
    Nowhere(Doubt),
}

/// Decides where a stream may go on.
pub fn decide(facts: &ResumptionFacts<'_>) -> Decision {
    let keepers = facts.answers.iter().map(|answer| (&answer.origin, Source::Keeper));
    let mut found: Option<(&StreamOrigin, Source)> = None;
    for (lookup, source) in [(&facts.own, Source::Own)].into_iter().chain(keepers) {
        match lookup {
            Lookup::Unknown => {}
            Lookup::Conflicting => return Decision::Nowhere(Doubt::Conflicting),
            Lookup::Known(origin) => match found {
                Some((known, _)) if known.software != origin.software => {
                    return Decision::Nowhere(Doubt::Conflicting);
                }
                Some(_) => {}
                None => found = Some((origin, source)),
            },
        }
    }
    if let Some((origin, source)) = found {
        return if origin.service == *facts.service {
            Decision::At(origin.software.clone(), source)
        } else {
            Decision::Nowhere(Doubt::OtherService)
        };
    }
    if !facts.has_events {
        return Decision::Anywhere;
    }
    let mut versions = facts.versions.clone();
    facts.answers.iter().for_each(|answer| versions.extend(answer.versions.iter().cloned()));
    let unsure = facts.has_unknown_version || facts.list_is_stale && facts.answers.is_empty();
    match versions.first() {
        Some(only) if versions.len() == 1 && !unsure => {
            Decision::At(only.clone(), Source::OnlyVersion)
        }
        _ => Decision::Nowhere(Doubt::Unknown),
    }
}
