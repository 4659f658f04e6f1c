//! Follows the configuration and the list of endpoints in the platform's store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use clock::Moment;
use events::{Dependency, Event, emit, millis};
use fleet::EndpointChange;
use platform::{Batch, Follower, Store, StoreError, Topic, Update};
use tokio::time::Instant;
use units::{Revision, Span};

use crate::access::MIN_READ_INTERVAL;
use crate::list::{LAPSED_ENTRY_GRACE, ListUpdate};
use crate::shared::{Feed, Shared};
use crate::{loader_task, missing};

/// The part of a bound that a read of the store waits for a change, pauses between reads included. A read is answered
/// as soon as there is a change, but not always: one that begins while a record is written may be answered only when
/// its time is over. A connection may also go silent without a sign, which shows when the client's patience ends.
const PART: f64 = 0.7;
/// The part of the bound on keys that were taken away for which a read waits. What a read proves counts from its sending, so that a proof
/// is up to two of these old when the store falls silent; what is left of the bound is how long keys are served after that.
const PROOF_PART: f64 = 0.17;
/// Changes of the list are read together, at this pace, since each call is paid for.
const LIST_PACE: Duration = Duration::from_millis(1_000);
/// A read waits at least this long, whatever the bound.
const LEAST: Duration = Duration::from_millis(100);
/// Versions in quick succession are read together, at this pace.
const CONFIG_PACE: Duration = Duration::from_millis(150);
/// The first pause after a failed call.
const RETRY: Duration = Duration::from_millis(150);
/// The longest pause, a part of the two seconds within which lapsed entries are back.
const LONGEST: Duration = Duration::from_millis(800);
/// The same for a router that has nothing to serve with yet: each moment costs all requests that come.
const LONGEST_FIRST: Duration = Duration::from_millis(200);

/// So many keys of entries that no server wrote are remembered: more than a deployment has endpoints.
const FOREIGN: usize = 4_096;

/// Whether the store answers, and since when.
#[derive(Debug)]
struct Contact {
    dependency: Dependency,
    away: Option<Instant>,
    pause: Duration,
    returned: Option<Instant>,
}

impl Contact {
    fn new(dependency: Dependency) -> Self {
        Self { dependency, away: None, pause: RETRY, returned: None }
    }

    fn reached(&mut self) {
        events::record_reached(self.dependency);
        self.pause = RETRY;
        let Some(since) = self.away.take() else { return };
        self.returned = Some(Instant::now());
        let after_ms = millis(since.elapsed());
        emit(&Event::Regained { dependency: self.dependency, name: "store", after_ms });
    }

    /// How long a read may wait whose news must be acted on within `bound`, if reads begin `pace` apart: not at all while
    /// the store does not answer, or the read that finds it back is the one after it.
    fn wait(&self, bound: Span, pace: Duration) -> Duration {
        if self.away.is_some() { Duration::ZERO } else { wait(bound, pace) }
    }

    async fn failed(&mut self, error: &StoreError, longest: Duration) {
        if self.away.is_none() {
            let cause = error.to_string();
            emit(&Event::Lost { dependency: self.dependency, name: "store", cause: &cause });
            self.away = Some(Instant::now());
        }
        tokio::time::sleep(self.pause.min(longest)).await;
        self.pause = (self.pause * 2).min(LONGEST);
    }
}

/// The longest pause between failed calls: one that begins right before a silent store returns is given up after the
/// client's patience, and the next one still has to bring the news within `bound`.
fn longest(shared: &Shared, bound: Span) -> Duration {
    let longest = if shared.away_since().is_some() { LONGEST_FIRST } else { LONGEST };
    longest.min(wait(bound, platform::STORE_TIMEOUT))
}

/// The part of `bound` that a read may wait, if reads begin `pace` apart.
fn wait(bound: Span, pace: Duration) -> Duration {
    bound.0.mul_f64(PART).saturating_sub(pace).max(LEAST)
}

/// Follows the configuration for as long as the process runs.
pub(crate) async fn follow_config(shared: Arc<Shared>, store: Store) {
    let mut follower = Follower::new(store, Topic::Config);
    let mut contact = Contact::new(Dependency::Configuration);
    let mut newest = None;
    let mut ask_next = Instant::now();
    let mut asked = false;
    loop {
        let wait = if asked { Duration::ZERO } else { config_wait(&shared, &contact) };
        let sent = Moment::now();
        let next = tokio::select! {
            next = follower.next(wait) => next,
            () = key_asked(&shared, ask_next), if !asked => {
                asked = true;
                continue;
            }
        };
        if std::mem::take(&mut asked) {
            ask_next = Instant::now() + MIN_READ_INTERVAL;
        }
        let bounds = shared.settings.borrow().bounds;
        match next {
            Ok(batch) => {
                contact.reached();
                let fresh = take_config(&shared, batch, &mut newest);
                // A store that has less than what is in force, or nothing that can be read, proves nothing.
                if newest.is_some() && newest == shared.current().map(|current| current.version) {
                    shared.access.record_read(sent);
                }
                shared.record_store_read(Feed::Configuration, true);
                tokio::time::sleep(if fresh { CONFIG_PACE } else { Duration::ZERO }).await;
            }
            Err(error) => {
                shared.record_store_read(Feed::Configuration, false);
                contact.failed(&error, longest(&shared, bounds.apply)).await;
            }
        }
        if shared.current().is_none() {
            tokio::time::sleep(RETRY).await;
        }
    }
}

/// How long a read of the configuration waits for a version.
fn config_wait(shared: &Shared, contact: &Contact) -> Duration {
    let bounds = shared.settings.borrow().bounds;
    let wait = contact.wait(bounds.apply, Duration::ZERO);
    let managed = shared.current().is_some_and(|catalog| catalog.workspaces.is_some());
    match bounds.revoke {
        Some(Span(bound)) if managed => wait.min(bound.mul_f64(PROOF_PART)),
        _ => wait,
    }
}

/// Waits for a request whose key may be newer than what has been read, from a moment on.
async fn key_asked(shared: &Shared, from: Instant) {
    tokio::time::sleep_until(from).await;
    shared.access.read_requested.notified().await;
}

/// `newest` is the version of the newest record, as far as that can be read.
fn take_config(shared: &Shared, batch: Batch, newest: &mut Option<Revision>) -> bool {
    let mut fresh = false;
    if batch.complete {
        // A store that has come back from a copy may have none.
        *newest = None;
    }
    for news in batch.updates {
        match news {
            Update::Config(catalog) => {
                *newest = Some(catalog.version);
                fresh |= adopt(shared, catalog);
            }
            Update::InvalidConfig(cause) => {
                *newest = None;
                emit(&Event::Unreadable { dependency: Dependency::Configuration, cause: &cause });
            }
            Update::Endpoint(_) | Update::InvalidEndpoint(..) | Update::Record(..) => {}
        }
    }
    fresh
}

/// Puts a version in force, unless a newer one is.
pub(crate) fn adopt(shared: &Shared, catalog: Catalog) -> bool {
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
    let known = current.as_ref().and_then(|current| current.workspaces.as_ref());
    shared.access.update_revoked(known, catalog.workspaces.as_ref());
    shared.catalog.send_replace(Some(Arc::new(catalog)));
    emit(&Event::Configured { version, before, routes });
    shared.known.changed.notify_waiters();
    true
}

/// Follows the list of endpoints for as long as the process runs.
pub(crate) async fn follow_members(shared: Arc<Shared>, store: Store) {
    let mut follower = Follower::new(store, Topic::Endpoints);
    let mut contact = Contact::new(Dependency::Membership);
    let mut foreign = BTreeSet::new();
    loop {
        let bounds = shared.settings.borrow().bounds;
        follower.skip_to(shared.known.lock().list_position);
        match follower.next(contact.wait(bounds.drain, LIST_PACE)).await {
            Ok(batch) => {
                contact.reached();
                if batch.restored {
                    // What servers wrote since the copy was made, they write again.
                    contact.returned = Some(Instant::now());
                    let (before, read) =
                        (shared.known.lock().list_position.to_string(), batch.position.to_string());
                    let (before, read) = (before.as_str(), read.as_str());
                    emit(&Event::Restored { dependency: Dependency::Membership, before, read });
                }
                let until = contact.returned.map(|returned| returned + LAPSED_ENTRY_GRACE);
                let more = batch.has_more;
                take_members(&shared, batch, until, &mut foreign);
                shared.record_store_read(Feed::Membership, true);
                // What is left of a long absence is not put off.
                tokio::time::sleep(if more { Duration::ZERO } else { LIST_PACE }).await;
            }
            Err(error) => {
                shared.record_store_read(Feed::Membership, false);
                contact.failed(&error, longest(&shared, bounds.drain)).await;
            }
        }
    }
}

/// `foreign` holds the keys of entries that no server wrote, so that each is told of when it appears and not with each
/// read of the whole list.
fn take_members(
    shared: &Arc<Shared>,
    batch: Batch,
    until: Option<Instant>,
    foreign: &mut BTreeSet<String>,
) {
    let mut changes = Vec::new();
    for news in batch.updates {
        match news {
            Update::Endpoint(change) => {
                if let EndpointChange::Listed(endpoint) = &change {
                    foreign.remove(endpoint.id.as_str());
                }
                changes.push(change);
            }
            Update::InvalidEndpoint(key, cause) => {
                // It may stand where an endpoint was.
                changes.extend(key.parse().map(EndpointChange::Removed));
                if foreign.len() < FOREIGN && foreign.insert(key) {
                    emit(&Event::Unreadable { dependency: Dependency::Membership, cause: &cause });
                }
            }
            Update::Config(_) | Update::InvalidConfig(_) | Update::Record(..) => {}
        }
    }
    let news = ListUpdate { changes, whole: batch.complete, read: batch.position };
    let missing = shared.known.apply_list(news, until);
    missing::ask(shared, missing);
    loader_task::start_new(shared);
}
