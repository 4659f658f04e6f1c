//! Routers tell each other what they know from the store, for those that start while it is away.
//!
//! It is asked for at a start only, and the store goes before it: versions never go back, and what the store lists as
//! whole replaces the list of another router.

use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use control::{SNAPSHOT_PATH, Snapshot};
use events::{Event, emit};
use fleet::Change;
use http::{Response, StatusCode};
use tokio::task::JoinSet;
use web::Body;

use crate::feed::adopt;
use crate::peer;
use crate::shared::Shared;

/// A router of the same deployment answers within some tens of milliseconds; one that does not is down or cut off.
const PATIENCE: Duration = Duration::from_millis(400);

/// Answers another router.
pub(crate) fn answer(shared: &Shared, path: &str) -> Response<Body> {
    if path != SNAPSHOT_PATH {
        return web::text(StatusCode::NOT_FOUND, "no such path\n");
    }
    let catalog = shared.current();
    let endpoints = {
        let peers = shared.known.lock();
        let all = || peers.map.values().map(|peer| peer.endpoint.clone()).collect();
        peers.listed.then(all)
    };
    match catalog.zip(endpoints) {
        Some((catalog, endpoints)) => {
            let snapshot = Snapshot { catalog: Catalog::clone(&catalog), endpoints };
            web::json(StatusCode::OK, &snapshot)
        }
        None => web::text(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n"),
    }
}

/// Asks the other routers at once, and takes the newest of what they know.
pub(crate) async fn ask(shared: &Arc<Shared>) {
    let mut asked = JoinSet::new();
    let (own, peers) = {
        let settings = shared.settings.borrow();
        (settings.control, settings.peers.clone())
    };
    for router in peers.into_iter().filter(|router| *router != own) {
        let client = shared.client.clone();
        asked.spawn(async move {
            let snapshot = control::ask_snapshot(&client, router, PATIENCE).await;
            (router, snapshot)
        });
    }
    while let Some(Ok((router, snapshot))) = asked.join_next().await {
        match snapshot {
            Ok(snapshot) => take(shared, &router.to_string(), snapshot),
            Err(error) => log::debug!("router: {router} told nothing: {error}"),
        }
    }
}

fn take(shared: &Arc<Shared>, router: &str, snapshot: Snapshot) {
    let endpoints = snapshot.endpoints.len();
    let version = snapshot.catalog.version.0;
    emit(&Event::Told { router, version, endpoints });
    adopt(shared, snapshot.catalog);
    // The store may have listed them meanwhile.
    if !shared.known.lock().listed {
        let seen = |endpoint| Change::Seen(Box::new(endpoint));
        let changes = snapshot.endpoints.into_iter().map(seen).collect();
        shared.known.apply(changes, false, None);
        peer::follow_new(shared);
    }
}
