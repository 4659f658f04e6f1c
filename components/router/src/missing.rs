//! Checks the health of endpoints whose entries are missing after the store was unreachable.
//!
//! Load pattern: the store is unreachable, for all or for this router only. Entries of endpoints that could not write to it
//! lapse, and come back two seconds after its return. The entry of an endpoint that left meanwhile is missing in the same
//! way. The former must stay in use, or a service has no endpoints for two seconds; the latter must get no requests. Only
//! the endpoint itself can tell which of the two it is.

use std::sync::Arc;
use std::time::Duration;

use platform::Health;
use tokio::time::Instant;
use units::EndpointId;

use crate::shared::Shared;

/// The timeout of a health check. An endpoint answers within a few milliseconds, a busy one within tens.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(250);
/// The first pause after a failed check, doubled with each further one. The endpoint gets no requests until a check succeeds.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The pause after a successful check: half of the time within which a draining endpoint must stop getting requests. Checks
/// are paid for.
const HEALTHY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Checks each of these endpoints until its entry has come back or it is removed.
pub(crate) fn watch(shared: &Arc<Shared>, missing: Vec<EndpointId>) {
    for id in missing {
        tokio::spawn(watch_endpoint(shared.clone(), id));
    }
}

async fn watch_endpoint(shared: Arc<Shared>, id: EndpointId) {
    let Some(until) = shared.endpoints.missing_until(&id) else { return };
    let mut pause = FIRST_PAUSE;
    // An entry that came back and is missing again has its own task.
    while shared.endpoints.missing_until(&id) == Some(until) {
        let health = shared.check_health(&id, HEALTH_TIMEOUT).await;
        let next = match health {
            Some(Health::Healthy) => HEALTHY_INTERVAL,
            // It is not known whether an overloaded endpoint is draining; it could run no further request anyway.
            Some(Health::Overloaded) | None => {
                pause *= 2;
                pause / 2
            }
            Some(Health::Unhealthy) => {
                return shared.endpoints.remove_missing(&id, "it is draining or failing");
            }
            Some(Health::OtherInstance) => {
                return shared.endpoints.remove_missing(&id, "another endpoint is at its address");
            }
        };
        shared.endpoints.set_unhealthy(&id, health != Some(Health::Healthy));
        let next = Instant::now() + next;
        tokio::time::sleep_until(next.min(until)).await;
        if next >= until {
            shared.endpoints.remove_missing(&id, "its entry did not come back");
        }
    }
}
