//! Serving callers until a shutdown.

use std::sync::Arc;
use std::time::Duration;

use process::ShutdownPhase;
use tokio::sync::watch;

use crate::core::Core;

/// How long connections may take to close once everything in flight was ended by force.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

impl Core {
    /// Serves callers until the shutdown: goes on for `lag`, while the balancer may still send to this
    /// entry, then closes each connection after its request in flight.
    pub async fn serve(self: Arc<Self>, listener: web::Listener, lag: Duration) {
        let shutdown = self.shutdown.clone();
        let (sender, stop) = watch::channel(false);
        let handler = move |request, _peer| self.clone().answer(request);
        let serving = web::serve(listener, web::ServeOptions::default(), stop, handler);
        let stopping = async {
            shutdown.reached(ShutdownPhase::Drain).await;
            tokio::select! {
                () = tokio::time::sleep(lag) => {}
                () = shutdown.reached(ShutdownPhase::Force) => {}
            }
            let _ = sender.send(true);
            shutdown.reached(ShutdownPhase::Force).await;
            tokio::time::sleep(CLOSE_LIMIT).await;
        };
        tokio::select! {
            () = serving => {}
            () = stopping => log::warn!("entry: connections are cut by a forced shutdown"),
        }
    }
}
