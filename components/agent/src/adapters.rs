//! The adapters next to a replica.

use std::time::Duration;

use edge::OrderKind;
use units::{AdapterName, Size};
use wire::Refusal;

use crate::queue::Waiting;
use crate::replica::{Adapter, Replica};
use crate::settle::Seen;

/// An adapter load that was accepted, but shows no effect for this long, has failed.
const LOAD_LIMIT: Duration = Duration::from_secs(60);

/// The size of an adapter that an older incarnation has loaded.
pub(crate) const UNKNOWN: Size = Size(0);

/// What an inventory says of an adapter's open order.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Settled {
    /// Nothing yet.
    Open,
    /// It has had its effect.
    Done,
    /// It has had none and won't.
    Failed(String),
    /// No reply came, and it can't be under way any more; nobody knows whether it had an effect.
    Lost,
}

impl Replica {
    /// Whether a waiting request needs an adapter.
    pub(crate) fn needs(&self, name: &AdapterName) -> bool {
        let mut needs = self.queue.iter().filter_map(|waiting| waiting.adapter.as_ref());
        needs.any(|need| need.name == *name)
    }

    /// Notes the adapters that waiting requests need; a crash of the endpoint has made it forget them.
    pub(crate) fn expect_adapters(&mut self) {
        for need in self.queue.iter().filter_map(|waiting| waiting.adapter.as_ref()) {
            let adapter = self.adapters.entry(need.name.clone());
            adapter.or_insert_with(|| Adapter::new(need.weights));
        }
    }

    /// Refuses what waits for an adapter.
    pub(crate) fn refuse_adapter(&mut self, name: &AdapterName, refusal: &Refusal) {
        let of =
            |waiting: &Waiting| waiting.adapter.as_ref().is_some_and(|need| need.name == *name);
        for waiting in self.queue.take(of) {
            waiting.slot.refuse(refusal.clone());
        }
    }

    /// Takes over which adapters are ready; gives back the sizes that are confirmed unused.
    pub(crate) fn settle_adapters(&mut self, seen: &Seen, limit: Duration) -> Vec<Size> {
        let loaded = seen.inventory.loaded.iter().find(|l| l.artifact == self.artifact);
        let Some(loaded) = loaded else { return Vec::new() };
        for name in &loaded.adapters {
            self.adapters.entry(name.clone()).or_insert_with(|| Adapter::new(UNKNOWN));
        }
        let names: Vec<AdapterName> = self.adapters.keys().cloned().collect();
        let settle = |name: &AdapterName| {
            let ready = loaded.adapters.contains(name);
            self.settle_adapter(name, ready, seen, limit)
        };
        names.iter().filter_map(settle).collect()
    }

    fn settle_adapter(
        &mut self,
        name: &AdapterName,
        ready: bool,
        seen: &Seen,
        limit: Duration,
    ) -> Option<Size> {
        let adapter = self.adapters.get_mut(name)?;
        let weights = adapter.weights;
        let unloads = adapter.unloads();
        adapter.ready = ready && !unloads;
        match (adapter.settled(ready, seen, limit), unloads) {
            (Settled::Open, _) => None,
            (Settled::Done, false) => {
                adapter.pending = None;
                None
            }
            (Settled::Done, true) => {
                adapter.pending = None;
                if !self.needs(name) {
                    self.adapters.remove(name);
                }
                Some(weights)
            }
            (Settled::Failed(cause), true) => {
                log::warn!("agent: the adapter {name} could not be unloaded: {cause}");
                adapter.pending = None;
                None
            }
            (Settled::Failed(cause), false) => {
                adapter.pending = None;
                self.fail_adapter(name, Some(cause));
                Some(weights)
            }
            (Settled::Lost, _) => {
                if let Some(pending) = &mut adapter.pending {
                    pending.renew();
                }
                None
            }
        }
    }

    /// Refuses what waits for an adapter that can't be loaded; without a cause it is tried again.
    pub(crate) fn fail_adapter(&mut self, name: &AdapterName, cause: Option<String>) {
        if let Some(cause) = cause {
            self.refuse_adapter(name, &Refusal::LoadFailed { cause });
            self.adapters.remove(name);
        }
    }
}

impl Adapter {
    /// Whether its unload is ordered.
    fn unloads(&self) -> bool {
        let kind = self.pending.as_ref().map(|pending| &pending.kind);
        matches!(kind, Some(OrderKind::UnloadAdapter { .. }))
    }

    fn settled(&self, ready: bool, seen: &Seen, limit: Duration) -> Settled {
        let Some(pending) = &self.pending else { return Settled::Open };
        let settled = pending.settled(seen.begun, limit);
        if ready != self.unloads() && (ready || settled) {
            return Settled::Done;
        }
        if let Some(cause) = pending.failure(seen) {
            return Settled::Failed(cause);
        }
        if settled && !pending.accepted() {
            return Settled::Lost;
        }
        if !self.unloads() && settled && pending.first.elapsed() >= LOAD_LIMIT {
            return Settled::Failed("the adapter did not become ready".to_owned());
        }
        Settled::Open
    }
}
