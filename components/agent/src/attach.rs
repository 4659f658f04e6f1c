//! Taking charge of the endpoint.

use std::time::Duration;

use edge::{CacheTier, Inventory};
use journal::AppendError;
use record::{Attach, Body};
use state::{Applied, Verdict};
use thiserror::Error;
use tokio::time::Instant;
use units::{Incarnation, ModelName, Size};

use crate::EndpointKind;
use crate::agent::Agent;

/// One append of an attach is repeated for this long; a new one would make a second incarnation.
const APPEND_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// The pause before an attach that was void is tried again, if nothing has changed.
const RETRY: Duration = Duration::from_secs(10);

/// The pause before an endpoint that does not answer is asked again.
const PAUSE: Duration = Duration::from_millis(250);

/// How long an endpoint may take to show its inventory.
const INVENTORY_LIMIT: Duration = Duration::from_secs(5);

/// Why the agent could not take charge.
#[derive(Debug, Error)]
pub(crate) enum AttachError {
    /// The journal has ended or the log gave no verdict for a day.
    #[error("the attach is not in the log: {0}")]
    Append(#[from] AppendError),
}

/// Appends the attach until it is valid; its offset is the incarnation.
pub(crate) async fn attach(agent: &Agent) -> Result<Incarnation, AttachError> {
    agent.journal.ready().await;
    let inventory = inventory(agent).await;
    loop {
        let attach = record(agent, inventory.as_ref());
        let previous = attach.previous;
        let applied = agent.journal.append(Body::Attach(attach), APPEND_LIMIT).await?;
        if let Some(incarnation) = taken(&applied) {
            agent.authority.attach(incarnation, first_order(agent));
            log::info!("attach: this is incarnation {incarnation}");
            return Ok(incarnation);
        }
        if let Some(Verdict::Void(void)) = applied.verdicts.first() {
            log::info!("attach: the attach is void: {void}; waiting until that changes");
        }
        let _ = tokio::time::timeout(RETRY, moved(agent, previous)).await;
    }
}

fn taken(applied: &Applied) -> Option<Incarnation> {
    let done = applied.verdicts.first() == Some(&Verdict::Done);
    done.then(|| Incarnation::from(applied.offset))
}

/// Waits until the endpoint's incarnation is not the one that was tried to replace.
async fn moved(agent: &Agent, previous: Incarnation) {
    let mut changes = agent.journal.changes();
    while current(agent) == previous && changes.changed().await.is_ok() {}
    tokio::time::sleep(PAUSE).await;
}

fn current(agent: &Agent) -> Incarnation {
    let endpoint = &agent.settings.endpoint;
    let member = |state: &state::State| state.member(endpoint).map(|m| m.incarnation);
    agent.journal.read(member).unwrap_or_default()
}

/// When the first order may go out: orders of an older incarnation must have ended by then.
fn first_order(agent: &Agent) -> Instant {
    let now = Instant::now();
    if agent.settings.fenced { now } else { now + agent.settings.order_limit.0 }
}

fn record(agent: &Agent, inventory: Option<&Inventory>) -> Attach {
    let settings = &agent.settings;
    Attach {
        endpoint: settings.endpoint.clone(),
        instance: settings.identity.instance.clone(),
        domain: settings.identity.domain.clone(),
        service: settings.service.clone(),
        dispatch: settings.dispatch,
        control: settings.control,
        admin: settings.identity.admin,
        memory: inventory.map_or(Size(0), |inventory| inventory.memory),
        cached: inventory.map(cached).unwrap_or_default(),
        fenced: settings.fenced,
        previous: current(agent),
    }
}

/// The checkpoints that need not come from the store, the fastest first: the log keeps only so many.
fn cached(inventory: &Inventory) -> Vec<ModelName> {
    let mut near: Vec<&(ModelName, CacheTier)> =
        inventory.cached.iter().filter(|(_, tier)| *tier != CacheTier::Remote).collect();
    near.sort_by_key(|(_, tier)| *tier);
    near.into_iter().map(|(artifact, _)| artifact.clone()).collect()
}

/// The inventory of an engine, once it answers; plain services have none.
async fn inventory(agent: &Agent) -> Option<Inventory> {
    if agent.settings.kind == EndpointKind::Service {
        return None;
    }
    loop {
        let read = agent.endpoint.inventory(0, Duration::ZERO);
        match tokio::time::timeout(INVENTORY_LIMIT, read).await {
            Ok(Ok(inventory)) => return Some(inventory),
            Ok(Err(error)) => log::info!("attach: the endpoint is not there yet: {error}"),
            Err(_) => log::info!("attach: the endpoint does not answer"),
        }
        tokio::time::sleep(PAUSE).await;
    }
}
