//! Asks endpoints whose entries are missing after the store was away whether they are still there.
//!
//! Load pattern: the store is away, for all or for this router only. Entries of endpoints that could not write to it lapse
//! and are back two seconds after its return; an endpoint that left meanwhile is missing just the same. The one has to
//! be used on, or a service is without endpoints for two seconds, and the other must get nothing. The endpoint knows which
//! of the two it is.

use std::sync::Arc;
use std::time::Duration;

use platform::Health;
use tokio::time::Instant;
use units::EndpointId;

use crate::shared::Shared;

/// An endpoint answers within a few milliseconds, a busy one within tens.
const PATIENCE: Duration = Duration::from_millis(250);
/// One that gave no sign is asked again after this time, doubled with each question: it gets no requests until it does.
const PAUSE: Duration = Duration::from_millis(100);
/// One that is well is asked again after this time, half of what it may take until an endpoint that begins to leave must
/// get nothing any more; questions are paid for.
const AGAIN: Duration = Duration::from_millis(1_000);

/// Asks each of these until its entry is back or it is gone.
pub(crate) fn ask(shared: &Arc<Shared>, missing: Vec<EndpointId>) {
    for id in missing {
        tokio::spawn(follow(shared.clone(), id));
    }
}

async fn follow(shared: Arc<Shared>, id: EndpointId) {
    let Some(until) = shared.known.missing_until(&id) else { return };
    let mut pause = PAUSE;
    // An entry that was back and is missing once more has a task of its own.
    while shared.known.missing_until(&id) == Some(until) {
        let health = shared.check_health(&id, PATIENCE).await;
        let next = match health {
            Some(Health::Healthy) => AGAIN,
            // Whether a full one is leaving is not known; it could run nothing more anyway.
            Some(Health::Overloaded) | None => {
                pause *= 2;
                pause / 2
            }
            Some(Health::Unhealthy) => {
                return shared.known.remove_missing(&id, "it says that it leaves");
            }
            Some(Health::OtherInstance) => {
                return shared.known.remove_missing(&id, "another endpoint has its address");
            }
        };
        shared.known.set_silent(&id, health != Some(Health::Healthy));
        let next = Instant::now() + next;
        tokio::time::sleep_until(next.min(until)).await;
        if next >= until {
            shared.known.remove_missing(&id, "its entry did not come back");
        }
    }
}
