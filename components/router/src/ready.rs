//! Tells the balancer whether this router takes callers.

use std::sync::Arc;

use catalog::Catalog;
use http::{Response, StatusCode};
use process::Phase;
use web::Body;

use crate::shared::Shared;

/// Whether this router takes callers: it has a configuration and a list of endpoints, can serve on a route at least, and is not
/// ending.
pub(crate) fn is_ready(shared: &Shared) -> bool {
    shared.shutdown.phase() == Phase::Run
        && shared.current().is_some_and(|catalog| serves(shared, &catalog))
        && shared.known.lock().list_loaded
}

/// Whether there is a route whose requests can be let in.
fn serves(shared: &Shared, catalog: &Catalog) -> bool {
    let bound = shared.settings.borrow().bounds.revoke;
    catalog.workspaces.is_none()
        || shared.access.holds(bound)
        || catalog.routes().any(|route| route.anonymous_allowed)
}

/// Answers the balancer.
pub(crate) fn answer(shared: &Arc<Shared>, path: &str) -> Response<Body> {
    if path != platform::READY_PATH {
        return web::text(StatusCode::NOT_FOUND, "no such path\n");
    }
    if is_ready(shared) {
        web::text(StatusCode::OK, "ready\n")
    } else {
        web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
