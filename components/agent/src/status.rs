//! What the admin server says of the agent.

use std::collections::BTreeMap;
use std::sync::Arc;

use process::StatusProvider;
use serde::Serialize;
use state::{State, Summary};
use units::{AdapterName, Incarnation, ModelName, Offset, Revision, Size};

use crate::agent::Agent;
use crate::replica::{Phase, Replica};

#[derive(Debug, Serialize)]
struct AgentStatus {
    endpoint: String,
    incarnation: Incarnation,
    applied: Offset,
    revision: Revision,
    log: bool,
    state: Summary,
    orders: Option<String>,
    memory: MemoryStatus,
    table: TableStatus,
    replicas: BTreeMap<ModelName, ReplicaStatus>,
}

#[derive(Debug, Serialize)]
struct MemoryStatus {
    total: Size,
    taken: Size,
}

#[derive(Debug, Serialize)]
struct TableStatus {
    requests: usize,
    bytes: Size,
}

#[derive(Debug, Serialize)]
struct ReplicaStatus {
    phase: Phase,
    granted: bool,
    waiting: usize,
    running: usize,
    adapters: Vec<AdapterName>,
}

/// Makes the status on demand.
pub(crate) fn of(agent: &Arc<Agent>) -> StatusProvider {
    let agent = agent.clone();
    Arc::new(move || serde_json::to_value(status(&agent)).unwrap_or_default())
}

fn status(agent: &Agent) -> AgentStatus {
    let (memory, replicas) = {
        let desk = agent.desk();
        let memory = MemoryStatus { total: desk.ledger.total(), taken: desk.ledger.taken() };
        let of = |replica: &Replica| (replica.artifact.clone(), ReplicaStatus::from(replica));
        (memory, desk.replicas.values().map(of).collect())
    };
    let table = {
        let table = agent.table();
        TableStatus { requests: table.len(), bytes: table.bytes() }
    };
    AgentStatus {
        endpoint: agent.settings.endpoint.to_string(),
        revision: agent.journal.read(State::revision),
        incarnation: agent.incarnation(),
        applied: agent.journal.read(state::State::offset),
        log: agent.journal.log_up(),
        state: agent.journal.read(State::summary),
        orders: agent.authority.check().err().map(|barred| barred.to_string()),
        memory,
        table,
        replicas,
    }
}

impl From<&Replica> for ReplicaStatus {
    fn from(replica: &Replica) -> Self {
        let ready = replica.adapters.iter().filter(|(_, adapter)| adapter.ready);
        Self {
            phase: replica.phase,
            granted: replica.granted(),
            waiting: replica.queue.len(),
            running: replica.running,
            adapters: ready.map(|(name, _)| name.clone()).collect(),
        }
    }
}
