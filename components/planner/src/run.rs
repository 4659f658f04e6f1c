//! Taking, holding and losing the planner lease.

use std::sync::Arc;
use std::time::Duration;

use journal::Journal;
use platform::InstanceList;
use timeline::Recorder;
use units::InstanceId;
use wire::Demand;

/// Demand that this process has seen or been told of; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct DemandLog {}

impl DemandLog {
    /// Adds demand.
    pub fn add(&self, _demand: &[Demand]) {}
}

/// How the planner works.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long the lease may go without renewal before this process claims it.
    pub lease: Duration,
    /// How long an endpoint must be off the list before its grants end.
    pub guard: Duration,
    /// The pause between two rounds of decisions.
    pub round: Duration,
    /// The most decisions that one round appends.
    pub batch: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            guard: Duration::from_secs(10),
            round: Duration::from_millis(250),
            batch: 200,
        }
    }
}

/// Runs the planner role until the journal ends; it decides only while this process holds the lease.
pub async fn run(
    _instance: InstanceId,
    _journal: Journal,
    _list: Arc<dyn InstanceList>,
    _demand: DemandLog,
    _recorder: Recorder,
    _options: Options,
) {
}
