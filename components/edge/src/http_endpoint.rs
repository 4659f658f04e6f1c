//! Model engines and plain services over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use http::{HeaderValue, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use units::{Incarnation, RequestId};
use web::{Body, CallError};

use crate::link::{Answer, CALL_LIMIT, Link, POLL_LIMIT};
use crate::streaming::{self, StreamError};
use crate::{CacheEvents, Endpoint, EndpointError, Inventory, Order, Usage};

/// The longest that a streaming call stays without a byte, unless set otherwise.
const IDLE: Duration = Duration::from_secs(15);

/// The header that names a request at its endpoint.
pub const REQUEST_HEADER: &str = "x-request-id";

/// The header that gives a request's priority at an engine, 0 the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";

/// The body of a 409 to an order.
#[derive(Debug, Serialize, Deserialize)]
pub struct SeenBody {
    /// The highest fencing number seen.
    pub seen: Incarnation,
}

/// A client of a model engine or plain service over HTTP.
#[derive(Debug)]
pub struct HttpEndpoint {
    link: Link,
    limit: Duration,
    idle: Duration,
}

impl HttpEndpoint {
    /// A client of the endpoint at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self { link: Link::new(addr), limit: CALL_LIMIT, idle: IDLE }
    }

    /// Sets how long a control call may take besides the wait of an inventory.
    #[must_use]
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how long a streaming call may stay without a byte before it fails.
    #[must_use]
    pub fn with_idle(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }
}

#[async_trait]
impl Endpoint for HttpEndpoint {
    async fn order(&self, order: Order) -> Result<(), EndpointError> {
        let answer = self.link.post("/v1/orders", &order, self.limit).await.map_err(failed)?;
        if answer.status == StatusCode::CONFLICT {
            let body = answer.json::<SeenBody>().map_err(EndpointError::Unknown)?;
            return Err(EndpointError::Fenced { seen: body.seen });
        }
        accepted(&answer)
    }

    async fn inventory(&self, after: u64, wait: Duration) -> Result<Inventory, EndpointError> {
        let wait = wait.min(POLL_LIMIT);
        let path = format!("/v1/inventory?after={after}&wait_ms={}", wait.as_millis());
        let answer = self.link.get(&path, self.limit + wait).await.map_err(failed)?;
        accepted(&answer)?;
        answer.json().map_err(EndpointError::Unknown)
    }

    async fn usage(&self) -> Result<Usage, EndpointError> {
        let answer = self.link.get("/v1/usage", self.limit).await.map_err(failed)?;
        accepted(&answer)?;
        answer.json().map_err(EndpointError::Unknown)
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EndpointError> {
        let path = format!("/v1/cache-events?from={from}");
        let answer = self.link.get(&path, self.limit).await.map_err(failed)?;
        accepted(&answer)?;
        answer.json().map_err(EndpointError::Unknown)
    }

    async fn call(
        &self,
        id: &RequestId,
        mut request: Request<Body>,
    ) -> Result<Response<Body>, EndpointError> {
        let name = HeaderValue::from_str(id.as_str())
            .map_err(|error| EndpointError::Refused(error.to_string()))?;
        request.headers_mut().insert(REQUEST_HEADER, name);
        let completion = is_completion(request.uri().path());
        let response = streaming::call(self.link.addr, request, self.idle).await?;
        if completion && certainly_refused(response.status()) {
            let text = streaming::text(response.into_body(), self.idle).await;
            return Err(EndpointError::Refused(text));
        }
        Ok(response)
    }

    async fn resume(&self, id: &RequestId, from: u64) -> Result<Response<Body>, EndpointError> {
        let request = Request::get(format!("/v1/requests/{id}?from={from}"))
            .body(web::empty())
            .map_err(|error| EndpointError::Refused(error.to_string()))?;
        let response = streaming::call(self.link.addr, request, self.idle).await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let text = streaming::text(response.into_body(), self.idle).await;
        Err(EndpointError::Unknown(format!("{status}: {text}")))
    }

    async fn cancel(&self, id: &RequestId) -> Result<(), EndpointError> {
        let path = format!("/v1/requests/{id}");
        let answer = self.link.delete(&path, self.limit).await.map_err(failed)?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(()),
            _ => accepted(&answer),
        }
    }
}

/// A completion that an engine answers with one of these was not begun.
fn certainly_refused(status: StatusCode) -> bool {
    let full = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    status == StatusCode::CONFLICT || full.contains(&status)
}

fn is_completion(path: &str) -> bool {
    path == "/v1/completions" || path == "/v1/chat/completions"
}

fn accepted(answer: &Answer) -> Result<(), EndpointError> {
    let status = answer.status;
    if status.is_success() {
        return Ok(());
    }
    let text = format!("{status}: {}", answer.text());
    let refused = status.is_client_error();
    Err(if refused { EndpointError::Refused(text) } else { EndpointError::Unknown(text) })
}

fn failed(error: CallError) -> EndpointError {
    match error {
        CallError::Connect { .. } => EndpointError::Refused(error.to_string()),
        _ => EndpointError::Unknown(error.to_string()),
    }
}

impl From<StreamError> for EndpointError {
    fn from(error: StreamError) -> Self {
        match error {
            StreamError::Connect { .. } => Self::Refused(error.to_string()),
            _ => Self::Unknown(error.to_string()),
        }
    }
}
