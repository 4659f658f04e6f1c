//! A pooled HTTP/1.1 client for control calls, each of which has a timeout.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::budget::{BodyBuffer, ByteBudget};
use crate::cause::{limited_cause, limited_text};
use crate::connector::LimitedConnector;
use crate::limit::{MAX_HEAD_BYTES, ReadAllowance};
use crate::{Body, CheckedResponse, body};

/// The largest response that a control call accepts, in bytes, unless its client has a lower limit.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// The memory for all responses that a client and its clones read at the same time, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// The largest response that is read as text, by tools, in bytes.
const MAX_TEXT_BYTES: usize = 64 << 20;

/// The timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are closed after this time, before a middlebox between client and server drops its state of them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be established, so the call was not delivered.
    #[error("cannot connect to {addr}: {cause}; check that it is up and the address is right")]
    Connect {
        /// The address of the server.
        addr: SocketAddr,
        /// The transport's error.
        cause: String,
    },
    /// No response arrived in time; the call may have taken effect.
    #[error("no answer from {addr} within {limit:?}")]
    Timeout {
        /// The address of the server.
        addr: SocketAddr,
        /// The timeout of the call.
        limit: Duration,
    },
    /// The connection failed after the call was sent; the call may have taken effect.
    #[error("the connection to {addr} failed: {cause}")]
    Interrupted {
        /// The address of the server.
        addr: SocketAddr,
        /// The transport's error.
        cause: String,
    },
    /// The server answered with an error status.
    #[error("{addr} answered {status}: {text}")]
    Status {
        /// The address of the server.
        addr: SocketAddr,
        /// The status of the response.
        status: StatusCode,
        /// The start of the body of the response.
        text: String,
    },
    /// The response is not what was expected.
    #[error("{addr} answered something unexpected: {cause}")]
    InvalidResponse {
        /// The address of the server.
        addr: SocketAddr,
        /// What is invalid about the response.
        cause: String,
    },
}

impl CallError {
    /// The server answered with an error status and this body, of which the start is kept.
    pub fn status(addr: SocketAddr, status: StatusCode, body: &[u8]) -> Self {
        Self::Status { addr, status, text: limited_text(body) }
    }

    /// The response, or the call itself, is invalid for this reason, of which the start is kept.
    pub fn invalid(addr: SocketAddr, cause: &impl Display) -> Self {
        Self::InvalidResponse { addr, cause: limited_cause(cause) }
    }
}

/// A client for control calls; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<LimitedConnector, Body>,
    /// The largest response that is accepted, in bytes.
    max_bytes: usize,
    /// Memory for responses; none for tools.
    budget: Option<ByteBudget>,
}

impl Default for Client {
    fn default() -> Self {
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(LimitedConnector::new(CONNECT_TIMEOUT));
        let budget = Some(ByteBudget::new(MAX_BUFFERED_BYTES));
        Self { inner, max_bytes: MAX_RESPONSE_BYTES, budget }
    }
}

impl Client {
    /// The same client, which accepts only responses of up to `max_bytes`.
    pub fn with_max_response(&self, max_bytes: usize) -> Self {
        Self { max_bytes, ..self.clone() }
    }

    /// The same client, whose responses have `bytes` of memory of their own.
    pub fn with_own_budget(&self, bytes: usize) -> Self {
        Self { budget: Some(ByteBudget::new(bytes)), ..self.clone() }
    }

    /// Sends a request and reads the complete response, whatever its status, within the timeout `limit`.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let (status, bytes, _) = self.call_with_headers(addr, request, limit).await?;
        Ok((status, bytes))
    }

    /// Like [`Client::call`], and also returns the headers of the response.
    pub async fn call_with_headers(
        &self,
        addr: SocketAddr,
        mut request: Request<Body>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes, HeaderMap), CallError> {
        let method = request.method().clone();
        let connection = capture_connection(&mut request);
        let call = async {
            let response =
                self.inner.request(request).await.map_err(|error| transport_error(addr, &error))?;
            let checked = CheckedResponse::new(&method, response).map_err(|error| {
                if let Some(connection) = &*connection.connection_metadata() {
                    connection.poison();
                }
                CallError::invalid(addr, &error)
            })?;
            let CheckedResponse { head, body, .. } = checked;
            if !is_final_status(head.status) {
                let cause = format!("{} is no status that ends a call", head.status);
                return Err(CallError::invalid(addr, &cause));
            }
            let allowance = head.extensions.get::<ReadAllowance>();
            let renew = || allowance.into_iter().for_each(ReadAllowance::renew);
            renew();
            let buffer = BodyBuffer::new(self.max_bytes, self.budget.as_ref());
            let read = body::read_into(body, buffer, self.max_bytes, renew).await;
            let bytes =
                read.map_err(|error| CallError::Interrupted { addr, cause: error.to_string() })?;
            Ok((head.status, bytes, head.headers))
        };
        match tokio::time::timeout(limit, call).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout { addr, limit }),
        }
    }

    /// Sends `GET path` and parses the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, CallError> {
        let request = build(addr, Method::GET, path, body::empty())?;
        decode(addr, self.call(addr, request, limit).await?)
    }

    /// Like [`Client::get`], for resources that may be absent: status 204 (No Content) yields `None`.
    pub async fn get_if_any<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Option<T>, CallError> {
        let request = build(addr, Method::GET, path, body::empty())?;
        let response = self.call(addr, request, limit).await?;
        if response.0 == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        decode(addr, response).map(Some)
    }

    /// Sends `GET path` and reads the response as text.
    pub async fn get_text(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<String, CallError> {
        let request = build(addr, Method::GET, path, body::empty())?;
        let client = Self { max_bytes: MAX_TEXT_BYTES, budget: None, ..self.clone() };
        let (status, bytes) = client.call(addr, request, limit).await?;
        if !status.is_success() {
            return Err(CallError::status(addr, status, &bytes));
        }
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends `POST path` with a JSON body and parses the JSON response.
    pub async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<T, CallError> {
        decode(addr, self.post_raw(addr, path, value, limit).await?)
    }

    /// Sends `POST path` with a JSON body and returns the response as it is, whatever its status.
    pub async fn post_raw(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let bytes = serde_json::to_vec(value).map_err(|error| CallError::invalid(addr, &error))?;
        let request = build(addr, Method::POST, path, body::full(bytes))?;
        self.call(addr, request, limit).await
    }
}

/// Whether a response with this status is the answer to its request. Interim statuses are not, among them one that switches protocols,
/// which nobody asks for; HTTP defines none from 600 on.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn build(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Body,
) -> Result<Request<Body>, CallError> {
    let invalid = |error: http::Error| CallError::invalid(addr, &error);
    let uri = Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .map_err(invalid)?;
    Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json")
        .body(body)
        .map_err(invalid)
}

fn decode<T: DeserializeOwned>(
    addr: SocketAddr,
    response: (StatusCode, Bytes),
) -> Result<T, CallError> {
    let (status, bytes) = response;
    if !status.is_success() {
        return Err(CallError::status(addr, status, &bytes));
    }
    serde_json::from_slice(&bytes).map_err(|error| CallError::invalid(addr, &error))
}

fn transport_error(addr: SocketAddr, error: &legacy::Error) -> CallError {
    let cause = with_causes(error);
    if error.is_connect() {
        CallError::Connect { addr, cause }
    } else {
        CallError::Interrupted { addr, cause }
    }
}

/// The error's text, followed by the texts of its causes.
fn with_causes(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
