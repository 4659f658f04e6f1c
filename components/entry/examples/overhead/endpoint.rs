//! The endpoint that both ways lead to: over HTTP/1 for direct calls, behind an agent's protocol for the entry.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::watch;
use web::{Body, Protocol, ServeOptions};
use wire::{Dispatch, Report, ResponseEnd, end_trailers};

const SMALL: &[u8] = &[b'x'; 200];
const EVENT: &[u8] = b"data: {\"choices\":[{\"text\":\" word\"}]}\n\n";

/// Starts the endpoint; it lives until the program ends.
pub(crate) async fn start(protocol: Protocol) -> SocketAddr {
    let listener = web::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port");
    let addr = listener.local_addr().expect("a bound socket");
    let options = ServeOptions { protocol, ..ServeOptions::default() };
    let (keep, stop) = watch::channel(false);
    tokio::spawn(async move {
        web::serve(listener, options, stop, move |request, _| answer(request, protocol)).await;
        drop(keep);
    });
    addr
}

async fn answer(request: Request<Incoming>, protocol: Protocol) -> Response<Body> {
    let path = match protocol {
        Protocol::Http1 => request.uri().path().to_owned(),
        Protocol::Http2 => match Dispatch::read(request.headers()) {
            Ok(dispatch) => dispatch.path,
            Err(_) => return web::text(http::StatusCode::GONE, "{\"unknown\":\"deadline\"}"),
        },
    };
    let _ = request.into_body().collect().await;
    let mut response = match path.strip_prefix("/events/").and_then(|count| count.parse().ok()) {
        Some(count) => events(count, protocol),
        None if path == "/hold" => held(),
        None => small(protocol),
    };
    if protocol == Protocol::Http2 {
        Report { awake: 1, warm: true, ..Report::default() }.write(response.headers_mut());
    }
    response
}

fn small(protocol: Protocol) -> Response<Body> {
    if protocol == Protocol::Http1 {
        return web::text(http::StatusCode::OK, SMALL);
    }
    finish(vec![Bytes::from_static(SMALL)], "application/json", protocol)
}

fn events(count: usize, protocol: Protocol) -> Response<Body> {
    finish(vec![Bytes::from_static(EVENT); count], "text/event-stream", protocol)
}

/// An answer of one chunk that never ends.
fn held() -> Response<Body> {
    let first = stream::once(async { Ok::<_, Infallible>(Frame::data(Bytes::from_static(EVENT))) });
    let body = StreamBody::new(first.chain(stream::pending()));
    let body = body.map_err(|never| match never {}).boxed_unsync();
    with_type(Response::new(body), "text/event-stream")
}

fn finish(chunks: Vec<Bytes>, content: &'static str, protocol: Protocol) -> Response<Body> {
    let length = chunks.iter().map(|chunk| chunk.len() as u64).sum();
    let data = stream::iter(chunks).then(|chunk| async {
        // As an engine does: one event at a time.
        tokio::task::yield_now().await;
        Ok::<_, Infallible>(Frame::data(chunk))
    });
    let end = Frame::trailers(end_trailers(&ResponseEnd::Whole { length }));
    let end = stream::iter((protocol == Protocol::Http2).then_some(Ok(end)));
    let body = StreamBody::new(data.chain(end)).map_err(|never| match never {}).boxed_unsync();
    with_type(Response::new(body), content)
}

fn with_type(mut response: Response<Body>, content: &'static str) -> Response<Body> {
    let value = http::HeaderValue::from_static(content);
    response.headers_mut().insert("content-type", value);
    response
}
