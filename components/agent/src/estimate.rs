//! What the agent has learned of how long loads and requests take.

use std::time::Duration;

use edge::CacheTier;
use units::Size;

/// How long a request is taken to run where none has been seen, when it is asked whether to wake a replica.
const UNSEEN: Duration = Duration::from_secs(1);

/// The weight of a new observation.
const WEIGHT: f64 = 0.25;

/// A moving average of observed spans.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Average(Option<Duration>);

impl Average {
    pub(crate) fn add(&mut self, span: Duration) {
        let next = match self.0 {
            None => span,
            Some(old) => old.mul_f64(1.0 - WEIGHT) + span.mul_f64(WEIGHT),
        };
        self.0 = Some(next);
    }

    pub(crate) fn get(self) -> Option<Duration> {
        self.0
    }
}

/// Loads seen from one tier.
#[derive(Debug, Clone, Copy, Default)]
struct Loads {
    /// How long they took.
    span: Average,
    /// How long a gibibyte of weights took.
    pace: Average,
}

impl Loads {
    fn add(&mut self, weights: Size, span: Duration) {
        self.span.add(span);
        self.pace.add(span.div_f64(gib(weights)));
    }

    /// How long weights of a size take. Small loads spend most of their time on what does not grow with the size, so
    /// the pace says too much of larger ones; what is not known must not refuse anybody.
    fn get(self, weights: Size) -> Option<Duration> {
        let by_size = self.pace.get()?.mul_f64(gib(weights));
        Some(by_size.min(self.span.get()?))
    }
}

/// Gibibytes; at least one mebibyte, so that it can divide.
fn gib(size: Size) -> f64 {
    size.0.max(Size::mib(1).0) as f64 / Size::gib(1).0 as f64
}

/// Load times by cache tier; cheap to copy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadTimes {
    memory: Loads,
    disk: Loads,
    remote: Loads,
}

impl LoadTimes {
    /// Notes a load.
    pub(crate) fn add(&mut self, tier: CacheTier, weights: Size, span: Duration) {
        let loads = match tier {
            CacheTier::Memory => &mut self.memory,
            CacheTier::Disk => &mut self.disk,
            CacheTier::Remote => &mut self.remote,
        };
        loads.add(weights, span);
    }

    /// The time that a load of weights takes from a tier; a faster tier's stands in for one not seen yet.
    pub(crate) fn get(&self, tier: CacheTier, weights: Size) -> Duration {
        let slower_first = match tier {
            CacheTier::Memory => [self.memory; 3],
            CacheTier::Disk => [self.disk, self.memory, self.memory],
            CacheTier::Remote => [self.remote, self.disk, self.memory],
        };
        slower_first.into_iter().find_map(|loads| loads.get(weights)).unwrap_or_default()
    }
}

/// What a wait is made of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    /// What is left of the load.
    pub(crate) load: Duration,
    /// Requests that start before.
    pub(crate) ahead: usize,
    /// Requests that run now.
    pub(crate) running: usize,
    /// How many run at once.
    pub(crate) batch: usize,
    /// How long one runs, once one has.
    pub(crate) service: Option<Duration>,
}

impl Wait {
    /// How long a new request would wait until it starts.
    pub(crate) fn estimate(self) -> Duration {
        self.load + self.service.unwrap_or_default().mul_f64(self.rounds())
    }

    /// How much of it is spent behind other requests rather than on the load.
    pub(crate) fn behind(self) -> Duration {
        self.service.unwrap_or(UNSEEN).mul_f64(self.rounds())
    }

    /// How many times the batch turns over first.
    fn rounds(self) -> f64 {
        let batch = self.batch.max(1);
        let over = (self.ahead + self.running + 1).saturating_sub(batch);
        over as f64 / batch as f64
    }
}

#[cfg(test)]
mod tests;
