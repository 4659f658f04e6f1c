//! Metrics of a process of one thread.

use std::net::SocketAddr;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::sync::watch;

use crate::StartError;

/// Bounds of the histograms, in seconds: from a few milliseconds in a batch to a load from the weight store.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// Answers `GET /metrics` on an address for as long as the process runs.
pub async fn serve_metrics(addr: SocketAddr) -> Result<(), StartError> {
    let builder = PrometheusBuilder::new().set_buckets(&BOUNDS).map_err(StartError::new)?;
    let metrics = builder.install_recorder().map_err(StartError::new)?;
    let listener = web::bind(addr).await.map_err(StartError::new)?;
    tokio::spawn(async move {
        let (keep, never) = watch::channel(false);
        let handler = move |request: Request<Incoming>, _| {
            let answer = match request.uri().path() {
                "/metrics" => {
                    events::update_process_gauges();
                    web::text(StatusCode::OK, metrics.render())
                }
                _ => web::text(StatusCode::NOT_FOUND, "try /metrics\n"),
            };
            async move { answer }
        };
        web::serve(listener, web::ServeOptions::default(), never, handler).await;
        drop(keep);
    });
    Ok(())
}
