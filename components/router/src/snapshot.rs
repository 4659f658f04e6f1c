//! Routers tell each other what they know from the store, for those that can't reach it.
//!
//! Load pattern: the store turns some routers away or is cut off from them, at a start or later, while others read on. Without
//! their word the ones go on with what they knew, and send requests to endpoints that left long ago. Who has read further
//! is right: versions never go back, and neither does the position up to which the list has been read, which says in which era of
//! the store that was. What is told is
//! only what is newer, since a whole list is some hundred kilobytes where hundreds of endpoints are.

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

use crate::feed::adopt;
use crate::shared::Shared;
use crate::{loader_task, missing};

/// A router of the same deployment answers within some tens of milliseconds; one that does not is down or cut off.
const PATIENCE: Duration = Duration::from_millis(400);
/// A router that has something to serve with asks another one this often, so that an endpoint that leaves is known within two
/// seconds, the one of the router that is asked included.
const PACE: Duration = Duration::from_millis(500);
/// One that has nothing asks all of them this often: each moment costs all requests that come.
const FIRST_PACE: Duration = Duration::from_millis(200);

/// Answers another router.
pub(crate) fn answer(shared: &Shared, uri: &Uri) -> Response<Body> {
    let have = Position::from_query(uri.query().unwrap_or(""));
    let (Some(catalog), Some(told)) = (shared.current(), shared.known.snapshot_since(have)) else {
        return web::text(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n");
    };
    let proved = shared.access.confirmed_version(&catalog);
    if proved.is_none() && catalog.version <= have.version && told.read <= have.read {
        return web::text(StatusCode::NO_CONTENT, "");
    }
    let catalog = (catalog.version > have.version).then(|| Catalog::clone(&catalog));
    web::json(StatusCode::OK, &Snapshot { catalog, confirmed: proved, ..told })
}

/// Asks other routers for as long as this one gets nothing from the store.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut still = shared.stale_feeds.subscribe();
    let mut turn = 0;
    while still.wait_for(|still| still.any()).await.is_ok() {
        let mut others = shared.other_routers();
        let first = shared.away_since().is_some();
        if !first && !others.is_empty() {
            turn += 1;
            others = vec![others[turn % others.len()]];
        }
        ask(&shared, others).await;
        tokio::time::sleep(if first { FIRST_PACE } else { PACE }).await;
    }
}

/// Asks these routers at once, and takes what they have read beyond this one.
async fn ask(shared: &Arc<Shared>, routers: Vec<SocketAddr>) {
    let mut asked = JoinSet::new();
    let have = shared.position();
    let sent = Moment::now();
    for router in routers {
        let client = shared.client.clone();
        asked.spawn(async move {
            let snapshot = control::fetch_snapshot(&client, router, have, PATIENCE).await;
            (router, snapshot)
        });
    }
    while let Some(Ok((router, snapshot))) = asked.join_next().await {
        match snapshot {
            Ok(Some(snapshot)) => take(shared, &router.to_string(), snapshot, sent),
            Ok(None) => {}
            Err(error) => log::debug!("router: {router} told nothing: {error}"),
        }
    }
}

fn take(shared: &Arc<Shared>, router: &str, mut snapshot: Snapshot, sent: Moment) {
    let proved = snapshot.confirmed;
    let endpoints = snapshot.endpoints.len();
    let catalog = snapshot.catalog.take();
    let version = catalog.as_ref().map_or(0, |catalog| catalog.version.0);
    let read = &snapshot.read.to_string();
    if version > 0 || endpoints > 0 {
        emit(&Event::Told { router, version, endpoints, read });
    }
    if let Some(catalog) = catalog {
        adopt(shared, catalog);
    }
    if let Some(proved) = proved
        && shared.current().is_some_and(|current| current.version == proved.version)
    {
        shared.access.record_peer_read(sent, proved.age);
    }
    if let Some(asked) = shared.known.apply_snapshot(snapshot) {
        missing::ask(shared, asked);
        loader_task::start_new(shared);
    }
    shared.update_start(false);
}
