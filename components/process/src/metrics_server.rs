//! The metrics server of a program that runs on one thread.

use std::net::SocketAddr;
use std::time::Duration;

use events::{Event, emit};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use tokio::sync::watch;
use web::Listener;

/// Upper bounds of the histogram buckets, in seconds: from a few milliseconds in a batch to a load from the weight
/// store.
const HISTOGRAM_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// The pause between two attempts to listen.
const BIND_PAUSE: Duration = Duration::from_secs(1);

/// Serves `GET /metrics` on an address for as long as the process runs. A process that can't do so, for example because another program
/// has the address, runs without metrics until it can.
pub fn serve_metrics(addr: SocketAddr) {
    match install_recorder() {
        Ok(metrics) => drop(tokio::spawn(serve(addr, metrics))),
        Err(error) => emit(&Event::MetricsUnavailable { cause: &error.to_string() }),
    }
}

fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new().set_buckets(&HISTOGRAM_BUCKETS_SECONDS)?.install_recorder()
}

async fn serve(addr: SocketAddr, metrics: PrometheusHandle) {
    let listener = bind(addr).await;
    let (stop_sender, stop) = watch::channel(false);
    let handler = move |request: Request<Incoming>, _| {
        let response = match request.uri().path() {
            "/metrics" => {
                events::update_process_gauges();
                web::text(StatusCode::OK, metrics.render())
            }
            _ => web::text(StatusCode::NOT_FOUND, "try /metrics\n"),
        };
        async move { response }
    };
    web::serve(listener, web::ServeOptions::default(), stop, handler).await;
    drop(stop_sender);
}

async fn bind(addr: SocketAddr) -> Listener {
    let mut has_failed = false;
    loop {
        match web::bind(addr).await {
            Ok(listener) => return listener,
            Err(error) if !has_failed => {
                emit(&Event::MetricsUnavailable { cause: &error.to_string() });
                has_failed = true;
            }
            Err(_) => {}
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}
