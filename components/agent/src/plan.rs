//! Which orders the replicas need now.

use std::time::Duration;

use edge::{CacheTier, OrderKind};
use tokio::time::Instant;
use tree::Class;
use units::{AdapterName, ModelName, Size};
use wire::Refusal;

use crate::desk::Desk;
use crate::evict;
use crate::pending::Pending;
use crate::replica::{Phase, Replica};

/// An order to be sent now.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Draft {
    pub(crate) id: String,
    pub(crate) urgent: bool,
    pub(crate) kind: OrderKind,
}

/// Makes ids of orders, unique for good: an incarnation is never used twice.
#[derive(Debug)]
pub(crate) struct OrderIds {
    prefix: String,
    count: u64,
}

impl OrderIds {
    pub(crate) fn new(prefix: String) -> Self {
        Self { prefix, count: 0 }
    }

    /// A draft of an order whose effect nobody waits for.
    pub(crate) fn draft(&mut self, kind: OrderKind) -> Draft {
        Draft { id: self.next(), urgent: false, kind }
    }

    fn next(&mut self) -> String {
        self.count += 1;
        format!("{}-{}", self.prefix, self.count)
    }
}

impl Desk {
    /// The orders that are due; each is noted as under way.
    pub(crate) fn plan(&mut self, ids: &mut OrderIds) -> Vec<Draft> {
        let mut drafts = Vec::new();
        let open = self.closed.is_none();
        for replica in self.replicas.values_mut() {
            let tier = self.tiers.get(&replica.artifact).copied().unwrap_or(CacheTier::Remote);
            drafts.extend(replica.repeat());
            let reload = self.times.get(tier, replica.limits.weights);
            drafts.extend(replica.steer(open, reload, ids));
        }
        if open {
            self.plan_loads(ids, &mut drafts);
            self.plan_adapters(ids, &mut drafts);
        }
        drafts
    }

    fn plan_loads(&mut self, ids: &mut OrderIds, drafts: &mut Vec<Draft>) {
        let now = Instant::now();
        let cold = |replica: &&Replica| {
            replica.phase == Phase::Cold
                && replica.pending.is_none()
                && replica.granted()
                && replica.wanted()
                && replica.retry <= now
        };
        let mut wanted: Vec<&Replica> = self.replicas.values().filter(cold).collect();
        wanted.sort_by_key(|replica| replica.urgency());
        let wanted: Vec<ModelName> = wanted.into_iter().map(|r| r.artifact.clone()).collect();
        for artifact in wanted {
            self.plan_load(&artifact, ids, drafts);
        }
    }

    fn plan_load(&mut self, artifact: &ModelName, ids: &mut OrderIds, drafts: &mut Vec<Draft>) {
        let source = self.tier(artifact);
        let Some(replica) = self.replicas.get_mut(artifact) else { return };
        let (weights, kv_room) = (replica.limits.weights, replica.limits.kv_room);
        if let Err(short) = self.ledger.reserve(artifact, weights + kv_room) {
            self.make_room(short.missing, artifact, ids, drafts);
            return;
        }
        replica.source = source;
        replica.enter(Phase::Loading);
        let kind = OrderKind::Load { artifact: artifact.clone(), weights, kv_room };
        let urgent = replica.urgent();
        drafts.push(draft(&mut replica.pending, ids, urgent, kind));
    }

    /// Orders unloads for `missing` bytes, less what is being unloaded anyway.
    fn make_room(
        &mut self,
        missing: Size,
        keep: &ModelName,
        ids: &mut OrderIds,
        drafts: &mut Vec<Draft>,
    ) {
        let unloading = self.replicas.values().filter(|r| r.phase == Phase::Unloading);
        let coming: Size = unloading.map(|r| self.ledger.of(&r.artifact)).sum();
        let missing = missing.saturating_sub(coming);
        if missing == Size(0) {
            return;
        }
        let urgent = self.replicas.get(keep).is_some_and(Replica::urgent);
        let others = self.replicas.values().filter(|r| r.artifact != *keep && evict::may_go(r));
        let others = others.filter(|replica| urgent || !replica.warmth.is_held());
        let candidates = others.map(|replica| {
            let reload = self.times.get(self.tier(&replica.artifact), replica.limits.weights);
            evict::candidate(replica, self.ledger.of(&replica.artifact), reload)
        });
        for artifact in evict::choose(candidates.collect(), missing) {
            if let Some(replica) = self.replicas.get_mut(&artifact) {
                log::info!("agent: {artifact} gives way to {keep}");
                drafts.push(replica.unload(ids));
            }
        }
    }

    fn plan_adapters(&mut self, ids: &mut OrderIds, drafts: &mut Vec<Draft>) {
        let ready = self.replicas.values_mut().filter(|replica| replica.phase == Phase::Ready);
        let needs: Vec<(ModelName, AdapterName)> = ready.flat_map(Replica::adapters_due).collect();
        for (artifact, name) in needs {
            self.plan_adapter(&artifact, &name, ids, drafts);
        }
    }

    fn plan_adapter(
        &mut self,
        artifact: &ModelName,
        name: &AdapterName,
        ids: &mut OrderIds,
        drafts: &mut Vec<Draft>,
    ) {
        let Some(replica) = self.replicas.get_mut(artifact) else { return };
        let Some(adapter) = replica.adapters.get_mut(name) else { return };
        let weights = adapter.weights;
        if let Err(short) = self.ledger.reserve(artifact, weights) {
            match replica.idle_adapter(name) {
                Some(victim) => drafts.extend(replica.unload_adapter(&victim, ids)),
                None => self.make_room(short.missing, artifact, ids, drafts),
            }
            return;
        }
        let kind =
            OrderKind::LoadAdapter { artifact: artifact.clone(), adapter: name.clone(), weights };
        drafts.push(draft(&mut adapter.pending, ids, true, kind));
    }
}

fn draft(
    pending: &mut Option<Pending>,
    ids: &mut OrderIds,
    urgent: bool,
    kind: OrderKind,
) -> Draft {
    let id = ids.next();
    *pending = Some(Pending::new(id.clone(), kind.clone(), Instant::now()));
    Draft { id, urgent, kind }
}

impl Replica {
    /// Sends orders without an answer again.
    fn repeat(&mut self) -> Vec<Draft> {
        let now = Instant::now();
        let adapters = self.adapters.values_mut().filter_map(|adapter| adapter.pending.as_mut());
        let all = self.pending.iter_mut().chain(adapters);
        let due = all.filter(|pending| pending.repeats(now));
        let again = |pending: &mut Pending| {
            pending.again(now);
            Draft { id: pending.id.clone(), urgent: true, kind: pending.kind.clone() }
        };
        due.map(again).collect()
    }

    /// Moves the replica towards what its grant and its idle time ask for.
    fn steer(&mut self, open: bool, reload: Duration, ids: &mut OrderIds) -> Option<Draft> {
        if self.pinned {
            return None;
        }
        let stays = open && self.granted();
        match self.phase {
            Phase::Cold if !stays => {
                self.refuse_all(&Refusal::NoGrant);
                None
            }
            Phase::Loading if !stays => {
                self.refuse_all(&Refusal::NoGrant);
                self.orderable().then(|| self.unload(ids))
            }
            Phase::Ready if !stays => {
                self.enter(Phase::Draining);
                self.drain(ids)
            }
            Phase::Draining if stays => {
                self.enter(Phase::Ready);
                self.pump();
                None
            }
            Phase::Draining => self.drain(ids),
            Phase::Ready => (self.is_cool(reload) && self.orderable()).then(|| self.unload(ids)),
            Phase::Cold | Phase::Loading | Phase::Unloading => None,
        }
    }

    /// Unloads once nothing runs; what waits longer than the drain may take is refused.
    fn drain(&mut self, ids: &mut OrderIds) -> Option<Draft> {
        if self.since.elapsed() >= self.limits.drain {
            self.refuse_all(&Refusal::NoGrant);
        }
        (self.idle() && self.orderable()).then(|| self.unload(ids))
    }

    /// Whether no order is open whose effect could come after a new one's, and none was refused just now.
    pub(crate) fn orderable(&self) -> bool {
        if self.retry > Instant::now() {
            return false;
        }
        let open = |pending: &Pending| !pending.accepted();
        let adapters = self.adapters.values().filter_map(|adapter| adapter.pending.as_ref());
        !self.pending.iter().chain(adapters).any(open)
    }

    fn unload(&mut self, ids: &mut OrderIds) -> Draft {
        self.enter(Phase::Unloading);
        let kind = OrderKind::Unload { artifact: self.artifact.clone() };
        draft(&mut self.pending, ids, false, kind)
    }

    fn unload_adapter(&mut self, name: &AdapterName, ids: &mut OrderIds) -> Option<Draft> {
        let adapter = self.adapters.get_mut(name)?;
        adapter.ready = false;
        let kind =
            OrderKind::UnloadAdapter { artifact: self.artifact.clone(), adapter: name.clone() };
        Some(draft(&mut adapter.pending, ids, false, kind))
    }

    /// The adapters that waiting requests need and nobody has ordered.
    fn adapters_due(&mut self) -> Vec<(ModelName, AdapterName)> {
        self.expect_adapters();
        let now = Instant::now();
        let due = self.adapters.iter().filter(|(name, adapter)| {
            !adapter.ready && adapter.pending.is_none() && adapter.retry <= now && self.needs(name)
        });
        due.map(|(name, _)| (self.artifact.clone(), name.clone())).collect()
    }

    /// The adapter that was idle longest, other than `keep`.
    fn idle_adapter(&self, keep: &AdapterName) -> Option<AdapterName> {
        let idle = self.adapters.iter().filter(|(name, adapter)| {
            *name != keep && adapter.ready && adapter.running == 0 && !self.needs(name)
        });
        idle.min_by_key(|(_, adapter)| adapter.used).map(|(name, _)| name.clone())
    }

    /// Whether somebody waits for the load, rather than a series.
    fn urgent(&self) -> bool {
        self.woken || self.queue.iter().any(|waiting| waiting.class != Class::Series)
    }

    /// Who is loaded first: the most urgent class that waits, then the longest wait.
    fn urgency(&self) -> (Class, Option<Instant>) {
        let first = self.queue.iter().map(|waiting| (waiting.class, Some(waiting.since))).min();
        let nobody = if self.woken { Class::Interactive } else { Class::Series };
        first.unwrap_or((nobody, None))
    }
}
