//! The metrics server of a program that runs on one thread.

use std::net::SocketAddr;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::sync::watch;

use crate::StartError;

/// Upper bounds of the histogram buckets, in seconds: from a few milliseconds in a batch to a load from the weight
/// store.
const HISTOGRAM_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// Serves `GET /metrics` on an address for as long as the process runs.
pub async fn serve_metrics(addr: SocketAddr) -> Result<(), StartError> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS_SECONDS)
        .map_err(StartError::new)?;
    let metrics = builder.install_recorder().map_err(StartError::new)?;
    let listener = web::bind(addr).await.map_err(StartError::new)?;
    tokio::spawn(async move {
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
    });
    Ok(())
}
