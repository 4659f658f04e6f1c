//! Takes one request of a caller and answers it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use catalog::{Catalog, Route};
use clock::Moment;
use events::{Event, Refusal, emit, millis};
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode, request};
use hyper::body::Incoming;
use platform::RequestHeaders;
use process::Phase;
use quarantine::Digest;
use tokio::time::Instant;
use web::{Body, ReadError};

use crate::access::{self, Identity};
use crate::caller::Caller;
use crate::charge;
use crate::exchange::Outgoing;
use crate::flight::{Failure, Flight};
use crate::relay::{self, Pace, Times};
use crate::shared::Shared;

/// A router that has just started holds its first requests for this part of their time while it reads the store for the
/// first time, which takes some 20 ms, unless the store does not answer: after a loss of power 45 to 111 requests of
/// a day were refused in that moment, on four days of five.
const FIRST_READ: u32 = 3;
/// The longest that it holds them.
const FIRST_HOLD: Duration = Duration::from_millis(500);
/// When callers may come back to a router that knows no configuration yet: it asks several times a second.
const NO_CONFIGURATION: Duration = Duration::from_millis(500);
/// Our own last answer leaves this long before the caller's time is over, so that it arrives.
const MARGIN: Duration = Duration::from_millis(8);
/// What an endpoint takes until its first event, and the way back; a stream is sent no later than this before its
/// caller leaves.
const FIRST_EVENT: Duration = Duration::from_millis(150);
/// What the caller of a request reads that is refused because of what it did to endpoints.
const CRASHES: &str = "Crashes: endpoints ended while they ran this request, one after the other, so it is refused. Do not send \
                       it again as it is; an operator can let it go.\n";
/// A caller that names no deadline is held no longer than its route says; this stands in where that says nothing.
const LONGEST: Duration = Duration::from_secs(60);

/// Logs a request that was dropped because its caller left.
struct Watch {
    shared: Arc<Shared>,
    times: Times,
    done: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.flying.fetch_sub(1, Ordering::Relaxed);
        if !self.done {
            self.times.left();
        }
    }
}

/// Answers a request.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = Instant::now();
    let id = platform::request_id(request.headers()).cloned();
    let name = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
    let times =
        Times { name: name.to_owned(), class: String::new(), arrived, until: arrived + LONGEST };
    shared.flying.fetch_add(1, Ordering::Relaxed);
    let mut watch = Watch { shared: shared.clone(), times, done: false };
    let mut response = match take(&shared, caller, request, &mut watch.times).await {
        Ok(response) => response,
        Err(failure) => refuse(&watch.times, id.as_ref(), failure),
    };
    if shared.shutdown.phase() != Phase::Run {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    watch.done = true;
    response
}

fn own(status: StatusCode, cause: Refusal, after: Option<Duration>) -> Failure {
    Failure { status, cause, after }
}

async fn take(
    shared: &Arc<Shared>,
    caller: Caller,
    request: Request<Incoming>,
    times: &mut Times,
) -> Result<Response<Body>, Failure> {
    let (mut parts, body) = request.into_parts();
    let malformed = || own(StatusCode::BAD_REQUEST, Refusal::Malformed, None);
    let call = platform::parse_request_headers(&parts).map_err(|_| malformed())?;
    let Entry { catalog, route, identity } = enter(shared, &call, &parts, times).await?;
    let service = route
        .choose_service(rand::random())
        .cloned()
        .ok_or_else(|| own(StatusCode::SERVICE_UNAVAILABLE, Refusal::NoEndpoint, None))?;
    let left = call.deadline.unwrap_or(LONGEST).min(route.timeout);
    let due = times.arrived + left.saturating_sub(MARGIN);
    let start = due.min(times.arrived + route.event_timeout.saturating_sub(FIRST_EVENT));
    times.until = times.arrived + left;
    times.class = route.class();
    emit(&Event::Accepted {
        request: &times.name,
        route: &route.name,
        class: &times.class,
        version: catalog.version.0,
        model: &call.model.as_ref().map(ToString::to_string).unwrap_or_default(),
        left_ms: millis(left),
        target_ms: millis(route.target),
        pause_ms: millis(route.max_pause),
    });
    shared.count(&service);
    let charge = match identity.workspace() {
        Some(workspace) => {
            let until = times.arrived + first_hold(&call);
            charge::charge(shared, &catalog, workspace, &times.name, call.tokens, until).await?
        }
        None => None,
    };
    let read = tokio::time::timeout_at(due, web::read(body, catalog.limits.body_bytes)).await;
    let Ok(read) = read else {
        return Err(own(StatusCode::REQUEST_TIMEOUT, Refusal::TimedOut, None));
    };
    let body = match read {
        Ok(body) => body,
        Err(ReadError::Large { .. }) => {
            return Err(own(StatusCode::PAYLOAD_TOO_LARGE, Refusal::Malformed, None));
        }
        Err(ReadError::Cut(_)) => return Err(malformed()),
    };
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let sender = match identity.workspace() {
        // Its keys are replaced, and what ends endpoints is known with the next one.
        Some(workspace) => workspace.name.as_str().as_bytes(),
        None => platform::caller_key(&parts.headers),
    };
    let (host, method) = (call.host.as_bytes(), parts.method.as_str().as_bytes());
    let digest = Digest::of(&[host, sender, method, path.as_bytes(), &body]);
    if !matches!(identity, Identity::Unmanaged) {
        platform::remove_identity(&mut parts.headers);
    }
    let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
    let outgoing = Outgoing { method, uri, headers, body, digest };
    let mut flight = Flight {
        shared: shared.clone(),
        caller,
        catalog,
        route,
        service,
        call,
        name: times.name.clone(),
        class: times.class.clone(),
        outgoing,
        due,
        start,
        tried: Vec::new(),
        life: None,
        sends: 0,
        runs: 0,
        pool: None,
        identity,
        charge,
        pass: None,
    };
    let answer = flight.answer(None).await?;
    let mut pace = Pace::default();
    pace.piece();
    if flight.route.kind.streams() && answer.head.status.is_success() {
        return Ok(relay::stream(flight, answer, times.clone()));
    }
    let response = relay::plain(&mut flight, answer).await?;
    times.answered(response.status().as_u16(), &pace, true);
    Ok(response)
}

/// How long a request is held by a router that reads the store for the first time.
fn first_hold(call: &RequestHeaders) -> Duration {
    (call.deadline.unwrap_or(LONGEST) / FIRST_READ).min(FIRST_HOLD)
}

/// What decides on a request.
struct Entry {
    catalog: Arc<Catalog>,
    route: Route,
    identity: Identity,
}

/// Finds the route of a request, and lets it in by its key.
async fn enter(
    shared: &Shared,
    call: &RequestHeaders,
    parts: &request::Parts,
    times: &Times,
) -> Result<Entry, Failure> {
    let hold = first_hold(call);
    let arrival = access::Arrival {
        name: &times.name,
        credential: platform::read_credential(&parts.headers),
        arrived: Moment::now(),
        until: times.arrived + call.deadline.unwrap_or(LONGEST).saturating_sub(MARGIN),
    };
    loop {
        let catalog = shared.first_catalog(times.arrived + hold).await.ok_or_else(|| {
            let after = shared.store_back().unwrap_or(NO_CONFIGURATION);
            own(StatusCode::SERVICE_UNAVAILABLE, Refusal::NoConfiguration, Some(after))
        })?;
        let route = catalog
            .route(&call.host, parts.uri.path())
            .ok_or_else(|| own(StatusCode::NOT_FOUND, Refusal::NoRoute, None))?
            .clone();
        // A key that is not known is looked for again in what has been read since.
        if let Some(identity) = access::enter(shared, &catalog, &route, &arrival).await? {
            return Ok(Entry { catalog, route, identity });
        }
    }
}

fn refuse(times: &Times, id: Option<&HeaderValue>, failure: Failure) -> Response<Body> {
    emit(&Event::Refused {
        request: &times.name,
        class: &times.class,
        status: failure.status.as_u16(),
        cause: failure.cause,
        after_ms: failure.after.map_or(0, millis),
        held_ms: millis(times.arrived.elapsed()),
    });
    let text = match failure.cause {
        Refusal::Crashes => CRASHES.to_owned(),
        cause => format!("{cause:?}\n"),
    };
    let mut response = web::text(failure.status, text);
    response.headers_mut().extend(platform::refusal_headers(id, failure.after));
    if failure.status == StatusCode::UNAUTHORIZED {
        response.headers_mut().extend(platform::challenge_headers());
    }
    response
}
