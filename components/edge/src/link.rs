//! Control calls to one address: each has a limit, and none waits behind a connection that went silent.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::{Body, CallError, Client};

/// How long a control call may take.
pub(crate) const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The longest that one long poll waits: a connection that went silent is noticed after this and the limit.
pub(crate) const POLL_LIMIT: Duration = Duration::from_secs(5);

/// A pool of connections to one address, replaced whole once a call on it fails.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) addr: SocketAddr,
    create: fn() -> Client,
    client: Mutex<Client>,
}

/// An answer of any status.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }
}

impl Link {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self::with_client(addr, Client::default)
    }

    /// A link whose pools of connections are created by `create`.
    pub(crate) fn with_client(addr: SocketAddr, create: fn() -> Client) -> Self {
        Self { addr, create, client: Mutex::new(create()) }
    }

    pub(crate) async fn get(&self, path: &str, limit: Duration) -> Result<Answer, CallError> {
        self.send(Method::GET, path, web::empty(), limit).await
    }

    pub(crate) async fn delete(&self, path: &str, limit: Duration) -> Result<Answer, CallError> {
        self.send(Method::DELETE, path, web::empty(), limit).await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let bytes =
            serde_json::to_vec(value).map_err(|error| CallError::invalid(self.addr, &error))?;
        self.send(Method::POST, path, web::full(bytes), limit).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Body,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("content-type", "application/json")
            .body(body)
            .map_err(|error| CallError::invalid(self.addr, &error))?;
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        match client.call(self.addr, request, limit).await {
            Ok((status, body)) => Ok(Answer { status, body }),
            Err(error) => {
                self.renew(&error);
                Err(error)
            }
        }
    }

    /// The connections that idle in the pool may be as silent as the one that failed.
    fn renew(&self, error: &CallError) {
        log::debug!("platform: new connections to {} after: {error}", self.addr);
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = (self.create)();
    }
}
