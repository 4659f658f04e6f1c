//! Shares what routers know from the store with routers that can't reach it.
//!
//! Load pattern: the store rejects the calls of some routers or is unreachable for them, at a start or later, while others
//! go on reading. Without help, the former would go on with an old state and send requests to endpoints that left long ago.
//! The router that has read further is right: versions never go back, and neither does the position in the list, which
//! includes the era of the store. Only newer data is sent, since a whole list takes some hundred kilobytes with hundreds of
//! endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use clock::Moment;
use control::{Position, Snapshot};
use events::{Event, emit};
use http::{Response, StatusCode, Uri};
use tokio::task::JoinSet;
use web::Body;

use crate::feed::adopt_catalog;
use crate::shared::Shared;
use crate::{hints, loader_task, missing, origins};

/// The timeout of a call to another router. A router of the same deployment answers within some tens of milliseconds; one
/// that doesn't is down or unreachable.
pub(crate) const ROUTER_TIMEOUT: Duration = Duration::from_millis(400);
/// How often a router that has a configuration and a list asks another one. A draining endpoint is then known within two
/// seconds, including the delay of the router that is asked.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// How often a router that has no configuration or no list asks all others: every moment costs all requests that arrive.
const START_INTERVAL: Duration = Duration::from_millis(200);

/// Answers another router's request for newer data.
pub(crate) fn answer(shared: &Shared, uri: &Uri) -> Response<Body> {
    let have = Position::from_query(uri.query().unwrap_or(""));
    let (Some(catalog), Some(newer)) = (shared.current(), shared.endpoints.snapshot_since(have))
    else {
        return web::text(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n");
    };
    let confirmed = shared.access.confirmed_version(&catalog);
    if confirmed.is_none() && catalog.version <= have.version && newer.read <= have.read {
        return web::text(StatusCode::NO_CONTENT, "");
    }
    let catalog = (catalog.version > have.version).then(|| Catalog::clone(&catalog));
    web::json(StatusCode::OK, &Snapshot { catalog, confirmed, ..newer })
}

/// Asks other routers while this one can't read the store.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut stale = shared.stale_feeds.subscribe();
    let mut turn = 0;
    while stale.wait_for(|stale| stale.any()).await.is_ok() {
        let mut others = shared.other_routers();
        let starting = shared.unreachable_since().is_some();
        if !starting && !others.is_empty() {
            turn += 1;
            others = vec![others[turn % others.len()]];
        }
        ask(&shared, others).await;
        tokio::time::sleep(if starting { START_INTERVAL } else { REFRESH_INTERVAL }).await;
    }
}

/// Asks several routers at the same time, and applies what they have read beyond this router's position.
async fn ask(shared: &Arc<Shared>, routers: Vec<SocketAddr>) {
    let mut calls = JoinSet::new();
    let have = shared.position();
    let sent = Moment::now();
    for router in routers {
        let client = shared.router_client.clone();
        calls.spawn(async move {
            let snapshot = client.fetch_snapshot(router, have, ROUTER_TIMEOUT).await;
            (router, snapshot)
        });
    }
    while let Some(Ok((router, snapshot))) = calls.join_next().await {
        match snapshot {
            Ok(Some(snapshot)) => apply(shared, &router.to_string(), snapshot, sent),
            Ok(None) => {}
            Err(error) => log::debug!("router: no snapshot from router {router}: {error}"),
        }
    }
}

/// Applies another router's answer to a request that was sent at `sent`.
fn apply(shared: &Arc<Shared>, router: &str, mut snapshot: Snapshot, sent: Moment) {
    let confirmed = snapshot.confirmed;
    let endpoints = snapshot.endpoints.len();
    let catalog = snapshot.catalog.take();
    let version = catalog.as_ref().map_or(0, |catalog| catalog.version.0);
    let read = &snapshot.read.to_string();
    if version > 0 || endpoints > 0 {
        emit(&Event::SnapshotReceived { router, version, endpoints, read });
    }
    if let Some(catalog) = catalog {
        adopt_catalog(shared, catalog);
    }
    if let Some(confirmed) = confirmed
        && shared.current().is_some_and(|current| current.version == confirmed.version)
    {
        shared.access.record_peer_read(sent, confirmed.age);
    }
    if let Some(to_check) = shared.endpoints.apply_snapshot(snapshot) {
        missing::watch(shared, to_check);
        hints::settle_all(shared);
        loader_task::start_new(shared);
        origins::update_keepers(shared);
    }
    shared.update_start_state(false);
}
