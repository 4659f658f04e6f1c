//! Loaders as keepers of origins.

use std::collections::HashMap;
use std::net::SocketAddr;

use fleet::EndpointStage;
use origin::{Keeper, KeeperState};
use tokio::time::Instant;
use units::{Domain, EndpointId, ServiceName, SoftwareVersion};

use crate::endpoint::TrackedEndpoint;
use crate::registry::EndpointTable;

/// A loader as a keeper of origins.
#[derive(Debug, Clone)]
pub(super) struct KnownKeeper {
    pub(super) endpoint: EndpointId,
    pub(super) addr: SocketAddr,
    domain: Domain,
    state: KeeperState,
    /// The service of its endpoint, and the version of its software.
    service: ServiceName,
    software: Option<SoftwareVersion>,
}

impl KnownKeeper {
    fn new(tracked: &TrackedEndpoint, now: Instant) -> Self {
        let leaving = tracked.endpoint.stage != EndpointStage::Ready || tracked.hints.draining();
        let state = match (tracked.unresponsive(now), leaving) {
            (true, _) => KeeperState::Dead,
            (false, true) => KeeperState::Leaving,
            (false, false) => KeeperState::Serving,
        };
        let endpoint = &tracked.endpoint;
        let (id, domain) = (endpoint.id.clone(), endpoint.domain.clone());
        let (service, software) = (endpoint.service.clone(), endpoint.software.clone());
        Self { endpoint: id, addr: endpoint.addr, domain, state, service, software }
    }

    /// Whether its endpoint runs this version of a service, if it is one.
    pub(super) fn runs(&self, service: &ServiceName, software: Option<&SoftwareVersion>) -> bool {
        self.service == *service && self.software.as_ref() == software
    }

    /// Whether its endpoint serves, so that it may have been told of streams.
    pub(super) fn serves(&self) -> bool {
        self.state != KeeperState::Leaving
    }

    fn as_keeper(&self, state: KeeperState) -> Keeper<'_> {
        Keeper { endpoint: &self.endpoint, domain: &self.domain, state }
    }
}

/// The loaders of the listed endpoints.
pub(super) fn listed_keepers(table: &EndpointTable, now: Instant) -> Vec<KnownKeeper> {
    let with_loader = table.map.values().filter(|tracked| tracked.endpoint.holdings.is_some());
    with_loader.map(|tracked| KnownKeeper::new(tracked, now)).collect()
}

/// The keepers that may be told of a stream. Those that did not answer lately are left out until the instant in `silent_until`.
pub(super) fn told_keepers<'a>(
    known: &'a [KnownKeeper],
    silent_until: &HashMap<EndpointId, Instant>,
    now: Instant,
) -> Vec<Keeper<'a>> {
    let silent = |id: &EndpointId| silent_until.get(id).is_some_and(|until| *until > now);
    let state = |keeper: &KnownKeeper| {
        if silent(&keeper.endpoint) { KeeperState::Dead } else { keeper.state }
    };
    known.iter().map(|keeper| keeper.as_keeper(state(keeper))).collect()
}

/// The keepers that are asked for a stream: also those that did not answer lately, since they may know.
pub(super) fn asked_keepers(known: &[KnownKeeper]) -> Vec<Keeper<'_>> {
    let state = |keeper: &KnownKeeper| match keeper.state {
        KeeperState::Leaving => KeeperState::Leaving,
        KeeperState::Serving | KeeperState::Dead => KeeperState::Serving,
    };
    known.iter().map(|keeper| keeper.as_keeper(state(keeper))).collect()
}
