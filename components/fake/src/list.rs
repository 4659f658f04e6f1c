//! The instance list in memory.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use edge::{Instance, InstanceList, InstanceState, ListError};
use tokio::time::Instant;
use units::InstanceId;

/// A list, and since when it holds; the first one holds from the start.
#[derive(Debug)]
struct Version {
    since: Option<Instant>,
    all: Vec<Instance>,
}

#[derive(Debug, Default)]
struct Core {
    versions: VecDeque<Version>,
    lag: Duration,
    outage: bool,
}

/// An instance list in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct List(Arc<Mutex<Core>>);

impl List {
    fn core(&self) -> MutexGuard<'_, Core> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A list that readers see from the start, whatever the lag.
    pub fn new(all: Vec<Instance>) -> Self {
        let list = Self::default();
        list.core().versions.push_back(Version { since: None, all });
        list
    }

    /// How long a change takes until readers see it.
    pub fn set_lag(&self, lag: Duration) {
        self.core().lag = lag;
    }

    /// Whether reads fail.
    pub fn set_outage(&self, outage: bool) {
        self.core().outage = outage;
    }

    /// Replaces the list.
    pub fn set(&self, instances: Vec<Instance>) {
        let since = Some(Instant::now());
        self.core().versions.push_back(Version { since, all: instances });
    }

    /// Adds an instance, or replaces the one with its id.
    pub fn put(&self, instance: Instance) {
        let mut all = self.newest();
        all.retain(|other| other.id != instance.id);
        all.push(instance);
        self.set(all);
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, id: &InstanceId) {
        let mut all = self.newest();
        for instance in all.iter_mut().filter(|instance| instance.id == *id) {
            instance.state = InstanceState::Leaving;
        }
        self.set(all);
    }

    /// Drops an instance.
    pub fn remove(&self, id: &InstanceId) {
        let mut all = self.newest();
        all.retain(|instance| instance.id != *id);
        self.set(all);
    }

    /// The list as it is, without lag or faults.
    pub fn newest(&self) -> Vec<Instance> {
        self.core().versions.back().map(|version| version.all.clone()).unwrap_or_default()
    }
}

impl Version {
    fn in_sight(&self, lag: Duration) -> bool {
        self.since.is_none_or(|since| since.elapsed() >= lag)
    }
}

impl Core {
    /// Drops versions that no reader will see again and returns the one in sight.
    fn visible(&mut self) -> Vec<Instance> {
        let lag = self.lag;
        let seen = self.versions.iter().filter(|version| version.in_sight(lag)).count();
        self.versions.drain(..seen.saturating_sub(1));
        let front = self.versions.front().filter(|_| seen > 0);
        front.map(|version| version.all.clone()).unwrap_or_default()
    }
}

#[async_trait]
impl InstanceList for List {
    async fn instances(&self) -> Result<Vec<Instance>, ListError> {
        let mut core = self.core();
        if core.outage {
            return Err(ListError("the list is down".to_owned()));
        }
        Ok(core.visible())
    }
}

#[cfg(test)]
mod tests;
