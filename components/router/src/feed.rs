//! Follows the configuration and the list of endpoints in the platform's store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use clock::Moment;
use events::{Dependency, Event, emit, millis};
use fleet::EndpointChange;
use platform::{Batch, StoreError, Topic, Update};
use tokio::time::Instant;
use units::{EndpointId, Revision, Span};

use crate::access::MIN_READ_INTERVAL;
use crate::list::{LAPSED_ENTRY_GRACE, ListUpdate};
use crate::shared::{Feed, Shared};
use crate::topic_source::TopicSource;
use crate::{hints, loader_task, missing, origins};

/// The share of a time bound for which a read of the store waits for a change, including the pause between reads. A read is
/// answered as soon as something changes, but not always: a read that begins while a record is written may be answered
/// only when its wait is over. A connection may also go silent unnoticed, which shows only when the client times out.
const READ_WAIT_SHARE: f64 = 0.7;
/// The share of the bound on revoked keys for which a read waits. A read confirms the state of the store at the time when it
/// was sent, so the last confirmation is up to two such waits old when the store becomes unreachable. Keys are accepted for
/// what is left of the bound after that.
const REVOKE_WAIT_SHARE: f64 = 0.17;
/// Pause between reads of the list: changes within it are read together, since each call to the store is paid for.
const LIST_READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// The shortest wait of a read, whatever the bound.
const MIN_READ_WAIT: Duration = Duration::from_millis(100);
/// Pause after a new version of the configuration, so that versions in quick succession are read together.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(150);
/// A read of the configuration that brought no new version before its wait was over is not repeated sooner than this.
const MIN_IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// The first pause after a failed call.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause between failed calls, a part of the two seconds within which lapsed entries come back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// The same for a router that has no configuration or list yet: every moment costs all requests that arrive.
const MAX_START_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How many invalid list entries are reported at once: more than a deployment has endpoints. Other writers may leave thousands a second,
/// whose lines would displace others.
const MAX_REPORTS: u32 = 512;
/// After how long another one is reported if there are more.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The most remembered keys of reported entries.
const MAX_REPORTED_KEYS: usize = 4_096;

/// Whether the store answers one feed's calls, and since when it does or does not.
#[derive(Debug)]
struct StoreContact {
    dependency: Dependency,
    lost_since: Option<Instant>,
    retry_pause: Duration,
    returned_at: Option<Instant>,
}

impl StoreContact {
    fn new(dependency: Dependency) -> Self {
        Self { dependency, lost_since: None, retry_pause: FIRST_RETRY_PAUSE, returned_at: None }
    }

    fn record_success(&mut self) {
        events::record_reached(self.dependency);
        self.retry_pause = FIRST_RETRY_PAUSE;
        let Some(since) = self.lost_since.take() else { return };
        self.returned_at = Some(Instant::now());
        let after_ms = millis(since.elapsed());
        emit(&Event::DependencyRegained { dependency: self.dependency, name: "store", after_ms });
    }

    /// How long a read may wait if its changes must be acted on within `bound` and reads begin `pace` apart. A read doesn't
    /// wait at all while the store does not answer: otherwise its return would be noticed only by the next read.
    fn read_wait(&self, bound: Span, pace: Duration) -> Duration {
        if self.lost_since.is_some() { Duration::ZERO } else { read_wait(bound, pace) }
    }

    async fn back_off(&mut self, error: &StoreError, longest: Duration) {
        if self.lost_since.is_none() {
            let cause = error.to_string();
            emit(&Event::DependencyLost {
                dependency: self.dependency,
                name: "store",
                cause: &cause,
            });
            self.lost_since = Some(Instant::now());
        }
        tokio::time::sleep(self.retry_pause.min(longest)).await;
        self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// The invalid list entries that have been reported, so that each is reported when it appears and not each time that it is read.
#[derive(Debug)]
struct InvalidEntries {
    reported: BTreeSet<String>,
    /// When the reports so far no longer count against the limit.
    all_possible_at: Instant,
    /// How many have not been reported since the last report.
    skipped: u64,
}

impl InvalidEntries {
    fn new(now: Instant) -> Self {
        Self { reported: BTreeSet::new(), all_possible_at: now, skipped: 0 }
    }

    /// Returns whether an entry is to be reported, and if so, how many others have not been before it.
    fn add(&mut self, key: String, now: Instant) -> Option<u64> {
        if self.reported.contains(&key) {
            return None;
        }
        let next = self.all_possible_at.max(now) + REPORT_INTERVAL;
        if next > now + REPORT_INTERVAL * MAX_REPORTS {
            self.skipped += 1;
            return None;
        }
        self.all_possible_at = next;
        if self.reported.len() == MAX_REPORTED_KEYS {
            // Entries that are still there are reported again, within the same limit.
            self.reported.clear();
        }
        self.reported.insert(key);
        Some(std::mem::take(&mut self.skipped))
    }

    /// Forgets an entry that is valid or removed.
    fn remove(&mut self, id: &EndpointId) {
        self.reported.remove(id.as_str());
    }
}

/// The longest pause between failed calls. A call that begins right before an unresponsive store returns fails only at the
/// client's timeout, and the next call still has to deliver the changes within `bound`.
fn max_retry_pause(shared: &Shared, bound: Span) -> Duration {
    let longest =
        if shared.unreachable_since().is_some() { MAX_START_RETRY_PAUSE } else { MAX_RETRY_PAUSE };
    longest.min(read_wait(bound, platform::STORE_TIMEOUT))
}

/// How long a read may wait within `bound` if reads begin `pace` apart.
fn read_wait(bound: Span, pace: Duration) -> Duration {
    bound.0.mul_f64(READ_WAIT_SHARE).saturating_sub(pace).max(MIN_READ_WAIT)
}

/// Follows the configuration until the process ends.
pub(crate) async fn follow_config(shared: Arc<Shared>) {
    let mut source = TopicSource::new(shared.clone(), Topic::Config);
    let mut contact = StoreContact::new(Dependency::Configuration);
    let mut newest = None;
    let mut next_ask = Instant::now();
    let mut asked = false;
    loop {
        let wait = if asked { Duration::ZERO } else { config_wait(&shared, &contact) };
        let sent = Moment::now();
        let next = tokio::select! {
            next = read_config(&shared, &mut source, wait) => next,
            () = newer_key_requested(&shared, next_ask), if !asked => {
                asked = true;
                continue;
            }
        };
        if std::mem::take(&mut asked) {
            next_ask = Instant::now() + MIN_READ_INTERVAL;
        }
        let bounds = shared.settings.borrow().bounds;
        match next {
            Ok(batch) => {
                contact.record_success();
                let more = batch.has_more;
                let fresh = apply_config(&shared, batch, &mut newest);
                // A store whose newest version is not the one in force, or can't be read, confirms nothing. A mirror confirms only
                // what was written before its own last read.
                if !source.is_mirrored()
                    && newest.is_some()
                    && newest == shared.current().map(|current| current.version)
                {
                    shared.access.record_read(sent);
                }
                shared.record_store_read(Feed::Configuration, true);
                let pause = if fresh {
                    CONFIG_READ_INTERVAL
                } else if more || source.is_mirrored() {
                    Duration::ZERO
                } else {
                    // Other writers may leave records of their own, and a store may answer without the wait.
                    wait.min(MIN_IDLE_INTERVAL).saturating_sub(sent.elapsed())
                };
                tokio::time::sleep(pause).await;
            }
            Err(error) => {
                shared.record_store_read(Feed::Configuration, false);
                contact.back_off(&error, max_retry_pause(&shared, bounds.apply)).await;
            }
        }
        if shared.current().is_none() {
            tokio::time::sleep(FIRST_RETRY_PAUSE).await;
        }
    }
}

/// Reads the next versions of the configuration. A configuration with workspaces is read from the store itself: keys are served
/// only as long as this router can prove that they have not been revoked.
async fn read_config(
    shared: &Shared,
    source: &mut TopicSource,
    wait: Duration,
) -> Result<Batch, StoreError> {
    if shared.current().is_some_and(|catalog| catalog.workspaces.is_some()) {
        return source.follow_store(wait).await;
    }
    let Span(bound) = shared.settings.borrow().bounds.apply;
    source.next(bound, wait).await
}

/// How long a read of the configuration waits for a new version.
fn config_wait(shared: &Shared, contact: &StoreContact) -> Duration {
    let bounds = shared.settings.borrow().bounds;
    let wait = contact.read_wait(bounds.apply, Duration::ZERO);
    let managed = shared.current().is_some_and(|catalog| catalog.workspaces.is_some());
    match bounds.revoke {
        Some(Span(bound)) if managed => wait.min(bound.mul_f64(REVOKE_WAIT_SHARE)),
        _ => wait,
    }
}

/// Waits, from an instant on, for a request with a key that may be newer than the configuration that has been read.
async fn newer_key_requested(shared: &Shared, from: Instant) {
    tokio::time::sleep_until(from).await;
    shared.access.read_requested.notified().await;
}

/// Applies a read of the configuration. `newest` is the version of the newest record, if that could be read.
fn apply_config(shared: &Shared, batch: Batch, newest: &mut Option<Revision>) -> bool {
    let mut fresh = false;
    if batch.complete {
        // A store that was restored from a copy may have no configuration.
        *newest = None;
    }
    for update in batch.updates {
        match update {
            Update::Config(catalog) => {
                *newest = Some(catalog.version);
                fresh |= adopt_catalog(shared, catalog);
            }
            Update::InvalidConfig(cause) => {
                *newest = None;
                emit(&Event::Unreadable { dependency: Dependency::Configuration, cause: &cause });
            }
            Update::Endpoint(_)
            | Update::InvalidEndpoint(..)
            | Update::Record(..)
            | Update::InvalidRecord(..) => {}
        }
    }
    fresh
}

/// Puts a version of the configuration in force unless a newer one already is.
pub(crate) fn adopt_catalog(shared: &Shared, catalog: Catalog) -> bool {
    let current = shared.current();
    let before = current.as_ref().map_or(0, |current| current.version.0);
    let version = catalog.version.0;
    if version <= before {
        if version < before {
            emit(&Event::Outdated { version, current: before });
        }
        return false;
    }
    let routes = catalog.routes().count();
    let limit = catalog.limits.body_bytes;
    let largest = shared.intake_capacity(limit).largest_body();
    if limit > largest {
        emit(&Event::BodiesTooLarge { limit_bytes: limit, memory_bytes: largest });
    }
    let known = current.as_ref().and_then(|current| current.workspaces.as_ref());
    shared.access.update_revoked(known, catalog.workspaces.as_ref());
    shared.catalog.send_replace(Some(Arc::new(catalog)));
    emit(&Event::Configured { version, before, routes });
    shared.endpoints.changed.notify_waiters();
    true
}

/// Follows the list of endpoints until the process ends.
pub(crate) async fn follow_members(shared: Arc<Shared>) {
    let mut source = TopicSource::new(shared.clone(), Topic::Endpoints);
    let mut contact = StoreContact::new(Dependency::Membership);
    let mut invalid = InvalidEntries::new(Instant::now());
    let mut more = false;
    loop {
        let bounds = shared.settings.borrow().bounds;
        let known = shared.endpoints.lock().list_position;
        source.follower().skip_to(known);
        let wait =
            if more { Duration::ZERO } else { contact.read_wait(bounds.drain, LIST_READ_INTERVAL) };
        let sent = Instant::now();
        match source.next(bounds.drain.0, wait).await {
            Ok(batch) => {
                contact.record_success();
                if !batch.has_more {
                    // A mirror may not have read the store for as long as the bound allows.
                    let age = if source.is_mirrored() { bounds.drain.0 } else { Duration::ZERO };
                    let confirmed = &mut shared.endpoints.lock().list_confirmed;
                    *confirmed = sent.checked_sub(age).max(*confirmed);
                }
                contact.returned_at = contact.returned_at.max(source.regained());
                if batch.restored {
                    // Endpoints write their entries again that they had written since the copy was made.
                    contact.returned_at = Some(Instant::now());
                    let (before, read) = (
                        shared.endpoints.lock().list_position.to_string(),
                        batch.position.to_string(),
                    );
                    let (before, read) = (before.as_str(), read.as_str());
                    emit(&Event::StoreRestored {
                        dependency: Dependency::Membership,
                        before,
                        read,
                    });
                }
                if !batch.complete && shared.endpoints.has_wrong_position(batch.position, sent) {
                    // Records can't continue what is known up to a wrong position.
                    source.follower().read_anew();
                }
                let until = contact.returned_at.map(|returned| returned + LAPSED_ENTRY_GRACE);
                more = batch.has_more;
                apply_members(&shared, batch, sent, until, &mut invalid);
                shared.record_store_read(Feed::Membership, true);
                // Changes that are left after a long time without the store are read without a pause.
                let at_once = more || source.is_mirrored();
                tokio::time::sleep(if at_once { Duration::ZERO } else { LIST_READ_INTERVAL }).await;
            }
            Err(error) => {
                shared.record_store_read(Feed::Membership, false);
                contact.back_off(&error, max_retry_pause(&shared, bounds.drain)).await;
            }
        }
    }
}

/// Applies a read of the list.
fn apply_members(
    shared: &Arc<Shared>,
    batch: Batch,
    sent: Instant,
    until: Option<Instant>,
    invalid: &mut InvalidEntries,
) {
    let mut changes = Vec::new();
    for update in batch.updates {
        match update {
            Update::Endpoint(change) => {
                match &change {
                    EndpointChange::Listed(endpoint) => invalid.remove(&endpoint.id),
                    EndpointChange::Removed(id) => invalid.remove(id),
                }
                changes.push(change);
            }
            Update::InvalidEndpoint(key, cause) => {
                // The invalid entry may have replaced that of an endpoint.
                changes.extend(key.parse().map(EndpointChange::Removed));
                let Some(skipped) = invalid.add(key, Instant::now()) else { continue };
                let cause = match skipped {
                    0 => cause,
                    _ => format!("{cause}; {skipped} others before it were not reported"),
                };
                emit(&Event::Unreadable { dependency: Dependency::Membership, cause: &cause });
            }
            Update::Config(_)
            | Update::InvalidConfig(_)
            | Update::Record(..)
            | Update::InvalidRecord(..) => {}
        }
    }
    let Batch { complete, has_more, position, .. } = batch;
    let continued = complete && has_more;
    let update = ListUpdate { changes, complete, position, sent, continued };
    let missing = shared.endpoints.apply_list(update, until);
    missing::watch(shared, missing);
    hints::settle_all(shared);
    loader_task::start_new(shared);
    origins::update_keepers(shared);
}

#[cfg(test)]
mod tests;
