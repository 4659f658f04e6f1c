//! Starts a router.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use control::{
    CRASHES_PATH, RELEASE_PATH, SNAPSHOT_PATH, SUSPECTS_PATH, TOKENS_PATH, WORKSPACES_PATH,
};
use events::{Event, emit};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use process::{Phase, Single, StartError};
use tokio::net::TcpListener;
use web::{Body, ServeOptions};

use crate::shared::Shared;
use crate::{
    Settings, borrow, crash_records, feed, prepare, quotas, ready, roster, serve, snapshot,
};

/// SentRequests until the process is asked to end and its requests are done.
pub async fn run(process: Single<Settings>) -> Result<(), StartError> {
    let settings = process.settings.borrow().clone();
    let callers = TcpListener::bind(settings.callers).await.map_err(StartError::new)?;
    let asked = web::bind(settings.ready).await.map_err(StartError::new)?;
    let control = web::bind(settings.control).await.map_err(StartError::new)?;
    if let Some(addr) = settings.metrics {
        process::serve_metrics(addr).await?;
    }
    let (shared, records) = Shared::new(&process);
    // One client for all: it knows the era of the store by whatever is called.
    let store = shared.store.clone();
    let shared = Arc::new(shared);
    tokio::spawn(crash_records::read(shared.clone(), store.clone()));
    tokio::spawn(crash_records::write(shared.clone(), store.clone(), records));
    tokio::spawn(feed::follow_config(shared.clone(), store.clone()));
    tokio::spawn(feed::follow_members(shared.clone(), store.clone()));
    tokio::spawn(roster::follow(shared.clone(), store));
    tokio::spawn(snapshot::follow(shared.clone()));
    tokio::spawn(prepare::run(shared.clone()));
    let balancer = shared.clone();
    let handler = move |request: http::Request<hyper::body::Incoming>, _| {
        let answer = ready::answer(&balancer, request.uri().path());
        async move { answer }
    };
    let force = process.shutdown.flag(Phase::Force);
    tokio::spawn(web::serve(asked, ServeOptions::default(), force.clone(), handler));
    let known = shared.clone();
    let handler = move |request: http::Request<hyper::body::Incoming>, _| {
        let known = known.clone();
        async move { answer(&known, request).await }
    };
    tokio::spawn(web::serve(control, ServeOptions::default(), force, handler));
    let stopping = shared.clone();
    tokio::spawn(async move {
        stopping.shutdown.reached(Phase::Drain).await;
        emit(&Event::Stopping { requests: stopping.flying.load(Ordering::Relaxed) });
    });
    serve::run(shared.clone(), callers).await;
    emit(&Event::Stopped { requests: shared.flying.load(Ordering::Relaxed) });
    Ok(())
}

/// Answers other routers and operators.
async fn answer(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, SNAPSHOT_PATH) => snapshot::answer(shared, request.uri()),
        (&Method::POST, CRASHES_PATH) => crash_records::answer(shared, request).await,
        (&Method::POST, TOKENS_PATH) => borrow::lend(shared, request).await,
        (&Method::GET, WORKSPACES_PATH) => match quotas::report(shared) {
            Some(report) => web::json(StatusCode::OK, &report),
            None => web::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet\n"),
        },
        (&Method::GET, SUSPECTS_PATH) => web::json(StatusCode::OK, &shared.guard.suspects()),
        (&Method::POST, RELEASE_PATH) => crash_records::release(shared, request).await,
        _ => web::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
