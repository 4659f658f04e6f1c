//! Starts a router.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use control::{
    CRASHES_PATH, GRANT_PATH, KeyedRecord, LEASES_PATH, LIMITS_PATH, RELEASE_PATH, SNAPSHOT_PATH,
    SPEEDS_PATH, SUSPECTS_PATH, TOKENS_PATH, VERSIONS_PATH, WAITING_PATH, WORKSPACES_PATH,
};
use events::{Event, emit};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use platform::Store;
use process::{ShutdownPhase, SingleThreadProcess, StartError};
use tokio::sync::{Mutex, mpsc};
use web::{Acceptor, Body, ServeOptions};

use crate::shared::Shared;
use crate::{
    Settings, borrow, capacity, crash_records, feed, grants, intake, origins, prefetch, quotas,
    ready, roster, serve, share_leases, snapshot, speeds, stream_records, wait_queue,
};

/// Runs the router until the process is asked to end and its requests are done.
pub async fn run(process: SingleThreadProcess<Settings>) -> Result<(), StartError> {
    let settings = process.settings.borrow().clone();
    let bind_callers = async || web::bind_public(settings.callers, capacity::RECEIVE_BUFFER_BYTES);
    let shutdown = &process.shutdown;
    let callers = process::listen(shutdown, bind_callers).await?;
    let readiness = process::listen(shutdown, || web::bind(settings.ready)).await?;
    let control = process::listen(shutdown, || web::bind(settings.control)).await?;
    if let Some(addr) = settings.metrics {
        process::serve_metrics(addr);
    }
    let (shared, records) = Shared::new(&process);
    // All tasks share one client, since it tracks the era of the store on behalf of all calls.
    let store = shared.store.clone();
    let shared = Arc::new(shared);
    spawn_tasks(&shared, &store, records);
    let ready_shared = shared.clone();
    let handler = move |request: http::Request<hyper::body::Incoming>, _| {
        let answer = ready::answer(&ready_shared, request.uri().path());
        async move { answer }
    };
    let force = process.shutdown.flag(ShutdownPhase::Force);
    tokio::spawn(web::serve(readiness, ServeOptions::default(), force.clone(), handler));
    let control_shared = shared.clone();
    let handler = move |request: http::Request<hyper::body::Incoming>, _| {
        let shared = control_shared.clone();
        async move { answer_control(&shared, request).await }
    };
    tokio::spawn(web::serve(control, ServeOptions::default(), force, handler));
    let stopping = shared.clone();
    tokio::spawn(async move {
        stopping.shutdown.reached(ShutdownPhase::Drain).await;
        emit(&Event::Stopping { requests: stopping.in_flight.load(Ordering::Relaxed) });
    });
    let callers = Acceptor::new(callers, |error| match error {
        Some(error) => emit(&Event::AcceptFailing { cause: &error.to_string() }),
        None => emit(&Event::AcceptRecovered),
    });
    serve::run(shared.clone(), callers).await;
    emit(&Event::Stopped { requests: shared.in_flight.load(Ordering::Relaxed) });
    Ok(())
}

/// Spawns what the router does beside the requests. A panic in one of these tasks must not leave a router that serves requests by what it
/// knew then.
fn spawn_tasks(shared: &Arc<Shared>, store: &Store, records: mpsc::UnboundedReceiver<KeyedRecord>) {
    fn spawn<F>(
        shared: &Arc<Shared>,
        task: &'static str,
        run: impl Fn(Arc<Shared>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let shared = shared.clone();
        process::spawn_restarting(task, move || run(shared.clone()));
    }

    let reading = store.clone();
    spawn(shared, "crash-records", move |shared| crash_records::read(shared, reading.clone()));
    let (writing, records) = (store.clone(), Arc::new(Mutex::new(records)));
    spawn(shared, "crash-writes", move |shared| {
        crash_records::write(shared, writing.clone(), records.clone())
    });
    spawn(shared, "cleared", crash_records::publish_cleared);
    spawn(shared, "configuration", feed::follow_config);
    spawn(shared, "membership", feed::follow_members);
    let following = store.clone();
    spawn(shared, "roster", move |shared| roster::follow(shared, following.clone()));
    spawn(shared, "snapshots", snapshot::follow);
    spawn(shared, "stream-records", stream_records::maintain);
    spawn(shared, "prefetch", prefetch::run);
    spawn(shared, "speeds", speeds::run);
    spawn(shared, "leases", share_leases::run);
    spawn(shared, "lease-returns", share_leases::reclaim);
    spawn(shared, "load-report", intake::report);
    tokio::spawn(wait_queue::hand_back_at_stop(shared.clone()));
}

/// Answers requests of other routers and of operators.
async fn answer_control(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, SNAPSHOT_PATH) => snapshot::answer(shared, request.uri()),
        (&Method::POST, CRASHES_PATH) => crash_records::answer(shared, request).await,
        (&Method::POST, GRANT_PATH) => grants::answer(shared, request).await,
        (&Method::POST, LEASES_PATH) => share_leases::answer_release(shared, request).await,
        (&Method::POST, TOKENS_PATH) => borrow::lend(shared, request).await,
        (&Method::GET, WORKSPACES_PATH) => match quotas::report(shared) {
            Some(report) => web::json(StatusCode::OK, &report),
            None => web::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet\n"),
        },
        (&Method::GET, LIMITS_PATH) => web::json(StatusCode::OK, &grants::report(shared)),
        (&Method::GET, SPEEDS_PATH) => web::json(StatusCode::OK, &speeds::report(shared)),
        (&Method::GET, WAITING_PATH) => web::json(StatusCode::OK, &wait_queue::report(shared)),
        (&Method::GET, VERSIONS_PATH) => web::json(StatusCode::OK, &origins::report(shared)),
        (&Method::GET, SUSPECTS_PATH) => web::json(StatusCode::OK, &shared.guard.suspects()),
        (&Method::POST, RELEASE_PATH) => crash_records::release(shared, request).await,
        _ => web::text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
