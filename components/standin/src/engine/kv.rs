//! Moving a running request with its KV cache to another engine.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use web::Body;

use super::Engine;
use super::requests::{self, Asked};
use super::tokens::Call;
use crate::server;

/// A request as one engine gives it away and another takes it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Exported {
    path: String,
    call: Call,
    /// How much of the answer is made.
    bytes: usize,
}

impl Engine {
    /// Ends a request here and tells how far it came.
    pub(super) async fn export(&self, id: &str) -> Response<Body> {
        let Some(run) = self.known(id) else { return requests::unknown() };
        run.stop();
        run.ended().await;
        let (path, call) = (run.path.clone(), run.call.clone());
        web::json(StatusCode::OK, &Exported { path, call, bytes: run.made() })
    }

    /// Goes on with a request that another engine began; the answer streams from its first byte.
    pub(super) fn import(&self, id: &str, request: &Request<Bytes>) -> Response<Body> {
        let exported: Exported = match server::parse(request.body()) {
            Ok(exported) => exported,
            Err(bad) => return bad.answer(),
        };
        let Exported { path, call, bytes } = exported;
        let id = Some(id.to_owned());
        self.take(Asked { id, priority: requests::priority(request), path, call, made: bytes })
    }
}
