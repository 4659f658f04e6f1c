//! Tells the balancer whether this router takes callers.

use std::sync::Arc;

use http::{Response, StatusCode};
use process::Phase;
use web::Body;

use crate::shared::Shared;

/// Whether this router takes callers: it has a configuration and a list of endpoints, and is not ending.
pub(crate) fn is_ready(shared: &Shared) -> bool {
    shared.shutdown.phase() == Phase::Run
        && shared.catalog.borrow().is_some()
        && shared.known.lock().listed
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
