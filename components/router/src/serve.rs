//! Serves the connections of callers, each in its own task.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use process::ShutdownPhase;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use units::Span;
use web::Acceptor;

use crate::caller::CallerConnection;
use crate::connections::{AnswerBody, OpenConnection};
use crate::request;
use crate::shared::Shared;

/// How long a connection may be idle while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The minimum size of the read buffer of a connection, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
/// How long new connections are still accepted after the process was asked to end: the load
/// balancer checks once a second and needs two failed checks. Later requests could not be finished
/// before the process is killed.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_700);
/// How long before it would be killed the process ends.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// How long before the process ends the requests that are left are answered, so that the answers are written by then.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Serves callers until the process is asked to end and its requests are done.
pub(crate) async fn run(shared: Arc<Shared>, mut listener: Acceptor) {
    let (stop, stopped) = watch::channel(false);
    let mut connections = JoinSet::new();
    let drain = shared.shutdown.reached(ShutdownPhase::Drain);
    tokio::pin!(drain);
    let mut accept_deadline: Option<Instant> = None;
    loop {
        let deadline = accept_deadline.unwrap_or_else(|| Instant::now() + BALANCER_DRAIN_TIME);
        tokio::select! {
            (stream, _) = listener.accept() => {
                let max_body = shared.current().map_or(0, |catalog| catalog.limits.body_bytes);
                let limit = shared.intake_capacity(max_body).connections;
                if let Some(slot) = shared.connections.open(limit, &shared.uploads) {
                    let (shared, stopped) = (shared.clone(), stopped.clone());
                    connections.spawn(serve_connection(shared, stream, slot, Instant::now(), stopped));
                }
                if shared.connections.count() >= limit {
                    // Connections that must close for new ones do so before more are accepted.
                    tokio::task::yield_now().await;
                }
            }
            Some(_) = connections.join_next() => {}
            () = &mut drain, if accept_deadline.is_none() => {
                let now = Instant::now();
                let Span(grace) = shared.settings.borrow().grace;
                let time_left = grace.saturating_sub(KILL_MARGIN + ANSWER_MARGIN);
                shared.answers_due.send_replace(Some(now + time_left));
                accept_deadline = Some(now + BALANCER_DRAIN_TIME);
            }
            () = tokio::time::sleep_until(deadline), if accept_deadline.is_some() => break
        }
    }
    drop(listener);
    stop.send_replace(true);
    shared.closing.send_replace(true);
    let Span(grace) = shared.settings.borrow().grace;
    let time_left = grace.saturating_sub(BALANCER_DRAIN_TIME).saturating_sub(KILL_MARGIN);
    let all = async { while connections.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(time_left, all).await;
}

async fn serve_connection(
    shared: Arc<Shared>,
    stream: TcpStream,
    slot: OpenConnection,
    accepted_at: Instant,
    mut stop: watch::Receiver<bool>,
) {
    let unread = shared.intake.accept(accepted_at);
    let caller = CallerConnection::new(stream, shared.intake.sent_bytes.clone());
    let limits = shared.current().map(|catalog| catalog.limits.clone());
    let idle = limits
        .as_ref()
        .map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout.max(limits.header_timeout));
    let header = limits
        .as_ref()
        .map_or(MIN_READ_BUFFER_BYTES, |limits| limits.header_bytes.max(MIN_READ_BUFFER_BYTES));
    tokio::select! {
        arrived = tokio::time::timeout(idle, caller.wait_for_request()) => {
            if !matches!(arrived, Ok(Ok(true))) {
                return;
            }
        }
        () = slot.evicted() => return,
        // A request that has been sent by now is still served.
        () = web::stopped(&mut stop) => {}
    }
    if sheds_connections(&shared) && !shared.intake.admit() {
        return;
    }
    drop(unread);
    let slot = Arc::new(slot);
    let first = AtomicBool::new(true);
    let service = service_fn(|request| {
        if !first.swap(false, Ordering::Relaxed) {
            shared.intake.record_further_read();
        }
        // Hyper keeps room for the future as long as the connection is open.
        Box::pin(answer(shared.clone(), caller.clone(), slot.clone(), request))
    });
    let mut builder = http1::Builder::new();
    let buffer = header.saturating_mul(2);
    builder.timer(TokioTimer::new()).header_read_timeout(idle).max_buf_size(buffer);
    let connection = builder.serve_connection(TokioIo::new(caller.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = slot.evicted() => return,
        () = web::stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("router: the connection of a caller failed: {error}");
    }
}

async fn answer(
    shared: Arc<Shared>,
    caller: CallerConnection,
    slot: Arc<OpenConnection>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let in_progress = slot.begin_request();
    let response = request::answer(shared, caller, slot.id, request).await;
    Ok(response.map(|body| AnswerBody::new(body, in_progress)))
}

/// Whether connections are closed unread while this router is overloaded. While it stops, the balancer sends no new ones.
fn sheds_connections(shared: &Shared) -> bool {
    shared.settings.borrow().sheds_connections() && shared.shutdown.phase() == ShutdownPhase::Run
}
