//! Leaving: no new work, the work at hand finished, everything unloaded, all grants given back.

use std::sync::Arc;
use std::time::Duration;

use edge::{InstanceList, InstanceState};
use process::ShutdownPhase;
use record::Body;

use crate::EndpointKind;
use crate::agent::Agent;
use crate::desk::Closed;

/// The pause between two looks at the platform's list.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two looks at what still runs.
const LOOK: Duration = Duration::from_millis(50);

/// How long unloading and giving back grants may take once nothing runs.
const UNLOAD_LIMIT: Duration = Duration::from_secs(10);

/// How long the record of leaving is repeated.
const LEAVE_LIMIT: Duration = Duration::from_secs(60);

/// What one instance takes of the list's text, about.
const LISTED_BYTES: u32 = 90;

/// How many bytes of the list an agent reads a second, on average: the list grows with the fleet.
const LIST_RATE: u32 = 500;

/// Waits until the platform's list says that this instance is leaving. The planner, which reads all of the
/// list anyway, tells so within seconds; the agent reads it itself too, the more seldom the longer it is.
pub(crate) async fn listed_leaving(agent: &Agent, list: &dyn InstanceList) {
    tokio::select! {
        () = agent.told.notified() => log::info!("drain: the planner says that this instance leaves"),
        () = read_leaving(agent, list) => log::info!("drain: the list says that this instance leaves"),
    }
}

async fn read_leaving(agent: &Agent, list: &dyn InstanceList) {
    let ours = &agent.settings.identity.instance;
    let mut pause = LIST_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        let instances = match list.instances().await {
            Ok(instances) => instances,
            Err(error) => {
                log::debug!("drain: {error}");
                continue;
            }
        };
        let leaving = |state| state == InstanceState::Leaving;
        if instances.iter().any(|instance| instance.id == *ours && leaving(instance.state)) {
            return;
        }
        pause = list_pause(instances.len());
    }
}

/// The pause after a reading of so many instances; fleets of the size of today read each second or two.
fn list_pause(instances: usize) -> Duration {
    let length = u32::try_from(instances).unwrap_or(u32::MAX).saturating_mul(LISTED_BYTES);
    let pause = LIST_PAUSE.max(Duration::from_secs(1) * length / LIST_RATE);
    pause.mul_f64(rand::random_range(0.75..1.25))
}

/// Leaves: refuses what waits, finishes what runs within the drain, unloads and gives the grants back. A second
/// signal ends it early.
pub(crate) async fn drain(agent: &Arc<Agent>) {
    let limit = agent.desk().drain_limit();
    agent.desk().close(Closed::Leaving);
    agent.nudge.notify_one();
    let leave = tokio::spawn(leave(agent.clone()));
    tokio::select! {
        () = finish(agent, limit) => {}
        () = agent.shutdown.reached(ShutdownPhase::Force) => {
            log::warn!("drain: cut short by a second signal");
        }
    }
    give_up(agent).await;
    leave.abort();
}

async fn leave(agent: Arc<Agent>) {
    let endpoint = agent.settings.endpoint.clone();
    let body = Body::Leave { endpoint, incarnation: agent.incarnation() };
    if let Err(error) = agent.journal.append(body, LEAVE_LIMIT).await {
        log::warn!("drain: the log does not know yet that this agent leaves: {error}");
    }
}

async fn finish(agent: &Agent, limit: Duration) {
    let quiet = until(|| agent.desk().running() == 0);
    if tokio::time::timeout(limit, quiet).await.is_err() {
        log::warn!("drain: {} requests still run after {limit:?}", agent.desk().running());
        return;
    }
    if agent.settings.kind == EndpointKind::Service {
        return;
    }
    let given = until(|| agent.desk().empty() && !holds_grants(agent));
    if tokio::time::timeout(UNLOAD_LIMIT, given).await.is_err() {
        log::warn!(
            "drain: replicas are not confirmed gone, or the log has no release of the grants"
        );
    }
}

fn holds_grants(agent: &Agent) -> bool {
    agent.journal.read(|state| state.grants_at(&agent.settings.endpoint).next().is_some())
}

async fn until(done: impl Fn() -> bool) {
    while !done() {
        tokio::time::sleep(LOOK).await;
    }
}

/// Refuses what waits and lets what runs end; another incarnation has taken over, so nothing is ordered.
pub(crate) async fn finish_running(agent: &Agent) {
    let limit = agent.desk().drain_limit();
    tokio::select! {
        _ = tokio::time::timeout(limit, until(|| agent.desk().running() == 0)) => {}
        () = agent.shutdown.reached(ShutdownPhase::Force) => {}
    }
    give_up(agent).await;
}

/// Gives requests that still run their true outcome, unknown, so that nobody waits for a process that is gone.
async fn give_up(agent: &Agent) {
    let open = agent.table().open();
    for slot in open {
        if !slot.refuse(wire::Refusal::Shutdown) {
            slot.end(Some(wire::UnknownCause::AgentGone));
        }
    }
    tokio::time::sleep(LOOK).await;
}

#[cfg(test)]
mod tests;
