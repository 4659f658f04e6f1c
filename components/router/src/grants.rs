//! Asks permission to send a request to an endpoint that announces a rate limit.
//!
//! Load pattern: the limit is for all routers together, and is often lower than their number. So no router can keep to it by itself: the
//! loader of the endpoint, which all routers reach, schedules the requests of all of them. A router that can't reach the loader
//! sends nothing to the endpoint. For an endpoint without a loader, the loader of another endpoint does so, the same for all
//! routers; where there are no loaders, a router does.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use control::{EndpointRateLimit, GrantRequest, GrantResponse};
use events::{Event, emit, millis};
use fleet::EndpointStage;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ratelimit::Grant;
use tokio::time::Instant;
use units::{EndpointId, Rate};
use web::{Body, CallError};

use crate::rate_limit;
use crate::registry::MAX_BACKOFF;
use crate::reservation::Reservation;
use crate::shared::Shared;

/// How long an endpoint gets no requests of this router after its loader could not be asked.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// The shortest time for which an endpoint that refused a request gets none of this router; times are sent in whole milliseconds.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Size limit for messages of other routers, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 10;
/// The timeout of a check of whether an endpoint still announces a limit.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Waits until a request may be sent to its endpoint, for `max_wait` at most. Returns false if it may not be sent in this time; the
/// endpoint is then paused at this router.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    reservation: &Reservation,
    limit: Rate,
    max_wait: Duration,
) -> bool {
    let (id, incarnation) = (&reservation.id, reservation.incarnation);
    let request = GrantRequest { endpoint: id.clone(), incarnation, limit, max_wait };
    let granted = match responsible_loader(shared, id) {
        Some(loader) => control::request_grant(&shared.client, loader, &request).await,
        None => ask_routers(shared, &request).await,
    };
    let (pause, cause) = match granted {
        // No longer than was asked for, whatever the answer says.
        Ok(GrantResponse::After(wait)) if wait <= max_wait => {
            tokio::time::sleep(wait).await;
            return true;
        }
        Ok(GrantResponse::After(after) | GrantResponse::Refused(after)) => {
            let pause = after.clamp(MIN_PAUSE, MAX_BACKOFF);
            (pause, "the endpoint's rate limit is used up".to_owned())
        }
        Err(error) => (UNREACHABLE_PAUSE, error.to_string()),
    };
    let (endpoint, after_ms, cause) = (id.as_str(), millis(pause), cause.as_str());
    emit(&Event::RateLimited { endpoint, limit: limit.0, after_ms, cause });
    shared.endpoints.pause_for_rate_limit(id, incarnation, limit, pause);
    if shared.endpoints.begin_limit_checks(id) {
        tokio::spawn(check_limit(shared.clone(), id.clone()));
    }
    false
}

/// The address of the loader that schedules the requests to an endpoint; none if there are no loaders.
fn responsible_loader(shared: &Shared, id: &EndpointId) -> Option<SocketAddr> {
    let table = shared.endpoints.lock();
    let all = table.map.values().map(|tracked| &tracked.endpoint);
    let with_loader = all
        .filter(|endpoint| endpoint.holdings.is_some() && endpoint.stage == EndpointStage::Ready);
    let own = table.map.get(id).map(|tracked| &tracked.endpoint);
    let endpoint = match own {
        Some(own) if own.holdings.is_some() => own,
        _ => with_loader.min_by_key(|endpoint| placement::rank(&endpoint.id, id.as_str()))?,
    };
    Some(shared.loader_addr(endpoint.addr))
}

/// Asks the first router in the settings that answers, or else this one, which schedule requests where there are no loaders.
async fn ask_routers(shared: &Shared, request: &GrantRequest) -> Result<GrantResponse, CallError> {
    let (own, peers) = {
        let settings = shared.settings.borrow();
        (settings.control, settings.peers.clone())
    };
    for router in peers.into_iter().take_while(|router| *router != own) {
        match control::request_grant(&shared.client, router, request).await {
            Ok(response) => return Ok(response),
            Err(error) => log::debug!("router: {router} did not schedule a request: {error}"),
        }
    }
    Ok(decide(shared, request))
}

/// Answers another router that asks to send a request.
pub(crate) async fn answer(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let bytes = match web::read(request.into_body(), MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return web::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match serde_json::from_slice(&bytes) {
        Ok(request) => web::json(StatusCode::OK, &decide(shared, &request)),
        Err(error) => {
            web::text(StatusCode::BAD_REQUEST, format!("the message can't be read: {error}\n"))
        }
    }
}

fn decide(shared: &Shared, request: &GrantRequest) -> GrantResponse {
    let GrantRequest { endpoint, incarnation, limit, max_wait } = request;
    let mut limiters = shared.limiters.lock().unwrap_or_else(PoisonError::into_inner);
    match limiters.acquire(endpoint, *incarnation, *limit, *max_wait, Instant::now()) {
        Grant::After(wait) => GrantResponse::After(wait),
        Grant::Refused(after) => GrantResponse::Refused(after),
    }
}

/// The endpoints that announce rate limits.
pub(crate) fn report(shared: &Shared) -> Vec<EndpointRateLimit> {
    let now = Instant::now();
    let table = shared.endpoints.lock();
    let limited = table.map.iter().filter_map(|(id, tracked)| {
        let limit = tracked.rate_limit(now)?;
        let pause_ms = tracked.pause_left(now).map_or(0, millis);
        Some(EndpointRateLimit { endpoint: id.clone(), limit, pause_ms })
    });
    limited.collect()
}

/// Checks from time to time whether an endpoint still announces a limit, until it doesn't: without requests there are no answers that
/// would tell.
async fn check_limit(shared: Arc<Shared>, id: EndpointId) {
    let mut part = rand::random();
    loop {
        let routers = shared.endpoints.lock().routers();
        tokio::time::sleep(rate_limit::check_delay(routers, part)).await;
        if !shared.endpoints.continue_limit_checks(&id) {
            return;
        }
        ask_for_limit(&shared, &id).await;
        part = 1.0;
    }
}

/// Has an endpoint send an answer, whose headers show whether it announces a limit.
async fn ask_for_limit(shared: &Shared, id: &EndpointId) {
    let endpoint = shared.endpoints.lock().map.get(id).map(|tracked| tracked.endpoint.clone());
    let Some(endpoint) = endpoint else { return };
    if endpoint.holdings.is_none() {
        shared.check_health(id, CHECK_TIMEOUT).await;
    } else if let Err(error) = shared.fetch_report(id, endpoint.addr, CHECK_TIMEOUT).await {
        log::debug!("router: {id} does not report its rate limit: {error}");
    }
}
