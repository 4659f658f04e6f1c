//! Opens connections for pooled HTTP clients.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::limit::{LimitedStream, ReadAllowance};

/// Opens connections on which bytes that are no answer are limited. Each response carries the [`ReadAllowance`] of its connection, which
/// its reader renews.
#[derive(Debug, Clone)]
pub struct LimitedConnector(HttpConnector);

impl LimitedConnector {
    /// A connector with a timeout of connecting.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self(connector)
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = TokioIo<LimitedStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(LimitedStream::new(stream, ReadAllowance::default())))
        })
    }
}
