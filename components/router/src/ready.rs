//! Tells the load balancer whether this router accepts callers.

use std::sync::Arc;

use catalog::Catalog;
use http::{Response, StatusCode};
use process::ShutdownPhase;
use web::Body;

use crate::shared::Shared;

/// Whether this router accepts callers: it has a configuration and a list of endpoints, can serve
/// at least one route, and is not ending.
pub(crate) fn is_ready(shared: &Shared) -> bool {
    shared.shutdown.phase() == ShutdownPhase::Run
        && shared.current().is_some_and(|catalog| can_serve(shared, &catalog))
        && shared.endpoints.lock().list_loaded
}

/// Whether there is a route whose requests can be authenticated.
fn can_serve(shared: &Shared, catalog: &Catalog) -> bool {
    let bound = shared.settings.borrow().bounds.revoke;
    catalog.workspaces.is_none()
        || shared.access.is_fresh(bound)
        || catalog.routes().any(|route| route.anonymous_allowed)
}

/// Answers a check of the load balancer.
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
