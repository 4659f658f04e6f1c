//! Streaming calls: a connection for each, and a watchdog that ends a stream that stays without a byte.
//!
//! A call that may not be repeated can't be tried again when a pooled connection turns out to be silent, so none
//! begins on a connection that has idled.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, Request, Response, Uri, header};
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use web::{
    Body, CheckedBody, CheckedResponse, FramingError, LimitedStream, MAX_HEAD_BYTES, ReadAllowance,
};

/// How long a connection may take to be made.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The most bytes of a refusal that are read.
const REFUSAL_LIMIT: usize = 16 << 10;

/// Why a streaming call failed.
#[derive(Debug, Error)]
pub(crate) enum StreamError {
    /// No connection could be made, so the call did not arrive.
    #[error("cannot connect to {addr}: {cause}")]
    Connect { addr: SocketAddr, cause: String },
    /// The connection failed after the call was sent.
    #[error("the connection to {addr} failed: {cause}")]
    Broken { addr: SocketAddr, cause: String },
    /// No byte came for too long.
    #[error("no byte from {addr} within {idle:?}")]
    Silent { addr: SocketAddr, idle: Duration },
}

/// Sends a request on a connection of its own, which closes when the answer's body is dropped.
pub(crate) async fn call(
    addr: SocketAddr,
    mut request: Request<Body>,
    idle: Duration,
) -> Result<Response<Body>, StreamError> {
    let broken = |error: hyper::Error| StreamError::Broken { addr, cause: error.to_string() };
    let stream = connect(addr).await?;
    let allowance = ReadAllowance::default();
    let stream = LimitedStream::new(stream, allowance.clone());
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(broken)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("platform: the connection to {addr} ended: {error}");
        }
    });
    address(addr, &mut request);
    let method = request.method().clone();
    let answer = timeout(idle, sender.send_request(request)).await;
    let response = answer.map_err(|_| StreamError::Silent { addr, idle })?.map_err(broken)?;
    if !web::is_final_status(response.status()) {
        let cause = format!("{} is no status that ends a call", response.status());
        return Err(StreamError::Broken { addr, cause });
    }
    let broken = |error: FramingError| StreamError::Broken { addr, cause: error.to_string() };
    let CheckedResponse { head, mut body, .. } =
        CheckedResponse::new(&method, response).map_err(broken)?;
    if head.headers.get(header::CONTENT_TYPE).is_some_and(sse::is_event_stream) {
        body.expect_events();
    }
    allowance.renew();
    Ok(Response::from_parts(head, watched(addr, body, idle, allowance)))
}

/// The text of a short answer, or why it can't be read within `limit`.
pub(crate) async fn text(body: Body, limit: Duration) -> String {
    match timeout(limit, web::read(body, REFUSAL_LIMIT)).await {
        Ok(Ok(bytes)) => String::from_utf8_lossy(&bytes).into_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("the text did not end within {limit:?}"),
    }
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, StreamError> {
    let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(StreamError::Connect { addr, cause: error.to_string() }),
        Err(_) => return Err(StreamError::Connect { addr, cause: "no answer".to_owned() }),
    };
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// HTTP/1 wants the path in the request line and the address in the header.
fn address(addr: SocketAddr, request: &mut Request<Body>) {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
}

/// A body that fails once `idle` passes without a byte.
fn watched(addr: SocketAddr, body: CheckedBody, idle: Duration, allowance: ReadAllowance) -> Body {
    let (writer, watched) = web::channel();
    tokio::spawn(relay(addr, body, writer, idle, allowance));
    watched
}

async fn relay(
    addr: SocketAddr,
    mut body: CheckedBody,
    writer: web::BodyWriter,
    idle: Duration,
    allowance: ReadAllowance,
) {
    loop {
        let frame = timeout(idle, body.frame()).await;
        allowance.renew();
        let data = match frame {
            Ok(None) => {
                let _ = writer.finish().await;
                return;
            }
            Ok(Some(Ok(frame))) => frame.into_data(),
            Ok(Some(Err(error))) => return writer.abort(std::io::Error::other(error)).await,
            Err(_) => {
                let silent = StreamError::Silent { addr, idle };
                return writer.abort(std::io::Error::other(silent)).await;
            }
        };
        if let Ok(data) = data
            && writer.send(data).await.is_err()
        {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
