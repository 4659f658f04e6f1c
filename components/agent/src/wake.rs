//! Waking replicas before requests reach them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use timeline::Kind;
use units::{ModelName, ReplicaIndex};
use wire::{Control, Reply};

use crate::agent::Agent;

/// How long a peer may take to answer.
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Asks the holder of a model's next grant to load it.
pub(crate) fn next(agent: &Arc<Agent>, model: &ModelName, index: ReplicaIndex) {
    let Some(addr) = holder(agent, model, index) else { return };
    let (agent, model) = (agent.clone(), model.clone());
    tokio::spawn(async move {
        agent.record(Kind::Woken, |event| event.model(&model).note(format!("replica {index}")));
        let tick = agent.recorder.clock().tick();
        let control = Control::Wake { model: model.clone(), index, tick };
        if let Err(error) = ask(&agent, addr, &control).await {
            log::info!("wake: replica {index} of {model} was not woken: {error}");
        }
    });
}

/// The control address of the agent that holds a grant in force.
fn holder(agent: &Agent, model: &ModelName, index: ReplicaIndex) -> Option<SocketAddr> {
    agent.journal.read(|state| {
        let mut grants = state.grants_of(model);
        let grant = grants.find(|grant| grant.index == index && !grant.revoked)?;
        let member = state.member(&grant.endpoint)?;
        (!member.leaving).then_some(member.attach.control)
    })
}

async fn ask(agent: &Agent, addr: SocketAddr, control: &Control) -> Result<(), String> {
    let message = serde_json::to_vec(control).map_err(|error| error.to_string())?;
    let answer = agent.network.request(addr, Bytes::from(message), ASK_LIMIT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if let Ok(Reply::Position { tick, .. }) = serde_json::from_slice(&answer) {
        agent.recorder.clock().observe(tick);
    }
    Ok(())
}

/// Answers a control message.
pub(crate) async fn answer(agent: Arc<Agent>, message: Bytes) -> Bytes {
    let reply = match serde_json::from_slice::<Control>(&message) {
        Err(_) => Reply::Unknown,
        Ok(Control::Wake { model, index, tick }) => {
            agent.recorder.clock().observe(tick);
            woken(&agent, &model, index)
        }
        Ok(Control::Leaving { instance }) => {
            if instance == agent.settings.identity.instance {
                agent.told.notify_one();
            }
            position(&agent)
        }
        Ok(control) => agent.journal.answer(control).await,
    };
    serde_json::to_vec(&reply).map(Bytes::from).unwrap_or_default()
}

fn woken(agent: &Agent, model: &ModelName, index: ReplicaIndex) -> Reply {
    let held = agent.desk().wake(model, index);
    if held {
        agent.record(Kind::Woken, |event| event.model(model).note("by the replica before it"));
        agent.nudge.notify_one();
    }
    position(agent)
}

fn position(agent: &Agent) -> Reply {
    let applied = agent.journal.read(state::State::offset);
    let from = Some(agent.settings.identity.instance.clone());
    Reply::Position { applied, tick: agent.recorder.clock().tick(), from }
}
