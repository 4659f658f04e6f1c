//! Measures how long the thread of a program is idle.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// The processor time that this process has used; zero if the system does not tell.
pub fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// Sums the time during which the thread of a runtime has nothing to do.
///
/// Unlike the processor time of the process, it shows how much of the machine is left whatever share of a core the process
/// gets: while the process has work and is not scheduled, it is not idle.
#[derive(Debug)]
pub struct IdleMeter(Mutex<State>);

#[derive(Debug)]
struct State {
    /// The idle time up to `changed_at`.
    total: Duration,
    is_idle: bool,
    changed_at: Instant,
}

/// A reading of an [`IdleMeter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleReading {
    /// When the meter was read.
    pub at: Instant,
    /// The idle time until then.
    pub total: Duration,
    /// For how long the thread has been busy without a break.
    pub busy_for: Duration,
}

impl Default for IdleMeter {
    fn default() -> Self {
        let (total, is_idle) = (Duration::ZERO, false);
        Self(Mutex::new(State { total, is_idle, changed_at: Instant::now() }))
    }
}

impl IdleMeter {
    /// Records that the thread has begun to wait.
    pub(crate) fn begin(&self) {
        self.set_idle(true);
    }

    /// Records that the thread has been woken.
    pub(crate) fn end(&self) {
        self.set_idle(false);
    }

    /// Reads the meter; to be called by the thread that is measured.
    pub fn read(&self) -> IdleReading {
        let (state, at) = (self.lock(), Instant::now());
        IdleReading { at, total: state.total, busy_for: at.duration_since(state.changed_at) }
    }

    fn set_idle(&self, is_idle: bool) {
        let (mut state, now) = (self.lock(), Instant::now());
        if state.is_idle {
            let idle_for = now.duration_since(state.changed_at);
            state.total += idle_for;
        }
        (state.is_idle, state.changed_at) = (is_idle, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
