//! Probes an endpoint that has gone silent before it gets requests again.

use std::sync::Arc;
use std::time::Duration;

use events::{Dependency, Event, emit, millis};
use tokio::time::Instant;
use units::EndpointId;

use crate::liveness::LivenessState;
use crate::registry::EndpointTable;
use crate::shared::Shared;

/// The timeout of a probe. A running endpoint answers within a few milliseconds, a busy one within tens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The first pause between probes, short so that an endpoint that was hanging is found soon after it recovers.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between probes, which are paid for.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Probes an endpoint until it answers, unless that is in progress already.
pub(crate) fn start(shared: &Arc<Shared>, id: &EndpointId, table: &EndpointTable) {
    let now = Instant::now();
    if table.map.get(id).is_some_and(|tracked| tracked.pool.liveness().begin_probe(now)) {
        tokio::spawn(probe(shared.clone(), id.clone()));
    }
}

async fn probe(shared: Arc<Shared>, id: EndpointId) {
    let since = Instant::now();
    let name = id.as_str();
    let mut pause = FIRST_PAUSE;
    loop {
        let Some((addr, pool)) = shared.endpoints.pool(&id) else { return };
        let report = shared.fetch_report(&id, addr, PROBE_TIMEOUT).await;
        let first = pause == FIRST_PAUSE;
        if let Err(cause) = &report
            && pool.liveness().state(Instant::now()) != LivenessState::Responsive
        {
            pool.liveness().record_failed_probe();
            // Requests that wait for the answer look for another endpoint.
            shared.endpoints.changed.notify_waiters();
            if first {
                emit(&Event::DependencyLost { dependency: Dependency::Endpoint, name, cause });
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
            continue;
        }
        pool.liveness().end_probe();
        if report.is_ok() {
            shared.endpoints.record_report(&id);
        }
        if !first {
            let after_ms = millis(since.elapsed());
            emit(&Event::DependencyRegained { dependency: Dependency::Endpoint, name, after_ms });
        }
        return;
    }
}
