//! The server under every stand-in.

use std::future::Future;
use std::net::SocketAddr;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use serde_json::json;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use web::{BindError, Body, Listener};

use crate::gate::{Age, Gate, Silence};

/// The largest body that a stand-in takes.
pub(crate) const BODY_LIMIT: usize = 16 << 20;

/// The handler wants the connection cut without an answer.
#[derive(Debug, Error)]
#[error("the connection is cut on purpose")]
pub(crate) struct Cut;

pub(crate) type Answer = Result<Response<Body>, Cut>;

/// A stand-in that serves; it ends, with all its connections, when it is stopped or this is dropped.
#[derive(Debug)]
pub struct Running {
    /// Where it serves.
    pub addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Ends it as a dying process does: connections are cut.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

/// Binds an address, or any free port for port 0, and serves in a task.
pub(crate) async fn start<H, F>(
    addr: SocketAddr,
    silence: Silence,
    handler: H,
) -> Result<Running, BindError>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = web::bind(addr).await?;
    let addr = listener.local_addr().unwrap_or(addr);
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(serve(listener, stopped, silence, handler));
    Ok(Running { addr, stop, task })
}

async fn serve<H, F>(
    listener: Listener,
    mut stop: watch::Receiver<bool>,
    silence: Silence,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    // Without it a small answer waits 40 ms for the acknowledgement of its head.
                    let _ = stream.set_nodelay(true);
                    let gate = Gate::new(stream, silence.clone());
                    connections.spawn(connection(gate, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<H, F>(gate: Gate, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let age = gate.age();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(age.clone());
        handler(request)
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    if let Err(error) = builder.serve_connection(TokioIo::new(gate), service).await {
        log::debug!("standin: a connection ended: {error}");
    }
}

/// Silences the connections that exist, but for the one that asks.
pub(crate) fn silence(silence: &Silence, age: Option<&Age>) {
    if let Some(age) = age {
        silence.all_but(age);
    }
}

/// A body that is not what it should be.
#[derive(Debug, Error)]
#[error("{0}")]
pub(crate) struct BadBody(String);

impl BadBody {
    /// The answer that refuses it.
    pub(crate) fn answer(self) -> Response<Body> {
        refuse(StatusCode::BAD_REQUEST, self.0)
    }
}

/// A fault that somebody wants, and the connection on which it came.
#[derive(Debug)]
pub(crate) struct Wanted<T> {
    pub(crate) fault: T,
    pub(crate) age: Option<Age>,
}

/// Reads the body of `POST /faults`.
pub(crate) async fn wanted<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<Wanted<T>, BadBody> {
    let age = request.extensions().get::<Age>().cloned();
    let fault = body(request).await?;
    Ok(Wanted { fault, age })
}

/// Reads a JSON body.
pub(crate) async fn body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, BadBody> {
    let bytes = web::read(request.into_body(), BODY_LIMIT).await;
    parse(&bytes.map_err(|error| BadBody(error.to_string()))?)
}

/// Reads JSON.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BadBody> {
    serde_json::from_slice(bytes).map_err(|error| BadBody(error.to_string()))
}

/// The value of a number in the query.
pub(crate) fn query<B>(request: &Request<B>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1;
    value.parse().ok()
}

/// The value of a header.
pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// An error as JSON.
pub(crate) fn refuse(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    web::json(status, &json!({ "error": text.into() }))
}

/// The answer to a call that did what it should and has nothing to say.
pub(crate) fn done() -> Response<Body> {
    web::json(StatusCode::OK, &json!({}))
}
