//! Asks an endpoint for a sign of life before it gets requests again.

use std::sync::Arc;
use std::time::Duration;

use events::{Dependency, Event, emit, millis};
use tokio::time::Instant;
use units::EndpointId;

use crate::liveness::LivenessState;
use crate::registry::EndpointTable;
use crate::shared::Shared;

/// An endpoint that runs answers within a few milliseconds, a busy one within tens.
const PATIENCE: Duration = Duration::from_millis(250);
/// The first pause between questions: one that stands still is to be found soon after it wakes.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause; questions are paid for.
const LONGEST: Duration = Duration::from_secs(1);

/// Asks an endpoint until it answers, unless that is going on already.
pub(crate) fn start(shared: &Arc<Shared>, id: &EndpointId, peers: &EndpointTable) {
    if peers.map.get(id).is_some_and(|peer| peer.pool.liveness().begin_probe()) {
        tokio::spawn(ask(shared.clone(), id.clone()));
    }
}

async fn ask(shared: Arc<Shared>, id: EndpointId) {
    let since = Instant::now();
    let name = id.as_str();
    let mut pause = PAUSE;
    loop {
        let Some((addr, pool)) = shared.known.pool(&id) else { return };
        let report = shared.fetch_report(&id, addr, PATIENCE).await;
        let first = pause == PAUSE;
        if let Err(cause) = &report
            && pool.liveness().state(Instant::now()) != LivenessState::Responsive
        {
            if first {
                emit(&Event::Lost { dependency: Dependency::Endpoint, name, cause });
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST);
            continue;
        }
        pool.liveness().end_probe();
        if report.is_ok() {
            shared.known.record_report(&id);
        }
        if !first {
            let after_ms = millis(since.elapsed());
            emit(&Event::Regained { dependency: Dependency::Endpoint, name, after_ms });
        }
        return;
    }
}
