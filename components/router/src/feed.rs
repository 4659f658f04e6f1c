//! Follows the configuration and the list of endpoints in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use catalog::Catalog;
use events::{Dependency, Event, emit, millis};
use platform::{Batch, Follower, News, Store, StoreError, Topic};
use tokio::time::Instant;

use crate::known::LAPSE;
use crate::shared::Shared;

/// How long a read waits for a change. A connection may go silent without a sign: with the client's own patience that
/// shows after three and a half seconds, a second and a half before the strictest bound on a change ends, which
/// counts from three seconds after the silence began.
const WAIT: Duration = Duration::from_millis(2_500);
/// Changes of the list are read together, at this pace, since each call is paid for; an endpoint that leaves must get
/// nothing two seconds later.
const LIST_PACE: Duration = Duration::from_millis(1_000);
/// Versions in quick succession are read together, at this pace.
const CONFIG_PACE: Duration = Duration::from_millis(150);
/// The first pause after a failed call.
const RETRY: Duration = Duration::from_millis(150);
/// The longest pause, a part of the two seconds within which lapsed entries are back.
const LONGEST: Duration = Duration::from_millis(800);

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
        self.pause = RETRY;
        let Some(since) = self.away.take() else { return };
        self.returned = Some(Instant::now());
        let after_ms = millis(since.elapsed());
        emit(&Event::Regained { dependency: self.dependency, name: "store", after_ms });
    }

    async fn failed(&mut self, error: &StoreError) {
        if self.away.is_none() {
            let cause = error.to_string();
            emit(&Event::Lost { dependency: self.dependency, name: "store", cause: &cause });
            self.away = Some(Instant::now());
        }
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST);
    }
}

/// Follows the configuration for as long as the process runs.
pub(crate) async fn config(shared: Arc<Shared>, store: Store) {
    let mut follower = Follower::new(store, Topic::Config);
    let mut contact = Contact::new(Dependency::Configuration);
    loop {
        match follower.next(WAIT).await {
            Ok(batch) => {
                contact.reached();
                let fresh = take_config(&shared, batch);
                tokio::time::sleep(if fresh { CONFIG_PACE } else { Duration::ZERO }).await;
            }
            Err(error) => contact.failed(&error).await,
        }
        if shared.current().is_none() {
            tokio::time::sleep(RETRY).await;
        }
    }
}

fn take_config(shared: &Shared, batch: Batch) -> bool {
    let mut fresh = false;
    for news in batch.news {
        match news {
            News::Config(catalog) => fresh |= adopt(shared, catalog),
            News::Unreadable(cause) => {
                emit(&Event::Unreadable { dependency: Dependency::Configuration, cause: &cause });
            }
            News::Member(_) => {}
        }
    }
    fresh
}

/// Puts a version in force, unless a newer one is.
pub(crate) fn adopt(shared: &Shared, catalog: Catalog) -> bool {
    let before = shared.current().map_or(0, |current| current.version.0);
    let version = catalog.version.0;
    if version <= before {
        if version < before {
            emit(&Event::Outdated { version, current: before });
        }
        return false;
    }
    let routes = catalog.routes().count();
    shared.catalog.send_replace(Some(Arc::new(catalog)));
    emit(&Event::Configured { version, before, routes });
    shared.known.changed.notify_waiters();
    true
}

/// Follows the list of endpoints for as long as the process runs.
pub(crate) async fn members(shared: Arc<Shared>, store: Store) {
    let mut follower = Follower::new(store, Topic::Servers);
    let mut contact = Contact::new(Dependency::Membership);
    loop {
        match follower.next(WAIT).await {
            Ok(batch) => {
                contact.reached();
                let until = contact.returned.map(|returned| returned + LAPSE);
                take_members(&shared, batch, until);
                tokio::time::sleep(LIST_PACE).await;
            }
            Err(error) => contact.failed(&error).await,
        }
        shared.known.expire();
    }
}

fn take_members(shared: &Arc<Shared>, batch: Batch, until: Option<Instant>) {
    let mut changes = Vec::new();
    for news in batch.news {
        match news {
            News::Member(change) => changes.push(change),
            News::Unreadable(cause) => {
                emit(&Event::Unreadable { dependency: Dependency::Membership, cause: &cause });
            }
            News::Config(_) => {}
        }
    }
    shared.known.apply(changes, batch.whole, until);
    crate::peer::follow_new(shared);
}
