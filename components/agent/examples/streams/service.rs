//! A service in memory: `/hold` answers and stays open, all else answers at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use edge::{CacheEvents, Endpoint, EndpointError, Inventory, Order, Usage};
use futures_util::{StreamExt, stream};
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use units::RequestId;
use web::Body;

/// The answer to a small call.
const ANSWER: &[u8] = &[b'a'; 200];

#[derive(Debug, Clone, Default)]
pub(crate) struct Service {
    open: Arc<AtomicUsize>,
    calls: Arc<AtomicUsize>,
}

impl Service {
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

fn none() -> EndpointError {
    EndpointError::Refused("a plain service".to_owned())
}

#[async_trait]
impl Endpoint for Service {
    async fn order(&self, _order: Order) -> Result<(), EndpointError> {
        Err(none())
    }

    async fn inventory(&self, _after: u64, _wait: Duration) -> Result<Inventory, EndpointError> {
        Err(none())
    }

    async fn usage(&self) -> Result<Usage, EndpointError> {
        Err(none())
    }

    async fn cache_events(&self, _from: u64) -> Result<CacheEvents, EndpointError> {
        Err(none())
    }

    async fn call(
        &self,
        _id: &RequestId,
        request: Request<Body>,
    ) -> Result<Response<Body>, EndpointError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if request.uri().path() != "/hold" {
            return Ok(Response::new(web::full(ANSWER)));
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        let first = stream::once(async { Ok(Frame::data(Bytes::from_static(ANSWER))) });
        let frames = first.chain(stream::pending());
        Ok(Response::new(BodyExt::boxed_unsync(StreamBody::new(frames))))
    }

    async fn resume(&self, _id: &RequestId, _from: u64) -> Result<Response<Body>, EndpointError> {
        Err(none())
    }

    async fn cancel(&self, _id: &RequestId) -> Result<(), EndpointError> {
        Err(none())
    }
}
