//! What kept the routers of a soak from doing what they promise.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// A router was kept from the store or from others, stood still or started again.
#[derive(Debug, Clone, Copy)]
struct Disturbed {
    /// All of them if none is named.
    router: Option<usize>,
    from: Instant,
    /// Not yet over if none.
    until: Option<Instant>,
}

/// What disturbed routers, and until when.
#[derive(Debug, Default)]
pub(super) struct Disturbances(Mutex<Vec<Disturbed>>);

impl Disturbances {
    fn lock(&self) -> MutexGuard<'_, Vec<Disturbed>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Something begins to disturb a router, or all.
    pub(super) fn begin(&self, router: Option<usize>) {
        self.lock().push(Disturbed { router, from: Instant::now(), until: None });
    }

    /// What disturbs a router, or all, is over.
    pub(super) fn end(&self, router: Option<usize>) {
        for one in self.lock().iter_mut().filter(|one| one.router == router) {
            one.until.get_or_insert_with(Instant::now);
        }
    }

    /// All are disturbed, and it is over at once.
    pub(super) fn note_moment(&self) {
        let now = Instant::now();
        self.lock().push(Disturbed { router: None, from: now, until: Some(now) });
    }

    /// Whether there was something between two moments that concerns one of these, or all if none is named.
    pub(super) fn any(
        &self,
        from: Instant,
        to: Instant,
        whom: impl Fn(Option<usize>) -> bool,
    ) -> bool {
        self.lock().iter().any(|one| {
            whom(one.router) && one.from <= to && one.until.is_none_or(|until| until >= from)
        })
    }
}
