//! Applies the platform's list of endpoints, read from the store or received from another router.

use std::collections::btree_map::Entry;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use control::{Position, Snapshot};
use events::{Event, emit};
use fleet::{Endpoint, EndpointChange, EndpointStage};
use tokio::time::Instant;
use units::{EndpointId, StorePosition};

use crate::endpoint::{MissingEntry, TrackedEndpoint};
use crate::registry::{EndpointRegistry, EndpointTable};

/// How long after the store's return lapsed entries may come back. An entry that is still missing then is gone.
pub(crate) const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_300);

/// The changes from one read of the list.
#[derive(Debug)]
pub(crate) struct ListUpdate {
    /// The changes, oldest first.
    pub(crate) changes: Vec<EndpointChange>,
    /// Whether this is the whole list, so that endpoints without an entry here are gone.
    pub(crate) complete: bool,
    /// The position up to which the list has been read.
    pub(crate) position: StorePosition,
    /// When the read was sent.
    pub(crate) sent: Instant,
    /// Whether it continues a read that was sent earlier, which tells an earlier end of the list.
    pub(crate) continued: bool,
}

/// Drops entries whose address a later entry has: their endpoints are gone, but stay listed until their entries lapse.
fn newest_at_each_address(mut changes: Vec<EndpointChange>) -> Vec<EndpointChange> {
    let newest: HashMap<SocketAddr, EndpointId> = changes
        .iter()
        .filter_map(|change| match change {
            EndpointChange::Listed(endpoint) => Some((endpoint.addr, endpoint.id.clone())),
            EndpointChange::Removed(_) => None,
        })
        .collect();
    changes.retain(|change| match change {
        EndpointChange::Listed(endpoint) => newest.get(&endpoint.addr) == Some(&endpoint.id),
        EndpointChange::Removed(_) => true,
    });
    changes
}

impl EndpointRegistry {
    /// Applies a read of the list. Endpoints that are gone from it before `until` may only have lapsed while the store was
    /// unreachable. Returns the endpoints whose entries are missing since this read; their health is to be checked.
    pub(crate) fn apply_list(&self, update: ListUpdate, until: Option<Instant>) -> Vec<EndpointId> {
        let now = Instant::now();
        let mut table = self.lock();
        if table.list_loaded && update.position < table.list_position {
            let is_newer = !update.continued && table.was_positioned_before(update.sent);
            if !(update.complete && is_newer) {
                // Later changes have been received from another router meanwhile.
                return Vec::new();
            }
            let (before, read) = (table.list_position, update.position);
            log::warn!(
                "router: the list ends at {read}, before the known position {before}, which was wrong"
            );
        }
        let changes = newest_at_each_address(update.changes);
        let mut gone = BTreeSet::new();
        if update.complete {
            let listed: HashSet<&EndpointId> =
                changes.iter().filter_map(EndpointChange::listed).collect();
            gone.extend(table.map.keys().filter(|id| !listed.contains(id)).cloned());
        }
        for change in changes {
            match change {
                EndpointChange::Listed(endpoint) => {
                    // The entry may have lapsed and come back within one read.
                    gone.remove(&endpoint.id);
                    table.upsert(*endpoint, update.position, now);
                }
                EndpointChange::Removed(id) => {
                    gone.insert(id);
                }
            }
        }
        let mut missing = Vec::new();
        for id in gone {
            match until {
                Some(until) if until > now => {
                    missing.extend(table.mark_missing(&id, until).then_some(id))
                }
                _ => table.remove(&id, "its entry was removed"),
            }
        }
        table.set_list_position(update.position);
        drop(table);
        self.changed.notify_waiters();
        missing
    }

    /// Whether the known position of the list can't be right: a read that was sent after it was set has not reached it.
    pub(crate) fn has_wrong_position(&self, read: StorePosition, sent: Instant) -> bool {
        let table = self.lock();
        table.list_loaded && read < table.list_position && table.was_positioned_before(sent)
    }

    /// Applies what another router knows of the list, unless this one has read further. Returns the endpoints whose entries are
    /// missing; their health is to be checked.
    pub(crate) fn apply_snapshot(&self, snapshot: Snapshot) -> Option<Vec<EndpointId>> {
        let Snapshot { endpoints, unchanged, missing, read, history, .. } = snapshot;
        let mut table = self.lock();
        if table.list_loaded && read <= table.list_position {
            return None;
        }
        let now = Instant::now();
        if let Some(history) = history {
            table.apply_history(&history, now);
        }
        let listed: HashSet<&EndpointId> =
            endpoints.iter().map(|endpoint| &endpoint.id).chain(&unchanged).collect();
        let gone: Vec<EndpointId> =
            table.map.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            table.remove(&id, "another router read that its entry was removed");
        }
        for endpoint in endpoints {
            table.upsert(endpoint, read, now);
        }
        let to_check = missing
            .into_iter()
            .filter(|id| table.mark_missing(id, now + LAPSED_ENTRY_GRACE))
            .collect();
        table.set_list_position(read);
        drop(table);
        self.changed.notify_waiters();
        Some(to_check)
    }

    /// The changes of the list after a position, if the list has been read.
    pub(crate) fn snapshot_since(&self, have: Position) -> Option<Snapshot> {
        let table = self.lock();
        if !table.list_loaded {
            return None;
        }
        if table.list_loaded
            && have.read != StorePosition::default()
            && table.list_position <= have.read
        {
            // Nothing has changed since.
            return Some(Snapshot { read: table.list_position, ..Snapshot::default() });
        }
        let starting = have.read == StorePosition::default();
        let (changed, unchanged): (Vec<&TrackedEndpoint>, Vec<&TrackedEndpoint>) =
            table.map.values().partition(|tracked| tracked.list_position > have.read || starting);
        let missing = table.map.values().filter(|tracked| tracked.missing.is_some());
        let id = |tracked: &TrackedEndpoint| tracked.endpoint.id.clone();
        Some(Snapshot {
            catalog: None,
            missing: missing.map(id).collect(),
            endpoints: changed.into_iter().map(TrackedEndpoint::announced_entry).collect(),
            unchanged: unchanged.into_iter().map(id).collect(),
            read: table.list_position,
            confirmed: None,
            history: starting.then(|| table.history(Instant::now())).flatten(),
        })
    }

    /// When an endpoint whose entry is missing is removed.
    pub(crate) fn missing_until(&self, id: &EndpointId) -> Option<Instant> {
        self.lock().map.get(id)?.missing.map(|missing| missing.until)
    }

    /// Records whether an endpoint whose entry is missing failed its last health check.
    pub(crate) fn set_unhealthy(&self, id: &EndpointId, unhealthy: bool) {
        if let Some(missing) =
            self.lock().map.get_mut(id).and_then(|tracked| tracked.missing.as_mut())
        {
            missing.unhealthy = unhealthy;
        }
        self.changed.notify_waiters();
    }

    /// Removes an endpoint unless its entry has come back.
    pub(crate) fn remove_missing(&self, id: &EndpointId, cause: &str) {
        let mut table = self.lock();
        if table.map.get(id).is_some_and(|tracked| tracked.missing.is_some()) {
            table.remove(id, cause);
        }
    }
}

impl EndpointTable {
    fn set_list_position(&mut self, position: StorePosition) {
        self.list_loaded = true;
        self.list_position = position;
        self.positioned_at = Some(Instant::now());
    }

    /// Whether the position of the list was set before `sent`. The end of the list that the store tells later is not before it, unless
    /// the position was wrong.
    fn was_positioned_before(&self, sent: Instant) -> bool {
        self.positioned_at.is_some_and(|at| at < sent)
    }

    fn upsert(&mut self, endpoint: Endpoint, read: StorePosition, now: Instant) {
        let same_addr: Vec<EndpointId> = self
            .map
            .values()
            .filter(|tracked| {
                tracked.endpoint.addr == endpoint.addr && tracked.endpoint.id != endpoint.id
            })
            .map(|tracked| tracked.endpoint.id.clone())
            .collect();
        for id in same_addr {
            self.remove(&id, "another endpoint is at its address");
        }
        let stage = if endpoint.stage == EndpointStage::Ready { "ready" } else { "draining" };
        let id = endpoint.id.clone();
        let addr = endpoint.addr.to_string();
        let hints = self.past_hints(&id, endpoint.incarnation, now);
        self.remember_version(&id, now);
        let before = match self.map.entry(id.clone()) {
            Entry::Vacant(place) => {
                let tracked = place.insert(TrackedEndpoint::new(endpoint, now));
                tracked.hints = hints;
                tracked.incarnation_since = self.list_loaded.then_some(now);
                None
            }
            Entry::Occupied(mut place) => {
                let before = place.get().endpoint.stage;
                if place.get_mut().apply_entry(endpoint, now) {
                    self.forget_incarnation(&id);
                }
                Some(before)
            }
        };
        if let Some(tracked) = self.map.get_mut(&id) {
            tracked.list_position = read;
        }
        if before.is_none_or(|before| (before == EndpointStage::Ready) != (stage == "ready")) {
            let software = self.map.get(&id).map_or("", |tracked| tracked.software());
            let (endpoint, cause) = (id.as_str(), "");
            emit(&Event::EndpointChanged { endpoint, addr, stage, software, cause });
        }
    }

    /// Marks an endpoint's entry as missing, which may only have lapsed while the store was unreachable. Returns false if it was
    /// marked before.
    fn mark_missing(&mut self, id: &EndpointId, until: Instant) -> bool {
        let Some(tracked) = self.map.get_mut(id).filter(|tracked| tracked.missing.is_none()) else {
            return false;
        };
        tracked.missing = Some(MissingEntry { until, unhealthy: false });
        let (addr, cause) = (tracked.endpoint.addr.to_string(), "the store was unreachable");
        let (endpoint, stage, software) = (id.as_str(), "missing", "");
        emit(&Event::EndpointChanged { endpoint, addr, stage, software, cause });
        true
    }

    fn remove(&mut self, id: &EndpointId, cause: &str) {
        self.remember_version(id, Instant::now());
        let Some(tracked) = self.map.remove(id) else { return };
        self.remember_hints(id, tracked.endpoint.incarnation, tracked.hints);
        self.cold.remove_endpoint(id);
        if let Some(task) = tracked.loader_task {
            task.abort();
        }
        let addr = tracked.endpoint.addr.to_string();
        let (endpoint, stage, software) = (id.as_str(), "gone", "");
        emit(&Event::EndpointChanged { endpoint, addr, stage, software, cause });
    }
}

#[cfg(test)]
mod tests;
