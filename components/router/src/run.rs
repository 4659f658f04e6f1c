//! Starts a router.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use events::{Event, emit};
use platform::Store;
use process::{Phase, Single, StartError};
use tokio::net::TcpListener;
use web::ServeOptions;

use crate::shared::Shared;
use crate::{Settings, feed, prepare, ready, serve, snapshot};

/// Runs until the process is asked to end and its requests are done.
pub async fn run(process: Single<Settings>) -> Result<(), StartError> {
    let settings = process.settings.borrow().clone();
    let callers = TcpListener::bind(settings.callers).await.map_err(StartError::new)?;
    let asked = web::bind(settings.ready).await.map_err(StartError::new)?;
    let control = web::bind(settings.control).await.map_err(StartError::new)?;
    if let Some(addr) = settings.metrics {
        process::serve_metrics(addr).await?;
    }
    let store = Store::new(settings.store);
    let shared = Arc::new(Shared::new(&process));
    tokio::spawn(feed::config(shared.clone(), store.clone()));
    tokio::spawn(feed::members(shared.clone(), store));
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
        let answer = snapshot::answer(&known, request.uri());
        async move { answer }
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
