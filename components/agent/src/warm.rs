//! How long replicas stay loaded: by their own idle gaps, and for closing windows.

use std::time::Duration;

use jiff::Timestamp;
use policy::{Costs, Gaps, KeepWarm, NeededReplica};
use tokio::time::Instant;

use crate::desk::Desk;
use crate::replica::{Limits, Phase, Replica};

/// A replica stays at least so long: the requests of one burst come through several entries.
const LEAST: Duration = Duration::from_secs(5);

/// What keeps a replica loaded while nobody asks for it.
#[derive(Debug, Default)]
pub(crate) struct Warmth {
    gaps: Gaps,
    idle: Option<Instant>,
    /// The opening of the closing window that needs it now.
    window: Option<Timestamp>,
    /// The opening for which it was loaded last.
    opened: Option<Timestamp>,
}

impl Warmth {
    /// Notes that a request came.
    pub(crate) fn came(&mut self) {
        if let Some(since) = self.idle.take() {
            self.gaps.add(since.elapsed());
        }
    }

    /// Notes that the last request ended.
    pub(crate) fn rests(&mut self) {
        self.idle = Some(Instant::now());
    }

    /// Whether a closing window needs it now.
    pub(crate) fn is_held(&self) -> bool {
        self.window.is_some()
    }

    /// Whether it must be loaded for a window. Once it has been, a window alone does not load it again, so
    /// that it does not chase those that it gave way to.
    pub(crate) fn is_due(&self) -> bool {
        self.window.is_some() && self.window != self.opened
    }

    /// Notes which window needs it, if any, and whether it is loaded.
    pub(crate) fn hold(&mut self, window: Option<Timestamp>, ready: bool) {
        self.window = window;
        if ready && window.is_some() {
            self.opened = window;
        }
    }

    /// How long it stays loaded after its last request, if a reload takes `reload`.
    pub(crate) fn stay(&self, limits: &Limits, reload: Duration) -> Duration {
        let most = limits.keep_warm;
        if reload.is_zero() {
            return most;
        }
        let (cold_weight, idle_weight) = (limits.cold_weight, limits.idle_weight);
        let costs = Costs { cold_start: reload, cold_start_weight: cold_weight, idle_weight };
        KeepWarm::Cheapest.keep_time(&self.gaps, &costs, most).max(LEAST.min(most))
    }
}

impl Replica {
    /// Whether it has been idle for longer than it is worth.
    pub(crate) fn is_cool(&self, reload: Duration) -> bool {
        let stay = self.warmth.stay(&self.limits, reload);
        self.idle() && !self.warmth.is_held() && self.used.elapsed() >= stay
    }
}

impl Desk {
    /// Takes over what closing windows need here.
    pub(crate) fn hold(&mut self, needs: &[NeededReplica]) {
        for replica in self.replicas.values_mut() {
            let index = replica.grant.as_ref().filter(|held| !held.revoked).map(|held| held.index);
            let own =
                |need: &&NeededReplica| need.model == replica.model && Some(need.index) == index;
            let window = needs.iter().find(own).map(|need| need.opens);
            replica.warmth.hold(window, replica.phase == Phase::Ready);
        }
    }
}

#[cfg(test)]
mod tests;
