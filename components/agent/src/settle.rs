//! What the inventory and the replies to orders say of the replicas.

use std::time::Duration;

use edge::{EndpointError, Inventory, Loaded, OrderKind, ReplicaPhase};
use tokio::time::Instant;
use units::{AdapterName, ModelName};
use wire::Refusal;

use crate::adapters::UNKNOWN;
use crate::desk::Desk;
use crate::pending::{Pending, Reply};
use crate::replica::{Phase, Replica};

/// Loads that fail this often in a row fail what waits for them.
const MOST_FAILURES: u32 = 2;

/// The pause after a first failure; it doubles with each.
const BACKOFF: Duration = Duration::from_millis(500);

/// The longest pause between tries.
const MOST_BACKOFF: Duration = Duration::from_secs(30);

/// An inventory with the time at which its reading began.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) inventory: Inventory,
    pub(crate) begun: Instant,
}

/// What the inventory showed to have happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// A replica became ready.
    Loaded(ModelName),
    /// A replica is gone.
    Unloaded(ModelName),
    /// A load has failed.
    Failed { artifact: ModelName, cause: String },
}

/// How sending an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Sent {
    /// It was not sent, because the agent may not order now.
    Held,
    /// The endpoint's reply.
    Replied(Result<(), EndpointError>),
}

impl Desk {
    /// Takes over an inventory; `limit` is the longest that an order can stay under way.
    pub(crate) fn settle(&mut self, seen: &Seen, limit: Duration) -> Vec<Change> {
        self.ledger.show(&seen.inventory);
        for loaded in &seen.inventory.loaded {
            self.replica(&loaded.artifact);
        }
        let mut changes = Vec::new();
        for replica in self.replicas.values_mut() {
            let loaded = seen.inventory.loaded.iter().find(|l| l.artifact == replica.artifact);
            let change = match loaded {
                Some(loaded) => replica.shown(loaded, seen.begun, limit),
                None => replica.missing(seen, limit),
            };
            let Some(change) = change else { continue };
            if matches!(change, Change::Loaded(_))
                && let Some(span) = replica.load_span()
            {
                self.times.add(replica.source, replica.limits.weights, span);
            }
            changes.push(change);
        }
        for replica in self.replicas.values_mut() {
            if replica.unloaded() {
                self.ledger.free_all(&replica.artifact);
            }
            for size in replica.settle_adapters(seen, limit) {
                self.ledger.free(&replica.artifact, size);
                if size == UNKNOWN && replica.quiet() {
                    self.ledger.trust(&replica.artifact);
                }
            }
            replica.pump();
        }
        self.cache(&seen.inventory);
        changes
    }

    /// Takes over how sending an order ended.
    pub(crate) fn replied(
        &mut self,
        id: &str,
        kind: &OrderKind,
        sent: &Sent,
        limit: Duration,
    ) -> Option<Change> {
        let replica = self.replicas.get_mut(artifact_of(kind)?)?;
        if matches!(sent, Sent::Replied(Err(EndpointError::Unknown(_)))) {
            replica.doubt = Some(Instant::now() + limit);
        }
        match adapter_of(kind) {
            Some(name) => {
                let adapter = replica.adapters.get_mut(name)?;
                let cause = take_reply(&mut adapter.pending, id, sent)?;
                adapter.retry = Instant::now() + BACKOFF;
                let weights = adapter.weights;
                if matches!(kind, OrderKind::LoadAdapter { .. }) {
                    replica.fail_adapter(&name.clone(), cause);
                    let artifact = replica.artifact.clone();
                    self.ledger.free(&artifact, weights);
                }
                None
            }
            None => {
                let cause = take_reply(&mut replica.pending, id, sent)?;
                let change = replica.not_taken(kind, cause);
                if replica.unloaded() {
                    let artifact = replica.artifact.clone();
                    self.ledger.free_all(&artifact);
                }
                change
            }
        }
    }
}

/// The artifact an order is about.
pub(crate) fn artifact_of(kind: &OrderKind) -> Option<&ModelName> {
    match kind {
        OrderKind::Load { artifact, .. }
        | OrderKind::Unload { artifact }
        | OrderKind::LoadAdapter { artifact, .. }
        | OrderKind::UnloadAdapter { artifact, .. } => Some(artifact),
        OrderKind::Role { .. } => None,
    }
}

fn adapter_of(kind: &OrderKind) -> Option<&AdapterName> {
    match kind {
        OrderKind::LoadAdapter { adapter, .. } | OrderKind::UnloadAdapter { adapter, .. } => {
            Some(adapter)
        }
        OrderKind::Load { .. } | OrderKind::Unload { .. } | OrderKind::Role { .. } => None,
    }
}

/// Notes a reply; gives back why the order certainly has no effect, if it has none, with the pending taken.
fn take_reply(pending: &mut Option<Pending>, id: &str, sent: &Sent) -> Option<Option<String>> {
    let order = pending.as_mut().filter(|pending| pending.id == id)?;
    let at = Instant::now();
    let cause = match sent {
        Sent::Replied(Ok(())) => {
            order.reply = Reply::Accepted { at };
            return None;
        }
        Sent::Replied(Err(EndpointError::Unknown(_))) => {
            order.lost();
            return None;
        }
        Sent::Replied(Err(error)) => Some(error.to_string()),
        Sent::Held => None,
    };
    if order.repeated() {
        order.lost();
        return None;
    }
    *pending = None;
    Some(cause)
}

impl Replica {
    /// The inventory shows the replica.
    fn shown(&mut self, loaded: &Loaded, begun: Instant, limit: Duration) -> Option<Change> {
        match (loaded.phase, self.phase) {
            (ReplicaPhase::Loading, Phase::Cold | Phase::Ready | Phase::Draining) => {
                self.enter(Phase::Loading);
                None
            }
            (ReplicaPhase::Loading, Phase::Loading) => {
                if let Some(pending) = &mut self.pending {
                    pending.seen();
                }
                None
            }
            (ReplicaPhase::Ready, Phase::Cold | Phase::Loading) => {
                let known = self.phase == Phase::Loading;
                self.enter(Phase::Ready);
                self.used = Instant::now();
                self.woken = false;
                self.failures = 0;
                known.then(|| Change::Loaded(self.artifact.clone()))
            }
            (ReplicaPhase::Unloading, _) => {
                self.enter(Phase::Unloading);
                None
            }
            (_, Phase::Unloading) => {
                if self.pending.as_ref().is_none_or(|pending| pending.overdue(begun, limit)) {
                    self.pending = None;
                    self.enter(Phase::Draining);
                }
                None
            }
            _ => None,
        }
    }

    /// The inventory does not show the replica.
    fn missing(&mut self, seen: &Seen, limit: Duration) -> Option<Change> {
        let failed = self.pending.as_ref().and_then(|pending| pending.failure(seen));
        let adapters = self.adapters.values().filter_map(|adapter| adapter.pending.as_ref());
        let mut orders = self.pending.iter().chain(adapters);
        let doubt = self.doubt.is_some_and(|until| seen.begun <= until);
        let settled = !doubt && orders.all(|pending| pending.settled(seen.begun, limit));
        match self.phase {
            Phase::Cold => None,
            Phase::Loading if failed.is_some() => self.fail_load(failed),
            Phase::Loading if settled => self.fail_load(Some("the load has vanished".to_owned())),
            Phase::Ready | Phase::Draining | Phase::Unloading if settled => {
                self.reset();
                Some(Change::Unloaded(self.artifact.clone()))
            }
            Phase::Ready | Phase::Draining => {
                self.enter(Phase::Unloading);
                None
            }
            Phase::Loading | Phase::Unloading => None,
        }
    }

    fn reset(&mut self) {
        self.enter(Phase::Cold);
        self.pending = None;
        self.adapters.clear();
    }

    fn fail_load(&mut self, cause: Option<String>) -> Option<Change> {
        self.reset();
        self.retry = Instant::now() + BACKOFF;
        let cause = cause?;
        self.retry = Instant::now() + backoff(self.failures);
        self.failures += 1;
        if self.failures >= MOST_FAILURES {
            self.refuse_all(&Refusal::LoadFailed { cause: cause.clone() });
            self.woken = false;
        }
        Some(Change::Failed { artifact: self.artifact.clone(), cause })
    }

    /// An order was certainly not taken.
    fn not_taken(&mut self, kind: &OrderKind, cause: Option<String>) -> Option<Change> {
        match kind {
            OrderKind::Load { .. } => self.fail_load(cause),
            _ => {
                self.enter(Phase::Draining);
                self.retry = Instant::now() + BACKOFF;
                None
            }
        }
    }

    /// How long the load took that has just ended; the order is over with it.
    fn load_span(&mut self) -> Option<Duration> {
        let pending = self.pending.take()?;
        Some(pending.first.elapsed())
    }
}

impl Pending {
    /// Why the endpoint says that the order failed.
    pub(crate) fn failure(&self, seen: &Seen) -> Option<String> {
        let failed = seen.inventory.failed.iter().find(|(id, _)| *id == self.id);
        failed.map(|(_, cause)| cause.clone())
    }
}

fn backoff(failures: u32) -> Duration {
    BACKOFF.saturating_mul(1 << failures.min(10)).min(MOST_BACKOFF)
}
