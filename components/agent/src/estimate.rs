//! What the agent has learned of how long loads and requests take.

use std::time::Duration;

use platform::CacheTier;

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

/// Load times by cache tier; cheap to copy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadTimes {
    memory: Average,
    disk: Average,
    remote: Average,
}

impl LoadTimes {
    fn tier(&mut self, tier: CacheTier) -> &mut Average {
        match tier {
            CacheTier::Memory => &mut self.memory,
            CacheTier::Disk => &mut self.disk,
            CacheTier::Remote => &mut self.remote,
        }
    }

    pub(crate) fn add(&mut self, tier: CacheTier, span: Duration) {
        self.tier(tier).add(span);
    }

    /// The time a load takes from a tier; a faster tier's stands in for one not seen yet.
    pub(crate) fn get(&self, tier: CacheTier) -> Duration {
        let known = match tier {
            CacheTier::Memory => self.memory.get(),
            CacheTier::Disk => self.disk.get().or(self.memory.get()),
            CacheTier::Remote => self.remote.get().or(self.disk.get()).or(self.memory.get()),
        };
        known.unwrap_or_default()
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
