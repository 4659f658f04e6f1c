//! Handles one request of a caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use admission::ConnectionId;
use bytes::Bytes;
use catalog::{Catalog, Route};
use clock::Moment;
use events::{Event, Refusal, emit, millis};
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode, request};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use platform::{HeaderError, RequestHeaders};
use process::ShutdownPhase;
use quarantine::{Digest, Fingerprint};
use tokio::time::Instant;
use units::ServiceName;
use web::{Body, SegmentedBytes};

use crate::access::{self, Identity};
use crate::caller::CallerConnection;
use crate::charge::{self, ChargedRequest};
use crate::exchange::OutgoingRequest;
use crate::in_flight::{Failure, InFlightRequest};
use crate::relay::{self, RequestLog};
use crate::resumption::{self, Placement, ResumptionRequest};
use crate::retry::RetrySlot;
use crate::shared::Shared;
use crate::stream;
use crate::uploads::{UploadError, UploadLimits};

/// A router that has just started holds requests for their deadline divided by this, until its
/// first reads of the store are done or have failed. They take some 20 ms unless the store is
/// unreachable. Without the wait, 45 to 111 requests were refused in that moment after a loss of
/// power.
const FIRST_READ_DIVISOR: u32 = 3;
/// The longest that a request is held for the first reads of the store.
const MAX_FIRST_READ_WAIT: Duration = Duration::from_millis(500);
/// `Retry-After` of a router that has no configuration yet: it asks the store several times a
/// second.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time before the deadline of the caller at which the router sends its own last response, so that
/// it arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(8);
/// Time that an endpoint takes until the first event, and the event on its way back. A stream is
/// sent at least this long before its caller leaves.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Response text for a request that is refused because it crashes endpoints.
const CRASH_REFUSAL_TEXT: &str = "Crashes: endpoints ended while they ran this request, or others with a part of its prompt, one after the other, \
                       so it is refused. Do not send it again as it is; an operator can let it go.\n";
/// Deadline of a request if neither its caller nor its route sets a shorter one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// How long the rest of a body is read after its request was refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Counts a request as in flight, and logs that its caller has left if it is dropped before there
/// is a response.
struct RequestGuard {
    shared: Arc<Shared>,
    request_log: RequestLog,
    has_response: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.has_response {
            self.shared.intake.record_answer();
        } else {
            self.request_log.log_caller_left();
        }
    }
}

/// Answers a request of a caller.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    caller: CallerConnection,
    connection: ConnectionId,
    request: Request<Incoming>,
) -> Response<Body> {
    let arrived = Instant::now();
    shared.intake.record_read();
    let id = platform::request_id(request.headers()).cloned();
    let request_id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("");
    let request_log = RequestLog {
        request_id: request_id.to_owned(),
        class: String::new(),
        arrived,
        deadline: arrived + DEFAULT_DEADLINE,
    };
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    let mut guard = RequestGuard { shared: shared.clone(), request_log, has_response: false };
    let (parts, mut body) = request.into_parts();
    // Such a caller sends the body only once it is asked for it.
    let is_sent = !parts.headers.contains_key(header::EXPECT);
    let received = receive(&shared, connection, parts, &mut body, &mut guard.request_log);
    let received = until_answers_due(&shared, received, || failure_at_stop(false)).await;
    let mut closes = false;
    let response = match received {
        // Most of the memory of a request is needed only once its body has arrived.
        Ok(received) => {
            let may_have_run = Arc::new(AtomicBool::new(false));
            let log = &guard.request_log;
            let served = Box::pin(received.serve(&shared, caller, log, may_have_run.clone()));
            let ran = || may_have_run.load(Ordering::Relaxed);
            until_answers_due(&shared, served, || failure_at_stop(ran())).await
        }
        Err(failure) => {
            closes = is_body_cut(&failure);
            // What has stalled is not waited for.
            if is_sent && !is_stalled(failure.cause) {
                discard_rest(&shared, body);
            }
            Err(failure)
        }
    };
    let mut response = response
        .unwrap_or_else(|failure| refusal_response(&guard.request_log, id.as_ref(), failure));
    let sheds = || shared.settings.borrow().sheds_connections();
    // The next connection of the caller may lead to a router that has time.
    closes |= shared.shutdown.phase() != ShutdownPhase::Run;
    if closes || sheds() && shared.intake.is_overloaded() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    guard.has_response = true;
    response
}

/// Ends the handling of a request when all answers are due, since the process is about to end.
async fn until_answers_due<T>(
    shared: &Shared,
    handled: impl Future<Output = Result<T, Failure>>,
    at_stop: impl FnOnce() -> Failure,
) -> Result<T, Failure> {
    tokio::select! {
        biased;
        result = handled => result,
        () = shared.answers_due() => Err(at_stop())
    }
}

/// What the caller of a request gets that is not done when the process ends.
fn failure_at_stop(may_have_run: bool) -> Failure {
    if may_have_run {
        return failure(StatusCode::GATEWAY_TIMEOUT, Refusal::Stopping, None);
    }
    failure(StatusCode::SERVICE_UNAVAILABLE, Refusal::Stopping, Some(Duration::ZERO))
}

/// Whether a request was refused while its body arrived.
fn is_body_cut(failure: &Failure) -> bool {
    matches!(
        failure.cause,
        Refusal::NoMemory | Refusal::Stalled | Refusal::TimedOut | Refusal::Stopping
    ) || failure.status == StatusCode::PAYLOAD_TOO_LARGE
}

/// Whether a body that was cut for this cause arrives too slowly to be waited for.
fn is_stalled(cause: Refusal) -> bool {
    matches!(cause, Refusal::Stalled | Refusal::TimedOut | Refusal::Stopping)
}

/// Reads what is left of a body, so that its caller gets the response: closing a connection on which bytes are unread resets it.
fn discard_rest(shared: &Shared, mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let mut bytes_left = shared.current().map_or(0, |catalog| catalog.limits.body_bytes);
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, async move {
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            match bytes_left.checked_sub(size) {
                Some(left) => bytes_left = left,
                None => return,
            }
        }
    }));
}

fn failure(status: StatusCode, cause: Refusal, after: Option<Duration>) -> Failure {
    Failure { status, cause, after }
}

/// A request that has arrived whole. Nothing has been charged for it yet.
struct ReceivedRequest {
    parts: request::Parts,
    call: RequestHeaders,
    body: SegmentedBytes,
    catalog: Arc<Catalog>,
    route: Route,
    identity: Identity,
    service: ServiceName,
    deadline: Instant,
    send_by: Instant,
}

/// Checks the head of a request and reads its body.
async fn receive(
    shared: &Arc<Shared>,
    connection: ConnectionId,
    parts: request::Parts,
    body: &mut Incoming,
    request_log: &mut RequestLog,
) -> Result<ReceivedRequest, Failure> {
    let call = platform::parse_request_headers(&parts).map_err(|error| match error {
        HeaderError::TooManyParts => failure(StatusCode::BAD_REQUEST, Refusal::TooManyParts, None),
        HeaderError::Header(_) => failure(StatusCode::BAD_REQUEST, Refusal::Malformed, None),
    })?;
    let AuthorizedRequest { catalog, route, identity } =
        authorize(shared, &call, &parts, request_log).await?;
    let service = route
        .choose_service(rand::random())
        .ok_or_else(|| failure(StatusCode::SERVICE_UNAVAILABLE, Refusal::NoEndpoint, None))?
        .clone();
    let time_left = call.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let deadline = request_log.arrived + time_left.saturating_sub(RESPONSE_MARGIN);
    let send_by =
        deadline.min(request_log.arrived + route.event_timeout.saturating_sub(FIRST_EVENT_TIME));
    request_log.deadline = request_log.arrived + time_left;
    request_log.class = route.class();
    emit(&Event::Accepted {
        request: &request_log.request_id,
        route: &route.name,
        class: &request_log.class,
        version: catalog.version.0,
        model: &call.model.as_ref().map(ToString::to_string).unwrap_or_default(),
        left_ms: millis(time_left),
        target_ms: millis(route.target),
        pause_ms: millis(route.max_pause),
        resumes: resumption::resumed_id(&call),
        last_event: call.last_event,
    });
    let body_bytes = catalog.limits.body_bytes;
    let memory_bytes = shared.intake_capacity(body_bytes).body_bytes;
    let limits = UploadLimits { body_bytes, memory_bytes, deadline };
    let body = shared.uploads.read(body, connection, limits).await.map_err(upload_failure)?;
    Ok(ReceivedRequest { parts, call, body, catalog, route, identity, service, deadline, send_by })
}

fn upload_failure(error: UploadError) -> Failure {
    let (status, cause, after) = match error {
        UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, Refusal::Malformed, None),
        UploadError::Truncated => (StatusCode::BAD_REQUEST, Refusal::Malformed, None),
        UploadError::TimedOut => (StatusCode::REQUEST_TIMEOUT, Refusal::TimedOut, None),
        UploadError::Stalled => (StatusCode::REQUEST_TIMEOUT, Refusal::Stalled, None),
        UploadError::NoMemory(after) => (StatusCode::SERVICE_UNAVAILABLE, Refusal::NoMemory, after),
    };
    failure(status, cause, after)
}

impl ReceivedRequest {
    /// Chooses where the request may run, charges its workspace, and fetches the response.
    async fn serve(
        self,
        shared: &Arc<Shared>,
        caller: CallerConnection,
        request_log: &RequestLog,
        may_have_run: Arc<AtomicBool>,
    ) -> Result<Response<Body>, Failure> {
        let Self { mut parts, call, body, catalog, route, identity, .. } = self;
        let (service, deadline, send_by) = (&self.service, self.deadline, self.send_by);
        let caller_id = match identity.workspace() {
            // The keys of a workspace are rotated; a request that crashes endpoints, and one whose stream is taken up, must be
            // recognized with the next key too.
            Some(workspace) => workspace.name.as_str().as_bytes(),
            None => platform::caller_key(&parts.headers),
        };
        let resumption = ResumptionRequest {
            call: &call,
            route: &route,
            service,
            caller: caller_id,
            connection: &caller,
            send_by,
        };
        let (stream_key, resumed_key) = (resumption.own_key(), resumption.resumed_key());
        let Placement { service, version: stream_version, origin } =
            resumption::place(shared, resumption).await?;
        shared.record_request(&service);
        let charge = match identity.workspace() {
            Some(workspace) => {
                let charged = ChargedRequest {
                    id: &request_log.request_id,
                    call: &call,
                    parts: &parts,
                    priority: workspace.priority.unwrap_or(route.priority).min(9),
                    share_deadline: request_log.arrived + first_read_wait(&call),
                    deadline,
                };
                charge::charge(shared, &catalog, workspace, &charged).await?
            }
            None => None,
        };
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let (host, method) = (call.host.as_bytes(), parts.method.as_str().as_bytes());
        let digest =
            Digest::of_segmented(&[host, caller_id, method, path.as_bytes()], body.segments());
        let part_ids = call.shared_parts.iter().map(AsRef::as_ref);
        let fingerprint =
            Arc::new(Fingerprint::new(digest, Digest::of(&[host, caller_id]), part_ids));
        if !matches!(identity, Identity::Unmanaged) {
            platform::remove_identity(&mut parts.headers);
        }
        let (method, uri, headers, version) =
            (parts.method, parts.uri, parts.headers, parts.version);
        let outgoing = OutgoingRequest { method, uri, headers, body, fingerprint };
        let retry = RetrySlot::new(shared.clone(), service.clone());
        let mut in_flight = InFlightRequest {
            shared: shared.clone(),
            caller,
            version,
            catalog,
            route,
            service,
            call,
            request_id: request_log.request_id.clone(),
            class: request_log.class.clone(),
            outgoing,
            deadline,
            send_by,
            excluded: Vec::new(),
            stream_key,
            resumed_key,
            origin,
            origin_check: None,
            stream_version,
            incarnation: None,
            retry,
            sends: 0,
            runs: 0,
            pool: None,
            identity,
            charge,
            permit: None,
            may_have_run,
        };
        let response = in_flight.fetch_response(None).await?;
        if in_flight.route.kind.streams() && response.head.status.is_success() {
            return Ok(stream::relay_stream(in_flight, response, request_log.clone()));
        }
        relay::relay_buffered(in_flight, response, request_log).await
    }
}

/// How long a request is held while the router reads the store for the first time.
fn first_read_wait(call: &RequestHeaders) -> Duration {
    (call.deadline.unwrap_or(DEFAULT_DEADLINE) / FIRST_READ_DIVISOR).min(MAX_FIRST_READ_WAIT)
}

/// What the router knows of a request once it is authorized.
struct AuthorizedRequest {
    catalog: Arc<Catalog>,
    route: Route,
    identity: Identity,
}

/// Finds the route of a request, and checks its key.
async fn authorize(
    shared: &Shared,
    call: &RequestHeaders,
    parts: &request::Parts,
    request_log: &RequestLog,
) -> Result<AuthorizedRequest, Failure> {
    let first_read_wait = first_read_wait(call);
    let access_request = access::AccessRequest {
        request_id: &request_log.request_id,
        credential: platform::read_credential(&parts.headers),
        arrived: Moment::now(),
        deadline: request_log.arrived
            + call.deadline.unwrap_or(DEFAULT_DEADLINE).saturating_sub(RESPONSE_MARGIN),
    };
    loop {
        let catalog =
            shared.first_catalog(request_log.arrived + first_read_wait).await.ok_or_else(|| {
                let after = shared.store_retry_after().unwrap_or(NO_CONFIGURATION_RETRY_AFTER);
                failure(StatusCode::SERVICE_UNAVAILABLE, Refusal::NoConfiguration, Some(after))
            })?;
        let route = catalog
            .route(&call.host, parts.uri.path())
            .ok_or_else(|| failure(StatusCode::NOT_FOUND, Refusal::NoRoute, None))?
            .clone();
        // The store was read because the key is unknown: check again with the newest
        // configuration.
        if let Some(identity) =
            access::authenticate(shared, &catalog, &route, &access_request).await?
        {
            return Ok(AuthorizedRequest { catalog, route, identity });
        }
    }
}

fn refusal_response(
    request_log: &RequestLog,
    id: Option<&HeaderValue>,
    failure: Failure,
) -> Response<Body> {
    emit(&Event::Refused {
        request: &request_log.request_id,
        class: &request_log.class,
        status: failure.status.as_u16(),
        cause: failure.cause,
        after_ms: failure.after.map_or(0, millis),
        held_ms: millis(request_log.arrived.elapsed()),
    });
    let text = match failure.cause {
        Refusal::Crashes => CRASH_REFUSAL_TEXT.to_owned(),
        Refusal::TooManyParts => format!("{:?}: {}\n", failure.cause, HeaderError::TooManyParts),
        cause => format!("{cause:?}\n"),
    };
    let mut response = web::text(failure.status, text);
    response.headers_mut().extend(platform::refusal_headers(id, failure.after));
    if failure.status == StatusCode::UNAUTHORIZED {
        response.headers_mut().extend(platform::challenge_headers());
    }
    response
}
