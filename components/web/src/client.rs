//! A pooled HTTP/1.1 client for control calls with a timeout on each.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::{Body, body};

/// Largest answer that a control call takes, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Idle connections are closed after this time, before something between the ends forgets them.
const IDLE: Duration = Duration::from_secs(5);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be made, so the call did not arrive.
    #[error("cannot connect to {addr}: {cause}; check that it is up and the address is right")]
    Connect {
        /// The address dialled.
        addr: SocketAddr,
        /// What the transport said.
        cause: String,
    },
    /// No answer in time; the call may have taken effect.
    #[error("no answer from {addr} within {limit:?}")]
    Timeout {
        /// The address called.
        addr: SocketAddr,
        /// How long the call waited.
        limit: Duration,
    },
    /// The connection failed after the call was sent; the call may have taken effect.
    #[error("the connection to {addr} failed: {cause}")]
    Interrupted {
        /// The address called.
        addr: SocketAddr,
        /// What the transport said.
        cause: String,
    },
    /// The other side refused.
    #[error("{addr} answered {status}: {text}")]
    Status {
        /// The address called.
        addr: SocketAddr,
        /// The status of the answer.
        status: StatusCode,
        /// The answer's body.
        text: String,
    },
    /// The answer is not what was expected.
    #[error("{addr} answered something unexpected: {cause}")]
    InvalidResponse {
        /// The address called.
        addr: SocketAddr,
        /// What is wrong with it.
        cause: String,
    },
}

/// A client for control calls; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Body>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a request and reads the whole answer, whatever its status, within the limit.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let (status, bytes, _) = self.call_with_headers(addr, request, limit).await?;
        Ok((status, bytes))
    }

    /// The same, with the headers of the answer.
    pub async fn call_with_headers(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes, HeaderMap), CallError> {
        let exchange = async {
            let response =
                self.inner.request(request).await.map_err(|error| fault(addr, &error))?;
            let (head, body) = response.into_parts();
            let read = body::read(body, ANSWER_LIMIT).await;
            let bytes =
                read.map_err(|error| CallError::Interrupted { addr, cause: error.to_string() })?;
            Ok((head.status, bytes, head.headers))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::Timeout { addr, limit }),
        }
    }

    /// Sends `GET path` and reads the JSON answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, CallError> {
        let request = build(addr, Method::GET, path, body::empty())?;
        decode(addr, self.call(addr, request, limit).await?)
    }

    /// The same, of what may have nothing to tell: it answers 204 then.
    pub async fn get_if_any<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<Option<T>, CallError> {
        let request = build(addr, Method::GET, path, body::empty())?;
        let answer = self.call(addr, request, limit).await?;
        if answer.0 == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        decode(addr, answer).map(Some)
    }

    /// Sends `GET path` and reads the answer as text.
    pub async fn get_text(
        &self,
        addr: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<String, CallError> {
        let request = build(addr, Method::GET, path, body::empty())?;
        let (status, bytes) = self.call(addr, request, limit).await?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if status.is_success() { Ok(text) } else { Err(CallError::Status { addr, status, text }) }
    }

    /// Sends `POST path` with a JSON body and reads the JSON answer.
    pub async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<T, CallError> {
        let bytes = serde_json::to_vec(value)
            .map_err(|error| CallError::InvalidResponse { addr, cause: error.to_string() })?;
        let request = build(addr, Method::POST, path, body::full(bytes))?;
        decode(addr, self.call(addr, request, limit).await?)
    }
}

fn build(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Body,
) -> Result<Request<Body>, CallError> {
    let bad = |error: http::Error| CallError::InvalidResponse { addr, cause: error.to_string() };
    let uri = Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .map_err(bad)?;
    Request::builder()
        .method(method)
        .uri(uri)
        .header("content-type", "application/json")
        .body(body)
        .map_err(bad)
}

fn decode<T: DeserializeOwned>(
    addr: SocketAddr,
    answer: (StatusCode, Bytes),
) -> Result<T, CallError> {
    let (status, bytes) = answer;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        return Err(CallError::Status { addr, status, text });
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| CallError::InvalidResponse { addr, cause: error.to_string() })
}

fn fault(addr: SocketAddr, error: &legacy::Error) -> CallError {
    let cause = chain(error);
    if error.is_connect() {
        CallError::Connect { addr, cause }
    } else {
        CallError::Interrupted { addr, cause }
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
