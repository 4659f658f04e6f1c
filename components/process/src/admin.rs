//! The admin server: health, metrics, timeline of events, and status.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use timeline::Recorder;
use web::Body;

/// Computes the JSON that `/status` answers with.
pub type StatusProvider = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

#[derive(Clone)]
pub(crate) struct Admin {
    pub(crate) metrics: PrometheusHandle,
    pub(crate) recorder: Recorder,
    pub(crate) status: StatusProvider,
}

impl Admin {
    pub(crate) async fn respond(
        self,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        if request.method() != Method::GET {
            return web::text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
        }
        match request.uri().path() {
            "/healthz" => web::text(StatusCode::OK, "ok\n"),
            "/metrics" => web::text(StatusCode::OK, self.metrics.render()),
            "/timeline" => web::text(StatusCode::OK, self.recorder.to_lines()),
            "/status" => web::json(StatusCode::OK, &(self.status)()),
            path => {
                let hint =
                    format!("no `{path}` here; try /healthz, /metrics, /timeline or /status\n");
                web::text(StatusCode::NOT_FOUND, hint)
            }
        }
    }
}
