//! Callers' connections: one task each.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use process::Phase;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use units::Span;

use crate::caller::Caller;
use crate::request;
use crate::shared::Shared;

/// How long a connection may be idle before a configuration says so.
const IDLE: Duration = Duration::from_secs(15);
/// The read buffer of a connection must hold at least this many bytes.
const BUFFER_LEAST: usize = 8 << 10;
/// The balancer asks once a second and needs two misses; until then new connections come to one that is ending. What
/// comes later could not be finished before the process is killed.
const LINGER: Duration = Duration::from_millis(2_700);
/// The process ends this long before it would be killed.
const MARGIN: Duration = Duration::from_millis(250);

/// Serves callers until the process is asked to end and its requests are done.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let (stop, stopped) = watch::channel(false);
    let mut connections = JoinSet::new();
    let drain = shared.shutdown.reached(Phase::Drain);
    tokio::pin!(drain);
    let mut linger: Option<Instant> = None;
    loop {
        let over = linger.unwrap_or_else(|| Instant::now() + LINGER);
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(shared.clone(), stream, stopped.clone()));
                }
                Err(error) => {
                    log::warn!("router: accept failed: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = &mut drain, if linger.is_none() => linger = Some(Instant::now() + LINGER),
            () = tokio::time::sleep_until(over), if linger.is_some() => break,
        }
    }
    drop(listener);
    stop.send_replace(true);
    shared.closing.send_replace(true);
    let Span(grace) = shared.settings.borrow().grace;
    let left = grace.saturating_sub(LINGER).saturating_sub(MARGIN);
    let all = async { while connections.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(left, all).await;
}

async fn connection(shared: Arc<Shared>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    let caller = Caller::new(stream);
    let limits = shared.current().map(|catalog| catalog.limits.clone());
    let idle =
        limits.as_ref().map_or(IDLE, |limits| limits.idle_timeout.max(limits.header_timeout));
    let header =
        limits.as_ref().map_or(BUFFER_LEAST, |limits| limits.header_bytes.max(BUFFER_LEAST));
    let service = service_fn(|request| {
        let answer = request::answer(shared.clone(), caller.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle).max_buf_size(header * 2);
    let connection = builder.serve_connection(TokioIo::new(caller.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = web::stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("router: a caller's connection ended: {error}");
    }
}
