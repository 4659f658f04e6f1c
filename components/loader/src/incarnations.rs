//! The incarnations in which the loader has seen its endpoint, for routers that ask which of them began a stream.
//!
//! Load pattern: while a service has several software versions, routers ask beside each request for a stream that they send to
//! the endpoint, many of them at the same time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::IncarnationsAnswer;
use origin::IncarnationLog;
use platform::fetch_report;
use tokio::time::Instant;
use units::EndpointIncarnation;
use web::Client;

/// The timeout of asking the endpoint, which runs on the same instance.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// The incarnations in which the loader has seen its endpoint; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct Incarnations {
    addr: SocketAddr,
    client: Client,
    log: Arc<Mutex<IncarnationLog>>,
    /// Held while the endpoint is asked, so that one report answers all routers that waited for it.
    asking: Arc<tokio::sync::Mutex<()>>,
}

impl Incarnations {
    /// Knows nothing of the endpoint at `addr` yet.
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self { addr, client: Client::default(), log: Arc::default(), asking: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, IncarnationLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the endpoint, asked at `asked`, has just answered in this incarnation, or without one.
    pub(crate) fn record(&self, incarnation: Option<EndpointIncarnation>, asked: Instant) {
        let (mut log, now) = (self.lock(), Instant::now());
        match incarnation {
            Some(incarnation) => log.record(incarnation, asked, now),
            None => log.record_unnamed(now),
        }
    }

    /// The current incarnation of the endpoint if `renew` is set, else those in which it was seen.
    pub(crate) async fn answer(&self, renew: bool) -> IncarnationsAnswer {
        if renew {
            return IncarnationsAnswer::of_current(self.ask().await);
        }
        IncarnationsAnswer::of_log(&self.lock(), Instant::now())
    }

    /// The incarnation in which the endpoint answers now, if it does.
    async fn ask(&self) -> Option<EndpointIncarnation> {
        let arrived = Instant::now();
        let _asking = self.asking.lock().await;
        let latest = self.lock().latest().copied();
        if let Some(latest) = latest.filter(|latest| latest.last >= arrived) {
            return Some(latest.incarnation);
        }
        let asked = Instant::now();
        match fetch_report(&self.client, self.addr, REPORT_TIMEOUT).await {
            Ok(report) => {
                self.record(report.incarnation, asked);
                report.incarnation
            }
            Err(error) => {
                log::debug!("loader: the incarnation of the endpoint is not known: {error}");
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
