//! All replicas of the endpoint with the memory they take.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use edge::{CacheTier, Inventory};
use record::GrantId;
use state::State;
use tokio::time::Instant;
use tree::Settings as TreeSettings;
use units::{AdapterName, EndpointId, ModelName, Offset, ReplicaIndex, Size};
use wire::{Refusal, Report};

use crate::estimate::{LoadTimes, Wait};
use crate::memory::Ledger;
use crate::queue::Waiting;
use crate::replica::{Held, Limits, Phase, Replica};
use crate::slot::Slot;
use crate::{EndpointKind, Settings};

/// Why the agent takes no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Closed {
    /// It drains.
    Leaving,
    /// Another incarnation has taken over.
    Superseded(Refusal),
}

impl Closed {
    pub(crate) fn refusal(&self) -> Refusal {
        match self {
            Self::Leaving => Refusal::Leaving,
            Self::Superseded(refusal) => refusal.clone(),
        }
    }
}

/// What became of a request that asked to be run.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The artifact it waits for, or why it doesn't.
    pub(crate) outcome: Result<ModelName, Refusal>,
    /// The replica that should be woken, because the wait here is long.
    pub(crate) wake: Option<ReplicaIndex>,
}

impl From<Refusal> for Admission {
    fn from(refusal: Refusal) -> Self {
        Self { outcome: Err(refusal), wake: None }
    }
}

/// All replicas of the endpoint.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(crate) replicas: BTreeMap<ModelName, Replica>,
    pub(crate) ledger: Ledger,
    pub(crate) times: LoadTimes,
    pub(crate) closed: Option<Closed>,
    pub(crate) tiers: BTreeMap<ModelName, CacheTier>,
    synced: Option<Offset>,
    left: bool,
}

impl Desk {
    pub(crate) fn new(memory: Size) -> Self {
        Self {
            replicas: BTreeMap::new(),
            ledger: Ledger::new(memory),
            times: LoadTimes::default(),
            closed: None,
            tiers: BTreeMap::new(),
            synced: None,
            left: false,
        }
    }

    /// Takes over the grants and settings in force.
    pub(crate) fn sync(&mut self, state: &State, settings: &Settings) {
        if self.synced == Some(state.offset()) {
            return;
        }
        self.synced = Some(state.offset());
        self.left = state.member(&settings.endpoint).is_some_and(|member| member.leaving);
        match settings.kind {
            EndpointKind::Engine => self.sync_grants(state, &settings.endpoint),
            EndpointKind::Service => self.sync_service(state, settings),
        }
    }

    fn sync_service(&mut self, state: &State, settings: &Settings) {
        let name = settings.service_model();
        let leaf = state.tree().service(&settings.service);
        let limits = leaf.map(|leaf| Limits::from(&leaf.settings)).unwrap_or_default();
        match self.replicas.get_mut(&name) {
            Some(replica) => replica.limits = limits,
            None => {
                self.replicas.insert(name.clone(), Replica::pinned(name, limits));
            }
        }
    }

    fn sync_grants(&mut self, state: &State, endpoint: &EndpointId) {
        for replica in self.replicas.values_mut() {
            replica.grant = None;
        }
        for grant in state.grants_at(endpoint) {
            let leaf = state.tree().model(&grant.model);
            let limits = leaf.map(|leaf| Limits::from(&leaf.settings));
            let replica = self.replica(&grant.artifact);
            replica.model = grant.model.clone();
            replica.grant = Some(Held { id: grant.id, index: grant.index, revoked: grant.revoked });
            if let Some(limits) = limits {
                replica.limits = limits;
            }
        }
        self.replicas.retain(|_, replica| !replica.forgettable());
    }

    /// The replica of an artifact; a new one is cold and has no grant.
    pub(crate) fn replica(&mut self, artifact: &ModelName) -> &mut Replica {
        self.replicas
            .entry(artifact.clone())
            .or_insert_with(|| Replica::new(artifact.clone(), artifact.clone(), Limits::default()))
    }

    fn serving(&self, model: &ModelName) -> Option<&Replica> {
        self.replicas.values().find(|replica| replica.model == *model && replica.granted())
    }

    pub(crate) fn tier(&self, artifact: &ModelName) -> CacheTier {
        self.tiers.get(artifact).copied().unwrap_or(CacheTier::Remote)
    }

    /// Notes which checkpoints are cached.
    pub(crate) fn cache(&mut self, inventory: &Inventory) {
        self.tiers = inventory.cached.iter().cloned().collect();
    }

    fn wait(&self, replica: &Replica, ahead: usize) -> Wait {
        replica.wait(ahead, &self.times, self.tier(&replica.artifact))
    }

    /// Lets a request wait for a model, or says why not.
    pub(crate) fn admit(&mut self, model: &ModelName, waiting: Waiting) -> Admission {
        if let Some(closed) = &self.closed {
            return closed.refusal().into();
        }
        let Some(replica) = self.serving(model) else { return Refusal::NoGrant.into() };
        let artifact = replica.artifact.clone();
        let wait = self.wait(replica, replica.queue.ahead(waiting.class));
        let left = waiting.deadline.saturating_duration_since(Instant::now());
        let replica = self.replica(&artifact);
        let outcome = replica.admit(waiting, wait.estimate());
        let wake = match outcome {
            Err(Refusal::Full { .. }) => replica.overdue(wait, Duration::ZERO),
            _ => replica.overdue(wait, left),
        };
        replica.pump();
        Admission { outcome: outcome.map(|()| artifact), wake }
    }

    /// Takes a request that no longer waits out of its queue.
    pub(crate) fn forget(&mut self, artifact: &ModelName, slot: &Arc<Slot>) {
        if let Some(replica) = self.replicas.get_mut(artifact) {
            replica.queue.take(|waiting| Arc::ptr_eq(&waiting.slot, slot));
        }
    }

    /// What the agent says of a model on an answer.
    pub(crate) fn report(&self, model: &ModelName) -> Report {
        let replica = self
            .serving(model)
            .or_else(|| self.replicas.values().find(|replica| replica.model == *model));
        let Some(replica) = replica else { return Report::default() };
        replica.report(self.wait(replica, replica.queue.len()).estimate())
    }

    /// The loaded artifact that serves a model, and how long a request runs there.
    pub(crate) fn service(&self, model: &ModelName) -> Option<(ModelName, Duration)> {
        let replica = self.serving(model).filter(|replica| replica.phase == Phase::Ready)?;
        Some((replica.artifact.clone(), replica.service.get().unwrap_or_default()))
    }

    /// Notes that a running request has ended.
    pub(crate) fn finish(
        &mut self,
        artifact: &ModelName,
        adapter: Option<&AdapterName>,
        took: Option<Duration>,
    ) {
        if let Some(replica) = self.replicas.get_mut(artifact) {
            replica.finish(adapter, took);
            replica.pump();
        }
    }

    /// Wakes the replica that a grant in force allows; says whether there is one.
    pub(crate) fn wake(&mut self, model: &ModelName, index: ReplicaIndex) -> bool {
        if self.closed.is_some() {
            return false;
        }
        let held = |replica: &&mut Replica| {
            replica.model == *model
                && replica
                    .grant
                    .as_ref()
                    .is_some_and(|grant| !grant.revoked && grant.index == index)
        };
        let Some(replica) = self.replicas.values_mut().find(held) else { return false };
        replica.used = Instant::now();
        replica.woken |= replica.phase != Phase::Ready;
        true
    }

    /// Takes no new work and refuses all that waits.
    pub(crate) fn close(&mut self, closed: Closed) {
        let refusal = closed.refusal();
        self.closed = Some(closed);
        for replica in self.replicas.values_mut() {
            replica.refuse_all(&refusal);
            replica.woken = false;
        }
    }

    /// How many requests run.
    pub(crate) fn running(&self) -> usize {
        self.replicas.values().map(|replica| replica.running).sum()
    }

    /// How many requests wait.
    pub(crate) fn waiting(&self) -> usize {
        self.replicas.values().map(|replica| replica.queue.len()).sum()
    }

    /// The longest drain that the settings of the replicas allow.
    pub(crate) fn drain_limit(&self) -> Duration {
        let limits = self.replicas.values().map(|replica| replica.limits.drain);
        limits.max().unwrap_or(TreeSettings::default().drain.0)
    }

    /// Whether nothing is loaded and no order is open.
    pub(crate) fn empty(&self) -> bool {
        self.replicas.values().all(Replica::gone)
    }

    /// The grants that are to be released: revoked, or any once the log knows that this agent leaves, with the replica confirmed gone.
    pub(crate) fn released(&self) -> Vec<GrantId> {
        let gone = self.replicas.values().filter(|replica| replica.gone());
        let held = gone.filter_map(|replica| replica.grant.as_ref());
        held.filter(|grant| grant.revoked || self.left).map(|grant| grant.id).collect()
    }
}
